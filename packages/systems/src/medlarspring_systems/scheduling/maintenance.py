"""Planning of maintenance waves: which VMs go down now, and which are drained.

Idle VMs go first. Busy VMs are drained: they get no new tasks, and their batch tasks
finish within seconds. Long-running tasks move to VMs that are not due, from the
beginning of the wave on, within the number of tasks that their step allows to be
unavailable. A VM takes batch tasks until its long-running ones are nearly gone.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from itertools import chain
from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.availability import may_end_long_runs
from medlarspring_systems.scheduling.fleet import (
    LIST_MARGIN_SECONDS,
    MaintainVM,
    find_vm_worker,
    is_available_for_operation,
    is_standby,
    run_unguarded,
)
from medlarspring_systems.scheduling.long_run_moves import (
    describe_due_vms,
    end_for_maintenance,
    estimate_move_seconds,
    prepare_moves,
    record_finished_moves,
    stop_for_moves,
)
from medlarspring_systems.scheduling.move_targets import release_room
from medlarspring_systems.scheduling.vm_removal import is_removed, record_absences
from medlarspring_systems.scheduling.wave_plan import WaveSlots, forecast_wave
from medlarspring_tables.scheduling import VMPhase

if TYPE_CHECKING:
    from medlarspring_systems.scheduling.fleet import (
        Attempt,
        FleetPlan,
        FleetTables,
        WaveProgress,
    )
    from medlarspring_systems.scheduling.wave_plan import DueVM, StepMoves
    from medlarspring_tables import Seconds, WaveId
    from medlarspring_tables.scheduling import (
        FleetLimits,
        StepRun,
        VMEntry,
        Worker,
        WorkTables,
    )

EXTRA_DRAINS = 2
"""VMs drained beyond the wave's free slots, so that a freed slot is used at once."""
FORCE_MARGIN_SECONDS = 3.0
"""Time before a wave's deadline from which VMs go down with batch tasks running."""
DRAIN_LEAD_SECONDS = 3.0
"""Time before a VM can go down from which it gets no new tasks."""
FORECAST_SECONDS = 1.0
"""Time for which a forecast must differ from the announced one to be announced."""


def plan_maintenance(
    tables: WorkTables,
    fleet: FleetTables,
    limits: FleetLimits,
    now: Seconds,
    plan: FleetPlan,
    attempt: Attempt = run_unguarded,
) -> None:
    """Add the operations and stops that the open waves require to the plan.

    The part of each wave is run by ``attempt``.
    """
    kept_before = release_room(tables.workers_by_id.values())
    fleet.pools_short_of_targets.clear()
    record_finished_moves(fleet, now)
    remaining_by_wave = _list_remaining(tables, fleet, plan)
    _mark_due(tables, fleet)
    due_by_wave = {
        wave_id: describe_due_vms(tables, fleet, vms)
        for wave_id, vms in remaining_by_wave.items()
    }
    due_vms = [vm for each in due_by_wave.values() for vm in each]
    moves_by_step = prepare_moves(tables, fleet, due_vms, kept_before, now)
    ended: Counter[StepRun] = Counter()

    def plan_wave(wave_id: WaveId, remaining: list[VMEntry]) -> None:
        wave = fleet.waves_by_id[wave_id]
        vms_down = _count_vms_down(tables, fleet, wave)
        _forecast(
            fleet, limits, wave, due_by_wave[wave_id], moves_by_step, vms_down, now
        )
        _record_forecast(wave, now, plan)
        _take_down(tables, fleet, wave, remaining, vms_down, ended, now, plan)

    for wave_id, remaining in remaining_by_wave.items():
        attempt(plan_wave, wave_id, remaining)
    stop_for_moves(tables, fleet, due_vms, moves_by_step, ended, now, plan)


def _list_remaining(
    tables: WorkTables, fleet: FleetTables, plan: FleetPlan
) -> dict[WaveId, list[VMEntry]]:
    """Return the VMs that each open wave still has to maintain, as far as listed.

    A wave is complete once its other VMs were certainly removed.
    """
    remaining_by_wave: dict[WaveId, list[VMEntry]] = {}
    if not tables.vms_by_id:
        return remaining_by_wave
    open_ids_by_wave = {
        wave.id: [vm_id for vm_id in wave.order.vm_ids if vm_id not in wave.done]
        for wave in fleet.waves_by_id.values()
        if not wave.reported
    }
    record_absences(tables, fleet, chain.from_iterable(open_ids_by_wave.values()))
    for wave_id, open_ids in open_ids_by_wave.items():
        wave = fleet.waves_by_id[wave_id]
        wave.complete = all(is_removed(fleet, vm_id) for vm_id in open_ids)
        remaining = [
            tables.vms_by_id[vm_id] for vm_id in open_ids if vm_id in tables.vms_by_id
        ]
        if wave.complete or not wave.announced:
            plan.to_report.append(wave)
        if remaining:
            remaining_by_wave[wave.id] = remaining
    return remaining_by_wave


