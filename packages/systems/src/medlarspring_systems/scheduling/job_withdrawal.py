"""Removes a job that could not be loaded from the tables."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.runs import detach_run

if TYPE_CHECKING:
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import ActiveJob, WorkTables


def withdraw_job(tables: WorkTables, job: ActiveJob, now: Seconds) -> None:
    """Remove an open job as if it had never been admitted.

    Unlike one that has ended, it may be admitted again later.
    """
    try:
        for run in list(job.runs):
            detach_run(tables, run, now)
    finally:
        # Started without its progress, the job would run finished tasks again.
        _dequeue_steps(tables, job)
    tables.jobs_by_id.pop(job.id, None)


def _dequeue_steps(tables: WorkTables, job: ActiveJob) -> None:
    ready = tables.ready_by_pool.get(job.queue.pool_id, {})
    for steps in job.occurrences_by_index.values():
        for step in steps:
            ready.pop(step, None)


__all__ = ["withdraw_job"]
