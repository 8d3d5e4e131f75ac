"""How many long-running tasks of a step may be away by this system's doing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.placement import fits, is_allowed, is_open
from medlarspring_systems.scheduling.runs import is_at_work

if TYPE_CHECKING:
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import Run, Task, WorkTables

MIN_OBSERVED_SECONDS = 0.8
"""So long this controller must have seen a task running. A predecessor may have
ordered its stop right before the hand-over; until that is carried out, 0.4 s later at
most, the worker lists the task at work, and another one of its step would be stopped
beside it."""


def is_confirmed_running(task: Task, now: Seconds) -> bool:
    """Tell whether a long-running task serves, by a worker that answers."""
    return any(
        is_at_work(run)
        and now - run.confirmed_at >= MIN_OBSERVED_SECONDS
        and not run.stopping
        and not run.worker.gone
        and not run.worker.unanswered_since
        for run in task.runs
    )


def may_stop_long_run(tables: WorkTables, run: Run, now: Seconds) -> bool:
    """Tell whether a long-running task may be stopped to run elsewhere.

    It may while fewer of its step are away than the step allows, and another
    worker has room for it. Two drains at once would otherwise each count the
    other's task as serving. What is not known counts against the stop: a worker
    that does not answer for a moment still runs what it had.
    """
    step = run.task.step
    others_away = sum(
        1
        for task in step.tasks
        if task is not run.task and not is_confirmed_running(task, now)
    )
    if others_away >= max(step.spec.max_unavailable, 1):
        return False
    workers = tables.workers_by_pool.get(step.job.queue.pool_id, {}).values()
    return any(
        worker is not run.worker
        and is_open(worker, now)
        and fits(step, worker)
        and is_allowed(step, worker, now)
        for worker in workers
    )


__all__ = ["is_confirmed_running", "may_stop_long_run"]
