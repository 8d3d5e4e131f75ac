"""Forecasts how long new jobs wait, by pool and partner, for admission by load.

A pool's capacity is divided between the partners with open work by weight (max-min
fairness). A partner whose tasks fit into its part waits for nobody and gets no
forecast. The open work of any other partner, divided by its part, is the time until
a new job of this partner gets room. Its quota bounds the rate in the same way.

Work that goes after new jobs is left out. A pool may grow while a job waits. So no wait
is longer than if the pool got all VMs as soon as the other pools' work is done.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.open_work import (
    NOTHING,
    ROUNDING,
    Amounts,
    OpenWork,
    add,
    add_work,
    divide,
    exceeds,
    find_dominant,
    measure_capacities,
    measure_open_work,
    measure_total,
    scale,
    sum_amounts,
    to_amounts,
)
from medlarspring_systems.scheduling.ordering import LIGHT_BACKLOG_SECONDS
from medlarspring_systems.scheduling.quotas import find_usage
from medlarspring_systems.slot_shares import divide_fairly
from medlarspring_tables.scheduling import WaitForecast

if TYPE_CHECKING:
    from medlarspring_systems.scheduling.open_work import PoolWork
    from medlarspring_tables import PartnerId, PoolId, Seconds
    from medlarspring_tables.scheduling import (
        PartnerUsage,
        WorkTables,
    )

MAX_FORECASTS = 48
"""Most forecasts in one load record, which entry VMs read about once a second."""
MAX_WAIT_SECONDS = 60.0
"""Longest wait that is forecast; also stands for a quota that lets nothing start."""
MOVE_SECONDS = 2.0
"""Time until a VM that has become idle takes another pool's tasks."""


@dataclass(frozen=True, slots=True)
class Growth:
    """The most that a pool may get: all VMs, once the other pools' work is done."""

    capacity: Amounts
    seconds: Seconds


def forecast_waits(tables: WorkTables, now: Seconds) -> tuple[WaitForecast, ...]:
    """Return the expected waits of partners beyond their share, longest first."""
    if not tables.config.has_competing_partners:
        return ()
    weights = {
        partner_id: find_usage(tables, partner_id).weight
        for partner_id in tables.config.partners_by_id
    }
    pools = measure_open_work(tables, now)
    room_by_partner = _measure_quota_room(tables)
    quota_waits = _forecast_quota_waits(pools, room_by_partner)
    capacities = measure_capacities(tables, now)
    fleet = capacities.fleet
    work = sum_amounts(measure_total(pool) for pool in pools.values())
    forecasts: list[WaitForecast] = []
    for pool_id, pool in pools.items():
        others = add(work, scale(measure_total(pool), -1.0))
        growth = Growth(fleet, MOVE_SECONDS + find_dominant(others, fleet))
        capacity = capacities.by_pool.get(pool_id, NOTHING)
        forecasts += _forecast_pool(
            pool_id, pool, capacity, growth, weights, quota_waits, room_by_partner
        )
    forecasts.sort(key=lambda each: (-each.wait_ms, each.pool_id, each.partner_id))
    return tuple(forecasts[:MAX_FORECASTS])


def _forecast_pool(
    pool_id: PoolId,
    pool: PoolWork,
    capacity: Amounts,
    growth: Growth,
    weights: dict[PartnerId, float],
    quota_waits: dict[PartnerId, Seconds],
    room_by_partner: dict[PartnerId, Amounts],
) -> list[WaitForecast]:
    """Return the forecasts of one pool, one for each partner and priority."""
    forecasts: list[WaitForecast] = []
    ahead: dict[PartnerId, OpenWork] = {}
    for priority in sorted(pool.open_by_priority):
        own = pool.open_by_priority[priority]
        for partner_id, work in own.items():
            add_work(ahead.setdefault(partner_id, OpenWork()), work)
        waiting = sum_amounts(work.waiting for work in ahead.values())
        backlog = find_dominant(waiting, capacity)
        if not math.isfinite(backlog) or backlog <= LIGHT_BACKLOG_SECONDS:
            continue
        waits = _forecast_share_waits(ahead, capacity, weights, room_by_partner)
        grown = _forecast_share_waits(ahead, growth.capacity, weights, room_by_partner)
        for partner_id in own:
            wait = min(
                waits.get(partner_id, 0.0),
                growth.seconds + grown.get(partner_id, 0.0),
            )
            wait = max(wait, quota_waits.get(partner_id, 0.0))
            if wait > LIGHT_BACKLOG_SECONDS:
                wait_ms = round(min(wait, MAX_WAIT_SECONDS) * 1_000)
                forecasts.append(WaitForecast(pool_id, priority, partner_id, wait_ms))
    return forecasts


