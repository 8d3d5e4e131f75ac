"""Plans how to handle runs that make no progress.

Stops stalled runs and quarantines their workers, starts copies of tasks whose worker
is unresponsive or slow, moves tasks with a checkpoint off slow workers, evicts
long-running tasks from draining workers and preempts batch runs for long-running tasks.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.estimates import estimate_seconds
from medlarspring_systems.scheduling.pacing import plan_paces
from medlarspring_systems.scheduling.placement import (
    choose_worker,
    list_schedulable_workers,
)
from medlarspring_systems.scheduling.quarantine import (
    end_proven_quarantine,
    quarantine_worker,
)
from medlarspring_systems.scheduling.quotas import fits_quota
from medlarspring_systems.scheduling.rounds import find_preemptible
from medlarspring_systems.scheduling.runs import intend_run
from medlarspring_systems.scheduling.stragglers import (
    SLOW_WORKER_REASON,
    StragglerAction,
    find_stragglers,
)
from medlarspring_systems.scheduling.waiting import measure_wait
from medlarspring_tables.scheduling import QuarantineReason, RunState

if TYPE_CHECKING:
    from medlarspring_systems.scheduling.stragglers import Straggler
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import Run, StepRun, Task, Worker, WorkTables

RUNNING = RunState.RUNNING
"""Bound once, as Python 3.11 takes longer to find a member than to compare it."""
STALL_SECONDS = 1.2
"""A run without progress for longer than this may be stalled."""
STALL_FRACTION = 0.4
"""Fraction of a task's expected duration that it may be without progress.

