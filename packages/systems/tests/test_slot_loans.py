from __future__ import annotations

import pytest

from medlarspring_systems import slot_loans, slots
from medlarspring_tables import EntryVMId, VMId
from medlarspring_tables.slots import FormerLoans, Holding, SlotLedger

POLICY = slots.SlotPolicy()
NOW = 100.0
A, B, C, D, E = (EntryVMId(name) for name in "abcde")
VOTERS = frozenset({A, B, C})
SLOTS = 8


def create_holding(reserved: int = 0, known: int | None = None) -> Holding:
    """Return the holding of an entry VM that has just asked."""
    until = NOW + POLICY.grant_seconds
    return Holding(reserved=reserved, until=until, foreign_known=known)


def count_lendable(ledger: SlotLedger, now: float = NOW) -> int:
    return slot_loans.count_lendable(ledger, D, VOTERS, SLOTS, now, POLICY)


@pytest.mark.parametrize(
    ("known_by_voter", "lent_to_other", "former", "expected"),
    [
        ({}, 0, 0, 8),
        ({B: 3, C: 5}, 0, 0, 3),
        ({B: 3, C: 0}, 0, 0, 0),
        ({B: 3, C: 5}, 2, 0, 1),
        ({B: 3, C: 5}, 2, 4, 0),
        ({B: 3, C: None}, 0, 0, 3),
    ],
)
def test_home_lends_only_what_each_voter_would_leave_free(
    known_by_voter, lent_to_other, former, expected
):
    """Guards against loans that the next home does not know of. A voter of an earlier
    release tells nothing, and does not limit the loans."""
    ledger = SlotLedger(former=FormerLoans(former, NOW + 1.0))
    for voter, known in known_by_voter.items():
        ledger.holdings_by_holder[voter] = create_holding(known=known)
    ledger.holdings_by_holder[E] = create_holding(lent_to_other)
    assert count_lendable(ledger) == expected


def test_unheard_voter_limits_loans_as_long_as_it_relies_on_what_it_was_told():
    """Guards against a voter that is lost without a sign and stops all lending."""
    ledger = SlotLedger()
    ledger.holdings_by_holder[B] = create_holding(known=0)
    ends = NOW + POLICY.told_seconds
    assert count_lendable(ledger, ends - 0.01) == 0
    assert count_lendable(ledger, ends) == SLOTS


@pytest.mark.parametrize(
    ("known", "announced", "expected"),
    [(0, 4, 0), (4, 4, 4), (4, 2, 2), (None, 4, None)],
)
def test_of_two_numbers_that_a_voter_may_know_the_lower_one_counts(
    known, announced, expected
):
    """Guards against lending by an announcement whose reply was lost."""
    holding = create_holding()
    slot_loans.record_known(holding, known, announced)
    assert holding.foreign_known == expected


@pytest.mark.parametrize(
    ("lent", "wanted", "former", "expected"),
    [(0, 0, 0, 2), (0, 3, 0, 3), (5, 3, 0, 5), (0, 0, 3, 5), (5, 0, 6, 8)],
)
def test_home_announces_lent_and_due_slots(lent, wanted, former, expected):
    ledger = SlotLedger(former=FormerLoans(former, NOW + 1.0))
    ledger.holdings_by_holder[D] = create_holding(lent)
    targets = {A: 1, D: wanted}
    assert expected == slot_loans.announce_loans(
        ledger, targets, VOTERS, SLOTS, NOW, POLICY
    )


def test_former_loans_that_a_borrower_reports_are_counted_once():
    """Guards against a new home that subtracts a former loan twice, as told by its
    voters and as asked by the borrower."""
    ledger = SlotLedger(former=FormerLoans(5, NOW + 3.0))
    slots.grant(
        ledger,
        D,
        slots.SlotDemand(VMId("vm-1"), in_use=2, held=3),
        target=0,
        capacity=SLOTS,
        dead=frozenset(),
        now=NOW,
        policy=POLICY,
    )
    assert slot_loans.count_former(ledger.former, ledger, VOTERS, NOW) == 2
    assert slot_loans.count_lent(ledger, VOTERS, NOW, POLICY) == 3
    loans = slot_loans.list_loans(ledger, VOTERS, NOW, POLICY)
    assert loans.count == 5


@pytest.mark.parametrize(
    ("count", "until", "expected"),
    [
        (2, NOW + 5.0, FormerLoans(4, NOW + 5.0)),
        (6, NOW + 1.0, FormerLoans(6, NOW + 3.0)),
        (6, NOW, FormerLoans(4, NOW + 3.0)),
        (0, NOW + 5.0, FormerLoans(4, NOW + 3.0)),
    ],
)
def test_larger_report_of_former_loans_counts(count, until, expected):
    loans = FormerLoans(4, NOW + 3.0)
    slot_loans.remember_loans(loans, count, until, NOW)
    assert loans == expected


@pytest.mark.parametrize(
    ("missing", "voters", "expected"),
    [({C}, VOTERS, 0), ({C}, {A, B}, 3), ({B, C}, {A}, 6), ((), {A, B}, 0)],
)
def test_part_of_an_ended_entry_vm_stays_free_while_its_loans_may_run(
    missing, voters, expected
):
    """Guards against two homes at once, of which one lends its part of the slots and
    ends, so that the other grants the same slots while they are still in use."""
    ledger = SlotLedger(missing_voters=frozenset(missing))
    slot_loans.reserve_for_ended_homes(ledger, voters, frozenset(), SLOTS, NOW, POLICY)
    assert slot_loans.count_former(ledger.former, ledger, voters, NOW) == expected
    ended = NOW + POLICY.grant_seconds + POLICY.hold_seconds
    assert slot_loans.count_former(ledger.former, ledger, voters, ended) == 0
