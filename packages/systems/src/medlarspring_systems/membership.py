"""Membership of entry VMs, from the platform's lagging list and heartbeats.

Each process has its own view, without consensus. The view decides which peers are
called, which member is preferred for a duty, and which members' grants have
ended. Work that needs a single actor is protected by a store lease.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from medlarspring_tables import (
    EntryVMId,
    Member,
    MemberState,
    MemberTable,
    Revision,
    ZoneId,
)

if TYPE_CHECKING:
    from medlarspring_tables import Seconds, VMList

ZONE_SILENCE_SECONDS = 2.0
REMOTE_SILENCE_SECONDS = 10.0
DUTY_SILENCE_SECONDS = 7.5
"""A member not heard for this long gets no duties, before it counts as silent."""
FORGET_SECONDS = 60.0
"""A member that is neither listed nor heard for this long is removed."""
PAUSE_SECONDS = 1.5
"""A longer time between two ticks means that this process was paused."""
STABLE_SECONDS = 60.0
"""A member heard without a break for this long has its silence count reset."""
TOLERATED_SILENCES = 1
HOLD_DOWN_SECONDS = 5.0
MAX_HOLD_DOWN_SECONDS = 60.0
MAX_FORMER_INCARNATIONS = 4
ONE_WAY_SECONDS = 60.0
"""A heard member that no call reached for this long is cut off in one direction."""


class MemberEvent(Enum):
    """A change of a member's state."""

    JOINED = "joined"
    BACK = "back"
    SILENT = "silent"
    LEFT = "left"
    DEAD = "dead"
    REPLACED = "replaced"
    FORGOTTEN = "forgotten"
    ONE_WAY = "one-way"
    BOTH_WAYS = "both-ways"