def _mark_due(tables: WorkTables, fleet: FleetTables) -> None:
    fleet.due = {
        vm_id
        for wave in fleet.waves_by_id.values()
        if not wave.complete
        for vm_id in wave.order.vm_ids
        if vm_id not in wave.done
    }
    fleet.begun &= fleet.due
    for worker in tables.workers_by_id.values():
        worker.due = worker.vm_id in fleet.due


def _forecast(
    fleet: FleetTables,
    limits: FleetLimits,
    wave: WaveProgress,
    due_vms: list[DueVM],
    moves_by_step: dict[StepRun, StepMoves],
    vms_down: int,
    now: Seconds,
) -> None:
    wave.forecast = forecast_wave(
        due_vms,
        moves_by_step,
        WaveSlots(
            free=wave.order.max_at_once - vms_down,
            used=vms_down,
            maintenance_seconds=limits.maintenance + LIST_MARGIN_SECONDS,
        ),
        move_seconds=estimate_move_seconds(fleet, limits),
        remaining_seconds=wave.deadline_at - now,
    )


def _record_forecast(wave: WaveProgress, now: Seconds, plan: FleetPlan) -> None:
    """Announce that a wave will be late, or on time again, once that is stable."""
    if bool(wave.forecast.late) == wave.is_late:
        wave.differs_since = 0.0
        return
    wave.differs_since = wave.differs_since or now
    if now - wave.differs_since >= FORECAST_SECONDS:
        wave.is_late = not wave.is_late
        wave.differs_since = 0.0
        plan.changed_forecasts.append(wave)


def _take_down(
    tables: WorkTables,
    fleet: FleetTables,
    wave: WaveProgress,
    remaining: list[VMEntry],
    vms_down: int,
    ended: Counter[StepRun],
    now: Seconds,
    plan: FleetPlan,
) -> None:
    """Take idle VMs down and drain busy ones, the least disruptive first.

    The last open VM of a pool is not drained, because its tasks could not be placed
    anywhere else. The pool gets another VM first.
    """
    taken = {operation.vm_id for operation in plan.operations}
    candidates = [
        vm
        for vm in remaining
        if vm.id not in taken and is_available_for_operation(fleet, vm, now)
    ]
    candidates.sort(key=lambda vm: _measure_disruption(tables, vm))
    forced = now > wave.deadline_at - FORCE_MARGIN_SECONDS
    free_slots = wave.order.max_at_once - vms_down
    most_drains = max(free_slots, 0) + EXTRA_DRAINS
    turns = _DrainTurns(most_drains, most_drains)
    for vm in candidates:
        worker = find_vm_worker(tables, vm)
        if worker is None or not worker.runs:
            if free_slots > 0 and _may_take_down(tables, vm, worker):
                plan.operations.append(MaintainVM(vm.id, wave.id))
                free_slots -= 1
            continue
        if free_slots > 0 and _may_end_runs(tables, vm, worker, ended, now):
            end_for_maintenance(fleet, worker, ended, now)
            plan.operations.append(MaintainVM(vm.id, wave.id))
            free_slots -= 1
            continue
        if wave.forecast.ready_in[vm.id] > DRAIN_LEAD_SECONDS:
            continue
        can_be_drained = _has_other_open_worker(tables, fleet, worker)
        if not worker.long_runs and not turns.take(can_be_drained=can_be_drained):
            continue
        fleet.due_next.add(vm.id)
        if can_be_drained:
            fleet.drained_for_wave.add(vm.id)
        if forced and free_slots > 0 and not worker.long_runs:
            plan.operations.append(MaintainVM(vm.id, wave.id))
            free_slots -= 1


@dataclass(slots=True)
class _DrainTurns:
    """How many more VMs with batch runs one pass may drain, or have replaced first."""

    drains: int
    replacements: int

    def take(self, *, can_be_drained: bool) -> bool:
        """Return whether a VM has a turn left, and take it.

        A VM that has to be replaced first takes no turn of those that can be drained.
        """
        if can_be_drained:
            self.drains -= 1
            return self.drains >= 0
        self.replacements -= 1
        return self.replacements >= 0


def _may_end_runs(
    tables: WorkTables,
    vm: VMEntry,
    worker: Worker,
    ended: Counter[StepRun],
    now: Seconds,
) -> bool:
    """Return whether a VM may go down with its last long-running tasks.

    It saves the time in which they would be stopped first.
    """
    if worker.batch_runs or worker.unanswered_since:
        return False
    return _may_take_down(tables, vm, worker) and may_end_long_runs(
        tables, worker, ended, now
    )


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


__all__ = ["plan_maintenance"]
