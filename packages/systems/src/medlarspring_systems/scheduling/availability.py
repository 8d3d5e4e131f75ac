"""Limits on stopping long-running tasks, so that each step stays available."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.placement import fits, is_allowed, is_schedulable
from medlarspring_systems.scheduling.runs import is_serving

if TYPE_CHECKING:
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import Run, Task, WorkTables

MIN_OBSERVED_SECONDS = 0.8
"""How long this controller must have seen a task running to count it as available.

The previous controller may have ordered its stop right before the takeover. The worker
lists the task as running until it carries out the stop, at most 0.4 s later. Without
this delay, another task of the same step would be stopped at the same time.
"""


def is_confirmed_serving(task: Task, now: Seconds) -> bool:
    """Return whether a long-running task is known to serve on a responsive worker."""
    return any(
        is_serving(run)
        and now - run.confirmed_at >= MIN_OBSERVED_SECONDS
        and not run.stopping
        and not run.worker.gone
        and not run.worker.unanswered_since
        for run in task.runs
    )


def may_stop_long_run(tables: WorkTables, run: Run, now: Seconds) -> bool:
    """Return whether a long-running task may be stopped to run elsewhere.

    This requires that fewer other tasks of its step are unavailable than the step
    allows, and that another worker has capacity for it. Without the first condition,
    two concurrent drains would each count the other's task as available. A task whose
    state is unknown counts as unavailable, although a worker that misses a call
    usually still runs its tasks.
    """
    step = run.task.step
    others_away = sum(
        1
        for task in step.tasks
        if task is not run.task and not is_confirmed_serving(task, now)
    )
    if others_away >= max(step.spec.max_unavailable, 1):
        return False
    workers = tables.workers_by_pool.get(step.job.queue.pool_id, {}).values()
    return any(
        worker is not run.worker
        and is_schedulable(worker, now)
        and fits(step, worker)
        and is_allowed(step, worker, now)
        for worker in workers
    )


__all__ = ["is_confirmed_serving", "may_stop_long_run"]
