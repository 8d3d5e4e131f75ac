"""Why a task waits, and which tasks wait for nothing that could ever come."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.isolation import preserves_isolation
from medlarspring_systems.scheduling.placement import (
    fits,
    is_allowed,
    list_schedulable_workers,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import StepRun, Task, WorkTables


class WaitCause(Enum):
    """What a task waits for."""

    EARLIER_STEPS = "earlier-steps"
    """Steps that it comes after are not done."""
    RETRY_PAUSE = "retry-pause"
    """It just failed or was refused."""
    NO_SCHEDULABLE_WORKER = "no-open-worker"
    """Each worker of the pool leaves, is silent, set aside or kept for maintenance."""
    NOT_ALLOWED = "not-allowed"
    """Label, advice or the limit for one worker rule out each open worker."""
    RESOURCES = "room"
    """No open worker that it may use has room."""
    ISOLATION = "trial"
    """There is room, but only beside fresh starts from which it is kept apart."""
    OTHER_MEMBERS = "other-members"
    """There is room for it, but not for its whole gang."""
    NEXT_ROUND = "next-round"
    """There is room; the next round of placement takes it."""
    NOT_QUEUED = "forgotten"
    """A defect: no round will ever look at it."""


def find_wait_cause(tables: WorkTables, task: Task, now: Seconds) -> WaitCause | None:
    """Return what a task waits for; None if it runs, is done or not wanted."""
    step = task.step
    if task.runs or task.done or step.job.outcome is not None:
        return None
    if not step.ready:
        return WaitCause.EARLIER_STEPS
    if not _is_queued(tables, step, task):
        return WaitCause.NOT_QUEUED
    if task.not_before > now:
        return WaitCause.RETRY_PAUSE
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
    if not any(preserves_isolation(task, worker, now) for worker in workers):
        return WaitCause.ISOLATION
    return WaitCause.OTHER_MEMBERS if step.spec.gang else WaitCause.NEXT_ROUND


def measure_wait(step: StepRun, now: Seconds) -> Seconds:
    """Return how long a step's tasks have waited; the longest counts.

    Some of its tasks must be waiting.
    """
    since = min(task.waiting_since for task in step.waiting)
    return now - max(since, step.ready_at)


def count_waiting(tables: WorkTables, now: Seconds) -> tuple[int, int]:
    """Return how many tasks wait for a worker, and how many in pools without one."""
    waiting = unplaceable = 0
    for pool_id, queue in tables.ready_by_pool.items():
        tasks = sum(len(step.waiting) for step in queue if step.job.outcome is None)
        waiting += tasks
        if tasks and not list_schedulable_workers(tables, pool_id, now):
            unplaceable += tasks
    return waiting, unplaceable


def list_unqueued_tasks(tables: WorkTables) -> list[Task]:
    """Return the tasks that wait and that no round of placement will look at.

    There should never be any. A task gets into the line and out of it in many places
    (a run that ends, is lost, refused, adopted); one missed place, and it would wait
    for good while its pool stands idle.
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
    "find_wait_cause",
    "list_unqueued_tasks",
    "measure_wait",
]
