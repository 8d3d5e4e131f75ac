"""When to exchange reports with which peer, within a budget of bytes."""

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
"""Two and a half of them are the silence that counts as a loss across zones."""
OVERDUE_INTERVALS = 1.5
"""The side that does not call does so after so many silent intervals."""
MAX_CALL_INTERVALS = 8
"""Each side calls at least so seldom, so that a one-way cut is noticed."""
UNHEARD_INTERVAL_FACTOR = 3.0
"""Peers that are not heard are tried so much more seldom."""
JITTER = 0.1
BYTES_PER_SECOND = 6_000.0
"""Of the 8 KB/s a node may spend; the rest is for the table itself."""
ZONE_BYTES_SHARE = 0.5


@dataclass(slots=True)
class ExchangePlan:
    """When each peer is due, and what an exchange costs."""

    next_at_by_id: dict[EntryVMId, Seconds] = field(default_factory=dict)
    bytes_per_exchange: float = 300.0
    """Both directions with framing; a moving average of what was measured."""


def record_exchange_bytes(plan: ExchangePlan, exchanged: int) -> None:
    """Learn what one exchange took."""
    plan.bytes_per_exchange += 0.05 * (exchanged - plan.bytes_per_exchange)


def list_due(
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


def forget(plan: ExchangePlan, table: MemberTable) -> None:
    """Drop what is kept about members that are gone."""
    for member_id in plan.next_at_by_id.keys() - table.members_by_id.keys():
        del plan.next_at_by_id[member_id]


def _should_call(
    table: MemberTable, member: Member, interval: Seconds, now: Seconds
) -> bool:
    """Return whether this side of the pair should call.

    One call tells both sides, so one side of the pair is enough. The other calls
    too when it hears nothing, as after a cut in one direction.
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
    """Stretch the intervals in the zone and across until the bytes fit the budget.

    In a large fleet the exchanges with all zones would alone use up what a node
    may spend. Reports within the zone carry what has to be fast and give way
    less; both have bounds that stay well under the silence that counts.
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


__all__ = ["ExchangePlan", "forget", "list_due", "record_exchange_bytes"]
