"""How many VMs a pool's work asks for in a moment, and why."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.demand import find_slack, project_demand
from medlarspring_systems.scheduling.estimates import estimate_seconds
from medlarspring_systems.scheduling.fleet import PoolNeed
from medlarspring_systems.scheduling.placement import is_allowed, is_open
from medlarspring_systems.scheduling.waiting import measure_wait
from medlarspring_tables.scheduling import Room

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from medlarspring_systems.scheduling.fleet import FleetTables
    from medlarspring_tables import PoolId, Seconds
    from medlarspring_tables.scheduling import StepRun, Worker, WorkTables

BACKLOG_HORIZON_SECONDS = 2.0
"""What waits is to be done within so long, beside what comes in."""
PACKING_EFFICIENCY = 0.85
"""Part of a VM that tasks of mixed sizes fill on average."""
LOW_SLACK_SIZE_RATIO = 0.6
"""Part of its first size that a pool keeps whose jobs can't wait for a VM.

Called at the start of its turn, VMs are there when the jobs of the first second
and a half are late: a quarter of the turn's jobs.
"""
MIN_SLACK_AFTER_MOVE_SECONDS = 0.6
"""A queue's jobs can wait for a VM if so much slack is left when it is there."""
MIN_VMS = 1
ROUNDING_TOLERANCE_VMS = 0.05
"""Demand that exceeds whole VMs by less is not worth another one."""
UNPLACEABLE_SECONDS = 1.0
"""A long-running task that no worker of its pool takes for so long gets another VM;
room that batch work gives up is there within half a second."""


def find_pool_needs(
    tables: WorkTables, fleet: FleetTables, pool_ids: Iterable[PoolId], now: Seconds
) -> dict[PoolId, PoolNeed]:
    """Return how many VMs the work of each pool asks for in a moment."""
    largest = _find_largest_resources(tables)
    return {
        pool_id: _find_need(tables, fleet, pool_id, largest, now)
        for pool_id in pool_ids
    }


def find_pool_need(
    tables: WorkTables, fleet: FleetTables, pool_id: PoolId, now: Seconds
) -> PoolNeed:
    """Return how many VMs a pool's work asks for in a moment."""
    return find_pool_needs(tables, fleet, (pool_id,), now)[pool_id]


def _find_need(
    tables: WorkTables, fleet: FleetTables, pool_id: PoolId, largest: Room, now: Seconds
) -> PoolNeed:
    long_running_cpu, long_running_memory = _measure_long_running(tables, pool_id)
    waiting_cpu, waiting_memory = _measure_waiting(tables, pool_id, now)
    slack = find_slack(tables, pool_id)
    can_wait = _can_wait(fleet, slack)
    incoming = project_demand(tables, pool_id, now, can_wait=can_wait)
    cpu = long_running_cpu + incoming + waiting_cpu
    memory = long_running_memory + waiting_memory
    vms = max(
        cpu / (max(largest.cpu_millis, 1) * PACKING_EFFICIENCY),
        memory / (max(largest.memory_mb, 1) * PACKING_EFFICIENCY),
    )
    needed = math.ceil(vms - ROUNDING_TOLERANCE_VMS)
    floor = _find_floor(fleet, pool_id, slack)
    limits = _count_vms_for_task_limits(tables, pool_id)
    unplaceable = _count_vms_for_unplaceable_tasks(tables, fleet, pool_id, largest, now)
    busy = max(needed, MIN_VMS, limits, unplaceable)
    return PoolNeed(
        vms=max(busy, floor),
        busy_vms=busy,
        lasting_millis=long_running_cpu,
        incoming_millis=incoming,
        waiting_millis=waiting_cpu,
    )


def _find_floor(fleet: FleetTables, pool_id: PoolId, slack: Seconds | None) -> int:
    """Return the VMs that a pool keeps whatever it does now.

    A pool that had no work yet keeps what the operator gave it. It does not grow
    back to that: after a takeover nothing is known of any pool, and each idle one
    called its first eight VMs back.
    """
    first = fleet.initial_sizes.get(pool_id, 0)
    if slack is None:
        return min(first, fleet.vm_counts_by_pool.get(pool_id, first))
    if _can_wait(fleet, slack):
        return MIN_VMS
    return math.ceil(first * LOW_SLACK_SIZE_RATIO)


def _can_wait(fleet: FleetTables, slack: Seconds | None) -> bool:
    """Tell whether the pool's jobs are still in time when VMs called now are there."""
    return (
        slack is not None and slack > fleet.move_seconds + MIN_SLACK_AFTER_MOVE_SECONDS
    )


