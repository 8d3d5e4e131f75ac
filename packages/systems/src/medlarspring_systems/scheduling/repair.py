"""What to do about runs that do not get on: stalled, unreachable, crowded out."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.estimates import estimate_seconds
from medlarspring_systems.scheduling.evidence import clear_proven, doubt_worker
from medlarspring_systems.scheduling.pacing import plan_paces
from medlarspring_systems.scheduling.placement import choose_worker, list_open_workers
from medlarspring_systems.scheduling.rounds import find_preemptible
from medlarspring_systems.scheduling.runs import intend_run
from medlarspring_systems.scheduling.waiting import measure_wait
from medlarspring_tables.scheduling import RunState, WorkerDoubt

if TYPE_CHECKING:
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import Run, StepRun, Task, Worker, WorkTables

STALL_SECONDS = 1.2
"""A run whose progress stands still for so long is looked at."""
STALL_PART = 0.4
"""Long tasks advance by a percent only so often: this part of their duration."""
ALONE_FACTOR = 2.5
"""A single stalled run on a worker waits so many times longer than several."""
COPY_SILENT_SECONDS = 0.5
"""A run on a worker that is silent for so long gets a copy, if it may have one."""
PREEMPT_AFTER_SECONDS = 0.5
"""A long-running task without room waits so long before batch work yields."""
FULL_PERCENT = 100


@dataclass(slots=True)
class Repairs:
    """What one tick decided."""

    stops: list[tuple[Run, str]] = field(default_factory=list)
    copies: list[Run] = field(default_factory=list)
    doubted: list[Worker] = field(default_factory=list)
    paces: list[tuple[Run, int]] = field(default_factory=list)


def plan_repairs(tables: WorkTables, now: Seconds) -> Repairs:
    """Return what has to be stopped, copied or slowed down."""
    repairs = Repairs()
    for worker in tables.workers_by_id.values():
        _look_for_stalls(tables, worker, now, repairs)
        clear_proven(worker, now)
    _leave_draining(tables, now, repairs)
    _copy_silent(tables, now, repairs)
    _make_room(tables, now, repairs)
    repairs.paces = plan_paces(tables, now)
    return repairs


def _look_for_stalls(
    tables: WorkTables, worker: Worker, now: Seconds, repairs: Repairs
) -> None:
    """Find runs whose progress stands still, and blame workers with several.

    A worker may keep answering while nothing on it advances. One run may stand
    still by itself; two at once accuse the worker.
    """
    if worker.unanswered_since or worker.draining:
        return
    stalled = [
        run for run in worker.runs.values() if _find_stall(tables, run, now) > 1.0
    ]
    if not stalled:
        return
    several = len(stalled) > 1
    for run in stalled:
        if several or _find_stall(tables, run, now) > ALONE_FACTOR:
            repairs.stops.append((run, "no progress"))
    if several and doubt_worker(worker, WorkerDoubt.STALLED, now):
        repairs.doubted.append(worker)


def _find_stall(tables: WorkTables, run: Run, now: Seconds) -> float:
    """Return how long a run stands still, in units of what is usual for it.

    Counted up to its worker's last answer: after a pause of this process, or of
    the link, nothing has been heard, and that is not the run's standing still.
    """
    step = run.task.step
    if run.state is not RunState.RUNNING or run.stopping or step.spec.gang:
        return 0.0
    if step.spec.long_running or run.pace_percent < FULL_PERCENT:
        return 0.0
    if step.spec.uses_leftover:
        return 0.0
    heard_at = min(run.worker.answered_at, now)
    still = heard_at - max(run.advanced_at, run.confirmed_at)
    if still <= STALL_SECONDS:
        return 0.0
    expected = estimate_seconds(tables, step.job.queue.id, step.spec, step.seen_ms)
    return still / max(STALL_SECONDS, STALL_PART * expected)


def _leave_draining(tables: WorkTables, now: Seconds, repairs: Repairs) -> None:
    """Move long-running tasks off workers that leave, while others have room.

    Left there, they would end with the worker at a moment of its choosing, and all
    at once.
    """
    for worker in tables.workers_by_id.values():
        if not worker.draining or worker.unanswered_since:
            continue
        others = list_open_workers(tables, worker.pool_id, now)
        for run in worker.runs.values():
            step = run.task.step
            if not step.spec.long_running or run.stopping:
                continue
            if choose_worker(step, run.task, others, now) is not None:
                repairs.stops.append((run, "its worker leaves"))


def _copy_silent(tables: WorkTables, now: Seconds, repairs: Repairs) -> None:
    """Start copies of tasks whose worker is silent, where copies are allowed."""
    for worker in list(tables.workers_by_id.values()):
        silent = worker.unanswered_since
        if not silent or now - silent < COPY_SILENT_SECONDS:
            continue
        for run in list(worker.runs.values()):
            copy = _try_copy(tables, run.task, now)
            if copy is not None:
                repairs.copies.append(copy)


def _try_copy(tables: WorkTables, task: Task, now: Seconds) -> Run | None:
    step = task.step
    if not step.spec.speculative or task.done or len(task.runs) > 1:
        return None
    if step.job.outcome is not None or task.is_suspect:
        return None
    workers = list_open_workers(tables, step.job.queue.pool_id, now)
    choice = choose_worker(step, task, workers, now)
    if choice is None:
        return None
    return intend_run(task, choice, task.last_run + 1, now, copy=True)


def _make_room(tables: WorkTables, now: Seconds, repairs: Repairs) -> None:
    """Stop batch work where a long-running task waits for room."""
    for pool_id, ready in tables.ready_by_pool.items():
        for step in list(ready):
            if not _is_crowded_out(step, now):
                continue
            workers = list(tables.workers_by_pool.get(pool_id, {}).values())
            for run in find_preemptible(step, workers, now):
                repairs.stops.append((run, "room for a long-running task"))
            break


def _is_crowded_out(step: StepRun, now: Seconds) -> bool:
    if not step.spec.long_running or not step.waiting:
        return False
    return measure_wait(step, now) > PREEMPT_AFTER_SECONDS


__all__ = ["Repairs", "plan_repairs"]
