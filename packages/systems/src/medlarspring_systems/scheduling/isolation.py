"""Isolates tasks that may crash their workers from recent starts of other jobs.

When tasks that lost their worker together are started together again, they all get
the same crash counts, and the one that causes the crashes can't be identified.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.crashes import SIMULTANEOUS_SECONDS
from medlarspring_tables.scheduling import SUSPECT_AFTER, RunState

if TYPE_CHECKING:
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import ActiveJob, Run, StepRun, Task, Worker

ISOLATION_WAIT_SECONDS = 2.0
"""Longest wait of a task suspected once for a worker without other recent starts."""
STABLE_VM_WAIT_SECONDS = 2.5
"""Longest wait of a task with several crashes for a stable VM.

While it waits other VMs are idle, and a longer wait would look like a lost task.
"""
EXTENDED_ISOLATION_SECONDS = 4.0
"""Isolation of a task with several crashes, which may crash its worker late."""


def preserves_isolation(task: Task, worker: Worker, now: Seconds) -> bool:
    """Return whether a task can start on a worker without breaking an isolation.

    A suspected task does not start beside a recent start of another job, nor does
    another job's task start beside an isolated run. Otherwise it would not be known
    which of them crashed the worker.
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
    """Return whether the next crash under a task should be attributable.

    A sound task loses several workers on VMs that keep restarting, or beside tasks
    that crash them. Without this rule its job would fail like that of a task that
    causes the crashes.
    """
    return task.crashes.total >= SUSPECT_AFTER


def _would_crash_be_attributable(worker: Worker, job: ActiveJob, now: Seconds) -> bool:
    """Return whether only the job itself could explain a crash of the worker."""
    if measure_unstable_time(worker, now):
        return False
    return not any(
        run.task.step.job is not job and (run.task.is_suspect or _is_recent(run, now))
        for run in worker.runs.values()
    )


def has_suspected_task(step: StepRun) -> bool:
    """Return whether a suspected task of the step is waiting."""
    return step.job.suspected and any(task.is_suspect for task in step.waiting)


def find_isolated_run(worker: Worker, now: Seconds) -> Run | None:
    """Return the suspected run of a worker that still has to be isolated, or None."""
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
    """Return the score of a worker for an isolated run; the lowest is the best.

    It consists of the time for which the VM still counts as unstable and of the
    worker's latest start.
    """
    last_start = max((run.started_at for run in worker.runs.values()), default=0.0)
    return (measure_unstable_time(worker, now), last_start)


def measure_unstable_time(worker: Worker, now: Seconds) -> Seconds:
    """Return for how long a worker's VM still counts as unstable; 0 if it is stable.

    A crash of an unstable VM is not attributed to any task.
    """
    return max(worker.unstable_until - now, 0.0)


def _is_recent(run: Run, now: Seconds) -> bool:
    return (
        run.state is not RunState.RUNNING or now - run.started_at < SIMULTANEOUS_SECONDS
    )


def _may_skip_isolation(task: Task, now: Seconds) -> bool:
    """Return whether a task has waited long enough to start without isolation.

    A task suspected more than once never may, unless it belongs to a gang: a gang
    needs many workers at once and might never find them in a full pool.
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
    "measure_unstable_time",
    "preserves_isolation",
    "rate_for_isolation",
]
