"""Throttling of best-effort tasks that slow down latency-sensitive tasks.

A latency-sensitive task has a target for its tail latency. Best-effort tasks use the
leftover CPU of its worker and affect its latency by amounts that vary and change within
seconds, so nothing is computed in advance. Instead, the pace of best-effort tasks is
halved while the target is missed, and raised in small steps while the latency is well
below it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_tables.scheduling import RunState

if TYPE_CHECKING:
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import Run, Worker, WorkTables

LOWER_INTERVAL_SECONDS = 0.7
"""Minimum time between two reductions; the measured latency covers the last 0.5 s."""
RAISE_INTERVAL_SECONDS = 1.5
"""Minimum time between two increases; one that is too large causes a second above the
target."""
LOWER_FACTOR = 0.5
RAISE_PERCENT_POINTS = 15
STOP_BELOW_PERCENT = 15
"""A pace below this becomes 0. Four reductions fit into the platform's time limit for a
missed target."""
RAISE_BELOW_RATIO = 0.8
"""The pace is raised while the tail latency is below this fraction of the target."""
FULL_PERCENT = 100
RESTORED_PACE_PERCENT = 25
"""Pace assumed for a restored best-effort run, which the previous controller may have
throttled."""


def plan_paces(tables: WorkTables, now: Seconds) -> list[tuple[Run, int]]:
    """Return the runs whose pace changes, with the new pace in percent."""
    changes: list[tuple[Run, int]] = []
    for worker in tables.workers_by_id.values():
        if worker.long_runs and not worker.unanswered_since:
            changes += _plan_worker(worker, now)
    return changes


def _plan_worker(worker: Worker, now: Seconds) -> list[tuple[Run, int]]:
    best_effort_runs = [
        run
        for run in worker.runs.values()
        if run.task.step.spec.uses_leftover and run.state is RunState.RUNNING
    ]
    if not best_effort_runs:
        return []
    latency_ratio = _find_worst_latency_ratio(worker)
    changes = []
    for run in best_effort_runs:
        percent = _choose_pace(run, latency_ratio, now)
        if percent != run.pace_percent:
            run.pace_percent = percent
            run.paced_at = now
            changes.append((run, percent))
    return changes


def _find_worst_latency_ratio(worker: Worker) -> float:
    """Return the highest ratio of tail latency to its target; 0 without targets."""
    ratios = [
        run.gauge / run.task.step.spec.latency_target_ms
        for run in worker.runs.values()
        if run.task.step.spec.latency_target_ms and run.state is RunState.RUNNING
    ]
    return max(ratios, default=0.0)


def _choose_pace(run: Run, latency_ratio: float, now: Seconds) -> int:
    elapsed = now - run.paced_at
    if latency_ratio > 1.0 and elapsed >= LOWER_INTERVAL_SECONDS:
        lowered = int(run.pace_percent * LOWER_FACTOR)
        return lowered if lowered >= STOP_BELOW_PERCENT else 0
    if latency_ratio < RAISE_BELOW_RATIO and elapsed >= RAISE_INTERVAL_SECONDS:
        return min(run.pace_percent + RAISE_PERCENT_POINTS, FULL_PERCENT)
    return run.pace_percent


__all__ = ["RESTORED_PACE_PERCENT", "plan_paces"]
