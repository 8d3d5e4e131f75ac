"""Schedules the exchange of reports with peers within a budget of bytes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from medlarspring_systems.rendezvous import rank
from medlarspring_tables import EntryVMId, Member, MemberState

if TYPE_CHECKING:
    import random

    from medlarspring_tables import MemberTable, Seconds

ZONE_INTERVAL_SECONDS = 0.5
MAX_ZONE_INTERVAL_SECONDS = 0.8
REMOTE_INTERVAL_SECONDS = 2.0
MAX_REMOTE_INTERVAL_SECONDS = 4.0
"""A member of another zone counts as silent after 2.5 times this interval."""
OVERDUE_INTERVALS = 1.5
"""The side that waits for calls makes one after this many intervals without any."""
MAX_CALL_INTERVALS = 8
"""Each side calls at least once in this many intervals, to detect a one-way cut."""
UNHEARD_INTERVAL_FACTOR = 3.0
"""Multiplies the interval of calls to peers that are not heard."""
JITTER = 0.1
BYTES_PER_SECOND = 6_000.0
"""Part of the 8 KB/s that a node may use; the rest is for the table itself."""
ZONE_BYTES_SHARE = 0.5


@dataclass(slots=True)
class ExchangePlan:
    """When each peer is due, and how many bytes an exchange takes."""

    next_at_by_id: dict[EntryVMId, Seconds] = field(default_factory=dict)
    bytes_per_exchange: float = 300.0
    """Moving average of the bytes in both directions, framing included."""


def record_exchange_bytes(plan: ExchangePlan, exchanged: int) -> None:
    """Add the bytes of one exchange to the moving average."""
    plan.bytes_per_exchange += 0.05 * (exchanged - plan.bytes_per_exchange)


def list_due_peers(
    plan: ExchangePlan, table: MemberTable, now: Seconds, rng: random.Random
) -> list[Member]:
    """Return the peers to call now, and set when each is due next."""
    near, remote = _plan_intervals(plan, table)
    due: list[Member] = []
    for member in table.members_by_id.values():
        if not member.peer_address:
            continue
        if now < plan.next_at_by_id.get(member.id, 0.0):
            continue
        interval = near if member.zone_id == table.own_zone_id else remote
        if not _should_call(table, member, interval, now):
            continue
        if member.state is not MemberState.ALIVE:
            interval *= UNHEARD_INTERVAL_FACTOR
        spread = rng.uniform(1 - JITTER, 1 + JITTER)
        plan.next_at_by_id[member.id] = now + interval * spread
        due.append(member)
    return due


def remove_departed_members(plan: ExchangePlan, table: MemberTable) -> None:
    """Remove the call times of members that are no longer in the table."""
    for member_id in plan.next_at_by_id.keys() - table.members_by_id.keys():
        del plan.next_at_by_id[member_id]


def _should_call(
    table: MemberTable, member: Member, interval: Seconds, now: Seconds
) -> bool:
    """Return whether this side of the pair should call.

    A call carries the reports of both sides, so calls from one side are enough.
    The other side also calls when it hears nothing, as after a cut in one
    direction.
    """
    if member.heard_at is None or member.state is not MemberState.ALIVE:
        return True
    pair = sorted([table.own_id, member.id])
    if rank("/".join(pair), pair)[0] == table.own_id:
        return True
    if now - member.heard_at > OVERDUE_INTERVALS * interval:
        return True
    if member.reached_at is None:
        return True
    return now - member.reached_at > MAX_CALL_INTERVALS * interval


def _plan_intervals(plan: ExchangePlan, table: MemberTable) -> tuple[Seconds, Seconds]:
    """Return the intervals within the zone and across zones that fit the budget.

    In a large fleet, exchanges at the shortest intervals would use up the bytes
    that a node may spend. Reports within the zone carry urgent news, so their
    interval grows less. Both intervals are bounded well below the time after
    which a member counts as silent.
    """
    near = sum(
        member.zone_id == table.own_zone_id for member in table.members_by_id.values()
    )
    remote = len(table.members_by_id) - near
    near_bytes = near * plan.bytes_per_exchange
    near_interval = _clamp(
        near_bytes / (ZONE_BYTES_SHARE * BYTES_PER_SECOND),
        ZONE_INTERVAL_SECONDS,
        MAX_ZONE_INTERVAL_SECONDS,
    )
    left = max(BYTES_PER_SECOND - near_bytes / near_interval, 1.0)
    remote_interval = _clamp(
        remote * plan.bytes_per_exchange / left,
        REMOTE_INTERVAL_SECONDS,
        MAX_REMOTE_INTERVAL_SECONDS,
    )
    return near_interval, remote_interval


def _clamp(value: float, low: float, high: float) -> float:
    return min(max(value, low), high)


__all__ = [
    "ExchangePlan",
    "remove_departed_members",
    "list_due_peers",
    "record_exchange_bytes",
]
