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
REMOTE_INTERVAL_SECONDS = 2.0
MAX_REMOTE_INTERVAL_SECONDS = 6.0
"""Stays under the silence that counts as a loss across zones."""
OVERDUE = 1.5
"""The side that does not call does so after so many silent intervals."""
REACH_SECONDS = 5.0
"""Each side calls at least so often, so that a one-way cut is noticed."""
UNHEARD_FACTOR = 3.0
"""Peers that are not heard are tried so much more seldom."""
JITTER = 0.1
BYTES_PER_SECOND = 6_000.0
"""Of the 8 KB/s a node may spend; the rest is for the table itself."""


@dataclass(slots=True)
class ExchangePlan:
    """When each peer is due, and what an exchange costs."""

    next_at_by_id: dict[EntryVMId, Seconds] = field(default_factory=dict)
    bytes_per_exchange: float = 300.0
    """Both directions with framing; a moving average of what was measured."""


def note_bytes(plan: ExchangePlan, exchanged: int) -> None:
    """Learn what one exchange took."""
    plan.bytes_per_exchange += 0.05 * (exchanged - plan.bytes_per_exchange)


def list_due(
    plan: ExchangePlan, table: MemberTable, now: Seconds, rng: random.Random
) -> list[Member]:
    """Return the peers to call now, and set when each is due next."""
    remote = _plan_remote_interval(plan, table)
    due: list[Member] = []
    for member in table.members_by_id.values():
        if not member.peer_address:
            continue
        if now < plan.next_at_by_id.get(member.id, 0.0):
            continue
        interval = remote
        if member.zone_id == table.own_zone_id:
            interval = ZONE_INTERVAL_SECONDS
        if not _is_ours_to_call(table, member, interval, now):
            continue
        if member.state is not MemberState.ALIVE:
            interval *= UNHEARD_FACTOR
        spread = rng.uniform(1 - JITTER, 1 + JITTER)
        plan.next_at_by_id[member.id] = now + interval * spread
        due.append(member)
    return due


def forget(plan: ExchangePlan, table: MemberTable) -> None:
    """Drop what is kept about members that are gone."""
    for member_id in plan.next_at_by_id.keys() - table.members_by_id.keys():
        del plan.next_at_by_id[member_id]


def _is_ours_to_call(
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
    if now - member.heard_at > OVERDUE * interval:
        return True
    return member.reached_at is None or now - member.reached_at > REACH_SECONDS


def _plan_remote_interval(plan: ExchangePlan, table: MemberTable) -> Seconds:
    """Stretch the interval across zones until the bytes fit the budget.

    In a large fleet the exchanges with all zones would alone use up what a node
    may spend. Reports within the zone carry what has to be fast and keep theirs.
    """
    near = 0
    for member in table.members_by_id.values():
        near += member.zone_id == table.own_zone_id
    remote = len(table.members_by_id) - near
    left = BYTES_PER_SECOND - near * plan.bytes_per_exchange / ZONE_INTERVAL_SECONDS
    if left <= 0:
        return MAX_REMOTE_INTERVAL_SECONDS
    needed = remote * plan.bytes_per_exchange / left
    return min(max(REMOTE_INTERVAL_SECONDS, needed), MAX_REMOTE_INTERVAL_SECONDS)


__all__ = ["ExchangePlan", "forget", "list_due", "note_bytes"]
