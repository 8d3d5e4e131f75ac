"""Planning of maintenance waves: the order of VMs, and draining them beforehand.

Idle VMs go first. Busy VMs are drained: they get no new tasks, and their batch tasks
finish within seconds. Long-running tasks are stopped and placed elsewhere, within the
number of tasks that their step allows to be unavailable.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.availability import may_stop_long_run
from medlarspring_systems.scheduling.fleet import (
    MaintainVM,
    find_vm_worker,
    is_available_for_operation,
    is_standby,
)
from medlarspring_tables.scheduling import VMPhase

if TYPE_CHECKING:
    from medlarspring_systems.scheduling.fleet import (
        FleetPlan,
        FleetTables,
        WaveProgress,
    )
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import VMEntry, Worker, WorkTables

EXTRA_DRAINS = 2
"""VMs drained beyond the wave's free slots, so that a freed slot is used at once."""
FORCE_MARGIN_SECONDS = 3.0
"""Time before a wave's deadline from which VMs go down with batch tasks running."""


def plan_maintenance(
    tables: WorkTables,
    fleet: FleetTables,
    now: Seconds,
    plan: FleetPlan,
) -> None:
    """Add the operations and stops that the open waves require to the plan."""
    for wave in fleet.waves_by_id.values():
        if not wave.reported:
            _plan_wave(tables, fleet, wave, now, plan)


def _plan_wave(
    tables: WorkTables,
    fleet: FleetTables,
    wave: WaveProgress,
    now: Seconds,
    plan: FleetPlan,
) -> None:
    if not tables.vms_by_id:
        return
    remaining = [
        tables.vms_by_id[vm_id]
        for vm_id in wave.order.vm_ids
        if vm_id in tables.vms_by_id and vm_id not in wave.done
    ]
    if not remaining:
        wave.complete = True
        plan.to_report.append(wave)
        return
    if not wave.announced:
        plan.to_report.append(wave)
    free_slots = wave.order.max_at_once - _count_vms_down(tables, fleet, wave)
    candidates = [vm for vm in remaining if is_available_for_operation(fleet, vm, now)]
    candidates.sort(key=lambda vm: _measure_disruption(tables, vm))
    forced = now > wave.deadline_at - FORCE_MARGIN_SECONDS
    drains = max(free_slots, 0) + EXTRA_DRAINS
    for vm in candidates:
        worker = find_vm_worker(tables, vm)
        if worker is None or not worker.runs:
            if free_slots > 0 and _may_take_down(tables, vm, worker):
                plan.operations.append(MaintainVM(vm.id, wave.id))
                free_slots -= 1
            continue
        if drains <= 0:
            continue
        drains -= 1
        _drain(tables, fleet, vm, worker, now, plan)
        if forced and free_slots > 0 and not worker.long_runs:
            plan.operations.append(MaintainVM(vm.id, wave.id))
            free_slots -= 1


def _has_other_open_worker(
    tables: WorkTables, fleet: FleetTables, worker: Worker
) -> bool:
    return any(
        each is not worker
        and each.listed
        and not each.draining
        and not each.unanswered_since
        and each.vm_id not in fleet.drained_for_wave
        and each.vm_id not in fleet.pending_by_vm
        for each in tables.workers_by_pool.get(worker.pool_id, {}).values()
    )


def _may_take_down(tables: WorkTables, vm: VMEntry, worker: Worker | None) -> bool:
    """Return whether the pool keeps another VM for its work."""
    if worker is None or is_standby(tables, vm.pool_id):
        return True
    others = [
        each
        for each in tables.workers_by_pool.get(vm.pool_id, {}).values()
        if each is not worker and each.listed and not each.draining
    ]
    return bool(others)


def _count_vms_down(tables: WorkTables, fleet: FleetTables, wave: WaveProgress) -> int:
    """Return how many VMs of the wave are in maintenance or may be."""
    down = 0
    for vm_id in wave.order.vm_ids:
        vm = tables.vms_by_id.get(vm_id)
        pending = fleet.pending_by_vm.get(vm_id)
        is_sent = pending is not None and isinstance(pending.operation, MaintainVM)
        if is_sent or (vm is not None and vm.phase is VMPhase.MAINTENANCE):
            down += 1
    return down


def _measure_disruption(tables: WorkTables, vm: VMEntry) -> tuple[float, ...]:
    """Return a sort key for the cost of taking a VM down; the smallest goes first."""
    worker = find_vm_worker(tables, vm)
    if worker is None:
        return (0.0, 0.0, 0.0)
    busy = worker.resources.cpu_millis - worker.cpu_free
    return (1.0 if worker.runs else 0.0, float(worker.long_runs), float(busy))


def _drain(
    tables: WorkTables,
    fleet: FleetTables,
    vm: VMEntry,
    worker: Worker,
    now: Seconds,
    plan: FleetPlan,
) -> None:
    """Exclude a VM from new tasks and stop its long-running ones for a move.

    The last open VM of a pool is not drained, because its tasks could not be placed
    anywhere else. The pool gets another VM first.
    """
    fleet.due_next.add(vm.id)
    if not _has_other_open_worker(tables, fleet, worker):
        return
    fleet.drained_for_wave.add(vm.id)
    for run in worker.runs.values():
        if not run.task.step.spec.long_running or run.stopping:
            continue
        if may_stop_long_run(tables, run, now):
            plan.stops.append((run, "VM is due for maintenance"))
            # The rest of this planning pass must count the task as unavailable.
            run.stopping = True
            plan.changed_pools[worker.pool_id] = None


__all__ = ["plan_maintenance"]
