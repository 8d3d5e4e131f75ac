"""Isolates tasks that may crash their workers from recent starts of other jobs.

When tasks that lost their worker together are started together again, they all get
the same crash counts, and the one that causes the crashes can't be identified.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.crashes import MAX_CRASHES, SIMULTANEOUS_SECONDS
from medlarspring_systems.scheduling.probation import exceeds_probation_share
from medlarspring_tables.scheduling import SUSPECT_AFTER, RunState

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

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
LONG_WAIT_SECONDS = 1.5
"""Waiting time of any task of the pool from which isolations are limited."""
MAX_ISOLATED_FRACTION = 0.25
"""Fraction of a pool that isolations may use while tasks wait for long.

An isolated worker is mostly idle; the others have to keep most of the pool busy.
"""
MAX_LAST_FRACTION = 0.5
"""The same for tasks whose next crash is their last."""


class IsolationBudget:
    """How many workers of a pool isolations may still use in one round.

    Without a limit, tasks that crash their workers can bring so many others under
    suspicion that isolations take the whole pool, and tasks without any suspicion
    wait beside idle processors.
    """

    def __init__(
        self, steps: Iterable[StepRun], workers: Collection[Worker], now: Seconds
    ) -> None:
        limit = last_limit = len(workers)
        if any(_has_waited_for_long(step, now) for step in steps):
            limit = max(math.floor(len(workers) * MAX_ISOLATED_FRACTION), 1)
            last_limit = max(math.floor(len(workers) * MAX_LAST_FRACTION), 1)
        isolated = sum(find_isolated_run(each, now) is not None for each in workers)
        self._left = limit - isolated
        self._left_for_last = last_limit - isolated

    def allows(self, task: Task) -> bool:
        """Return whether a worker may be isolated or kept free for a task."""
        left = self._left_for_last if _has_last_chance(task) else self._left
        return left > 0

    def use(self) -> None:
        """Count one more worker that is isolated or kept free."""
        self._left -= 1
        self._left_for_last -= 1


def _has_last_chance(task: Task) -> bool:
    return task.crashes.total >= MAX_CRASHES - 1 and not task.step.spec.gang


def _has_waited_for_long(step: StepRun, now: Seconds) -> bool:
    """Return whether a task of a step has waited too long beside isolated workers."""
    if now - step.ready_at <= LONG_WAIT_SECONDS:
        return False
    return any(
        measure_waiting_time(task, now) > LONG_WAIT_SECONDS for task in step.waiting
    )


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
    if not task.step.spec.gang and exceeds_probation_share(worker, task.step, now):
        return False
    if not task.is_suspect:
        return True
    if _needs_stable_vm(task, now):
        return _would_crash_be_attributable(worker, job, now)
    if may_skip_isolation(task, now):
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


def _needs_stable_vm(task: Task, now: Seconds) -> bool:
    """Return whether a task still waits for a stable VM without other suspects."""
    if not _needs_attributable_crash(task):
        return False
    return measure_waiting_time(task, now) <= STABLE_VM_WAIT_SECONDS


def _would_crash_be_attributable(worker: Worker, job: ActiveJob, now: Seconds) -> bool:
    """Return whether only the job itself could explain a crash of the worker."""
    if measure_unstable_time(worker, now):
        return False
    return not any(
        run.task.step.job is not job and (run.task.is_suspect or _is_recent(run, now))
        for run in worker.runs.values()
    )


def count_most_crashes(step: StepRun) -> int:
    """Return the most crashes of a waiting suspected task of a step; 0 for none."""
    if not step.job.suspected:
        return 0
    return max(
        (task.crashes.total for task in step.waiting if task.is_suspect), default=0
    )


def has_suspected_task(step: StepRun) -> bool:
    """Return whether a suspected task of the step is waiting."""
    return step.job.suspected and any(task.is_suspect for task in step.waiting)


def can_be_kept_free(task: Task, worker: Worker, now: Seconds) -> bool:
    """Return whether a suspected task could start on a worker if it is kept free."""
    if find_isolated_run(worker, now) is not None:
        return False
    if not _needs_stable_vm(task, now):
        return True
    return not measure_unstable_time(worker, now)


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


def may_skip_isolation(task: Task, now: Seconds) -> bool:
    """Return whether a task has waited long enough to start without isolation.

    A task whose next crash would be its last never may, unless it belongs to a gang:
    a gang needs many workers at once and might never find them in a full pool.
    """
    if _has_last_chance(task):
        return False
    longest = ISOLATION_WAIT_SECONDS
    if task.crashes.suspected > 1 or _needs_attributable_crash(task):
        longest = STABLE_VM_WAIT_SECONDS
    return measure_waiting_time(task, now) > longest


def measure_waiting_time(task: Task, now: Seconds) -> Seconds:
    """Return how long a task has waited for a start since it was ready."""
    return now - max(task.waiting_since, task.step.ready_at)


__all__ = [
    "IsolationBudget",
    "can_be_kept_free",
    "count_most_crashes",
    "find_isolated_run",
    "has_suspected_task",
    "may_skip_isolation",
    "measure_unstable_time",
    "measure_waiting_time",
    "preserves_isolation",
    "rate_for_isolation",
]
