"""Division of scarce VMs between pools.

It is designed for bursts that follow one another: a queue's burst is larger than the
fleet, and the next one begins while its pool still works off late jobs. If the pool
kept its VMs, the next queue's jobs would become late as well, and so would those of
each queue after it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.slot_shares import divide_fairly

if TYPE_CHECKING:
    from collections.abc import Mapping

    from medlarspring_systems.scheduling.fleet import PoolNeed
    from medlarspring_tables import PoolId


def divide_vms(needs: Mapping[PoolId, PoolNeed], vm_count: int) -> dict[PoolId, int]:
    """Return how many of ``vm_count`` VMs each pool may use for its present work.

    Work that can still be on time goes first, then late work. Within each, a pool that
    needs less than an equal part gets all that it needs.
    """
    timely = {pool_id: need.timely_vms for pool_id, need in needs.items()}
    busy = {pool_id: need.busy_vms for pool_id, need in needs.items()}
    if sum(busy.values()) <= vm_count:
        return busy
    if sum(timely.values()) >= vm_count:
        return _divide(timely, vm_count)
    late = {pool_id: busy[pool_id] - timely[pool_id] for pool_id in needs}
    rest = _divide(late, vm_count - sum(timely.values()))
    return {pool_id: timely[pool_id] + rest[pool_id] for pool_id in needs}


def _divide(wanted: Mapping[PoolId, int], vm_count: int) -> dict[PoolId, int]:
    """Divide whole VMs; those left by rounding go to the largest fractions."""
    shares = divide_fairly(wanted, {}, vm_count)
    divided = {pool_id: int(share) for pool_id, share in shares.items()}
    left = min(vm_count, sum(wanted.values())) - sum(divided.values())
    by_fraction = sorted(
        shares, key=lambda pool_id: shares[pool_id] - divided[pool_id], reverse=True
    )
    for pool_id in by_fraction[:left]:
        divided[pool_id] += 1
    return divided


__all__ = ["divide_vms"]