It applies to long tasks, which report each percent of progress less often.
"""
SINGLE_STALL_FACTOR = 2.5
"""A single stalled run on a worker is stopped after this many times the usual time."""
COPY_AFTER_SECONDS = 0.5
"""A speculative task gets a copy if its worker is unresponsive for this long."""
STRAGGLER_CHECK_SECONDS = 0.5
"""Interval of looking for runs on slow workers, whose progress is reported as often."""
PREEMPT_AFTER_SECONDS = 0.5
"""Time that a long-running task waits for resources before batch runs are stopped."""
FULL_PACE_PERCENT = 100


@dataclass(slots=True)
class Repairs:
    """Actions decided in one pass."""

    stops: list[tuple[Run, str]] = field(default_factory=list)
    """Runs to stop, with the reason."""
    copies: list[Run] = field(default_factory=list)
    stragglers: list[Straggler] = field(default_factory=list)
    """Runs on slow workers that are among the stops, or whose copy is among the copies.
    """
    quarantined: list[Worker] = field(default_factory=list)
    paces: list[tuple[Run, int]] = field(default_factory=list)


def plan_repairs(tables: WorkTables, now: Seconds) -> Repairs:
    """Return the runs to stop, to copy and to throttle, and the quarantined workers."""
    repairs = Repairs()
    for worker in tables.workers_by_id.values():
        _plan_stall_stops(tables, worker, now, repairs)
        end_proven_quarantine(worker, now)
    _evict_from_draining(tables, now, repairs)
    _copy_from_unresponsive(tables, now, repairs)
    _relieve_slow_workers(tables, now, repairs)
    _preempt_batch_runs(tables, now, repairs)
    repairs.paces = plan_paces(tables, now)
    return repairs


def _plan_stall_stops(
    tables: WorkTables, worker: Worker, now: Seconds, repairs: Repairs
) -> None:
    """Stop the stalled runs of a worker; quarantine it if there are several.

    A worker may keep answering while its runs make no progress. A single run may
    stall by itself, but two at once indicate a fault of the worker.
    """
    if now < worker.stall_due_at or worker.unanswered_since or worker.draining:
        return
    worker.stall_due_at = _find_stall_due(worker, now)
    stalled = [
        run for run in worker.runs.values() if _measure_stall(tables, run, now) > 1.0
    ]
    if not stalled:
        return
    several = len(stalled) > 1
    for run in stalled:
        if several or _measure_stall(tables, run, now) > SINGLE_STALL_FACTOR:
            repairs.stops.append((run, "no progress"))
    if several and quarantine_worker(worker, QuarantineReason.STALLED, now):
        repairs.quarantined.append(worker)


def _find_stall_due(worker: Worker, now: Seconds) -> Seconds:
    """Return the first time at which one of a worker's runs can count as stalled.

    A run that is confirmed later, or advances, makes no earlier time possible.
    """
    oldest = min(
        (
            run.advanced_at
            for run in worker.runs.values()
            if run.state is RUNNING and not run.task.step.spec.long_running
        ),
        default=now,
    )
    return oldest + STALL_SECONDS


def _measure_stall(tables: WorkTables, run: Run, now: Seconds) -> float:
    """Return the time without progress of a run, relative to what is usual for it.

    The time ends with the worker's last report. After a pause of this process or of
    the connection, missing reports don't mean that the run has stalled.
    """
    step = run.task.step
    if run.state is not RUNNING or run.stopping or step.spec.gang:
        return 0.0
    if step.spec.long_running or run.pace_percent < FULL_PACE_PERCENT:
        return 0.0
    if step.spec.uses_leftover:
        return 0.0
    last_report = min(run.worker.reported_at, now)
    stalled_for = last_report - max(run.advanced_at, run.confirmed_at)
    if stalled_for <= STALL_SECONDS:
        return 0.0
    expected = estimate_seconds(
        tables, step.job.queue.id, step.spec, step.mean_duration_ms
    )
    return stalled_for / max(STALL_SECONDS, STALL_FRACTION * expected)


def _evict_from_draining(tables: WorkTables, now: Seconds, repairs: Repairs) -> None:
    """Stop long-running tasks on draining workers if they can start elsewhere.

    Otherwise they would all be stopped at once when the worker ends.
    """
    for worker in tables.workers_by_id.values():
        if not worker.draining or worker.unanswered_since:
            continue
        others = list_schedulable_workers(tables, worker.pool_id, now)
        for run in worker.runs.values():
            step = run.task.step
            if not step.spec.long_running or run.stopping:
                continue
            if choose_worker(step, run.task, others, now) is not None:
                repairs.stops.append((run, "its worker leaves"))


def _copy_from_unresponsive(tables: WorkTables, now: Seconds, repairs: Repairs) -> None:
    """Start copies of speculative tasks whose worker is unresponsive."""
    for worker in list(tables.workers_by_id.values()):
        unresponsive_since = worker.unanswered_since
        if not unresponsive_since or now - unresponsive_since < COPY_AFTER_SECONDS:
            continue
        for run in list(worker.runs.values()):
            copy = _try_copy(tables, run.task, now)
            if copy is not None:
                repairs.copies.append(copy)


def _relieve_slow_workers(tables: WorkTables, now: Seconds, repairs: Repairs) -> None:
    """Copy or move the runs that end late because their workers are slow."""
    if now - tables.stragglers_checked_at < STRAGGLER_CHECK_SECONDS:
        return
    tables.stragglers_checked_at = now
    for pool_id in list(tables.workers_by_pool):
        for straggler in find_stragglers(tables, pool_id, now):
            run = straggler.projection.run
            repairs.stragglers.append(straggler)
            if straggler.action is StragglerAction.MOVE:
                repairs.stops.append((run, SLOW_WORKER_REASON))
                continue
            task = run.task
            number = task.last_run + 1
            repairs.copies.append(
                intend_run(task, straggler.target, number, now, copy=True)
            )


def _try_copy(tables: WorkTables, task: Task, now: Seconds) -> Run | None:
    step = task.step
    if not step.spec.speculative or task.done or len(task.runs) > 1:
        return None
    if step.job.outcome is not None or task.is_suspect or not fits_quota(step):
        return None
    workers = list_schedulable_workers(tables, step.job.queue.pool_id, now)
    choice = choose_worker(step, task, workers, now)
    if choice is None:
        return None
    return intend_run(task, choice, task.last_run + 1, now, copy=True)


def _preempt_batch_runs(tables: WorkTables, now: Seconds, repairs: Repairs) -> None:
    """Stop batch runs where a long-running task waits for resources.

    One step of each pool gets room at a time, the first one for which there can be any.
    """
    for pool_id, ready in tables.ready_by_pool.items():
        workers = list(tables.workers_by_pool.get(pool_id, {}).values())
        for step in list(ready):
            if not _needs_preemption(step, now):
                continue
            runs = find_preemptible(step, workers, now)
            repairs.stops += [(run, "room for a long-running task") for run in runs]
            if runs:
                break


def _needs_preemption(step: StepRun, now: Seconds) -> bool:
    if not step.spec.long_running or not step.waiting or not fits_quota(step):
        return False
    return measure_wait(step, now) > PREEMPT_AFTER_SECONDS


__all__ = ["Repairs", "plan_repairs"]
