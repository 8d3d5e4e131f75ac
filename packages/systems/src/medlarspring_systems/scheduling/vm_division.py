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

    Long-running tasks go first, then work that can still be on time, then late work.
    Within each, a pool that needs less than an equal part gets all that it needs.
    """
    divided = dict.fromkeys(needs, 0)
    left = vm_count
    for wanted in (
        {pool_id: need.lasting_vms for pool_id, need in needs.items()},
        {pool_id: need.timely_vms for pool_id, need in needs.items()},
        {pool_id: need.busy_vms for pool_id, need in needs.items()},
    ):
        missing = {pool_id: wanted[pool_id] - divided[pool_id] for pool_id in needs}
        for pool_id, vms in _divide(missing, left).items():
            divided[pool_id] += vms
            left -= vms
    return divided


def _divide(wanted: Mapping[PoolId, int], vm_count: int) -> dict[PoolId, int]:
    """Divide whole VMs; those left by rounding go to the largest fractions."""
    wanted = {pool_id: max(count, 0) for pool_id, count in wanted.items()}
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
