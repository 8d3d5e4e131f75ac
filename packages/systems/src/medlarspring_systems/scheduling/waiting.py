"""Determines why tasks wait, and finds waiting tasks that no round can place."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.isolation import preserves_isolation
from medlarspring_systems.scheduling.placement import (
    fits,
    is_allowed,
    list_schedulable_workers,
)
from medlarspring_systems.scheduling.quotas import fits_quota

if TYPE_CHECKING:
    from collections.abc import Iterator

    from medlarspring_tables import PartnerId, Seconds
    from medlarspring_tables.scheduling import StepRun, Task, Worker, WorkTables

KEPT_FREE_SECONDS = 0.25
"""Time for which a worker counts as kept free; two planning rounds are due in it."""


class WaitCause(Enum):
    """Reason for which a task waits."""

    EARLIER_STEPS = "earlier-steps"
    """Steps on which its step depends are not complete."""
    RETRY_PAUSE = "retry-pause"
    """It has just failed or was refused."""
    NO_SCHEDULABLE_WORKER = "no-open-worker"
    """No worker of the pool may get new tasks.

    Each one is draining, unresponsive, quarantined or reserved: for maintenance, a
    move or another pool.
    """
    NOT_ALLOWED = "not-allowed"
    """Label, advice or the limit per worker exclude each schedulable worker."""
    RESOURCES = "room"
    """No schedulable worker that it may use has enough free resources."""
    ISOLATION = "trial"
    """Resources are free only where the isolation of a suspected task excludes it."""
    KEPT_FREE = "kept-free"
    """Resources are free only on workers that rounds keep free for suspected tasks."""
    QUOTA = "quota"
    """Its partner's running tasks leave too little of the partner's quota."""
    OTHER_MEMBERS = "other-members"
    """Resources are free for it, but not for its whole gang."""
    NEXT_ROUND = "next-round"
    """Resources are free; the next scheduling round places it."""
    NOT_QUEUED = "forgotten"
    """A defect: it is not queued, and no scheduling round will place it."""


def find_wait_cause(tables: WorkTables, task: Task, now: Seconds) -> WaitCause | None:
    """Return why a task waits; None if it runs, is done or its job has an outcome."""
    step = task.step
    if task.runs or task.done or step.job.outcome is not None:
        return None
    if not step.ready:
        return WaitCause.EARLIER_STEPS
    if not _is_queued(tables, step, task):
        return WaitCause.NOT_QUEUED
    if task.not_before > now:
        return WaitCause.RETRY_PAUSE
    if not fits_quota(step, _count_started_together(step)):
        return WaitCause.QUOTA
    return _find_obstacle(tables, task, now)


def _is_queued(tables: WorkTables, step: StepRun, task: Task) -> bool:
    queue = tables.ready_by_pool.get(step.job.queue.pool_id, {})
    return step in queue and task in step.waiting


def _find_obstacle(tables: WorkTables, task: Task, now: Seconds) -> WaitCause:
    step = task.step
    workers = list_schedulable_workers(tables, step.job.queue.pool_id, now)
    if not workers:
        return WaitCause.NO_SCHEDULABLE_WORKER
    workers = [worker for worker in workers if is_allowed(step, worker, now)]
    if not workers:
        return WaitCause.NOT_ALLOWED
    workers = [worker for worker in workers if fits(step, worker)]
    if not workers:
        return WaitCause.RESOURCES
    workers = [worker for worker in workers if preserves_isolation(task, worker, now)]
    if not workers:
        return WaitCause.ISOLATION
    if not task.is_suspect and all(is_kept_free(worker, now) for worker in workers):
        return WaitCause.KEPT_FREE
    return WaitCause.OTHER_MEMBERS if step.spec.gang else WaitCause.NEXT_ROUND


def is_kept_free(worker: Worker, now: Seconds) -> bool:
    """Return whether the latest rounds kept a worker free for a suspected task."""
    return bool(worker.kept_free_at) and now - worker.kept_free_at < KEPT_FREE_SECONDS


def measure_wait(step: StepRun, now: Seconds) -> Seconds:
    """Return how long the longest waiting task of a step has waited.

    At least one of its tasks must be waiting.
    """
    since = min(task.waiting_since for task in step.waiting)
    return now - max(since, step.ready_at)


def count_waiting(tables: WorkTables, now: Seconds) -> tuple[int, int]:
    """Return how many tasks wait, and how many of these have no schedulable worker."""
    waiting = unplaceable = 0
    for pool_id, queue in tables.ready_by_pool.items():
        tasks = sum(len(step.waiting) for step in queue if step.job.outcome is None)
        waiting += tasks
        if tasks and not list_schedulable_workers(tables, pool_id, now):
            unplaceable += tasks
    return waiting, unplaceable


def count_waiting_for_quota(tables: WorkTables) -> dict[PartnerId, int]:
    """Return how many ready tasks of each partner only its quota keeps from starting.

    Partners without such tasks are omitted.
    """
    counts: dict[PartnerId, int] = {}
    for queue in tables.ready_by_pool.values():
        for step in queue:
            if not step.waiting or step.job.outcome is not None:
                continue
            if not fits_quota(step, _count_started_together(step)):
                partner_id = step.job.owner.partner_id
                counts[partner_id] = counts.get(partner_id, 0) + len(step.waiting)
    return counts


def _count_started_together(step: StepRun) -> int:
    return step.spec.count if step.spec.gang else 1


def list_unqueued_tasks(tables: WorkTables) -> list[Task]:
    """Return the waiting tasks that no scheduling round will place.

    There should be none. Tasks are queued and removed from the queue in many places
    (when a run ends, is lost, refused or adopted). If one of them failed to do so,
    the task would wait forever while its pool is idle.
    """
    return [
        task
        for task in _list_waiting(tables)
        if not _is_queued(tables, task.step, task)
    ]


def _list_waiting(tables: WorkTables) -> Iterator[Task]:
    for job in tables.jobs_by_id.values():
        if job.outcome is not None:
            continue
        for steps in job.occurrences_by_index.values():
            for step in steps:
                if step.ready:
                    yield from _list_waiting_of(step)


def _list_waiting_of(step: StepRun) -> Iterator[Task]:
    for task in step.tasks:
        if not task.runs and not task.done:
            yield task


__all__ = [
    "WaitCause",
    "count_waiting",
    "count_waiting_for_quota",
    "find_wait_cause",
    "is_kept_free",
    "list_unqueued_tasks",
    "measure_wait",
]
