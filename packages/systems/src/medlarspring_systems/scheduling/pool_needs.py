"""Estimates of how many VMs a pool's work will need shortly."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.crashes import SIMULTANEOUS_SECONDS
from medlarspring_systems.scheduling.demand import find_slack, project_demand
from medlarspring_systems.scheduling.estimates import estimate_seconds
from medlarspring_systems.scheduling.fleet import PoolNeed
from medlarspring_systems.scheduling.isolation import (
    find_isolated_run,
    has_suspected_task,
)
from medlarspring_systems.scheduling.move_targets import could_fit, measure_long_runs
from medlarspring_systems.scheduling.ordering import may_be_on_time
from medlarspring_systems.scheduling.placement import find_ticket, is_schedulable
from medlarspring_systems.scheduling.quotas import fits_quota
from medlarspring_systems.scheduling.waiting import measure_wait
from medlarspring_tables.scheduling import Resources

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from medlarspring_systems.scheduling.fleet import FleetTables
    from medlarspring_tables import PoolId, Seconds
    from medlarspring_tables.scheduling import StepRun, Worker, WorkTables

BACKLOG_HORIZON_SECONDS = 2.0
"""Time within which the waiting tasks should finish, in addition to incoming work."""
PACKING_EFFICIENCY = 0.85
"""Average fraction of a VM that tasks of mixed sizes can fill."""
LOW_SLACK_SIZE_RATIO = 0.6
"""Fraction of its initial size that a pool keeps if its jobs can't wait for a VM.

VMs that are requested at the start of a burst arrive when the jobs of its first 1.5 s,
a quarter of the burst's jobs, are already late.
"""
MIN_SLACK_AFTER_MOVE_SECONDS = 0.6
"""A queue's jobs can wait for a VM if more slack than this remains after its move."""
MIN_VMS = 1
ROUNDING_TOLERANCE_VMS = 0.05
"""Demand that exceeds a whole number of VMs by less than this adds no VM."""
TRIES_PER_VM = 2
"""Refusals of a restricted step, for each VM of the fleet, until no more are tried.

A VM that leaves a pool and comes back is a new worker, and is refused again.
"""
UNPLACEABLE_SECONDS = 1.0
"""Waiting time after which a pool gets another VM for an unplaceable long-running task.

Capacity freed by preempting batch work is available within 0.5 s.
"""


def find_pool_needs(
    tables: WorkTables, fleet: FleetTables, pool_ids: Iterable[PoolId], now: Seconds
) -> dict[PoolId, PoolNeed]:
    """Return how many VMs the work of each pool will need shortly."""
    largest = _find_largest_resources(tables)
    return {
        pool_id: _find_need(tables, fleet, pool_id, largest, now)
        for pool_id in pool_ids
    }


def find_pool_need(
    tables: WorkTables, fleet: FleetTables, pool_id: PoolId, now: Seconds
) -> PoolNeed:
    """Return how many VMs a pool's work will need shortly."""
    return find_pool_needs(tables, fleet, (pool_id,), now)[pool_id]


def _find_need(
    tables: WorkTables,
    fleet: FleetTables,
    pool_id: PoolId,
    largest: Resources,
    now: Seconds,
) -> PoolNeed:
    long_running_cpu, long_running_memory = _measure_long_running(tables, pool_id)
    waiting, timely_waiting = _measure_waiting(tables, pool_id, now)
    slack = find_slack(tables, pool_id)
    can_wait = _can_wait(fleet, slack)
    incoming = project_demand(tables, pool_id, now, can_wait=can_wait)
    lasting = _Demand(long_running_cpu, long_running_memory)
    present = lasting + _Demand(incoming)
    isolation = _count_vms_for_isolation(tables, pool_id, now)
    floor = _find_floor(fleet, pool_id, slack)
    least = max(
        MIN_VMS,
        _count_vms_for_task_limits(tables, pool_id),
        _count_vms_for_unplaceable_tasks(tables, fleet, pool_id, largest, now),
    )
    busy = max(_count_vms(present + waiting, largest) + isolation, least)
    timely = max(_count_vms(present + timely_waiting, largest) + isolation, least)
    # A VM that is tried may not be permitted either, so it yields to work elsewhere.
    tried = _count_vms_to_try(tables, fleet, pool_id, now)
    return PoolNeed(
        vms=max(busy, floor, tried),
        busy_vms=busy,
        lasting_millis=long_running_cpu,
        incoming_millis=incoming,
        waiting_millis=waiting.cpu_millis,
        lasting_vms=max(_count_vms(lasting, largest), least),
        timely_vms=timely,
    )


