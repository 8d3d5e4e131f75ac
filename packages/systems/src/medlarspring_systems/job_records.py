"""Changes job records and keeps the totals and queues consistent with them."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from msgspec.structs import replace

from medlarspring_tables import (
    NO_SIZE,
    Job,
    JobState,
    JobTables,
    JobUrgency,
    Size,
    Worker,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_tables import JobId, PartnerUse, Seconds, VMId

BULK_PENALTY_SECONDS = 600.0
"""A bulk job is overtaken only by jobs submitted at most this much later."""


def put_job(tables: JobTables, job: Job) -> None:
    """Insert or replace a job and update the queues and totals."""
    old = tables.jobs_by_id.get(job.id)
    if old is not None:
        tables.originals_by_id.setdefault(job.id, old)
        _subtract_from_totals(tables, old)
    tables.jobs_by_id[job.id] = job
    _add_to_totals(tables, job)
    if old is not None and old.attempt is not None and _frees_capacity(old, job):
        tables.changes += 1
    was_waiting = old is not None and old.state is JobState.WAITING
    if job.state is JobState.WAITING and not was_waiting:
        tables.changes += 1
        enqueue(tables, job)


def revert_job(tables: JobTables, job_id: JobId) -> None:
    """Restore the previous record of a job whose change was not written."""
    old = tables.originals_by_id.pop(job_id, None)
    if old is not None:
        put_job(tables, old)
        tables.originals_by_id.pop(job_id, None)


def forget_job(tables: JobTables, job_id: JobId) -> None:
    """Remove a job whose record was deleted from the store."""
    old = tables.jobs_by_id.pop(job_id, None)
    tables.revisions_by_id.pop(job_id, None)
    tables.originals_by_id.pop(job_id, None)
    if old is not None:
        tables.changes += 1
        _subtract_from_totals(tables, old)


def put_worker(tables: JobTables, worker: Worker) -> None:
    """Insert a worker, or update the capacity and availability of a known one."""
    known = tables.workers_by_id.get(worker.id)
    if known is None:
        tables.workers_by_id[worker.id] = worker
        _recount_worker(tables, worker)
    else:
        if (known.capacity, known.accepts_work) == (
            worker.capacity,
            worker.accepts_work,
        ):
            return
        known.capacity = worker.capacity
        known.accepts_work = worker.accepts_work
    recount_capacity(tables)


def forget_worker(tables: JobTables, vm_id: VMId) -> None:
    """Remove a worker that left the pool; its attempts stay in their records."""
    tables.workers_by_id.pop(vm_id, None)
    recount_capacity(tables)


def recount_capacity(tables: JobTables) -> None:
    """Recompute the total capacity; has to be called when a worker has changed."""
    total = NO_SIZE
    for worker in tables.workers_by_id.values():
        if worker.accepts_work:
            total = total.plus(worker.capacity)
    tables.capacity = total
    tables.changes += 1


def put_partner(tables: JobTables, partner: PartnerUse) -> None:
    """Insert a partner, or update the weight and quota of a known one."""
    known = tables.partners_by_id.get(partner.id)
    if known is None:
        tables.partners_by_id[partner.id] = partner
        tables.changes += 1
        return
    if (known.weight, known.quota) != (partner.weight, partner.quota):
        tables.changes += 1
    known.weight = partner.weight
    known.quota = partner.quota


def enqueue(tables: JobTables, job: Job) -> None:
    """Add a waiting job to its partner's queue."""
    queues = tables.waiting_by_partner
    if job.urgency is JobUrgency.URGENT:
        queues = tables.urgent_by_partner
    queue = queues.setdefault(job.partner_id, [])
    heapq.heappush(queue, (rank_job(job), job.id))


def rank_job(job: Job) -> Seconds:
    """Return the rank of a job in its partner's queue; the lowest runs first.

    If bulk jobs always ranked behind newer jobs, they would never run under
    steady load, and a reconciliation would be skipped silently. The penalty is a
    fixed time, so only jobs submitted within it can overtake.
    """
    if job.urgency is JobUrgency.BULK:
        return job.submitted_at + BULK_PENALTY_SECONDS
    return job.submitted_at


def resize_attempt(tables: JobTables, job: Job, size: Size) -> None:
    """Change the allocation of a job's attempt; does nothing without an attempt."""
    if job.attempt is None:
        return
    put_job(tables, replace(job, attempt=replace(job.attempt, size=size)))


def is_preemptible(job: Job) -> bool:
    """Return whether the job's resources can be reclaimed within seconds."""
    return job.can_checkpoint and job.urgency is not JobUrgency.URGENT


def _frees_capacity(old: Job, job: Job) -> bool:
    """Return whether a change of a running job may let other jobs start."""
    if job.attempt is None or old.attempt is None:
        return True
    return job.attempt.size != old.attempt.size


def _add_to_totals(tables: JobTables, job: Job) -> None:
    worker = _update_totals(tables, job, Size.plus)
    if worker is not None:
        worker.job_ids.add(job.id)


def _subtract_from_totals(tables: JobTables, job: Job) -> None:
    worker = _update_totals(tables, job, Size.minus)
    if worker is not None:
        worker.job_ids.discard(job.id)


def _update_totals(
    tables: JobTables, job: Job, change: Callable[[Size, Size], Size]
) -> Worker | None:
    """Add the size of a job's attempt to all totals, or subtract it.

    Returns the worker of the attempt if it is known.
    """
    if job.attempt is None:
        return None
    size = job.attempt.size
    tables.held = change(tables.held, size)
    if is_preemptible(job):
        tables.preemptible = change(tables.preemptible, size)
    partner = tables.partners_by_id.get(job.partner_id)
    if partner is not None:
        partner.held = change(partner.held, size)
    worker = tables.workers_by_id.get(job.attempt.vm_id)
    if worker is not None:
        worker.allocated = change(worker.allocated, size)
    return worker


def _recount_worker(tables: JobTables, worker: Worker) -> None:
    for job in tables.jobs_by_id.values():
        if job.attempt is not None and job.attempt.vm_id == worker.id:
            worker.allocated = worker.allocated.plus(job.attempt.size)
            worker.job_ids.add(job.id)


__all__ = [
    "enqueue",
    "forget_job",
    "forget_worker",
    "is_preemptible",
    "put_job",
    "put_partner",
    "put_worker",
    "rank_job",
    "recount_capacity",
    "resize_attempt",
    "revert_job",
]
