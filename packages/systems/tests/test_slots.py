from __future__ import annotations

import pytest

from medlarspring_systems import slot_loans, slot_shares, slots
from medlarspring_tables import EntryVMId, PartnerId, PoolId, VMId, ZoneId
from medlarspring_tables.slots import (
    EntryVMView,
    FormerLoans,
    HomeTable,
    SlotLedger,
    Vote,
)

POLICY = slots.SlotPolicy()
A, B, C = (EntryVMId(name) for name in "abc")
VM = VMId("vm-1")
POOL = PoolId("consent")
ZONE = ZoneId("z1")


def create_views(
    *ids: EntryVMId, unresponsive: str = "", dead: str = ""
) -> list[EntryVMView]:
    return [
        EntryVMView(each, ZONE, heard=each not in unresponsive, dead=each in dead)
        for each in ids
    ]


def capacity(
    ledger: SlotLedger, views: list[EntryVMView], now: float, since: float = 0.0
) -> int:
    vote = Vote(home=A, blocked_until=since)
    return count_capacity(ledger, views, vote, now)


def count_capacity(
    ledger: SlotLedger, views: list[EntryVMView], vote: Vote, now: float
) -> int:
    missing = slots.list_missing_voters(ledger, views, A, now, POLICY)
    return slots.count_capacity(
        ledger, 8, views, A, vote, missing=missing, now=now, policy=POLICY
    )


def request_slots(
    ledger: SlotLedger,
    requester: EntryVMId,
    now: float,
    *,
    target: int = 8,
    held: int = 0,
    in_use: int = 0,
    dead: frozenset[EntryVMId] = frozenset(),
) -> int:
    demand = slots.SlotDemand(VM, in_use, held)
    return slots.grant(
        ledger,
        requester,
        demand,
        target=target,
        capacity=8,
        dead=dead,
        now=now,
        policy=POLICY,
    )


@pytest.mark.parametrize(
    ("voters", "now", "expected"),
    [
        ([], 100.0, 2),
        ([B], 100.0, 5),
        ([B, C], 100.0, 8),
        ([B, C], 100.0 + POLICY.vote_seconds, 2),
    ],
)
def test_home_grants_only_in_proportion_to_its_votes(voters, now, expected):
    ledger = SlotLedger()
    for voter in voters:
        slots.record_vote(ledger, voter, 100.0)
    assert capacity(ledger, create_views(A, B, C), now) == expected


def test_new_home_waits_for_work_granted_by_the_previous_home():
    """The former home and a holder are partitioned from the new home. It does not
    know which slots they use, so it grants none until their work has ended."""
    ledger = SlotLedger()
    views = create_views(A, B, unresponsive="b")
    assert capacity(ledger, views, now=100.5, since=100.0) == 0
    assert capacity(ledger, views, 100.0 + POLICY.hold_seconds, since=100.0) == 4


def test_new_home_with_all_votes_leaves_slots_lent_to_other_zones_free():
    ledger = SlotLedger()
    slots.record_vote(ledger, B, 100.0)
    vote = Vote(home=A, blocked_until=100.0, former=FormerLoans(3, 103.0))
    assert count_capacity(ledger, create_views(A, B), vote, 100.5) == 5


def test_new_home_leaves_slots_free_that_only_another_voter_knows_of():
    ledger = SlotLedger(former=FormerLoans(3, 103.0))
    slots.record_vote(ledger, B, 100.0)
    vote = Vote(home=A, blocked_until=100.0, former=FormerLoans(1, 103.0))
    assert count_capacity(ledger, create_views(A, B), vote, 100.5) == 5


@pytest.mark.parametrize(
    ("former", "told", "told_at", "left_free"),
    [
        (A, 3, 99.5, 0),
        (B, 3, 99.5, 3),
        (B, 3, 100.0 - POLICY.told_seconds, 8),
        (B, None, 0.0, 8),
    ],
)
def test_slots_lent_by_the_former_home_are_counted_once(
    former, told, told_at, left_free
):
    """Guards against subtracting slots lent to other zones twice, by the ledger
    and by the vote, when this entry VM was the former home; and against relying on
    what a former home told too long ago, or not at all."""
    vote = Vote(home=former, foreign=told, told_at=told_at)
    wanted = B if former is A else A
    slots.move_vote(vote, wanted, A, 8, old_home_dead=True, now=100.0, policy=POLICY)
    loans = slot_loans.count_former(vote.former, SlotLedger(), {A, B}, 100.0)
    assert loans == left_free
    assert vote.foreign is None