@dataclass(frozen=True, slots=True)
class MemberChange:
    """One change, for the log."""

    id: EntryVMId
    event: MemberEvent


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The fields of one report that membership needs."""

    sender: EntryVMId
    incarnation: int
    zone_id: ZoneId
    sequence: int
    table_revision: Revision
    leaving: bool = False
    operator_address: str = ""
    peer_address: str = ""
    store_failing: Seconds = 0.0
    heard: tuple[EntryVMId, ...] = ()


def apply_listed_members(table: MemberTable, vm_list: VMList, now: Seconds) -> None:
    """Update members and addresses from the list.

    The list is no evidence that a process is alive.
    """
    for known in table.members_by_id.values():
        known.listed = known.id in vm_list.entry_vms_by_id
    for listed in vm_list.entry_vms_by_id.values():
        if listed.id == table.own_id:
            continue
        member = table.members_by_id.get(listed.id)
        if member is None:
            table.members_by_id[listed.id] = Member(
                id=listed.id,
                peer_address=listed.peer_address,
                zone_id=listed.zone_id,
                listed=True,
                changed_at=now,
            )
            continue
        member.peer_address = listed.peer_address
        member.zone_id = listed.zone_id


def apply_heartbeat(
    table: MemberTable, heartbeat: Heartbeat, now: Seconds
) -> tuple[bool, list[MemberChange]]:
    """Apply a report; return whether it is new, and the changes of the member.

    Reports may arrive twice, late and out of order. The sequence number orders the
    reports of one process. A replaced process that was paused may still send
    reports; former incarnations are remembered, so that such a report does not
    displace the present process.
    """
    if heartbeat.sender == table.own_id:
        return False, []
    member = table.members_by_id.get(heartbeat.sender)
    if member is None:
        member = Member(
            id=heartbeat.sender,
            peer_address=heartbeat.peer_address,
            zone_id=heartbeat.zone_id,
            changed_at=now,
        )
        table.members_by_id[heartbeat.sender] = member
    if heartbeat.incarnation in member.former_incarnations:
        return False, []
    changes: list[MemberChange] = []
    if heartbeat.incarnation != member.incarnation:
        changes = _apply_incarnation(member, heartbeat.incarnation)
    elif heartbeat.sequence <= member.sequence:
        return False, []
    _apply_facts(table, member, heartbeat, now)
    if heartbeat.leaving:
        return True, changes + _change(
            member, MemberState.LEAVING, MemberEvent.LEFT, now
        )
    return True, changes + _mark_alive(member, now, replaced=bool(changes))


def _apply_incarnation(member: Member, incarnation: int) -> list[MemberChange]:
    replaced = member.incarnation != 0
    if replaced:
        former = (*member.former_incarnations, member.incarnation)
        member.former_incarnations = former[-MAX_FORMER_INCARNATIONS:]
    member.incarnation = incarnation
    member.sequence = 0
    return [MemberChange(member.id, MemberEvent.REPLACED)] if replaced else []


def _apply_facts(
    table: MemberTable, member: Member, heartbeat: Heartbeat, now: Seconds
) -> None:
    member.sequence = heartbeat.sequence
    member.heard_at = now
    member.refused_at = None
    member.table_revision = heartbeat.table_revision
    # About every tenth report carries addresses, which keeps the others short.
    if heartbeat.operator_address:
        member.operator_address = heartbeat.operator_address
    member.store_failing = heartbeat.store_failing
    member.hears_us = table.own_id in heartbeat.heard
    if not member.listed and heartbeat.peer_address:
        member.peer_address = heartbeat.peer_address


def _mark_alive(member: Member, now: Seconds, *, replaced: bool) -> list[MemberChange]:
    if member.state is MemberState.ALIVE:
        if member.silence_count and now - member.changed_at > STABLE_SECONDS:
            member.silence_count = 0
        return []
    if member.state is MemberState.LISTED:
        event = MemberEvent.JOINED
    else:
        event = MemberEvent.BACK
    _hold_down(member, now)
    change = _change(member, MemberState.ALIVE, event, now)
    return [] if replaced else change


def _hold_down(member: Member, now: Seconds) -> None:
    """Hold down a member that keeps going silent, so that it gets no new duties.

    Behind a flapping link a member would regain its watches and pools at each
    return and lose them seconds later, and every move interrupts that work. The
    hold-down time doubles with each silence, so that the work stays where it is.
    """
    if member.silence_count <= TOLERATED_SILENCES:
        return
    doublings = member.silence_count - TOLERATED_SILENCES - 1
    wait = min(HOLD_DOWN_SECONDS * 2**doublings, MAX_HOLD_DOWN_SECONDS)
    member.held_down_until = now + wait


def _change(
    member: Member, state: MemberState, event: MemberEvent, now: Seconds
) -> list[MemberChange]:
    if member.state is state:
        return []
    member.state = state
    member.changed_at = now
    return [MemberChange(member.id, event)]


def record_refused_connection(
    table: MemberTable, member_id: EntryVMId, now: Seconds
) -> list[MemberChange]:
    """Record that the member's process has ended.

    Its port refused a connection, or another entry VM answers at its address.
    """
    member = table.members_by_id.get(member_id)
    if member is None:
        return []
    member.refused_at = now
    if member.state in (MemberState.LISTED, MemberState.LEAVING):
        return []
    return _change(member, MemberState.DEAD, MemberEvent.DEAD, now)


def tick(table: MemberTable, now: Seconds) -> list[MemberChange]:
    """Detect members that became silent, and remove those long gone."""
    changes: list[MemberChange] = []
    for member in list(table.members_by_id.values()):
        if member.state is MemberState.ALIVE and _is_silent(table, member, now):
            member.silence_count += 1
            changes += _change(member, MemberState.SILENT, MemberEvent.SILENT, now)
        changes += _update_one_way(member, now)
        if _is_forgettable(member, now):
            del table.members_by_id[member.id]
            changes.append(MemberChange(member.id, MemberEvent.FORGOTTEN))
    return changes


def _is_silent(table: MemberTable, member: Member, now: Seconds) -> bool:
    if member.heard_at is None:
        return False
    near = member.zone_id == table.own_zone_id
    limit = ZONE_SILENCE_SECONDS if near else REMOTE_SILENCE_SECONDS
    return now - member.heard_at > limit


def _update_one_way(member: Member, now: Seconds) -> list[MemberChange]:
    """Detect a cut in one direction, in which each side alone sees no fault."""
    one_way = False
    if member.state is MemberState.ALIVE and now - member.changed_at > ONE_WAY_SECONDS:
        late = _is_late(member.reached_at, now)
        one_way = late or not member.hears_us
    if one_way == member.one_way:
        return []
    member.one_way = one_way
    event = MemberEvent.ONE_WAY if one_way else MemberEvent.BOTH_WAYS
    return [MemberChange(member.id, event)]


def _is_late(reached_at: Seconds | None, now: Seconds) -> bool:
    return reached_at is None or now - reached_at > ONE_WAY_SECONDS


def _is_forgettable(member: Member, now: Seconds) -> bool:
    if member.listed or member.state is MemberState.ALIVE:
        return False
    return now - member.changed_at > FORGET_SECONDS


def correct_for_pause(table: MemberTable, gap: Seconds, now: Seconds) -> None:
    """Shift the times of all members after a pause of this process.

    ``gap`` is the length of the pause in seconds. After a pause all peers look
    silent, although it was this process that received nothing. Without the
    correction it would take over every duty of its zone at once. The silence of a
    peer counts only while this process runs.
    """
    table.last_pause_at = now
    for member in table.members_by_id.values():
        member.changed_at = min(member.changed_at + gap, now)
        if member.heard_at is not None:
            member.heard_at = min(member.heard_at + gap, now)
        if member.reached_at is not None:
            member.reached_at = min(member.reached_at + gap, now)


def list_heard(table: MemberTable) -> dict[EntryVMId, Member]:
    """Return the other members that are alive."""
    return {
        member.id: member
        for member in table.members_by_id.values()
        if member.state is MemberState.ALIVE
    }


def list_zone(table: MemberTable) -> tuple[EntryVMId, ...]:
    """Return this process and the live members of its availability zone, sorted."""
    near = [
        member.id
        for member in table.members_by_id.values()
        if member.state is MemberState.ALIVE and member.zone_id == table.own_zone_id
    ]
    return tuple(sorted([table.own_id, *near]))


def list_stable(
    table: MemberTable, now: Seconds, *, own_zone_only: bool = False
) -> list[EntryVMId]:
    """Return the other members that may have duties.

    During a partition the views of which member is preferred differ. Two members
    may then claim one duty, which the lease resolves, or both watch the store,
    which is harmless. A member of another zone that is lost counts as silent only
    late, since reports across zones are infrequent; its duties move earlier.
    """
    return [
        member.id
        for member in table.members_by_id.values()
        if member.state is MemberState.ALIVE
        and now >= member.held_down_until
        and now - (member.heard_at or 0.0) <= DUTY_SILENCE_SECONDS
        and (not own_zone_only or member.zone_id == table.own_zone_id)
    ]


__all__ = [
    "Heartbeat",
    "MemberChange",
    "MemberEvent",
    "list_heard",
    "list_stable",
    "list_zone",
    "correct_for_pause",
    "record_refused_connection",
    "apply_heartbeat",
    "apply_listed_members",
    "tick",
]
