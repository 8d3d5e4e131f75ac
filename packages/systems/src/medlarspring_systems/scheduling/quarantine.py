"""Quarantine of workers that fail, stall or refuse the tasks that they are given.

A worker may answer every call and still fail all that it starts. Failures of
different jobs in a row on one worker count against the worker. Failures of one job
on different workers count against the job.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.runs import is_serving
from medlarspring_tables.scheduling import QuarantineReason

if TYPE_CHECKING:
    from medlarspring_tables import JobId, Seconds
    from medlarspring_tables.scheduling import Run, Worker, WorkTables

FAILED_JOBS_TO_QUARANTINE = 2
"""Different jobs that fail in a row on a worker before it is quarantined.

One in thirty jobs is unrunnable, so that two in a row on a sound worker are rare.
Each further job before the quarantine would cost an attempt of a runnable job.
"""
QUARANTINE_SECONDS = 4.0
"""First quarantine of a worker; it doubles each time up to the maximum."""
MAX_QUARANTINE_SECONDS = 16.0
REFUSAL_BACKOFF_SECONDS = 1.0
"""Time without new orders for a worker that refused one because of overload."""
HEALTHY_RUN_SECONDS = 2.0
"""A long-running probe that has served for this long ends its worker's quarantine.

Workers that fail or stall their tasks do so within a second.
"""


def record_success(worker: Worker) -> None:
    """Record a successful run: clears the worker's failures and its quarantine.

    A worker marked as unreachable stays so.
    """
    worker.failures_by_job.clear()
    if worker.quarantine_reason is not QuarantineReason.UNREACHABLE:
        worker.quarantine_reason = QuarantineReason.NONE
        worker.quarantine_count = 0


def record_failure(tables: WorkTables, run: Run, now: Seconds) -> bool:
    """Record a failed run; returns whether its worker was newly quarantined.

    If the task already failed on another VM, the fault is taken to be the job's: its
    failures are withdrawn, so that unrunnable jobs do not quarantine a whole pool.
    """
    worker, task = run.worker, run.task
    job_id = task.step.job.id
    if len(task.failed_on) > 1:
        withdraw_failures(tables, job_id)
        return False
    worker.failures_by_job[job_id] = worker.failures_by_job.get(job_id, 0) + 1
    if len(worker.failures_by_job) < FAILED_JOBS_TO_QUARANTINE:
        return False
    return quarantine_worker(worker, QuarantineReason.FAILING, now)


def withdraw_failures(tables: WorkTables, job_id: JobId) -> None:
    """Remove a job's failures from all workers, and quarantines based on them alone."""
    for worker in tables.workers_by_id.values():
        if worker.failures_by_job.pop(job_id, None) is None:
            continue
        if (
            worker.quarantine_reason is QuarantineReason.FAILING
            and not worker.failures_by_job
        ):
            worker.quarantine_reason = QuarantineReason.NONE


def quarantine_worker(
    worker: Worker, quarantine_reason: QuarantineReason, now: Seconds
) -> bool:
    """Quarantine a worker, twice as long with each quarantine in a row.

    Runs that end during the quarantine were started before it and are no new reason.
    If they counted, several ends in one listing would extend the quarantine from
    4 s to 16 s. Returns False if the worker is already quarantined for this reason.
    """
    if worker.quarantine_reason is quarantine_reason and now < worker.quarantined_until:
        return False
    wait = min(QUARANTINE_SECONDS * 2**worker.quarantine_count, MAX_QUARANTINE_SECONDS)
    worker.quarantine_reason = quarantine_reason
    worker.quarantine_count += 1
    worker.quarantined_until = now + wait
    return True


def record_refusal(worker: Worker, now: Seconds) -> None:
    """Record that a worker refused an order as overloaded; it gets none for a while."""
    if worker.quarantine_reason is QuarantineReason.NONE:
        worker.quarantine_reason = QuarantineReason.REFUSING
    worker.quarantined_until = max(
        worker.quarantined_until, now + REFUSAL_BACKOFF_SECONDS
    )


def record_acceptance(worker: Worker) -> None:
    """Record that a worker accepted an order; ends a quarantine for refusals."""
    if worker.quarantine_reason is QuarantineReason.REFUSING:
        worker.quarantine_reason = QuarantineReason.NONE


def is_probe_due(worker: Worker, now: Seconds) -> bool:
    """Return whether a quarantined worker may get a single run as a probe.

    Only one probe may run at a time. Runs from before the quarantine don't matter:
    a worker with long-running tasks never becomes idle, and if it had to be, it
    would stay in quarantine and tasks would wait forever beside free resources.
    """
    if now < worker.quarantined_until:
        return False
    return not any(_is_probe(run) for run in worker.runs.values())


def _is_probe(run: Run) -> bool:
    return run.intended_at >= run.worker.quarantined_until


def end_proven_quarantine(worker: Worker, now: Seconds) -> None:
    """End a worker's quarantine if a long-running probe serves there.

    A long-running task has no successful end. Without this check the worker would
    get no further task.
    """
    if worker.quarantine_reason is QuarantineReason.NONE or not worker.long_runs:
        return
    if any(_is_successful_probe(run, now) for run in worker.runs.values()):
        record_success(worker)


def _is_successful_probe(run: Run, now: Seconds) -> bool:
    if not run.task.step.spec.long_running or not is_serving(run):
        return False
    return _is_probe(run) and now - run.confirmed_at >= HEALTHY_RUN_SECONDS


__all__ = [
    "end_proven_quarantine",
    "is_probe_due",
    "quarantine_worker",
    "record_acceptance",
    "record_failure",
    "record_refusal",
    "record_success",
    "withdraw_failures",
]