def _find_largest_resources(tables: WorkTables) -> Room:
    cpu = memory = 0
    for vm in tables.vms_by_id.values():
        cpu = max(cpu, vm.room.cpu_millis)
        memory = max(memory, vm.room.memory_mb)
    return Room(cpu, memory)


def _measure_long_running(tables: WorkTables, pool_id: PoolId) -> tuple[float, float]:
    """Return processors and memory that long-running tasks hold."""
    cpu = memory = 0.0
    for worker in tables.workers_by_pool.get(pool_id, {}).values():
        if worker.long_runs:
            worker_cpu, worker_memory = _measure_long_running_on_worker(worker)
            cpu += worker_cpu
            memory += worker_memory
    return cpu, memory


def _measure_long_running_on_worker(worker: Worker) -> tuple[float, float]:
    cpu = memory = 0.0
    for run in worker.runs.values():
        if run.task.step.spec.long_running:
            cpu += run.task.step.room.cpu_millis
            memory += run.task.step.room.memory_mb
    return cpu, memory


def _measure_waiting(
    tables: WorkTables, pool_id: PoolId, now: Seconds
) -> tuple[float, float]:
    """Return processors and memory that clear what waits within the horizon.

    Work that still counts as incoming is left out: counted twice, each rise of
    demand called for twice the VMs that it then needed.
    """
    cpu = memory = 0.0
    for step in tables.ready_by_pool.get(pool_id, {}):
        if step.job.outcome is not None or not step.waiting:
            continue
        if now < step.counted_until:
            continue
        fraction = 1.0
        if not step.spec.long_running:
            seconds = estimate_seconds(
                tables, step.job.queue.id, step.spec, step.seen_ms
            )
            fraction = seconds / BACKLOG_HORIZON_SECONDS
        cpu += fraction * len(step.waiting) * step.room.cpu_millis
        memory += min(fraction, 1.0) * len(step.waiting) * step.room.memory_mb
    return cpu, memory


def _count_vms_for_task_limits(tables: WorkTables, pool_id: PoolId) -> int:
    """Return how many VMs the steps need that limit their tasks on one worker."""
    most = 0
    for step in tables.ready_by_pool.get(pool_id, {}):
        if step.spec.max_per_worker and step.spec.long_running:
            most = max(most, math.ceil(step.spec.count / step.spec.max_per_worker))
    return most


def _count_vms_for_unplaceable_tasks(
    tables: WorkTables, fleet: FleetTables, pool_id: PoolId, largest: Room, now: Seconds
) -> int:
    """Return the VMs that the pool needs for a long-running task that none takes.

    Workers that are set aside count as the pool's VMs and give no room: in an idle
    pool a lost task waited next to them for up to 16 s. One VM is called at a time,
    and none while one is on its way.
    """
    workers = tables.workers_by_pool.get(pool_id, {}).values()
    if not any(
        _is_unplaceable(step, workers, largest, now)
        for step in tables.ready_by_pool.get(pool_id, {})
    ):
        return 0
    vm_count = fleet.vm_counts_by_pool.get(pool_id, 0)
    is_vm_in_transit = vm_count > sum(1 for worker in workers if worker.listed)
    return vm_count if is_vm_in_transit else vm_count + 1


def _is_unplaceable(
    step: StepRun, workers: Collection[Worker], largest: Room, now: Seconds
) -> bool:
    """Tell whether no worker takes a step's lost task, even if batch work yields.

    Steps that only some workers may run are left out: another VM may not help.
    """
    spec = step.spec
    if not spec.long_running or not step.waiting or step.job.outcome is not None:
        return False
    if spec.required_label or step.job.queue.advice is not None:
        return False
    if step.room.cpu_millis > largest.cpu_millis:
        return False
    if measure_wait(step, now) < UNPLACEABLE_SECONDS:
        return False
    return not any(_could_fit(step, worker, now) for worker in workers)


def _could_fit(step: StepRun, worker: Worker, now: Seconds) -> bool:
    if not is_open(worker, now) or not is_allowed(step, worker, now):
        return False
    cpu, memory = _measure_long_running_on_worker(worker)
    has_cpu = worker.room.cpu_millis - cpu >= step.room.cpu_millis
    return has_cpu and worker.room.memory_mb - memory >= step.room.memory_mb


__all__ = ["find_pool_need", "find_pool_needs"]
