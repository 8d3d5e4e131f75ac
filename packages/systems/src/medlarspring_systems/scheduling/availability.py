"""Limits on stopping long-running tasks, so that each step stays available."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.move_targets import (
    find_move_targets,
    has_room_for_move,
)
from medlarspring_systems.scheduling.runs import is_serving

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import Run, StepRun, Task, Worker, WorkTables

MIN_OBSERVED_SECONDS = 0.8
"""How long this controller must have seen a run that it took over to count it.

The previous controller may have ordered its stop right before the takeover. The worker
lists the task as running until it carries out the stop, at most 0.4 s later. Without
this delay, another task of the same step would be stopped at the same time.
"""
OWN_FAILURE_SECONDS = 2.5
"""Time in which a task that failed by itself should serve again.

With the time of a stop it stays below the notice after which any task that is down
counts as unavailable.
"""


def is_confirmed_serving(task: Task, now: Seconds) -> bool:
    """Return whether a long-running task is known to serve on a responsive worker."""
    return any(
        is_serving(run)
        and (not run.taken_over or now - run.confirmed_at >= MIN_OBSERVED_SECONDS)
        and not run.stopping
        and not run.worker.leaving
        and not run.worker.gone
        and not run.worker.unanswered_since
        for run in task.runs
    )


def is_unavailable(task: Task, now: Seconds) -> bool:
    """Return whether a task counts against the number that may be unavailable.

    A task that failed by itself and is starting again does not: the number limits what
    orders of this system take away, and what is missing for long.
    """
    if is_confirmed_serving(task, now):
        return False
    has_failed = task.failed_at > now - OWN_FAILURE_SECONDS
    return not has_failed or any(
        run.stopping or run.worker.leaving or run.worker.unanswered_since
        for run in task.runs
    )


def count_unavailable(
    step: StepRun, now: Seconds, excluded: Collection[Task] = ()
) -> int:
    """Return how many tasks of a step, other than ``excluded``, are unavailable."""
    return sum(
        1 for task in step.tasks if task not in excluded and is_unavailable(task, now)
    )


def may_end_long_runs(
    tables: WorkTables, worker: Worker, ended: Mapping[StepRun, int], now: Seconds
) -> bool:
    """Return whether a VM may go down with the long-running tasks that it still runs.

    Each step must allow that these tasks and those that are away already are
    unavailable together. ``ended`` counts the tasks that are ended in the same pass.
    """
    tasks_by_step: dict[StepRun, set[Task]] = {}
    for run in worker.runs.values():
        if not run.stopping:
            tasks_by_step.setdefault(run.task.step, set()).add(run.task)
    for step, tasks in tasks_by_step.items():
        away = count_unavailable(step, now, tasks) + ended.get(step, 0)
        if away + len(tasks) > max(step.spec.max_unavailable, 1):
            return False
        targets = [
            target
            for target in find_move_targets(tables, step, now)
            if target is not worker and not target.due
        ]
        if not has_room_for_move(step, targets, len(tasks) + ended.get(step, 0)):
            return False
    return True


def may_stop_long_run(tables: WorkTables, run: Run, now: Seconds) -> bool:
    """Return whether a long-running task may be stopped to run elsewhere.

    This requires that fewer other tasks of its step are unavailable than the step
    allows, and that another worker has capacity for it. Without the first condition,
    two concurrent drains would each count the other's task as available. A task whose
    state is unknown counts as unavailable, although a worker that misses a call
    usually still runs its tasks.
    """
    step = run.task.step
    if count_unavailable(step, now, {run.task}) >= max(step.spec.max_unavailable, 1):
        return False
    targets = [
        worker
        for worker in find_move_targets(tables, step, now)
        if worker is not run.worker
    ]
    return has_room_for_move(step, targets)


__all__ = [
    "count_unavailable",
    "is_confirmed_serving",
    "may_end_long_runs",
    "may_stop_long_run",
]
