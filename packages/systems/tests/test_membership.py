from __future__ import annotations

from typing import Any

import pytest

from medlarspring_systems import membership
from medlarspring_systems.membership import Heartbeat, MemberEvent
from medlarspring_tables import (
    EntryVMId,
    ListedEntryVM,
    MemberState,
    MemberTable,
    RegionId,
    Revision,
    VMList,
    ZoneId,
)

OWN = EntryVMId("own")
PEER = EntryVMId("peer")
NEAR = ZoneId("zone-1")
FAR = ZoneId("zone-2")


def create_table(*listed: EntryVMId, zone: ZoneId = NEAR) -> MemberTable:
    table = MemberTable(OWN, NEAR)
    membership.apply_listed_members(table, create_list(*listed, zone=zone), 0.0)
    return table


def create_list(*listed: EntryVMId, zone: ZoneId = NEAR) -> VMList:
    return VMList(
        entry_vms_by_id={
            each: ListedEntryVM(each, f"ip-of-{each}", zone, RegionId("r"))
            for each in listed
        }
    )


def create_heartbeat(sequence: int, incarnation: int = 1, **facts: Any) -> Heartbeat:
    facts = {"heard": (OWN,), "zone_id": NEAR, "table_revision": Revision(3)} | facts
    return Heartbeat(sender=PEER, incarnation=incarnation, sequence=sequence, **facts)


def receive(table: MemberTable, heartbeat: Heartbeat, now: float) -> list[MemberEvent]:
    _, changes = membership.apply_heartbeat(table, heartbeat, now)
    return [change.event for change in changes]


def test_listed_member_is_alive_only_once_heard():
    table = create_table(PEER, OWN)
    assert list(table.members_by_id) == [PEER]
    assert membership.list_heard(table) == {}
    assert receive(table, create_heartbeat(1), 1.0) == [MemberEvent.JOINED]
    assert membership.list_zone(table) == (OWN, PEER)
    assert receive(table, create_heartbeat(2), 1.5) == []


def test_member_is_heard_before_the_list_shows_it():
    table = create_table()
    receive(table, create_heartbeat(1, peer_address="10.0.0.9:1"), 1.0)
    assert membership.list_heard(table)[PEER].peer_address == "10.0.0.9:1"
    receive(table, create_heartbeat(2, leaving=True), 2.0)
    events = [change.event for change in membership.tick(table, 63.0)]
    assert events == [MemberEvent.FORGOTTEN]


@pytest.mark.parametrize(
    ("zone", "silent_from"),
    [
        (NEAR, membership.ZONE_SILENCE_SECONDS),
        (FAR, membership.REMOTE_SILENCE_SECONDS),
    ],
)
def test_silence_is_detected_sooner_within_the_zone(zone: ZoneId, silent_from: float):
    table = create_table(PEER, zone=zone)
    receive(table, create_heartbeat(1, zone_id=zone), 0.0)
    assert membership.tick(table, silent_from) == []
    events = [change.event for change in membership.tick(table, silent_from + 0.1)]
    assert events == [MemberEvent.SILENT]
    assert membership.list_heard(table) == {}


def test_lost_member_of_another_zone_loses_its_duties_before_it_is_silent():
    """
    A VM of another zone fails. Reports across zones are seconds apart, so it counts
    as silent only after several are missing; its pools must still be taken over
    within 10 s.
    """
    table = create_table(PEER, zone=FAR)
    receive(table, create_heartbeat(1, zone_id=FAR), 1.0)
    duty_ends = 1.0 + membership.DUTY_SILENCE_SECONDS
    assert membership.list_stable(table, duty_ends) == [PEER]
    assert membership.list_stable(table, duty_ends + 0.1) == []
    assert PEER in membership.list_heard(table)


