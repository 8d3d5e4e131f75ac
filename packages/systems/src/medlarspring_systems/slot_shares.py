"""Divides the slots of a pool between entry VMs by the demand of their partners."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, TypeVar

from medlarspring_systems.rendezvous import HASH_BYTES, rank, weigh
from medlarspring_tables.slots import RequesterDemand

if TYPE_CHECKING:
    from collections.abc import Mapping

    from medlarspring_systems.slots import SlotPolicy
    from medlarspring_tables import EntryVMId, PartnerId, PoolId, Seconds, VMId
    from medlarspring_tables.slots import HomeTable

Key = TypeVar("Key")

DEMAND_DECAY_SECONDS = 1.0
"""Time constant of the exponential decay of former demand."""
MIN_DEMAND = 0.5
ROUNDING = 1e-9


def record_demand(
    table: HomeTable,
    pool_id: PoolId,
    requester: EntryVMId,
    count_by_partner: dict[PartnerId, int],
    now: Seconds,
) -> None:
    """Record the demand of an entry VM; a decrease takes effect gradually.

    The length of a queue fluctuates. If each dip moved a slot to another entry
    VM, slots would constantly be in transfer instead of in use.
    """
    demand = table.demand_by_pool.setdefault(pool_id, {})
    counts: dict[PartnerId, float] = dict(count_by_partner)
    former = demand.get(requester)
    if former is not None:
        kept = math.exp((former.reported_at - now) / DEMAND_DECAY_SECONDS)
        for partner_id, before in former.count_by_partner.items():
            count = counts.get(partner_id, 0.0)
            decayed = count + kept * (before - count)
            if count < before and decayed > MIN_DEMAND:
                counts[partner_id] = decayed
    demand[requester] = RequesterDemand(counts, now)


def divide_pool(
    table: HomeTable,
    pool_id: PoolId,
    weights_by_partner: Mapping[PartnerId, float],
    pool_slots: int,
    now: Seconds,
    policy: SlotPolicy,
) -> dict[EntryVMId, float]:
    """Return the part of the pool's slots that each asking entry VM should get.

    Slots are divided between partners by weight, up to the demand of each. The
    slots of a partner go to the entry VMs in proportion to its demand there.
    """
    demand = table.demand_by_pool.get(pool_id, {})
    fresh = {
        requester: requester_demand
        for requester, requester_demand in demand.items()
        if now < requester_demand.reported_at + policy.grant_seconds
    }
    if len(fresh) < len(demand):
        table.demand_by_pool[pool_id] = fresh
    total_by_partner: dict[PartnerId, float] = {}
    for requester_demand in fresh.values():
        for partner_id, count in requester_demand.count_by_partner.items():
            total = total_by_partner.get(partner_id, 0.0)
            total_by_partner[partner_id] = total + count
    share_by_partner = divide_fairly(total_by_partner, weights_by_partner, pool_slots)
    return {
        requester: sum(
            share_by_partner[partner_id] * count / total_by_partner[partner_id]
            for partner_id, count in requester_demand.count_by_partner.items()
            if count
        )
        / max(1, pool_slots)
        for requester, requester_demand in fresh.items()
    }


def divide_fairly(
    demand: Mapping[Key, float],
    weights: Mapping[Key, float],
    slots: float,
) -> dict[Key, float]:
    """Divide slots by weight and at most by demand (weighted max-min fairness).

    A key without a weight has the weight 1.
    """
    shares: dict[Key, float] = dict.fromkeys(demand, 0.0)
    unsatisfied = [key for key, count in demand.items() if count]
    left = slots
    while unsatisfied and left > 0.0:
        total = sum(weights.get(key, 1.0) for key in unsatisfied)
        level = left / total
        satisfied = {
            key: None
            for key in unsatisfied
            if demand[key] <= level * weights.get(key, 1.0)
        }
        if not satisfied:
            for key in unsatisfied:
                shares[key] = level * weights.get(key, 1.0)
            break
        for key in satisfied:
            shares[key] = demand[key]
            left -= demand[key]
        unsatisfied = [key for key in unsatisfied if key not in satisfied]
    return shares


def round_parts(
    vm_id: VMId, parts: Mapping[EntryVMId, float], slots: int
) -> dict[EntryVMId, int]:
    """Round parts to whole slots of one VM, with at most ``slots`` in total.

    The rounding offset differs between VMs, so that small parts are met on average
    over the pool. Each requester also gets a few of the slots that no demand needs, so
    that its next requests find a slot without asking. The home keeps the rest for
    the first entry VM that asks.
    """
    rounded: dict[EntryVMId, int] = {}
    reached = _weigh(vm_id, "offset")
    for requester in rank(vm_id, parts):
        before = int(reached)
        reached += parts[requester] * slots
        rounded[requester] = int(reached + ROUNDING) - before
    left = slots - sum(rounded.values())
    if left > 0:
        spare = left // (len(rounded) + 1)
        for requester, due in rounded.items():
            short = not due and parts[requester] > 0.0
            rounded[requester] = due + max(spare, short)
    return rounded


def _weigh(first: str, second: str) -> float:
    """Return a stable pseudo-random number in [0, 1) for a pair of names."""
    return int.from_bytes(weigh(first, second), "big") / float(1 << 8 * HASH_BYTES)


__all__ = ["divide_fairly", "divide_pool", "round_parts", "record_demand"]
