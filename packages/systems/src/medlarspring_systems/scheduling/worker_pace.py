"""How fast runs progress, and whether their workers are the cause if they are slow.

A task may be long by nature: a few in a hundred take seven times as long as their
siblings wherever they run. A slow worker delays everything that it runs. So a worker
counts as slow only on the evidence of several runs, and not while one of them keeps
the usual pace or after a later one did.
"""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median
from typing import TYPE_CHECKING

from medlarspring_tables.scheduling import ProgressMark, RunState

if TYPE_CHECKING:
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import Run, Worker

RUNNING = RunState.RUNNING
"""Bound once, as Python 3.11 takes longer to find a member than to compare it."""
SLOW_RATIO = 1.5
"""A worker is slow if its tasks take this many times as long as their siblings."""
SLOW_BY_SIBLINGS = 2.0
"""A run is slow if it takes this many times as long as its step's ended runs."""
SLOW_BY_ESTIMATE = 3.0
"""A run is slow if it takes this many times its estimate, without ended siblings.

Estimates may be off by a factor of 2.5 in either direction.
"""
MIN_SLOW_RUNS = 3
"""Slow runs without one at the usual pace that prove their worker slow."""
MIN_OBSERVED_SECONDS = 1.5
"""Time for which a run's progress is observed before it is believed."""
MARK_SECONDS = 2.0
"""Shortest distance of two marks, so that a pace follows a change of its worker's."""
MARK_PERCENT = 3
"""Least progress between two marks; long tasks advance rarely."""
REPORT_SECONDS = 0.5
"""Age that a reported percentage may have, as progress is reported twice a second."""
SAMPLE_WEIGHT = 0.25
"""Weight of one ended run in its worker's slowness."""
MAX_SAMPLE_RATIO = 4.0
"""Bound on what one ended run counts, so that a single one proves nothing."""
MIN_JOBS = 2
"""Jobs of the slow runs, unless these are compared with their own siblings.

One job's estimates may all be wrong by the same factor.
"""
MIN_SIBLINGS = 2
"""Ended runs of a step from which its mean duration is a measure for others."""
COMPLETE_PERCENT = 100


@dataclass(frozen=True, slots=True)
class Projection:
    """When a run is expected to end if it goes on as before."""

    run: Run
    total: Seconds
    """Duration of all of its task's work at this pace."""
    ends_at: Seconds
    expected: Seconds
    """Expected duration of the task on a sound worker."""
    slow: bool
    """Whether it takes far longer than expected, for whatever reason."""
    by_siblings: bool
    """Whether ``expected`` is the mean of ended siblings, not an estimate."""

    @property
    def ratio(self) -> float:
        """How many times as long as expected the task takes."""
        return self.total / self.expected


def observe_progress(run: Run, percent: int, now: Seconds) -> None:
    """Mark the progress that a listing reports, from which the pace is measured.

    Two marks are kept: the pace since the older one covers enough time whenever it is
    asked for, and leaves out what lies further back.
    """
    marks = run.marks
    if marks:
        latest = marks[-1]
        if now - latest.at < MARK_SECONDS or percent - latest.percent < MARK_PERCENT:
            return
    run.marks = (*marks[-1:], ProgressMark(percent, now))


def project_run(run: Run, now: Seconds) -> Projection | None:
    """Return the projected end of a run, or None if too little is known of it.

    The pace is the fastest that the reports allow, since a percentage is rounded down
    and may be old. Observation ends with the worker's last report.
    """
    if run.state is not RUNNING or run.stopping or not is_comparable(run):
        return None
    if not run.marks:
        return None
    mark = run.marks[0]
    seen_at = min(run.worker.reported_at, now)
    observed = seen_at - mark.at
    gained = run.percent - mark.percent
    if observed < MIN_OBSERVED_SECONDS or gained <= 0:
        return None
    seconds_per_percent = (observed - REPORT_SECONDS) / (gained + 1)
    total = COMPLETE_PERCENT * seconds_per_percent
    remaining = (COMPLETE_PERCENT - run.percent) * seconds_per_percent
    expected, by_siblings = _find_expected(run)
    return Projection(
        run=run,
        total=total,
        ends_at=seen_at + remaining,
        expected=expected,
        slow=_is_slow(total, expected, by_siblings=by_siblings),
        by_siblings=by_siblings,
    )