@dataclass(frozen=True, slots=True)
class _Demand:
    """Capacity that some work needs."""

    cpu_millis: float = 0.0
    memory_mb: float = 0.0

    def __add__(self, other: _Demand) -> _Demand:
        return _Demand(
            self.cpu_millis + other.cpu_millis, self.memory_mb + other.memory_mb
        )


def _count_vms(demand: _Demand, largest: Resources) -> int:
    """Return how many VMs of the largest kind a demand needs."""
    vms = max(
        demand.cpu_millis / (max(largest.cpu_millis, 1) * PACKING_EFFICIENCY),
        demand.memory_mb / (max(largest.memory_mb, 1) * PACKING_EFFICIENCY),
    )
    return math.ceil(vms - ROUNDING_TOLERANCE_VMS)


def _find_floor(fleet: FleetTables, pool_id: PoolId, slack: Seconds | None) -> int:
    """Return the number of VMs that a pool keeps regardless of its current work.

    A pool that had no work yet keeps at most its initial size, and does not grow back
    to it. After a takeover no pool's work is known, and otherwise each idle pool would
    request all of its initial VMs again, for example eight.
    """
    initial_size = fleet.initial_sizes.get(pool_id, 0)
    if slack is None:
        return min(initial_size, fleet.vm_counts_by_pool.get(pool_id, initial_size))
    if _can_wait(fleet, slack):
        return MIN_VMS
    return math.ceil(initial_size * LOW_SLACK_SIZE_RATIO)


def _can_wait(fleet: FleetTables, slack: Seconds | None) -> bool:
    """Return whether the pool's jobs can wait for a VM move and still be on time."""
    return (
        slack is not None and slack > fleet.move_seconds + MIN_SLACK_AFTER_MOVE_SECONDS
    )


def _find_largest_resources(tables: WorkTables) -> Resources:
    resources = [vm.resources for vm in tables.vms_by_id.values()]
    return Resources(
        max([each.cpu_millis for each in resources], default=0),
        max([each.memory_mb for each in resources], default=0),
    )


def _measure_long_running(tables: WorkTables, pool_id: PoolId) -> tuple[float, float]:
    """Return the millicores and MB for the pool's long-running tasks.

    Room that is kept for tasks that move is included.
    """
    cpu = memory = 0.0
    for worker in tables.workers_by_pool.get(pool_id, {}).values():
        cpu += worker.kept_cpu_millis
        memory += worker.kept_memory_mb
        worker_cpu, worker_memory = measure_long_runs(worker)
        cpu += worker_cpu
        memory += worker_memory
    return cpu, memory


def _measure_waiting(
    tables: WorkTables, pool_id: PoolId, now: Seconds
) -> tuple[_Demand, _Demand]:
    """Return what it takes to finish all waiting tasks, and those still on time.

    Each is the capacity that finishes them within the horizon.

    Work that still counts as incoming is excluded. If it were counted twice, each rise
    of demand would request twice the VMs that it needs.
    """
    waiting = timely = _Demand()
    for step in tables.ready_by_pool.get(pool_id, {}):
        if step.job.outcome is not None or not step.waiting:
            continue
        if not fits_quota(step):
            continue
        if now < step.counted_until:
            continue
        fraction = 1.0
        if not step.spec.long_running:
            seconds = estimate_seconds(
                tables, step.job.queue.id, step.spec, step.mean_duration_ms
            )
            fraction = seconds / BACKLOG_HORIZON_SECONDS
        demand = _Demand(
            fraction * len(step.waiting) * step.resources.cpu_millis,
            min(fraction, 1.0) * len(step.waiting) * step.resources.memory_mb,
        )
        waiting += demand
        if may_be_on_time(step, now):
            timely += demand
    return waiting, timely


