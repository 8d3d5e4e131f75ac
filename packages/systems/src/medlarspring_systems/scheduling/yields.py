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

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from medlarspring_systems.scheduling.fleet import FleetTables
    from medlarspring_tables import PoolId, Seconds
    from medlarspring_tables.scheduling import VMEntry, Worker, WorkTables

MAX_YIELD_SECONDS = 2.5
"""A VM that was not moved after yielding for this long serves its pool again.

Otherwise the pool's tasks would wait beside idle VMs while none can be moved.
"""
MIN_STAY_SECONDS = 4.0
"""Time for which a VM serves its pool, after a move or a yield, before it yields.

A move and its way back take 3 s, in which the VM serves nobody.
"""


def plan_yields(
    tables: WorkTables,
    fleet: FleetTables,
    allotted: Mapping[PoolId, int],
    vm_counts: Mapping[PoolId, int],
    now: Seconds,
) -> None:
    """Update the VMs that yield, from the number of VMs allotted to each pool.

    As many VMs yield as the other pools lack. A pool keeps its part, and also those
    that its own work needs that can still be on time: a VM serves nobody while it is
    emptied and moved.
    """
    _end_overdue_yields(fleet, now)
    lacking = sum(
        max(count - vm_counts.get(pool_id, 0), 0) for pool_id, count in allotted.items()
    )
    lacking -= sum(
        count for pool_id, count in vm_counts.items() if is_standby(tables, pool_id)
    )
    since_by_vm = fleet.yielding_since_by_vm
    chosen = {}
    excess = {
        pool_id: vm_counts.get(pool_id, 0)
        - max(count, fleet.needs_by_pool[pool_id].timely_vms)
        for pool_id, count in allotted.items()
    }
    for vm in sorted(
        _list_candidates(tables, fleet, now),
        key=lambda vm: (
            vm.id not in since_by_vm,
            _measure_rest(tables, vm, now),
            vm.id,
        ),
    ):
        if lacking <= 0:
            break
        if excess.get(vm.pool_id, 0) <= 0:
            continue
        excess[vm.pool_id] -= 1
        lacking -= 1
        chosen[vm.id] = since_by_vm.get(vm.id, now)
    fleet.yielding_since_by_vm = chosen


def _end_overdue_yields(fleet: FleetTables, now: Seconds) -> None:
    for vm_id, since in list(fleet.yielding_since_by_vm.items()):
        if now - since > MAX_YIELD_SECONDS:
            del fleet.yielding_since_by_vm[vm_id]
            fleet.kept_until_by_vm[vm_id] = now + MIN_STAY_SECONDS
    for vm_id, until in list(fleet.kept_until_by_vm.items()):
        if until <= now:
            del fleet.kept_until_by_vm[vm_id]


def _list_candidates(
    tables: WorkTables, fleet: FleetTables, now: Seconds
) -> Iterator[VMEntry]:
    """Yield the VMs that could be moved once their present tasks have ended."""
    for vm in tables.vms_by_id.values():
        if is_standby(tables, vm.pool_id) or vm.id in fleet.due_next:
            continue
        if not is_available_for_operation(fleet, vm, now):
            continue
        if vm.id in fleet.kept_until_by_vm or _is_new(fleet, vm, now):
            continue
        worker = find_vm_worker(tables, vm)
        if worker is not None and _can_empty_soon(worker, now):
            yield vm


def _is_new(fleet: FleetTables, vm: VMEntry, now: Seconds) -> bool:
    moved_at = fleet.moved_at_by_vm.get(vm.id)
    return moved_at is not None and now - moved_at < MIN_STAY_SECONDS


def _can_empty_soon(worker: Worker, now: Seconds) -> bool:
    if worker.long_runs or worker.unanswered_since or worker.draining:
        return False
    return _find_latest_end(worker, now) - now < MAX_YIELD_SECONDS


def _measure_rest(tables: WorkTables, vm: VMEntry, now: Seconds) -> Seconds:
    """Return how long the tasks on a VM are expected to run."""
    worker = find_vm_worker(tables, vm)
    return 0.0 if worker is None else _find_latest_end(worker, now) - now


def _find_latest_end(worker: Worker, now: Seconds) -> Seconds:
    return max(
        (
            (run.started_at or now) + run.task.step.expected
            for run in worker.runs.values()
        ),
        default=now,
    )


__all__ = ["plan_yields"]
