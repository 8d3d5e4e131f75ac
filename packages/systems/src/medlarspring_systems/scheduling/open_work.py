"""Measures a pool's capacity for batch work, and the open work of each partner."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.move_targets import measure_long_runs
from medlarspring_tables.scheduling import VMPhase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarspring_tables import PartnerId, PoolId, Seconds
    from medlarspring_tables.scheduling import (
        Resources,
        StepRun,
        Worker,
        WorkTables,
    )

SILENT_SECONDS = 1.0
"""A worker that has not answered for this long adds no capacity."""
RUNNING_PART = 0.5
"""Average part of its duration that a running task still needs."""
LATE_PART = 0.5
"""Part of the late work that goes before a new job.

Work that is late but still of use goes after all that can be on time, smallest first.
"""
ROUNDING = 1e-9

Amounts = tuple[float, float]
"""Cores and GB, or core-seconds and GB-seconds."""
NOTHING: Amounts = (0.0, 0.0)


@dataclass(slots=True)
class OpenWork:
    """Open batch work of one partner."""

    total: Amounts = NOTHING
    """Work that remains, in core-seconds and GB-seconds."""
    waiting: Amounts = NOTHING
    """Part of ``total`` that has not started."""
    demand: Amounts = NOTHING
    """Resources that it would use now if nothing else did, in cores and GB."""


@dataclass(slots=True)
class PoolWork:
    """Open work of one pool."""

    open_by_priority: dict[int, dict[PartnerId, OpenWork]] = field(default_factory=dict)
    """Batch work by priority and partner."""


@dataclass(slots=True)
class Capacities:
    """What VMs offer to batch work, in cores and GB."""

    by_pool: dict[PoolId, Amounts] = field(default_factory=dict)
    """That of the VMs that each pool has, or is about to get, for some time."""
    fleet: Amounts = NOTHING
    """That of all pools, and of the VMs that leave theirs: a pool has them soon."""

    def add(self, pool_id: PoolId, offer: Amounts, *, leaves: bool = False) -> None:
        """Add one VM's offer; one that leaves its pool counts for the fleet only."""
        self.fleet = add(self.fleet, offer)
        if not leaves:
            self.by_pool[pool_id] = add(self.by_pool.get(pool_id, NOTHING), offer)


def measure_open_work(tables: WorkTables, now: Seconds) -> dict[PoolId, PoolWork]:
    """Return the open work of all pools."""
    pools: dict[PoolId, PoolWork] = {}
    for job in tables.jobs_by_id.values():
        if job.outcome is not None or not job.occurrences_by_index:
            continue
        pool = pools.setdefault(job.queue.pool_id, PoolWork())
        partners = pool.open_by_priority.setdefault(job.queue.priority, {})
        work = partners.setdefault(job.owner.partner_id, OpenWork())
        for steps in job.occurrences_by_index.values():
            for step in steps:
                if not step.spec.long_running and not step.is_done:
                    add_work(work, _measure_step(step, now))
    return pools


def _measure_step(step: StepRun, now: Seconds) -> OpenWork:
    unit = to_amounts(step.resources)
    waiting = _find_part_ahead(step, now) * len(step.waiting)
    running = max(step.spec.count - step.done_count - len(step.waiting), 0)
    return OpenWork(
        total=scale(unit, (waiting + RUNNING_PART * running) * step.expected),
        waiting=scale(unit, waiting * step.expected),
        demand=scale(unit, running + (waiting if step.ready else 0)),
    )


def _find_part_ahead(step: StepRun, now: Seconds) -> float:
    """Return which part of a step's waiting tasks goes before a new job's."""
    if now > step.useful_until - step.remaining_path:
        return 0.0
    return LATE_PART if now > step.objective_at - step.remaining_path else 1.0


def measure_capacities(tables: WorkTables, now: Seconds) -> Capacities:
    """Return what the VMs offer to batch work.

    A controller that has just taken over has not reached all workers yet. Those that
    it has not called count.
    """
    capacities = Capacities()
    counted = set()
    for worker in tables.workers_by_id.values():
        counted.add(worker.vm_id)
        if _adds_capacity(worker, now):
            long_runs = scale(measure_long_runs(worker), 1.0 / 1_000.0)
            free = add(to_amounts(worker.resources), scale(long_runs, -1.0))
            capacities.add(worker.pool_id, free, leaves=worker.reserved)
    for vm in tables.vms_by_id.values():
        if vm.id not in counted and _is_coming(vm.phase):
            capacities.add(vm.pool_id, to_amounts(vm.resources))
    return capacities


def measure_total(pool: PoolWork) -> Amounts:
    """Return the open batch work of a pool, in core-seconds and GB-seconds."""
    return sum_amounts(
        work.total
        for partners in pool.open_by_priority.values()
        for work in partners.values()
    )


def _is_coming(phase: VMPhase) -> bool:
    return phase in (VMPhase.UP, VMPhase.MOVING)


def _adds_capacity(worker: Worker, now: Seconds) -> bool:
    if not worker.listed or worker.draining or worker.gone:
        return False
    silent = now - worker.unanswered_since if worker.unanswered_since else 0.0
    return silent <= SILENT_SECONDS


def to_amounts(resources: Resources) -> Amounts:
    """Return resources in cores and GB."""
    return resources.cpu_millis / 1_000.0, resources.memory_mb / 1_000.0


def add_work(total: OpenWork, work: OpenWork) -> None:
    """Add work to a total."""
    total.total = add(total.total, work.total)
    total.waiting = add(total.waiting, work.waiting)
    total.demand = add(total.demand, work.demand)


def add(first: Amounts, second: Amounts) -> Amounts:
    """Return the sum of two amounts."""
    return first[0] + second[0], first[1] + second[1]


def scale(amounts: Amounts, factor: float) -> Amounts:
    """Return the amounts multiplied by a factor."""
    return amounts[0] * factor, amounts[1] * factor


def sum_amounts(amounts: Iterable[Amounts]) -> Amounts:
    """Return the sum of all amounts."""
    total = NOTHING
    for each in amounts:
        total = add(total, each)
    return total


def exceeds(amounts: Amounts, limits: Amounts) -> bool:
    """Return whether any amount exceeds its limit."""
    return any(
        amount > limit + ROUNDING
        for amount, limit in zip(amounts, limits, strict=True)
        if amount
    )


def divide(amounts: Amounts, capacity: Amounts) -> Amounts:
    """Return the ratios; infinite for an amount of which there is no capacity."""
    cpu, memory = (
        each / of if of > 0.0 else math.inf
        for each, of in zip(amounts, capacity, strict=True)
    )
    return cpu, memory


def find_dominant(amounts: Amounts, capacity: Amounts) -> float:
    """Return the larger of the two ratios; an amount of 0 is no part of anything."""
    ratios = divide(amounts, capacity)
    return max(
        ratio if amount else 0.0 for ratio, amount in zip(ratios, amounts, strict=True)
    )


__all__ = [
    "NOTHING",
    "ROUNDING",
    "Amounts",
    "Capacities",
    "OpenWork",
    "PoolWork",
    "add",
    "add_work",
    "divide",
    "exceeds",
    "find_dominant",
    "measure_capacities",
    "measure_open_work",
    "measure_total",
    "scale",
    "sum_amounts",
    "to_amounts",
]
