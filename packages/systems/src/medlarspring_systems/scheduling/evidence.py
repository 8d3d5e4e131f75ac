"""Which workers are bad: they fail, stall or slow down what they are given.

A worker may answer every call and still harm all that it starts. The tasks of
different jobs are the witnesses: one job that fails everywhere is at fault
itself, different jobs that fail on one worker accuse the worker.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.runs import is_at_work
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
PROVEN_SECONDS = 2.0
"""A lasting task at work for so long speaks for its worker; workers that fail or
stall what they start show it within a second."""


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
    return doubt_worker(worker, WorkerDoubt.FAILING, now)


def withdraw(tables: WorkTables, job_id: JobId) -> None:
    """Take back what a job's failures said against workers."""
    for worker in tables.workers_by_id.values():
        if worker.failures_by_job.pop(job_id, None) is None:
            continue
        if worker.doubt is WorkerDoubt.FAILING and not worker.failures_by_job:
            worker.doubt = WorkerDoubt.NONE


def doubt_worker(worker: Worker, doubt: WorkerDoubt, now: Seconds) -> bool:
    """Set a worker aside; the wait doubles with each doubt in a row.

    What ended while it was set aside had begun before that and tells nothing new;
    counted, the ends of one moment set a worker aside for 16 s in place of 4 s.
    Returns whether the worker was not set aside already.
    """
    if worker.doubt is doubt and now < worker.doubted_until:
        return False
    wait = min(DOUBT_SECONDS * 2**worker.doubts, MAX_DOUBT_SECONDS)
    worker.doubt = doubt
    worker.doubts += 1
    worker.doubted_until = now + wait
    return True


def note_refusal(worker: Worker, now: Seconds) -> None:
    """Leave a worker alone for a moment that took an order back as overloaded."""
    if worker.doubt is WorkerDoubt.NONE:
        worker.doubt = WorkerDoubt.REFUSING
    worker.doubted_until = max(worker.doubted_until, now + REFUSAL_SECONDS)


def note_accepted(worker: Worker) -> None:
    """Open a worker again that refused orders and now took one."""
    if worker.doubt is WorkerDoubt.REFUSING:
        worker.doubt = WorkerDoubt.NONE


def may_take_probe(worker: Worker, now: Seconds) -> bool:
    """Tell whether a worker set aside may be tried with a single run.

    What ran there before says nothing. Waiting for the worker to be empty closed
    those with long-running tasks for good: they never are, and a task that was
    lost beside them waited for ever next to free room.
    """
    if now < worker.doubted_until:
        return False
    return not any(_is_probe(run) for run in worker.runs.values())


def _is_probe(run: Run) -> bool:
    return run.intended_at >= run.worker.doubted_until


def clear_proven(worker: Worker, now: Seconds) -> None:
    """Clear a worker on which a long-running task works that was to try it.

    Such a task never ends well, and without this its worker would get no other.
    """
    if worker.doubt is WorkerDoubt.NONE or not worker.long_runs:
        return
    if any(_is_proof(run, now) for run in worker.runs.values()):
        note_success(worker)


def _is_proof(run: Run, now: Seconds) -> bool:
    if not run.task.step.spec.long_running or not is_at_work(run):
        return False
    return _is_probe(run) and now - run.confirmed_at >= PROVEN_SECONDS


__all__ = [
    "clear_proven",
    "doubt_worker",
    "may_take_probe",
    "note_accepted",
    "note_failure",
    "note_refusal",
    "note_success",
    "withdraw",
]
