"""Selection of the VMs that a pool yields to pools whose work is more urgent.

Only idle VMs can be moved, and a pool with a backlog has none. A VM that yields gets
no new tasks, so that it is idle when its present tasks have ended.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.fleet import (
    find_vm_worker,
    is_available_for_operation,
    is_standby,
)
from medlarspring_systems.scheduling.placement import is_in_service
from medlarspring_tables.scheduling import QuarantineReason

if TYPE_CHECKING:
    from collections.abc import Mapping

    from medlarspring_systems.scheduling.fleet import FleetTables
    from medlarspring_tables import PoolId, Seconds, VMId
    from medlarspring_tables.scheduling import VMEntry, Worker, WorkTables

MAX_YIELD_SECONDS = 2.0
"""A VM that was not moved after yielding for this long serves its pool again.

Otherwise the pool's tasks would wait beside idle VMs while none can be moved.
"""
MIN_STAY_SECONDS = 4.0
"""Time for which a VM serves its pool after a move or a yield, before it yields.

A move and its way back take 3 s, in which the VM serves nobody.
"""


def plan_yields(
    tables: WorkTables,
    fleet: FleetTables,
    former: Mapping[VMId, Seconds],
    vm_counts: Mapping[PoolId, int],
    now: Seconds,
) -> None:
    """Update the VMs that yield, from the number of VMs allotted to each pool.

    ``former`` are those of the last pass, with the times since when they yield. As many
    VMs yield as the other pools lack. A pool keeps its part, and also those that its
    own work needs that can still be on time: a VM serves nobody while it is emptied and
    moved.
    """
    _end_stays(fleet, now)
    lacking = _count_lacking(tables, fleet, vm_counts)
    chosen: dict[VMId, Seconds] = {}
    if lacking > 0:
        chosen = _choose(tables, fleet, former, vm_counts, lacking, now)
    for vm_id in former.keys() - chosen.keys():
        fleet.kept_until_by_vm[vm_id] = now + MIN_STAY_SECONDS
    fleet.yielding_since_by_vm = chosen


def _choose(
    tables: WorkTables,
    fleet: FleetTables,
    former: Mapping[VMId, Seconds],
    vm_counts: Mapping[PoolId, int],
    lacking: int,
    now: Seconds,
) -> dict[VMId, Seconds]:
    """Return the VMs that yield, at most as many as are lacking, and since when."""
    excess = _count_excess(tables, fleet, vm_counts)
    chosen: dict[VMId, Seconds] = {}
    for vm in _list_candidates(tables, fleet, former, now):
        if len(chosen) >= lacking:
            break
        if excess.get(vm.pool_id, 0) > 0:
            excess[vm.pool_id] -= 1
            chosen[vm.id] = former.get(vm.id, now)
    return chosen


def _end_stays(fleet: FleetTables, now: Seconds) -> None:
    for vm_id, until in list(fleet.kept_until_by_vm.items()):
        if until <= now:
            del fleet.kept_until_by_vm[vm_id]
    for vm_id in list(fleet.moved_at_by_vm):
        if not has_just_moved(fleet, vm_id, now):
            del fleet.moved_at_by_vm[vm_id]


def _count_lacking(
    tables: WorkTables, fleet: FleetTables, vm_counts: Mapping[PoolId, int]
) -> int:
    """Return how many VMs the pools lack beyond those on standby."""
    lacking = sum(
        max(count - vm_counts.get(pool_id, 0), 0)
        for pool_id, count in fleet.allotted_by_pool.items()
    )
    standby = sum(
        count for pool_id, count in vm_counts.items() if is_standby(tables, pool_id)
    )
    return lacking - standby


def _count_excess(
    tables: WorkTables, fleet: FleetTables, vm_counts: Mapping[PoolId, int]
) -> dict[PoolId, int]:
    """Return how many of its VMs each pool can spare.

    VMs that don't serve, or not yet, are no replacement for those that do.
    """
    return {
        pool_id: min(vm_counts.get(pool_id, 0), _count_serving(tables, pool_id))
        - max(count, fleet.needs_by_pool[pool_id].timely_vms)
        for pool_id, count in fleet.allotted_by_pool.items()
    }


def _count_serving(tables: WorkTables, pool_id: PoolId) -> int:
    return sum(
        1
        for worker in tables.workers_by_pool.get(pool_id, {}).values()
        if _serves(worker) and worker.quarantine_reason is QuarantineReason.NONE
    )


def _serves(worker: Worker) -> bool:
    return is_in_service(worker) and not worker.leaving


def _list_candidates(
    tables: WorkTables, fleet: FleetTables, former: Mapping[VMId, Seconds], now: Seconds
) -> list[VMEntry]:
    """Return the VMs that could be moved once their present tasks have ended.

    Those that yield already come first, then those that are idle soonest.
    """
    rest_by_vm: dict[VMId, Seconds] = {}
    required_by_pool = _list_required_labels(tables)
    for vm in tables.vms_by_id.values():
        worker = find_vm_worker(tables, vm)
        if worker is None or not _may_yield(tables, fleet, vm, now):
            continue
        if now - former.get(vm.id, now) > MAX_YIELD_SECONDS:
            continue
        if not worker.labels.isdisjoint(required_by_pool.get(vm.pool_id, ())):
            continue
        rest = _measure_rest(worker, now)
        if _can_be_emptied(worker) and rest < MAX_YIELD_SECONDS:
            rest_by_vm[vm.id] = rest
    return sorted(
        (tables.vms_by_id[vm_id] for vm_id in rest_by_vm),
        key=lambda vm: (
            vm.id not in former,
            vm.id in fleet.due,
            rest_by_vm[vm.id],
            vm.id,
        ),
    )


def _list_required_labels(tables: WorkTables) -> dict[PoolId, set[str]]:
    """Return the labels that the waiting steps of each pool require."""
    return {
        pool_id: {
            step.spec.required_label
            for step in steps
            if step.waiting and step.spec.required_label
        }
        for pool_id, steps in tables.ready_by_pool.items()
    }


def _may_yield(
    tables: WorkTables, fleet: FleetTables, vm: VMEntry, now: Seconds
) -> bool:
    if is_standby(tables, vm.pool_id) or vm.id in fleet.due_next:
        return False
    if vm.id in fleet.kept_until_by_vm or has_just_moved(fleet, vm.id, now):
        return False
    return is_available_for_operation(fleet, vm, now)


def has_just_moved(fleet: FleetTables, vm_id: VMId, now: Seconds) -> bool:
    """Return whether a VM has served its pool for less than its stay since a move."""
    moved_at = fleet.moved_at_by_vm.get(vm_id)
    if moved_at is None:
        return False
    return now - moved_at < fleet.move_seconds + MIN_STAY_SECONDS


def _can_be_emptied(worker: Worker) -> bool:
    return _serves(worker) and not worker.long_runs and not worker.kept_cpu_millis


def _measure_rest(worker: Worker, now: Seconds) -> Seconds:
    """Return how long the tasks on a worker are expected to run.

    A task that has outlived its expected duration is taken to last as long again as
    it is over it.
    """
    return max(
        (
            abs(run.task.step.expected - (now - (run.started_at or now)))
            for run in worker.runs.values()
        ),
        default=0.0,
    )


__all__ = ["has_just_moved", "plan_yields"]