def _count_vms_for_isolation(tables: WorkTables, pool_id: PoolId, now: Seconds) -> int:
    """Return how many VMs the pool needs because suspected tasks run in isolation.

    An isolated worker is mostly idle, so that the pool's need for CPU does not show
    it. Without these VMs, the more jobs were suspected the smaller their pool was.
    """
    workers = tables.workers_by_pool.get(pool_id, {}).values()
    isolated = sum(find_isolated_run(each, now) is not None for each in workers)
    waiting_jobs = {
        step.job.id
        for step in tables.ready_by_pool.get(pool_id, {})
        if step.job.outcome is None and has_suspected_task(step)
    }
    seconds = len(waiting_jobs) * SIMULTANEOUS_SECONDS
    return isolated + math.ceil(seconds / BACKLOG_HORIZON_SECONDS)


def _count_vms_for_task_limits(tables: WorkTables, pool_id: PoolId) -> int:
    """Return how many VMs long-running steps need for their tasks-per-worker limits."""
    most = 0
    for step in tables.ready_by_pool.get(pool_id, {}):
        if step.spec.max_per_worker and step.spec.long_running:
            most = max(most, math.ceil(step.spec.count / step.spec.max_per_worker))
    return most


def _count_vms_for_unplaceable_tasks(
    tables: WorkTables,
    fleet: FleetTables,
    pool_id: PoolId,
    largest: Resources,
    now: Seconds,
) -> int:
    """Return how many VMs the pool needs if a long-running task is unplaceable, else 0.

    A task that has to move from a VM that is due counts too if no worker can take it.

    Quarantined workers count as VMs of the pool but take no new tasks. In an idle pool,
    a lost task could wait for up to 16 s because of them. VMs are added one at a time,
    and none while another one is being moved.
    """
    workers = tables.workers_by_pool.get(pool_id, {}).values()
    if pool_id not in fleet.pools_short_of_targets and not any(
        _is_unplaceable(step, workers, largest, now)
        for step in tables.ready_by_pool.get(pool_id, {})
    ):
        return 0
    return _count_with_next_vm(fleet, pool_id, workers)


def _count_vms_to_try(
    tables: WorkTables, fleet: FleetTables, pool_id: PoolId, now: Seconds
) -> int:
    """Return how many VMs the pool needs if the adviser permits no worker, else 0."""
    workers = tables.workers_by_pool.get(pool_id, {}).values()
    if not any(
        _is_refused_everywhere(tables, step, workers, now)
        for step in tables.ready_by_pool.get(pool_id, {})
    ):
        return 0
    return _count_with_next_vm(fleet, pool_id, workers)


def _count_with_next_vm(
    fleet: FleetTables, pool_id: PoolId, workers: Collection[Worker]
) -> int:
    """Return the pool's VMs and one more, unless another one is being moved."""
    vm_count = fleet.vm_counts_by_pool.get(pool_id, 0)
    is_vm_in_transit = vm_count > sum(1 for worker in workers if worker.listed)
    return vm_count if is_vm_in_transit else vm_count + 1


def _is_unplaceable(
    step: StepRun, workers: Collection[Worker], largest: Resources, now: Seconds
) -> bool:
    """Return whether no worker takes a waiting task, even if batch work is preempted.

    Steps that may run only on some workers are excluded, since another VM may not help.
    """
    spec = step.spec
    if not spec.long_running or not step.waiting or step.job.outcome is not None:
        return False
    if not fits_quota(step):
        return False
    if spec.required_label or step.job.queue.advice is not None:
        return False
    if step.resources.cpu_millis > largest.cpu_millis:
        return False
    if measure_wait(step, now) < UNPLACEABLE_SECONDS:
        return False
    return not any(could_fit(step, worker, now) for worker in workers)


def _is_refused_everywhere(
    tables: WorkTables, step: StepRun, workers: Collection[Worker], now: Seconds
) -> bool:
    """Return whether the adviser permits a waiting step on no worker of its pool.

    The workers that may run it may have left with VMs that the pool did not need. The
    number of tries is bounded, as there may be none that is permitted.
    """
    if step.job.queue.advice is None or step.spec.required_label or not step.waiting:
        return False
    if step.job.outcome is not None or not fits_quota(step):
        return False
    refusals = sum(not ticket.text for ticket in step.tickets.values())
    if refusals >= TRIES_PER_VM * len(tables.vms_by_id):
        return False
    if measure_wait(step, now) < UNPLACEABLE_SECONDS:
        return False
    return all(
        (ticket := find_ticket(step, worker)) is not None and not ticket.text
        for worker in workers
        if is_schedulable(worker, now)
    )


__all__ = ["find_pool_need", "find_pool_needs"]
