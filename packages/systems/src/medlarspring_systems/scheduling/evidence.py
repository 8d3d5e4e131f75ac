"""Which workers are bad: they fail, stall or slow down what they are given.

A worker may answer every call and still harm all that it starts. The tasks of
different jobs are the witnesses: one job that fails everywhere is at fault
itself, different jobs that fail on one worker accuse the worker.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_tables.scheduling import WorkerDoubt

if TYPE_CHECKING:
    from medlarspring_tables import JobId, Seconds
    from medlarspring_tables.scheduling import Run, Worker, WorkTables

JOBS_AGAINST_WORKER = 2
"""Different jobs that fail in a row on a worker before it is set aside.

One in thirty jobs can never be done, so two in a row on a sound worker are rare;
each further one would cost another attempt of a job that can be done.
"""
DOUBT_SECONDS = 4.0
"""How long a worker is set aside at first; doubles each time, to the maximum."""
MAX_DOUBT_SECONDS = 16.0
REFUSAL_SECONDS = 1.0
"""How long a worker is left alone that refused an order as overloaded."""


def note_success(worker: Worker) -> None:
    """Clear a worker by a run that ended well."""
    worker.failures_by_job.clear()
    if worker.doubt is not WorkerDoubt.UNREACHABLE:
        worker.doubt = WorkerDoubt.NONE
        worker.doubts = 0


def note_failure(tables: WorkTables, run: Run, now: Seconds) -> bool:
    """Weigh a failed run against its worker; tell whether it is set aside.

    A task that already failed on another VM accuses itself: its evidence is
    taken back, so that hopeless jobs do not empty a pool.
    """
    worker, task = run.worker, run.task
    job_id = task.step.job.id
    if len(task.failed_on) > 1:
        withdraw(tables, job_id)
        return False
    worker.failures_by_job[job_id] = worker.failures_by_job.get(job_id, 0) + 1
    if len(worker.failures_by_job) < JOBS_AGAINST_WORKER:
        return False
    doubt_worker(worker, WorkerDoubt.FAILING, now)
    return True


def withdraw(tables: WorkTables, job_id: JobId) -> None:
    """Take back what a job's failures said against workers."""
    for worker in tables.workers_by_id.values():
        if worker.failures_by_job.pop(job_id, None) is None:
            continue
        if worker.doubt is WorkerDoubt.FAILING and not worker.failures_by_job:
            worker.doubt = WorkerDoubt.NONE


def doubt_worker(worker: Worker, doubt: WorkerDoubt, now: Seconds) -> None:
    """Set a worker aside; the wait doubles with each doubt in a row."""
    wait = min(DOUBT_SECONDS * 2**worker.doubts, MAX_DOUBT_SECONDS)
    worker.doubt = doubt
    worker.doubts += 1
    worker.doubted_until = now + wait


def note_refusal(worker: Worker, now: Seconds) -> None:
    """Leave a worker alone for a moment that took an order back as overloaded."""
    if worker.doubt is WorkerDoubt.NONE:
        worker.doubt = WorkerDoubt.REFUSING
        worker.doubted_until = now + REFUSAL_SECONDS


def may_take_probe(worker: Worker, now: Seconds) -> bool:
    """Tell whether a worker set aside may be tried with a single run."""
    return now >= worker.doubted_until and not worker.runs


__all__ = [
    "doubt_worker",
    "may_take_probe",
    "note_failure",
    "note_refusal",
    "note_success",
    "withdraw",
]
