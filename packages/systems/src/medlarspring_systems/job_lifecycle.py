"""State changes of jobs on worker reports, cancellations and expired leases."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from msgspec.structs import replace

from medlarspring_systems.job_records import put_job
from medlarspring_systems.preemption import StopAttempt, mark_stopping
from medlarspring_systems.quarantine import record_failure, record_success
from medlarspring_systems.size_estimates import raise_minimum_size, record_peak_use
from medlarspring_tables import AttemptState, JobState

if TYPE_CHECKING:
    from medlarspring_tables import Job, JobId, JobTables, Seconds, Size


class AttemptEnd(Enum):
    """How an attempt ended on its worker."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"
    OUT_OF_MEMORY = "out-of-memory"
    """The worker ended it because it ran out of memory."""
    LOST = "lost"
    """The worker is gone and the lease of the task has surely expired."""


def confirm_running(tables: JobTables, job_id: JobId, number: int) -> Job | None:
    """Record that the worker runs an attempt, and return the updated job.

    None if the attempt is not the current one or its start is already recorded.
    """
    job = _find_current(tables, job_id, number)
    if job is None or job.attempt is None:
        return None
    if job.attempt.state is not AttemptState.INTENDED:
        return None
    running = replace(job, attempt=replace(job.attempt, state=AttemptState.RUNNING))
    put_job(tables, running)
    return running


def end_attempt(
    tables: JobTables,
    job_id: JobId,
    number: int,
    end: AttemptEnd,
    now: Seconds,
    *,
    peak: Size | None = None,
    checkpoint: str = "",
) -> Job | None:
    """Record the end of an attempt; None if it is not the current one.

    A late report of an earlier attempt, if applied, would release the worker
    that runs the next attempt, and the job would run twice. The attempt number
    tells them apart.
    """
    job = _find_current(tables, job_id, number)
    if job is None or job.attempt is None:
        return None
    if peak is not None and end in REPRESENTATIVE_ENDS:
        record_peak_use(tables, job, peak)
    ended = _apply_end(tables, job, end, now)
    if peak is not None and end is AttemptEnd.OUT_OF_MEMORY:
        ended = replace(ended, least=raise_minimum_size(job, peak))
    if ended.state in FINAL_STATES:
        ended = replace(ended, ended_at=now)
    if checkpoint:
        ended = replace(ended, checkpoint=checkpoint)
    put_job(tables, ended)
    return ended


def cancel_job(job: Job, reason: str, now: Seconds) -> Job | None:
    """Return the record of a cancelled job; a running attempt is stopped first.

    None if the job has already ended. The queue is not searched for a waiting
    job: its entry is dropped when it reaches the front.
    """
    if job.state in FINAL_STATES:
        return None
    if job.attempt is None:
        return replace(job, state=JobState.CANCELLED, reason=reason, ended_at=now)
    attempt = replace(job.attempt, state=AttemptState.STOPPING)
    return replace(job, attempt=attempt, reason=reason)


def plan_drain_stops(tables: JobTables) -> list[StopAttempt]:
    """Return the attempts to stop because their worker accepts no more work.

    Attempts that can be checkpointed are stopped at once and continue on another
    worker. A drain waits for all others to end.
    """
    stops: list[StopAttempt] = []
    for worker in tables.workers_by_id.values():
        if worker.accepts_work:
            continue
        for job_id in sorted(worker.job_ids):
            job = tables.jobs_by_id[job_id]
            if job.can_checkpoint and _is_running(job):
                stops.append(mark_stopping(tables, job, "its worker is drained"))
    return stops


def release_stale_reservations(tables: JobTables) -> None:
    """Release workers that are reserved for jobs that no longer wait."""
    for worker in tables.workers_by_id.values():
        if worker.reserved_for is None:
            continue
        job = tables.jobs_by_id.get(worker.reserved_for)
        if job is None or job.state is not JobState.WAITING or not worker.accepts_work:
            worker.reserved_for = None


REPRESENTATIVE_ENDS = frozenset({AttemptEnd.SUCCEEDED, AttemptEnd.OUT_OF_MEMORY})
"""Ends after which the peak use is representative of the job's real size."""

FINAL_STATES = frozenset({JobState.DONE, JobState.FAILED, JobState.CANCELLED})


def _apply_end(tables: JobTables, job: Job, end: AttemptEnd, now: Seconds) -> Job:
    assert job.attempt is not None
    worker = tables.workers_by_id.get(job.attempt.vm_id)
    without_attempt = replace(job, attempt=None)
    if end is AttemptEnd.SUCCEEDED:
        if worker is not None:
            record_success(worker)
        return replace(without_attempt, state=JobState.DONE)
    if _was_cancelled(job):
        return replace(without_attempt, state=JobState.CANCELLED)
    if end is AttemptEnd.FAILED and worker is not None:
        without_attempt = record_failure(tables, without_attempt, worker, now)
    if without_attempt.state is JobState.FAILED:
        return without_attempt
    return replace(without_attempt, state=JobState.WAITING)


def _was_cancelled(job: Job) -> bool:
    stopping = job.attempt is not None and job.attempt.state is AttemptState.STOPPING
    return stopping and bool(job.reason)


def _is_running(job: Job) -> bool:
    return job.attempt is not None and job.attempt.state is AttemptState.RUNNING


def _find_current(tables: JobTables, job_id: JobId, number: int) -> Job | None:
    job = tables.jobs_by_id.get(job_id)
    if job is None or job.attempt is None or job.attempt.number != number:
        return None
    return job


__all__ = [
    "FINAL_STATES",
    "AttemptEnd",
    "cancel_job",
    "confirm_running",
    "end_attempt",
    "plan_drain_stops",
    "release_stale_reservations",
]
