"""Keeps tasks that may crash their workers apart from other jobs' fresh starts.

Started side by side again, a task that crashes its workers and the tasks beside it
have the same history, and none can be told from the others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.crashes import SIMULTANEOUS_SECONDS
from medlarspring_tables.scheduling import SUSPECT_AFTER, RunState

if TYPE_CHECKING:
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import ActiveJob, Run, StepRun, Task, Worker

ISOLATION_WAIT_SECONDS = 2.0
"""A task suspected once waits no longer for a worker without other fresh starts."""
STABLE_VM_WAIT_SECONDS = 2.5
"""A task under which several workers crashed waits no longer for a steady VM: beside
idle ones it would seem lost."""
EXTENDED_ISOLATION_SECONDS = 4.0
"""Such a task has its worker to itself for so long: it may crash it late."""


def preserves_isolation(task: Task, worker: Worker, now: Seconds) -> bool:
    """Tell whether a task may start on a worker without hiding who crashes it.

    No suspected task gets beside another job's fresh start, nor the other way round.
    """
    job = task.step.job
    isolated_run = find_isolated_run(worker, now)
    if isolated_run is not None and isolated_run.task.step.job is not job:
        return False
    if not task.is_suspect:
        return True
    if (
        _needs_attributable_crash(task)
        and _measure_waiting_time(task, now) <= STABLE_VM_WAIT_SECONDS
    ):
        return _would_crash_be_attributable(worker, job, now)
    if _may_skip_isolation(task, now):
        return True
    return not any(
        run.task.step.job is not job and _is_recent(run, now)
        for run in worker.runs.values()
    )


def _needs_attributable_crash(task: Task) -> bool:
    """Tell whether one more crash under a task has to prove something.

    On VMs that go up and down, or beside others at fault, a sound task loses one worker
    after the other, and would be given up like one that crashes them.
    """
    return task.crashes.total >= SUSPECT_AFTER


def _would_crash_be_attributable(worker: Worker, job: ActiveJob, now: Seconds) -> bool:
    """Tell whether nothing but the job itself would explain a crash of the worker."""
    if measure_unstable_time(worker, now):
        return False
    return not any(
        run.task.step.job is not job and (run.task.is_suspect or _is_recent(run, now))
        for run in worker.runs.values()
    )


def has_suspected_task(step: StepRun) -> bool:
    """Tell whether a task of a step waits that has to be kept apart."""
    return step.job.suspected and any(task.is_suspect for task in step.waiting)


def find_isolated_run(worker: Worker, now: Seconds) -> Run | None:
    """Return the suspected run of a worker that has not shown yet what it does."""
    isolated_run = worker.isolated_run
    if isolated_run is None or not (
        _is_recent(isolated_run, now) or _is_in_extended_isolation(isolated_run, now)
    ):
        return None
    return isolated_run


def _is_in_extended_isolation(run: Run, now: Seconds) -> bool:
    if not _needs_attributable_crash(run.task):
        return False
    return now - run.started_at < EXTENDED_ISOLATION_SECONDS


def rate_for_isolation(worker: Worker, now: Seconds) -> tuple[Seconds, Seconds]:
    """Rate a worker for the trial of a suspected task; the lowest is the best.

    The rating is how long its VM still counts as unsteady, then its latest start.
    """
    last_start = max((run.started_at for run in worker.runs.values()), default=0.0)
    return (measure_unstable_time(worker, now), last_start)


def measure_unstable_time(worker: Worker, now: Seconds) -> Seconds:
    """Return how long a crash of a worker's VM proves nothing yet; 0 if it does."""
    return max(worker.unstable_until - now, 0.0)


def _is_recent(run: Run, now: Seconds) -> bool:
    return (
        run.state is not RunState.RUNNING or now - run.started_at < SIMULTANEOUS_SECONDS
    )


def _may_skip_isolation(task: Task, now: Seconds) -> bool:
    """Tell whether a task has waited too long for a worker of its own.

    A gang needs many at once, and may never find them in a full pool.
    """
    step = task.step
    if task.crashes.suspected > 1 and not step.spec.gang:
        return False
    return _measure_waiting_time(task, now) > ISOLATION_WAIT_SECONDS


def _measure_waiting_time(task: Task, now: Seconds) -> Seconds:
    return now - max(task.waiting_since, task.step.ready_at)


__all__ = [
    "find_isolated_run",
    "has_suspected_task",
    "preserves_isolation",
    "measure_unstable_time",
    "rate_for_isolation",
]
