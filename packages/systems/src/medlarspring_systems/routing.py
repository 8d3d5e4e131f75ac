"""Chooses the upstream VM for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.leaving import apply_listed_state, takes_new_work
from medlarspring_tables.fleet import ListedState
from medlarspring_tables.upstreams import Upstream, UpstreamTable

if TYPE_CHECKING:
    from collections.abc import Collection

    from medlarspring_tables import (
        ListedVM,
        PoolId,
        Seconds,
        VMId,
        VMList,
        ZoneId,
    )


NON_REPEATABLE_PROBE_DELAY_SECONDS = 5.0
"""Wait after an ejection until a request that is not repeatable may be the probe.
Without it, a service without repeatable requests would never get a VM back."""


def update_upstreams(table: UpstreamTable, vm_list: VMList) -> None:
    """Apply a new list to the table; slots in use stay counted."""
    known = table.upstreams_by_id
    table.upstreams_by_id = {
        listed.id: _update_upstream(known.get(listed.id), listed, vm_list.read_at)
        for listed in vm_list.vms_by_id.values()
    }
    by_pool: dict[PoolId, list[Upstream]] = {}
    for upstream in table.upstreams_by_id.values():
        by_pool.setdefault(upstream.pool_id, []).append(upstream)
    table.upstreams_by_pool = by_pool


def _update_upstream(
    known: Upstream | None, listed: ListedVM, read_at: Seconds
) -> Upstream:
    upstream = known
    if (
        upstream is None
        or upstream.address != listed.address
        or upstream.pool_id != listed.pool_id
    ):
        # A new address under a known id is a replaced VM, and another pool means
        # that its drain is over. The known health and leaving state do not apply.
        upstream = Upstream(
            id=listed.id,
            address=listed.address,
            pool_id=listed.pool_id,
            zone_id=listed.zone_id,
            slots=listed.slots,
            connections=listed.connections,
            returned_at=read_at if known is not None else float("-inf"),
        )
    upstream.zone_id = listed.zone_id
    upstream.slots = listed.slots
    upstream.connections = listed.connections
    apply_listed_state(upstream, read_at, leaving=listed.state is ListedState.LEAVING)
    return upstream


def count_idle_connections(upstream: Upstream, entry_vms: int) -> int:
    """Return how many idle connections one entry VM may keep to an upstream VM.

    The slots limit the connections in use. The rest of the upstream's connections
    is divided between the entry VMs, so that their total stays within its limit.
    """
    return max(0, upstream.connections - upstream.slots) // max(1, entry_vms)


def choose_upstream(
    table: UpstreamTable,
    pool_id: PoolId,
    zone_id: ZoneId,
    now: Seconds,
    *,
    repeatable: bool = True,
    excluded: Collection[VMId] = (),
) -> Upstream | None:
    """Return the best upstream VM with a free slot, preferably of the own zone.

    Within a zone, the VM with the smallest part of its slots in use is chosen, then
    the one with the lower latency. Requests that are not repeatable avoid VMs
    whose last answer was a failure. They probe an ejected VM only if no repeatable
    request has done so for a while, since a probe is likely to fail.
    """
    best: Upstream | None = None
    best_rank = (True, 2, 0.0, 0.0)
    for upstream in table.upstreams_by_pool.get(pool_id, ()):
        if upstream.in_use >= upstream.credit or now >= upstream.credit_until:
            continue
        if upstream.id in excluded or not takes_new_work(upstream, now):
            continue
        if upstream.ejected_until is not None:
            waited = now - upstream.ejected_until
            least = 0.0 if repeatable else NON_REPEATABLE_PROBE_DELAY_SECONDS
            if upstream.probing or waited < least:
                continue
        rank = (
            not repeatable and upstream.failures > 0,
            0 if upstream.zone_id == zone_id else 1,
            upstream.in_use / upstream.slots,
            upstream.latency,
        )
        if rank < best_rank:
            best, best_rank = upstream, rank
    return best


__all__ = ["update_upstreams", "choose_upstream", "count_idle_connections"]
