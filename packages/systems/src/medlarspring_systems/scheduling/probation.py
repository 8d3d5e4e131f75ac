"""Staggers starts where tasks crash their workers, so that each crash has one cause.

A task that crashes its worker mostly does so right after its start. A start is on
probation until its worker is known to have survived it. Meanwhile little else starts
on that worker, and little else of a job of which a task has crashed a worker.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.crash_timing import is_at_crash_risk
from medlarspring_tables.scheduling import RunState

if TYPE_CHECKING:
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import Run, StepRun, Task, Worker

PROBATION_SECONDS = 0.1
"""Time after a start from which an answer of its worker ends the probation."""
MAX_PROBATION_FRACTION = 0.125
"""Fraction of a worker's CPU that tasks of several jobs on probation may use.

If it were one job at a time, many small jobs would wait beside an idle worker.
"""
STARTS_PER_SURVIVOR = 2
"""Tasks of a suspected step that may be on probation for each that has survived."""


def exceeds_probation_share(worker: Worker, step: StepRun, now: Seconds) -> bool:
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


__all__ = [
    "PROBATION_SECONDS",
    "SiblingGate",
    "exceeds_probation_share",
    "is_on_probation",
    "needs_probation_poll",
]