def test_leaving_takes_effect_at_once_despite_late_reports():
    """
    A peer's report of its shutdown arrives before a report that it sent earlier.
    Applied in order of arrival, the earlier report would make it a member again,
    and it would be asked for slots until it counts as silent.
    """
    table = create_table(PEER)
    receive(table, create_heartbeat(1), 0.0)
    assert receive(table, create_heartbeat(3, leaving=True), 1.0) == [MemberEvent.LEFT]
    assert receive(table, create_heartbeat(2), 1.1) == []
    assert membership.list_heard(table) == {}


def test_late_report_of_a_replaced_process_is_ignored():
    """
    A process is paused, the platform starts another with the same id and address,
    and the first one resumes. Its reports carry the former incarnation and must
    be ignored; otherwise slots would be granted twice.
    """
    table = create_table(PEER)
    receive(table, create_heartbeat(90, incarnation=1), 0.0)
    assert receive(table, create_heartbeat(1, incarnation=2), 1.0) == [
        MemberEvent.REPLACED
    ]
    is_new, _ = membership.apply_heartbeat(
        table, create_heartbeat(91, incarnation=1), 1.1
    )
    assert not is_new
    assert table.members_by_id[PEER].incarnation == 2


def test_refused_connection_marks_a_member_dead_until_it_is_heard():
    table = create_table(PEER)
    receive(table, create_heartbeat(1), 0.0)
    changes = membership.record_refused_connection(table, PEER, 0.2)
    assert [change.event for change in changes] == [MemberEvent.DEAD]
    assert membership.list_heard(table) == {}
    assert table.members_by_id[PEER].refused_at == 0.2
    assert receive(table, create_heartbeat(1, incarnation=2), 5.0) == [
        MemberEvent.REPLACED
    ]
    assert table.members_by_id[PEER].refused_at is None
    assert table.members_by_id[PEER].state is MemberState.ALIVE


def test_pause_of_this_process_does_not_mark_peers_silent():
    """
    After this process was paused for a minute, every peer looks silent, and
    without correction it would take over all watches and pools of its zone.
    """
    table = create_table(PEER)
    receive(table, create_heartbeat(1), 0.0)
    membership.correct_for_pause(table, 60.0, 60.1)
    assert membership.tick(table, 60.1) == []
    assert membership.tick(table, 62.2) != []


def test_flapping_member_is_held_down_for_increasing_times():
    """
    A link fails and recovers every few seconds. Without hold-down each recovery
    would move watches and pools to the member, and each failure away from it.
    """
    table = create_table(PEER)
    now = 0.0
    held_down = []
    for sequence in range(1, 6):
        receive(table, create_heartbeat(sequence), now)
        assert PEER in membership.list_heard(table)
        held_down.append(table.members_by_id[PEER].held_down_until - now)
        assert (PEER in membership.list_stable(table, now)) == (held_down[-1] <= 0)
        now += 3.0
        membership.tick(table, now)
    assert held_down[2:] == [5.0, 10.0, 20.0]
    assert max(held_down[:2]) <= 0
    receive(table, create_heartbeat(6), now)
    now += membership.STABLE_SECONDS + 1
    receive(table, create_heartbeat(7), now)
    assert table.members_by_id[PEER].silence_count == 0


@pytest.mark.parametrize(
    ("heard", "reached"), [((), True), ((OWN,), False)], ids=["not-heard", "unreached"]
)
def test_cut_in_one_direction_is_detected(heard: tuple[EntryVMId, ...], reached: bool):
    """
    Reports of the peer arrive, but it does not hear this process or no call
    reaches it. Each side alone looks healthy; the status must show the cut.
    """
    table = create_table(PEER)
    seen = []
    for now in range(70):
        receive(table, create_heartbeat(now + 1, heard=heard), now)
        if reached:
            table.members_by_id[PEER].reached_at = now
        seen += [change.event for change in membership.tick(table, now)]
    assert seen == [MemberEvent.ONE_WAY]
    table.members_by_id[PEER].reached_at = 70.0
    receive(table, create_heartbeat(99), 70.0)
    events = [change.event for change in membership.tick(table, 70.0)]
    assert events == [MemberEvent.BOTH_WAYS]