@pytest.mark.parametrize(
    ("dead", "allowed_at"),
    [
        (False, 100.0 + POLICY.vote_seconds + POLICY.grant_seconds),
        (True, 100.2 + POLICY.grant_seconds),
    ],
)
def test_vote_moves_only_after_its_grants_have_expired(dead, allowed_at):
    """The home of an upstream VM changes. The new home is not asked until the vote
    for the old one and the grants by that vote have expired; otherwise both homes
    could grant slots by one vote."""
    vote = Vote(home=B, last_asked=100.0)

    def move(now: float) -> EntryVMId | None:
        return slots.move_vote(
            vote, C, A, 8, old_home_dead=dead, now=now, policy=POLICY
        )

    assert move(100.2) is None
    assert move(allowed_at - 0.01) is None
    assert move(allowed_at) == C


def test_reduced_grant_frees_slots_only_after_its_holder_asks_again():
    """A holder of eight slots is granted four, and the reply may be lost. The other
    four are granted to another requester only after the holder has asked again."""
    ledger = SlotLedger()
    assert request_slots(ledger, A, 100.0) == 8
    assert request_slots(ledger, A, 100.3, target=4, held=8) == 4
    assert request_slots(ledger, B, 100.4) == 0
    assert request_slots(ledger, A, 100.6, target=4, held=4) == 4
    assert request_slots(ledger, B, 100.7) == 4


def test_work_in_use_stays_reserved_below_the_grant():
    ledger = SlotLedger()
    assert request_slots(ledger, A, 100.0, target=0, in_use=6) == 0
    assert request_slots(ledger, B, 100.1) == 2


def test_silent_holder_keeps_its_slots_until_its_work_has_ended():
    ledger = SlotLedger()
    request_slots(ledger, A, 100.0)
    ended = 100.0 + POLICY.grant_seconds + POLICY.hold_seconds
    assert request_slots(ledger, B, ended - 0.1) == 0
    assert request_slots(ledger, B, 102.0, dead=frozenset({A})) == 8


def test_home_keeps_idle_slots_for_the_first_request():
    """Two entry VMs of the zone are idle. A third, of another zone, asks for its
    first request; the idle ones must not hold all slots."""
    table = HomeTable()
    for requester in (A, B):
        slot_shares.record_demand(table, POOL, requester, {}, 1.0)
    parts = slot_shares.divide_pool(table, POOL, {}, 16, 1.0, POLICY)
    idle = slot_shares.round_parts(VM, parts, 8)
    assert 1 <= idle[A] <= 2
    assert 1 <= idle[B] <= 2
    slot_shares.record_demand(table, POOL, C, {PartnerId("p"): 1}, 1.0)
    parts = slot_shares.divide_pool(table, POOL, {}, 16, 1.0, POLICY)
    for number in range(50):
        assert slot_shares.round_parts(VMId(f"vm-{number}"), parts, 8)[C] >= 1


def test_homes_spread_and_few_move_when_one_goes():
    ids = [EntryVMId(f"e{number}") for number in range(4)]
    views = [EntryVMView(each, ZONE, heard=True) for each in ids]
    vms = [VMId(f"vm-{number}") for number in range(400)]
    before = {vm: slots.choose_home(vm, views) for vm in vms}
    counts = [list(before.values()).count(each) for each in ids]
    assert min(counts) > 60
    after = {vm: slots.choose_home(vm, views[1:]) for vm in vms}
    assert {before[vm] for vm in vms if before[vm] != after[vm]} == {ids[0]}


@pytest.mark.parametrize(
    ("demand", "weights", "expected"),
    [
        ({"p": 100, "q": 100}, {"p": 1.0, "q": 1.0}, {"p": 8.0, "q": 8.0}),
        ({"p": 100, "q": 100}, {"p": 3.0, "q": 1.0}, {"p": 12.0, "q": 4.0}),
        ({"p": 100, "q": 2}, {"p": 1.0, "q": 1.0}, {"p": 14.0, "q": 2.0}),
        ({"p": 100, "q": 0}, {"p": 1.0, "q": 1.0}, {"p": 16.0, "q": 0.0}),
    ],
)
def test_slots_are_divided_by_weight_and_idle_share_is_lent(demand, weights, expected):
    assert slot_shares.divide_fairly(demand, weights, 16.0) == expected


def test_parts_add_up_to_all_slots_of_each_vm():
    table = HomeTable()
    large_demand = {PartnerId("p"): 300}
    slot_shares.record_demand(table, POOL, A, large_demand, 1.0)
    small_demand = {PartnerId("q"): 9, PartnerId("p"): 30}
    slot_shares.record_demand(table, POOL, B, small_demand, 1.0)
    weights = {PartnerId("p"): 1.0, PartnerId("q"): 1.0}
    parts = slot_shares.divide_pool(table, POOL, weights, 16, 1.0, POLICY)
    rounded = [slot_shares.round_parts(VMId(f"vm-{n}"), parts, 8) for n in range(200)]
    assert {sum(each.values()) for each in rounded} == {8}
    mean = sum(each[B] for each in rounded) / len(rounded)
    assert mean == pytest.approx(parts[B] * 8, abs=0.15)
