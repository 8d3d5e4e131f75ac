"""Which workers fail everything, and which jobs fail everywhere."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

from medlarspring_tables import JobState

if TYPE_CHECKING:
    from medlarspring_tables import Job, JobTables, Seconds, Worker

FAILED_JOBS_TO_QUARANTINE = 3
"""Different jobs that failed in a row before a worker is set aside."""
FAILED_WORKERS_TO_FAIL_JOB = 3
"""Different workers that failed a job before the job is at fault."""
FIRST_QUARANTINE_SECONDS = 60.0
MAX_QUARANTINE_SECONDS = 3600.0
MAX_QUARANTINED_FRACTION = 0.25
"""Never more of the pool than this, whatever the evidence says."""


def record_success(worker: Worker) -> None:
    """Clear a worker: what ran to its end there proves it works."""
    worker.failed_job_ids.clear()
    worker.quarantine_count = 0
    worker.quarantined_until = 0.0


def record_failure(tables: JobTables, job: Job, worker: Worker, now: Seconds) -> Job:
    """Count a failure against job and worker; returns the job's new record.

    A job that fails everywhere would otherwise take one worker after the
    other with it, until the pool is empty. Once different workers failed it,
    the job is at fault and its evidence against all workers is withdrawn.
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
    """Small pools have fewer workers to try."""
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
