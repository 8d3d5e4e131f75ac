"""Isolates tasks that may crash their workers from recent starts of other jobs.

When tasks that lost their worker together are started together again, they all get
the same crash counts, and the one that causes the crashes can't be identified.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.crash_timing import is_at_crash_risk
from medlarspring_systems.scheduling.crashes import MAX_CRASHES, SIMULTANEOUS_SECONDS
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
PROBATION_SECONDS = 0.1
"""Time after a start in which a crash is attributed to it.

While tasks of a pool crash their workers, few jobs have a task on probation on the same
worker. Otherwise each crash would bring many of them under suspicion.
"""
MAX_PROBATION_FRACTION = 0.125
"""Fraction of a worker's CPU that tasks of several jobs on probation may use.

If it were one job at a time, many small jobs would wait beside an idle worker.
"""
STARTS_PER_SURVIVOR = 2
"""Tasks of a suspected step that may be on probation for each that has survived."""
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
    return any(
        _measure_waiting_time(task, now) > LONG_WAIT_SECONDS for task in step.waiting
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
    if not task.step.spec.gang and _exceeds_probation_share(worker, task.step, now):
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
    return _measure_waiting_time(task, now) <= STABLE_VM_WAIT_SECONDS


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
    return _measure_waiting_time(task, now) > longest


def _exceeds_probation_share(worker: Worker, step: StepRun, now: Seconds) -> bool:
    """Return whether too much on a worker at risk would be on probation at once."""
    if not is_at_crash_risk(worker, now):
        return False
    used = sum(
        run.task.step.resources.cpu_millis
        for run in worker.runs.values()
        if run.task.step.job is not step.job and is_on_probation(run)
    )
    if not used:
        return False
    most = MAX_PROBATION_FRACTION * worker.resources.cpu_millis
    return used + len(step.tasks) * step.resources.cpu_millis > most


def is_on_probation(run: Run) -> bool:
    """Return whether a run is not yet known to have survived its start.

    The probation lasts until the worker has answered a call some time after the
    start. A worker that crashed silently never does.
    """
    if run.state is not RunState.RUNNING:
        return True
    return run.worker.answered_at < run.started_at + PROBATION_SECONDS


def needs_probation_poll(worker: Worker, now: Seconds) -> bool:
    """Return whether a poll of the worker should end the probation of its runs."""
    if not is_at_crash_risk(worker, now) or worker.unanswered_since:
        return False
    return any(
        run.state is RunState.RUNNING and is_on_probation(run)
        for run in worker.runs.values()
    )


class SiblingGate:
    """Lets the tasks of a suspected step start one after the other.

    Started together, several tasks of a job that crash their workers would crash as
    many workers at once, and a sound one would be counted as the cause.
    """

    def __init__(self, step: StepRun) -> None:
        self._on_probation = 0
        self._most = 0
        """Most tasks without suspicion on probation at once; 0 for no limit."""
        self._is_open = not step.job.suspected or step.spec.gang
        if self._is_open:
            return
        # A run on a worker that does not answer may stay on probation for long.
        self._on_probation = sum(
            is_on_probation(run) and not run.worker.unanswered_since
            for run in step.job.runs
        )
        if any(task.crashes.alone for task in step.tasks):
            # More for each that has survived, so that a wide step is started soon.
            survivors = sum(_has_survived(task) for task in step.tasks)
            self._most = max(STARTS_PER_SURVIVOR * survivors, 1)

    def holds_back(self, task: Task) -> bool:
        """Return whether a task has to wait for other tasks of its job."""
        if self._is_open:
            return False
        if task.is_suspect:
            return self._on_probation > 0
        return 0 < self._most <= self._on_probation

    def record_start(self) -> None:
        """Record that a task of the step was started."""
        self._on_probation += 1


def _has_survived(task: Task) -> bool:
    """Return whether a task is done or runs beyond its probation."""
    return task.done or any(not is_on_probation(run) for run in task.runs)


def _measure_waiting_time(task: Task, now: Seconds) -> Seconds:
    return now - max(task.waiting_since, task.step.ready_at)


__all__ = [
    "PROBATION_SECONDS",
    "IsolationBudget",
    "SiblingGate",
    "can_be_kept_free",
    "count_most_crashes",
    "find_isolated_run",
    "has_suspected_task",
    "is_on_probation",
    "may_skip_isolation",
    "measure_unstable_time",
    "needs_probation_poll",
    "preserves_isolation",
    "rate_for_isolation",
]
