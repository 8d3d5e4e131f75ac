"""Moves of long-running tasks away from VMs that are due for maintenance.

A task moves to a VM that is not due, and only while its step stays available. Room is
kept free of batch tasks for the tasks that move next, and a pool where no worker could
take them gets another VM.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.availability import (
    count_unavailable,
    is_confirmed_serving,
    may_stop_long_run,
)
from medlarspring_systems.scheduling.fleet import (
    LongRunMove,
    MaintainVM,
    find_vm_worker,
)
from medlarspring_systems.scheduling.move_targets import (
    find_move_targets,
    has_room_for_move,
    has_targets_for_moves,
    keep_room,
)
from medlarspring_systems.scheduling.wave_plan import (
    DueVM,
    StepMoves,
    order_for_moves,
)

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Container, Iterable

    from medlarspring_systems.scheduling.fleet import FleetPlan, FleetTables
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import (
        FleetLimits,
        Run,
        StepRun,
        VMEntry,
        Worker,
        WorkerId,
        WorkTables,
    )

BATCH_SECONDS = 1.0
"""Expected time until the batch tasks on a drained VM have finished."""
STARTUP_SECONDS = 1.2
"""Expected time from the start of a long-running task until it is seen to serve."""
MAX_MOVE_SECONDS = 10.0
"""A move that takes longer does not count for the mean."""
LATEST_WEIGHT = 0.2
"""Weight of the latest move in the mean time of the moves."""


def describe_due_vms(
    tables: WorkTables, fleet: FleetTables, vms: Iterable[VMEntry]
) -> list[DueVM]:
    """Return what runs on the VMs whose maintenance was not ordered yet."""
    return [
        _describe_due_vm(fleet, vm, find_vm_worker(tables, vm))
        for vm in vms
        if not _is_maintenance_sent(fleet, vm)
    ]


def _is_maintenance_sent(fleet: FleetTables, vm: VMEntry) -> bool:
    pending = fleet.pending_by_vm.get(vm.id)
    return pending is not None and isinstance(pending.operation, MaintainVM)


def _describe_due_vm(fleet: FleetTables, vm: VMEntry, worker: Worker | None) -> DueVM:
    if worker is None:
        return DueVM(vm.id)
    return DueVM(
        vm.id,
        tuple(run.task.step for run in _list_runs_to_move(worker)),
        begun=vm.id in fleet.begun,
        batch_seconds=BATCH_SECONDS if worker.runs else 0.0,
    )


def _list_runs_to_move(worker: Worker) -> list[Run]:
    return [
        run
        for run in worker.runs.values()
        if run.task.step.spec.long_running and not run.stopping
    ]


def prepare_moves(
    tables: WorkTables,
    fleet: FleetTables,
    due_vms: Iterable[DueVM],
    kept_before: Container[WorkerId],
    now: Seconds,
) -> dict[StepRun, StepMoves]:
    """Keep room for the tasks that move next; returns how each step's tasks can move.

    Also records the pools in which too few VMs that are not due could take a task.
    """
    tasks_by_step: dict[StepRun, int] = {}
    for vm in order_for_moves(due_vms):
        for step in vm.steps:
            tasks_by_step[step] = tasks_by_step.get(step, 0) + 1
    return {
        step: _prepare_step(tables, fleet, step, tasks, kept_before, now)
        for step, tasks in tasks_by_step.items()
    }


def _prepare_step(
    tables: WorkTables,
    fleet: FleetTables,
    step: StepRun,
    tasks: int,
    kept_before: Container[WorkerId],
    now: Seconds,
) -> StepMoves:
    targets = find_move_targets(tables, step, now)
    leaves_wave = any(not worker.due for worker in targets)
    budget = max(step.spec.max_unavailable, 1)
    next_tasks = min(budget, tasks)
    # A VM takes as long to arrive as a task to move, so it is requested one move ahead.
    is_short = not leaves_wave or not has_targets_for_moves(step, targets, next_tasks)
    if is_short and _may_use_new_vm(step):
        fleet.pools_short_of_targets.add(step.job.queue.pool_id)
    if leaves_wave:
        keep_room(step, targets, next_tasks, kept_before)
    return StepMoves(
        budget=budget,
        unavailable=count_unavailable(step, now),
        has_room=has_room_for_move(step, targets),
        leaves_wave=leaves_wave,
    )


def _may_use_new_vm(step: StepRun) -> bool:
    return not step.spec.required_label and step.job.queue.advice is None


def stop_for_moves(
    tables: WorkTables,
    fleet: FleetTables,
    due_vms: Iterable[DueVM],
    moves_by_step: dict[StepRun, StepMoves],
    ended: Iterable[StepRun],
    now: Seconds,
    plan: FleetPlan,
) -> None:
    """Stop the long-running tasks that may move now, VM by VM.

    The steps in ``ended`` had tasks ended in this pass and wait for the next one.
    """
    blocked = set(ended)
    leaving = {operation.vm_id for operation in plan.operations}
    for due_vm in order_for_moves(due_vms):
        if due_vm.id in leaving:
            continue
        worker = find_vm_worker(tables, tables.vms_by_id[due_vm.id])
        if worker is None or worker.unanswered_since:
            continue
        for run in _list_runs_to_move(worker):
            step = run.task.step
            if step in blocked:
                continue
            # Between two VMs that are both due, tasks would move back and forth.
            leaves_wave = moves_by_step[step].leaves_wave
            if not leaves_wave and due_vm.id not in fleet.drained_for_wave:
                continue
            if not may_stop_long_run(tables, run, now):
                blocked.add(step)
                continue
            _stop(fleet, run, now, plan)


def _stop(fleet: FleetTables, run: Run, now: Seconds, plan: FleetPlan) -> None:
    plan.stops.append((run, "VM is due for maintenance"))
    # The rest of this planning pass must count the task as unavailable.
    run.stopping = True
    plan.changed_pools[run.worker.pool_id] = None
    fleet.begun.add(run.worker.vm_id)
    _begin_move(fleet, run, now)


def _begin_move(fleet: FleetTables, run: Run, now: Seconds) -> None:
    run.task.is_moving = True
    fleet.moves_by_task[run.task.id] = LongRunMove(run.task, run.number, now)


def end_for_maintenance(
    fleet: FleetTables, worker: Worker, ended: Counter[StepRun], now: Seconds
) -> None:
    """Record that the tasks on a worker end with its VM's maintenance."""
    for run in _list_runs_to_move(worker):
        ended[run.task.step] += 1
        _begin_move(fleet, run, now)


def record_finished_moves(fleet: FleetTables, now: Seconds) -> None:
    """Learn from the moves that have finished how long they take."""
    for task_id, move in list(fleet.moves_by_task.items()):
        seconds = now - move.stopped_at
        has_moved = move.task.last_run > move.stopped_run
        if has_moved and is_confirmed_serving(move.task, now):
            mean = fleet.long_run_move_seconds or seconds
            fleet.long_run_move_seconds = mean + LATEST_WEIGHT * (seconds - mean)
        elif seconds <= MAX_MOVE_SECONDS:
            continue
        move.task.is_moving = False
        del fleet.moves_by_task[task_id]


def estimate_move_seconds(fleet: FleetTables, limits: FleetLimits) -> Seconds:
    """Return the time in which a long-running task is available again elsewhere."""
    return fleet.long_run_move_seconds or limits.stop / 2 + STARTUP_SECONDS


__all__ = [
    "describe_due_vms",
    "end_for_maintenance",
    "estimate_move_seconds",
    "prepare_moves",
    "record_finished_moves",
    "stop_for_moves",
]
