"""Runs that end late because their workers are slow, and what to do about them.

A speculative task gets a copy on a sound worker. A task with a checkpoint is stopped
and resumes elsewhere. All others go on: starting them again would lose their progress,
and a second run beside the first is only allowed for speculative tasks.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.placement import (
    can_start_on,
    choose_worker,
    fits,
    is_allowed,
    list_schedulable_workers,
)
from medlarspring_systems.scheduling.quotas import fits_quota
from medlarspring_systems.scheduling.worker_pace import (
    COMPLETE_PERCENT,
    SLOW_RATIO,
    measure_slowness,
    project_slow_runs,
    record_slowness,
)
from medlarspring_tables.scheduling import QuarantineReason

if TYPE_CHECKING:
    from collections.abc import Iterator

    from medlarspring_systems.scheduling.worker_pace import Projection
    from medlarspring_tables import PoolId, Seconds
    from medlarspring_tables.scheduling import (
        Resources,
        Run,
        StepRun,
        Worker,
        WorkTables,
    )

    _SearchKey = tuple[Resources, str, StepRun | None]

SLOW_WORKER_REASON = "slow worker"
"""Stop reason of runs that are moved off a slow worker."""
CLEARLY_EARLIER = 1.5
"""The remaining time must be this many times what the work takes elsewhere."""
START_SECONDS = 0.2
"""Time from a decision to a confirmed start elsewhere."""
RESTORE_SECONDS = 1.0
"""Time to stop a run and to restore its task from a checkpoint elsewhere."""
MAX_ACTION_FRACTION = 0.05
"""Copies and moves in flight, as a fraction of a pool's running batch tasks.

At least one is always allowed.
"""
MAX_SEARCHES = 50
"""Searches for another worker in one pass, the latest run first."""


class StragglerAction(Enum):
    """What is done about a run on a slow worker."""

    COPY = "copy"
    MOVE = "move"


@dataclass(frozen=True, slots=True)
class Straggler:
    """A run to copy or to move off its slow worker."""

    projection: Projection
    action: StragglerAction
    slowness: float
    """How many times as long as usual the worker's runs take."""
    target: Worker
    """A sound worker with free resources for the task."""


def find_stragglers(
    tables: WorkTables, pool_id: PoolId, now: Seconds
) -> Iterator[Straggler]:
    """Yield the runs of a pool to act on, the latest first, within the budget.

    The caller acts on each one before it takes the next, so that the resources of a
    target are not given twice.
    """
    workers = list(tables.workers_by_pool.get(pool_id, {}).values())
    late = _list_late_runs(workers, now)
    if not late:
        return
    budget = _measure_budget(workers)
    searches = 0
    hopeless: set[_SearchKey] = set()
    for projection, slowness in late:
        if budget <= 0 or searches >= MAX_SEARCHES:
            return
        action = _find_remedy(projection, slowness, now)
        key = _describe_search(projection.run.task.step)
        # Searches for tasks of one kind fail alike. Were each counted, the latest runs
        # would keep others from theirs where a pool is full for them.
        if action is None or key in hopeless:
            continue
        searches += 1
        target = _find_target(tables, pool_id, projection, now)
        if target is None:
            hopeless.add(key)
            continue
        budget -= 1
        yield Straggler(projection, action, slowness, target)


def _describe_search(step: StepRun) -> _SearchKey:
    """Return what a step needs of a worker."""
    own = step.job.queue.advice is not None or step.spec.max_per_worker > 0
    return (step.resources, step.spec.required_label, step if own else None)


def _list_late_runs(
    workers: list[Worker], now: Seconds
) -> list[tuple[Projection, float]]:
    """Return the late runs on slow workers with the workers' slowness, latest first."""
    late = []
    for worker in workers:
        if worker.unanswered_since or worker.draining:
            continue
        projections = project_slow_runs(worker, now)
        slowness = measure_slowness(worker, projections)
        if not projections or slowness < SLOW_RATIO:
            continue
        record_slowness(worker, slowness)
        late += [(each, slowness) for each in projections if _is_late(each)]
    late = [pair for pair in late if _choose_action(pair[0]) is not None]
    return sorted(late, key=lambda pair: -pair[0].ends_at)


def _is_late(projection: Projection) -> bool:
    """Return whether a run is projected to end too late for its job's objective."""
    step = projection.run.task.step
    following = max(step.remaining_path - step.expected, 0.0)
    return projection.ends_at > step.objective_at - following


def _measure_budget(workers: list[Worker]) -> int:
    """Return how many more copies and moves a pool may have in flight."""
    running = sum(worker.batch_runs for worker in workers)
    in_flight = sum(
        _is_copy(run) or (run.stopping and run.stop_reason == SLOW_WORKER_REASON)
        for worker in workers
        for run in worker.runs.values()
    )
    return max(int(MAX_ACTION_FRACTION * running), 1) - in_flight


def _is_copy(run: Run) -> bool:
    """Return whether a run is the second of its task, also after a takeover."""
    return run is not run.task.runs[0]


def _find_remedy(
    projection: Projection, slowness: float, now: Seconds
) -> StragglerAction | None:
    """Return what would help a late run, given another worker; None if nothing."""
    run = projection.run
    action = _choose_action(projection)
    step = run.task.step
    if action is None or step.job.outcome is not None or run.task.is_suspect:
        return None
    if len(run.task.runs) > 1 or run.task.done:
        return None
    if not _ends_clearly_earlier(projection, action, slowness, now):
        return None
    if action is StragglerAction.COPY and not fits_quota(step):
        return None
    return action


def _choose_action(projection: Projection) -> StragglerAction | None:
    task = projection.run.task
    if task.step.spec.speculative:
        return StragglerAction.COPY
    if task.step.spec.checkpoints and task.checkpoint:
        return StragglerAction.MOVE
    return None


def _ends_clearly_earlier(
    projection: Projection, action: StragglerAction, slowness: float, now: Seconds
) -> bool:
    """Return whether the task would end clearly earlier on a sound worker.

    What exceeds the worker's slowness is the task's own length, and stays elsewhere.
    """
    elsewhere = max(projection.expected, projection.total / slowness)
    if action is StragglerAction.MOVE:
        remaining = COMPLETE_PERCENT - projection.run.percent
        elsewhere = elsewhere * remaining / COMPLETE_PERCENT + RESTORE_SECONDS
    elsewhere += START_SECONDS
    return projection.ends_at - now > CLEARLY_EARLIER * elsewhere


def _find_target(
    tables: WorkTables, pool_id: PoolId, projection: Projection, now: Seconds
) -> Worker | None:
    """Return a sound worker with resources that no waiting task needs."""
    task = projection.run.task
    waiting = [
        step
        for step in tables.ready_by_pool.get(pool_id, {})
        if step.waiting and step.job.outcome is None and fits_quota(step)
    ]
    workers = [
        worker
        for worker in list_schedulable_workers(tables, pool_id, now)
        if _is_sound(worker)
        and can_start_on(task.step, task, worker, now)
        and not _is_needed(worker, waiting, now)
    ]
    return choose_worker(task.step, task, workers, now)


def _is_sound(worker: Worker) -> bool:
    is_trusted = worker.quarantine_reason is QuarantineReason.NONE
    return is_trusted and worker.slowness < SLOW_RATIO


def _is_needed(worker: Worker, waiting: list[StepRun], now: Seconds) -> bool:
    return any(fits(step, worker) and is_allowed(step, worker, now) for step in waiting)


__all__ = [
    "SLOW_WORKER_REASON",
    "Straggler",
    "StragglerAction",
    "find_stragglers",
]
