"""Frees workers for urgent jobs by checkpointing preemptible attempts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from msgspec.structs import replace

from medlarspring_systems.job_records import put_job
from medlarspring_systems.placement_rules import dominant_share, is_within_share
from medlarspring_systems.size_estimates import estimate_size
from medlarspring_tables import AttemptState, JobState, JobUrgency

if TYPE_CHECKING:
    from medlarspring_tables import Job, JobTables, Seconds, Size, Worker

MAX_PREEMPTIONS_PER_TICK = 64


@dataclass(frozen=True, slots=True)
class StopAttempt:
    """Order to checkpoint and stop an attempt on its worker."""

    job: Job
    reason: str


def plan_preemptions(tables: JobTables, now: Seconds) -> list[StopAttempt]:
    """Return the attempts to stop so that waiting urgent jobs can start.

    Runs after placement, so jobs still in the urgent queues could not be placed.
    One worker is reserved for each urgent job, so that other jobs do not use the
    capacity freed for it and no second worker is preempted for the same job.
    """
    stops: list[StopAttempt] = []
    for job in _list_urgent(tables):
        if len(stops) >= MAX_PREEMPTIONS_PER_TICK:
            break
        if not _has_reserved_worker(tables, job):
            stops += _preempt_for(tables, job, now)
    return stops


def _list_urgent(tables: JobTables) -> list[Job]:
    """Return waiting urgent jobs, oldest first."""
    waiting = [
        job
        for queue in tables.urgent_by_partner.values()
        for _, job_id in queue
        if (job := tables.jobs_by_id.get(job_id)) is not None
        and job.state is JobState.WAITING
        and job.partner_id in tables.partners_by_id
    ]
    waiting.sort(key=lambda job: (job.submitted_at, job.id))
    return waiting


def _may_preempt(tables: JobTables, urgent: Job, victim: Job) -> bool:
    """Return whether an urgent job may preempt another job's attempt.

    A partner over its share or at its quota may preempt only its own work.
    Otherwise it could take other partners' capacity by marking all work urgent.
    """
    if not is_preemptible_now(victim):
        return False
    if victim.partner_id == urgent.partner_id:
        return True
    partner = tables.partners_by_id[urgent.partner_id]
    has_quota = partner.held.plus(urgent.declared).fits_in(partner.quota)
    total = sum(each.weight for each in tables.partners_by_id.values())
    return has_quota and is_within_share(tables, partner, total)


def _has_reserved_worker(tables: JobTables, job: Job) -> bool:
    return any(
        worker.reserved_for == job.id for worker in tables.workers_by_id.values()
    )


def _preempt_for(tables: JobTables, job: Job, now: Seconds) -> list[StopAttempt]:
    best: tuple[float, str, Worker, list[Job]] | None = None
    for worker in tables.workers_by_id.values():
        size = estimate_size(tables, job, worker.capacity)
        if not _is_preemption_target(worker, now) or not size.fits_in(worker.capacity):
            continue
        victims = _choose_victims(tables, job, worker, size)
        if victims is None:
            continue
        cost = sum(_preemption_cost(tables, victim, now) for victim in victims)
        if best is None or (cost, worker.id) < best[:2]:
            best = (cost, worker.id, worker, victims)
    if best is None:
        return []
    worker, victims = best[2], best[3]
    worker.reserved_for = job.id
    reason = f"makes room for urgent job {job.id}"
    return [mark_stopping(tables, victim, reason) for victim in victims]


def mark_stopping(tables: JobTables, job: Job, reason: str) -> StopAttempt:
    """Record that the attempt is being stopped, and return the order to stop it."""
    assert job.attempt is not None
    attempt = replace(job.attempt, state=AttemptState.STOPPING)
    stopping = replace(job, attempt=attempt)
    put_job(tables, stopping)
    return StopAttempt(stopping, reason)


def _is_preemption_target(worker: Worker, now: Seconds) -> bool:
    usable = worker.accepts_work and worker.quarantined_until <= now
    return usable and worker.reserved_for is None and not worker.quarantine_count


def _choose_victims(
    tables: JobTables, urgent: Job, worker: Worker, size: Size
) -> list[Job] | None:
    """Return attempts to stop, largest first, until the job fits; None if it cannot."""
    free = worker.capacity.minus(worker.allocated)
    candidates = [
        job
        for job_id in sorted(worker.job_ids)
        if _may_preempt(tables, urgent, job := tables.jobs_by_id[job_id])
    ]
    candidates.sort(key=lambda job: -_cpus_of(job))
    victims: list[Job] = []
    for job in candidates:
        if size.fits_in(free):
            break
        assert job.attempt is not None
        free = free.plus(job.attempt.size)
        victims.append(job)
    return victims if size.fits_in(free) else None


def is_preemptible_now(job: Job) -> bool:
    """Return whether a job has a running attempt that may be checkpointed."""
    if job.urgency is JobUrgency.URGENT or not job.can_checkpoint:
        return False
    return job.attempt is not None and job.attempt.state is AttemptState.RUNNING


def _cpus_of(job: Job) -> float:
    return job.attempt.size.cpus if job.attempt else 0.0


def _preemption_cost(tables: JobTables, job: Job, now: Seconds) -> float:
    """Return the run time lost by a stop, reduced by the partner's weighted share."""
    assert job.attempt is not None
    partner = tables.partners_by_id.get(job.partner_id)
    run_seconds = max(now - job.attempt.started_at, 1.0)
    if partner is None or partner.weight <= 0:
        return run_seconds
    weighted_share = dominant_share(partner.held, tables.capacity) / partner.weight
    return run_seconds / (1.0 + weighted_share)


__all__ = [
    "StopAttempt",
    "is_preemptible_now",
    "mark_stopping",
    "plan_preemptions",
]
