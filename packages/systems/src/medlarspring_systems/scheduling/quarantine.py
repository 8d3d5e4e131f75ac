"""Which workers are bad: they fail, stall or slow down what they are given.

A worker may answer every call and still harm all that it starts. The tasks of
different jobs are the witnesses: one job that fails everywhere is at fault
itself, different jobs that fail on one worker accuse the worker.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.runs import is_serving
from medlarspring_tables.scheduling import QuarantineReason

if TYPE_CHECKING:
    from medlarspring_tables import JobId, Seconds
    from medlarspring_tables.scheduling import Run, Worker, WorkTables

FAILED_JOBS_TO_QUARANTINE = 2
"""Different jobs that fail in a row on a worker before it is set aside.

One in thirty jobs can never be done, so two in a row on a sound worker are rare;
each further one would cost another attempt of a job that can be done.
"""
QUARANTINE_SECONDS = 4.0
"""How long a worker is set aside at first; doubles each time, to the maximum."""
MAX_QUARANTINE_SECONDS = 16.0
REFUSAL_BACKOFF_SECONDS = 1.0
"""How long a worker is left alone that refused an order as overloaded."""
HEALTHY_RUN_SECONDS = 2.0
"""A lasting task at work for so long speaks for its worker; workers that fail or
stall what they start show it within a second."""


def record_success(worker: Worker) -> None:
    """Clear a worker by a run that ended well."""
    worker.failures_by_job.clear()
    if worker.doubt is not QuarantineReason.UNREACHABLE:
        worker.doubt = QuarantineReason.NONE
        worker.quarantine_count = 0


def record_failure(tables: WorkTables, run: Run, now: Seconds) -> bool:
    """Weigh a failed run against its worker; tell whether it is set aside.

    A task that already failed on another VM accuses itself: its evidence is
    taken back, so that hopeless jobs do not empty a pool.
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
    """Take back what a job's failures said against workers."""
    for worker in tables.workers_by_id.values():
        if worker.failures_by_job.pop(job_id, None) is None:
            continue
        if worker.doubt is QuarantineReason.FAILING and not worker.failures_by_job:
            worker.doubt = QuarantineReason.NONE


def quarantine_worker(worker: Worker, doubt: QuarantineReason, now: Seconds) -> bool:
    """Set a worker aside; the wait doubles with each doubt in a row.

    What ended while it was set aside had begun before that and tells nothing new;
    counted, the ends of one moment set a worker aside for 16 s in place of 4 s.
    Returns whether the worker was not set aside already.
    """
    if worker.doubt is doubt and now < worker.quarantined_until:
        return False
    wait = min(QUARANTINE_SECONDS * 2**worker.quarantine_count, MAX_QUARANTINE_SECONDS)
    worker.doubt = doubt
    worker.quarantine_count += 1
    worker.quarantined_until = now + wait
    return True


def record_refusal(worker: Worker, now: Seconds) -> None:
    """Leave a worker alone for a moment that took an order back as overloaded."""
    if worker.doubt is QuarantineReason.NONE:
        worker.doubt = QuarantineReason.REFUSING
    worker.quarantined_until = max(
        worker.quarantined_until, now + REFUSAL_BACKOFF_SECONDS
    )


def record_acceptance(worker: Worker) -> None:
    """Open a worker again that refused orders and now took one."""
    if worker.doubt is QuarantineReason.REFUSING:
        worker.doubt = QuarantineReason.NONE


def is_probe_due(worker: Worker, now: Seconds) -> bool:
    """Tell whether a worker set aside may be tried with a single run.

    What ran there before says nothing. Waiting for the worker to be empty closed
    those with long-running tasks for good: they never are, and a task that was
    lost beside them waited for ever next to free room.
    """
    if now < worker.quarantined_until:
        return False
    return not any(_is_probe(run) for run in worker.runs.values())


def _is_probe(run: Run) -> bool:
    return run.intended_at >= run.worker.quarantined_until


def end_proven_quarantine(worker: Worker, now: Seconds) -> None:
    """Clear a worker on which a long-running task works that was to try it.

    Such a task never ends well, and without this its worker would get no other.
    """
    if worker.doubt is QuarantineReason.NONE or not worker.long_runs:
        return
    if any(_is_successful_probe(run, now) for run in worker.runs.values()):
        record_success(worker)


def _is_successful_probe(run: Run, now: Seconds) -> bool:
    if not run.task.step.spec.long_running or not is_serving(run):
        return False
    return _is_probe(run) and now - run.confirmed_at >= HEALTHY_RUN_SECONDS


__all__ = [
    "end_proven_quarantine",
    "quarantine_worker",
    "is_probe_due",
    "record_acceptance",
    "record_failure",
    "record_refusal",
    "record_success",
    "withdraw_failures",
]
