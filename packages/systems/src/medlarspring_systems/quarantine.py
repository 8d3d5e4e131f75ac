"""Distinguishes faulty workers from faulty jobs and quarantines the workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

from medlarspring_tables import JobState

if TYPE_CHECKING:
    from medlarspring_tables import Job, JobTables, Seconds, Worker

FAILED_JOBS_TO_QUARANTINE = 3
"""Distinct jobs that fail on a worker without a success before its quarantine."""
FAILED_WORKERS_TO_FAIL_JOB = 3
"""Distinct workers on which a job fails before the job itself is failed."""
FIRST_QUARANTINE_SECONDS = 60.0
MAX_QUARANTINE_SECONDS = 3600.0
MAX_QUARANTINED_FRACTION = 0.25
"""Upper bound on the quarantined fraction of a pool; one worker is always allowed."""


def record_success(worker: Worker) -> None:
    """Reset a worker's failures and quarantine after a successful attempt."""
    worker.failed_job_ids.clear()
    worker.quarantine_count = 0
    worker.quarantined_until = 0.0


def record_failure(tables: JobTables, job: Job, worker: Worker, now: Seconds) -> Job:
    """Count a failure against the job and its worker; return the job's new record.

    A job that fails on enough distinct workers is failed itself, and its
    failures no longer count against those workers. Otherwise a faulty job would
    have one worker after the other quarantined until the pool is empty.
    """
    failed_on = job.failed_on
    if worker.id not in failed_on:
        failed_on = (*failed_on, worker.id)
    job = replace(job, failed_on=failed_on)
    if len(failed_on) >= _workers_to_fail_job(tables):
        _clear_failures_of(tables, job)
        return replace(
            job,
            state=JobState.FAILED,
            reason=f"failed on {len(failed_on)} different workers",
        )
    worker.failed_job_ids.add(job.id)
    if (
        len(worker.failed_job_ids) >= FAILED_JOBS_TO_QUARANTINE
        or worker.quarantine_count
    ):
        _quarantine(tables, worker, now)
    return job


def _workers_to_fail_job(tables: JobTables) -> int:
    """Return the distinct workers needed to fail a job; fewer in small pools."""
    usable = sum(worker.accepts_work for worker in tables.workers_by_id.values())
    return max(1, min(FAILED_WORKERS_TO_FAIL_JOB, usable))


def _clear_failures_of(tables: JobTables, job: Job) -> None:
    for vm_id in job.failed_on:
        worker = tables.workers_by_id.get(vm_id)
        if worker is None or job.id not in worker.failed_job_ids:
            continue
        worker.failed_job_ids.discard(job.id)
        if (
            worker.quarantine_count
            and len(worker.failed_job_ids) < FAILED_JOBS_TO_QUARANTINE
        ):
            worker.quarantine_count = 0
            worker.quarantined_until = 0.0


def _quarantine(tables: JobTables, worker: Worker, now: Seconds) -> None:
    if worker.quarantined_until > now:
        return
    workers = tables.workers_by_id.values()
    quarantined = sum(each.quarantined_until > now for each in workers)
    if quarantined + 1 > max(1, len(workers) * MAX_QUARANTINED_FRACTION):
        return
    worker.quarantine_count += 1
    seconds = FIRST_QUARANTINE_SECONDS * 2 ** (worker.quarantine_count - 1)
    worker.quarantined_until = now + min(seconds, MAX_QUARANTINE_SECONDS)


__all__ = ["FAILED_JOBS_TO_QUARANTINE", "record_failure", "record_success"]