def is_comparable(run: Run) -> bool:
    """Return whether a run's pace can be compared with its siblings' at all.

    Gangs wait for each other, best-effort runs get what is left, and tasks away from
    their data take longer on sound workers too.
    """
    step = run.task.step
    spec = step.spec
    if spec.long_running or spec.gang or spec.uses_leftover:
        return False
    if run.pace_percent < COMPLETE_PERCENT:
        return False
    rack = step.rack_id if spec.same_rack else spec.data_rack
    return not rack or run.worker.rack_id == rack


def project_slow_runs(worker: Worker, now: Seconds) -> list[Projection]:
    """Return the projections of a worker's runs; empty if one keeps the usual pace.

    That one shows that the worker isn't the cause, and most workers are left after a
    look at one run.
    """
    if worker.batch_runs < MIN_SLOW_RUNS and worker.slowness < SLOW_RATIO:
        return []
    projections = []
    for run in worker.runs.values():
        projection = project_run(run, now)
        if projection is None:
            continue
        if not projection.slow:
            return []
        projections.append(projection)
    return projections


def measure_slowness(worker: Worker, projections: list[Projection]) -> float:
    """Return how many times as long as usual a worker's runs take; 1.0 if not slow.

    ``projections`` are those of ``project_slow_runs``.
    """
    # Runs of long tasks stay behind when all others have ended. They prove nothing
    # if a run ended at the usual pace after they had started.
    fresh = [
        each for each in projections if each.run.confirmed_at > worker.usual_pace_at
    ]
    if len(fresh) >= MIN_SLOW_RUNS and _are_independent(fresh):
        return median(each.ratio for each in fresh)
    return worker.slowness if worker.slowness >= SLOW_RATIO else 1.0


def _are_independent(projections: list[Projection]) -> bool:
    """Return whether a wrong estimate of one job can't explain all projections."""
    if all(each.by_siblings for each in projections):
        return True
    return len({each.run.task.step.job.id for each in projections}) >= MIN_JOBS


def record_slowness(worker: Worker, ratio: float) -> None:
    """Record that a worker was proven slow by its present runs."""
    worker.slowness = max(worker.slowness, min(ratio, MAX_SAMPLE_RATIO))


def record_pace(run: Run, duration: Seconds, now: Seconds) -> None:
    """Update a worker's slowness with a run that it completed.

    Call it before the duration counts for the step's mean.
    """
    if not is_comparable(run):
        return
    worker = run.worker
    expected, by_siblings = _find_expected(run)
    if not _is_slow(duration, expected, by_siblings=by_siblings):
        worker.usual_pace_at = now
    if by_siblings:
        sample = min(max(duration / expected, 1.0), MAX_SAMPLE_RATIO)
        former = worker.slowness ** (1.0 - SAMPLE_WEIGHT)
        worker.slowness = former * sample**SAMPLE_WEIGHT


def _is_slow(duration: Seconds, expected: Seconds, *, by_siblings: bool) -> bool:
    ratio = SLOW_BY_SIBLINGS if by_siblings else SLOW_BY_ESTIMATE
    return duration >= ratio * expected


def _find_expected(run: Run) -> tuple[Seconds, bool]:
    """Return a run's expected duration, and whether ended siblings tell it."""
    step = run.task.step
    if step.ended_runs >= MIN_SIBLINGS:
        return step.mean_duration_ms / 1_000.0, True
    return step.expected, False


__all__ = [
    "COMPLETE_PERCENT",
    "SLOW_RATIO",
    "Projection",
    "is_comparable",
    "measure_slowness",
    "observe_progress",
    "project_run",
    "project_slow_runs",
    "record_pace",
    "record_slowness",
]