def _forecast_share_waits(
    work_by_partner: dict[PartnerId, OpenWork],
    capacity: Amounts,
    weights: dict[PartnerId, float],
    room_by_partner: dict[PartnerId, Amounts],
) -> dict[PartnerId, Seconds]:
    """Return the waits of the partners that demand more than their part of a pool.

    Tasks that need mostly CPU and tasks that need mostly memory fit beside each other,
    so the parts may add up to more than the pool.
    """
    demand = {}
    for partner_id, work in work_by_partner.items():
        demand[partner_id] = find_dominant(work.demand, capacity)
        room = room_by_partner.get(partner_id)
        if room is not None:
            quota_part = max(min(divide(room, capacity)), 0.0)
            demand[partner_id] = min(demand[partner_id], quota_part)
    total = sum_amounts(work.demand for work in work_by_partner.values())
    pressure = find_dominant(total, capacity)
    if not pressure or not math.isfinite(pressure):
        return {}
    dominants = (
        find_dominant(each.demand, capacity) for each in work_by_partner.values()
    )
    parts = divide_fairly(demand, weights, sum(dominants) / pressure)
    return {
        partner_id: find_dominant(work.total, capacity) / parts[partner_id]
        for partner_id, work in work_by_partner.items()
        if 0.0 < parts[partner_id] < demand[partner_id] - ROUNDING
    }


def _measure_quota_room(tables: WorkTables) -> dict[PartnerId, Amounts]:
    """Return what the quota of each partner that has one leaves to batch work."""
    long_by_partner: dict[PartnerId, Amounts] = {}
    for worker in tables.workers_by_id.values():
        if not worker.long_runs:
            continue
        for run in worker.runs.values():
            step = run.task.step
            if step.spec.long_running:
                used = long_by_partner.get(step.job.owner.partner_id, NOTHING)
                used = add(used, to_amounts(step.resources))
                long_by_partner[step.job.owner.partner_id] = used
    return {
        usage.partner_id: add(
            _to_limits(usage),
            scale(long_by_partner.get(usage.partner_id, NOTHING), -1.0),
        )
        for usage in tables.usage_by_partner.values()
        if usage.quota.cpu_millis or usage.quota.memory_mb
    }


def _forecast_quota_waits(
    pools: dict[PoolId, PoolWork], room_by_partner: dict[PartnerId, Amounts]
) -> dict[PartnerId, Seconds]:
    """Return the waits of the partners whose tasks exceed their quota."""
    work_by_partner: dict[PartnerId, OpenWork] = {}
    for pool in pools.values():
        for partners in pool.open_by_priority.values():
            for partner_id, work in partners.items():
                add_work(work_by_partner.setdefault(partner_id, OpenWork()), work)
    waits: dict[PartnerId, Seconds] = {}
    for partner_id, room in room_by_partner.items():
        own = work_by_partner.get(partner_id)
        if own is not None and exceeds(own.demand, room):
            waits[partner_id] = min(find_dominant(own.total, room), MAX_WAIT_SECONDS)
    return waits


def _to_limits(usage: PartnerUsage) -> Amounts:
    cpu, memory = to_amounts(usage.quota)
    return cpu or math.inf, memory or math.inf


__all__ = [
    "MAX_FORECASTS",
    "MAX_WAIT_SECONDS",
    "MOVE_SECONDS",
    "forecast_waits",
]
