"""Assigns the control work of pools to processes, guarded by store leases.

The lease in the store determines the holder. This module determines which pools
a process tries to acquire, and whether its lease is still valid by its own clock.
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
"""The holder stops this long before its lease can expire in the store."""
HANDOVER_DELAY_SECONDS = 10.0
"""A pool is handed over once another process has been preferred for this long."""
STORE_FAILING_SECONDS = 3.0
"""A member whose store calls fail for this long is not considered as a holder."""


@dataclass(slots=True)
class HeldPool:
    """A pool whose holder key this process wrote."""

    pool_id: PoolId
    mod_revision: Revision
    """Revision of the holder key; every write of the control work is fenced by it."""
    other_preferred_since: Seconds | None = None


@dataclass(slots=True)
class Holdings:
    """Pools that this process holds, and until when its lease is valid."""

    own_id: EntryVMId
    lease_id: int | None = None
    safe_until: Seconds = 0.0
    """By this process's own clock, counted from when the last renewal was sent."""
    pools_by_id: dict[PoolId, HeldPool] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HolderPlan:
    """Holder keys to acquire and to release next."""

    acquire: tuple[PoolId, ...] = ()
    release: tuple[PoolId, ...] = ()


def plan_holders(
    holdings: Holdings,
    pool_ids: Iterable[PoolId],
    members: Iterable[Member],
    now: Seconds,
) -> HolderPlan:
    """Return the pools to acquire and those to release.

    ``members`` are the other members with a stable state. Those whose store
    calls fail are not considered, since they could not renew a lease.
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
    """Return the preferred holder of each pool.

    Cached because this runs every tick while the arguments seldom change.
    """
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
    """Record that the lease was granted or renewed.

    The store starts the TTL when it receives the call, which is after
    ``sent_at``, so the lease always ends earlier by this process's clock.
    """
    if holdings.lease_id != lease_id:
        holdings.pools_by_id.clear()
    holdings.lease_id = lease_id
    holdings.safe_until = sent_at + ttl - LEASE_MARGIN_SECONDS


def record_lapse(holdings: Holdings) -> None:
    """Record that the lease has expired, and with it all keys bound to it."""
    holdings.lease_id = None
    holdings.safe_until = 0.0
    holdings.pools_by_id.clear()


def find_fencing_revision(
    holdings: Holdings, pool_id: PoolId, now: Seconds
) -> Revision | None:
    """Return the holder key's revision; None unless the lease is surely valid.

    A process that was suspended past its lease still has the pool in its
    holdings while a successor already drains VMs. Its own clock has advanced, so
    it sees that the lease may have expired. The store rejects a write sent just
    before: the write carries this revision, and the successor's key has another.
    """
    held = holdings.pools_by_id.get(pool_id)
    if held is None or now >= holdings.safe_until:
        return None
    return held.mod_revision


def list_held_pools(holdings: Holdings, now: Seconds) -> frozenset[PoolId]:
    """Return the pools held under a lease that is surely valid."""
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
