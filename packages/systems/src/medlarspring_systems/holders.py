"""Which process should hold the control work of which pool, and since when.

The store's lease decides who holds; this module decides who tries, and whether
this process may still act by its own clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import lru_cache
from typing import TYPE_CHECKING

from medlarspring_systems.rendezvous import rank

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarspring_tables import EntryVMId, Member, PoolId, Revision, Seconds

LEASE_SECONDS = 6.0
RENEW_SECONDS = 2.0
LEASE_MARGIN_SECONDS = 1.0
"""The holder stops so long before the store may give its pools to another."""
HANDOVER_DELAY_SECONDS = 10.0
"""A pool moves to a newly preferred process only after it was so for so long."""
STORE_FAILING_SECONDS = 3.0


@dataclass(slots=True)
class HeldPool:
    """A pool whose holder key this process wrote."""

    pool_id: PoolId
    mod_revision: Revision
    """Of the holder key; the fence of every write of the pool's control work."""
    other_preferred_since: Seconds | None = None


@dataclass(slots=True)
class Holdings:
    """What this process holds, and until when it may count on it."""

    own_id: EntryVMId
    lease_id: int | None = None
    safe_until: Seconds = 0.0
    """By this process's own clock, counted from when the renewal was sent."""
    pools_by_id: dict[PoolId, HeldPool] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HolderPlan:
    """What to do next about the holder keys."""

    acquire: tuple[PoolId, ...] = ()
    release: tuple[PoolId, ...] = ()


def plan_holders(
    holdings: Holdings,
    pool_ids: Iterable[PoolId],
    members: Iterable[Member],
    now: Seconds,
) -> HolderPlan:
    """Return the pools to try for and those to hand over.

    ``members`` are the steady others. Those that the store does not answer are
    passed over, since they could not renew a lease.
    """
    wanted = set(pool_ids)
    eligible = [
        member.id for member in members if member.store_failing < STORE_FAILING_SECONDS
    ]
    candidates = tuple(sorted([holdings.own_id, *eligible]))
    preferred_by_id = _find_preferred(tuple(sorted(wanted)), candidates)
    acquire: list[PoolId] = []
    release = [pool for pool in holdings.pools_by_id if pool not in wanted]
    for pool_id, preferred in preferred_by_id.items():
        held = holdings.pools_by_id.get(pool_id)
        if held is None:
            if preferred == holdings.own_id:
                acquire.append(pool_id)
            continue
        if _should_hand_over(held, preferred, holdings.own_id, now):
            release.append(pool_id)
    return HolderPlan(acquire=tuple(acquire), release=tuple(release))


@lru_cache(maxsize=4)
def _find_preferred(
    pool_ids: tuple[PoolId, ...], candidates: tuple[EntryVMId, ...]
) -> dict[PoolId, EntryVMId]:
    """Return the preferred holders; both change seldom, and this runs each tick."""
    return {pool_id: rank(f"holder/{pool_id}", candidates)[0] for pool_id in pool_ids}


def _should_hand_over(
    held: HeldPool, preferred: EntryVMId, own_id: EntryVMId, now: Seconds
) -> bool:
    if preferred == own_id:
        held.other_preferred_since = None
        return False
    if held.other_preferred_since is None:
        held.other_preferred_since = now
    return now - held.other_preferred_since >= HANDOVER_DELAY_SECONDS


def record_lease(
    holdings: Holdings, lease_id: int, sent_at: Seconds, ttl: Seconds
) -> None:
    """Learn that the lease was granted or renewed.

    The store counts from when it got the call, which is after ``sent_at``; so
    this process's count always ends first.
    """
    if holdings.lease_id != lease_id:
        holdings.pools_by_id.clear()
    holdings.lease_id = lease_id
    holdings.safe_until = sent_at + ttl - LEASE_MARGIN_SECONDS


def record_lapse(holdings: Holdings) -> None:
    """Learn that the lease is gone, and all keys bound to it."""
    holdings.lease_id = None
    holdings.safe_until = 0.0
    holdings.pools_by_id.clear()


def find_fencing_revision(
    holdings: Holdings, pool_id: PoolId, now: Seconds
) -> Revision | None:
    """Return the holder key's revision while the pool is held for certain.

    A process frozen past its lease wakes up believing that it holds the pool,
    while a successor already drains VMs. Its own clock ran on, so it sees that
    the lease may have lapsed. A write sent just before is refused by the store:
    it carries this revision, and the successor's key has another.
    """
    held = holdings.pools_by_id.get(pool_id)
    if held is None or now >= holdings.safe_until:
        return None
    return held.mod_revision


def list_held_pools(holdings: Holdings, now: Seconds) -> frozenset[PoolId]:
    """Return the pools held for certain."""
    if now >= holdings.safe_until:
        return frozenset()
    return frozenset(holdings.pools_by_id)


__all__ = [
    "Holdings",
    "HeldPool",
    "HolderPlan",
    "find_fencing_revision",
    "list_held_pools",
    "record_lapse",
    "record_lease",
    "plan_holders",
]
