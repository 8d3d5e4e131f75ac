"""Rules that determine whether and where a job may start."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from medlarspring_systems.job_records import is_preemptible
from medlarspring_systems.size_estimates import estimate_size
from medlarspring_tables import NO_SIZE, JobUrgency, Size

if TYPE_CHECKING:
    from medlarspring_tables import (
        Job,
        JobId,
        JobTables,
        PartnerUse,
        Seconds,
        Worker,
    )

RESERVE_AFTER_SECONDS = 120.0
"""A job that waited this long for a large enough worker gets one reserved."""
WORKERS_PER_RESERVATION = 8
"""At most one of this many workers is reserved, but at least one per pool."""


class Blocked(Enum):
    """Why a waiting job was not placed."""

    SPARE = "the rest of the capacity is held back as spare"
    QUOTA = "the partner's quota is in use"
    NO_FREE_WORKER = "no worker has room now"
    ALREADY_FAILED = "it failed on every worker that has room"


@dataclass(slots=True)
class PlacementRound:
    """Values that are computed once per placement round."""

    now: Seconds
    """Wall time."""
    largest: Size
    """Capacity of the worker with the most processors."""
    total_weight: float
    reserved: Size
    """Total size reserved for jobs that are not preemptible."""
    reserved_ids: set[JobId]
    """Jobs that have a worker reserved."""
    too_large: list[Size] = field(default_factory=list)
    """Sizes that fit no worker; free capacity only decreases during a round."""

    def is_too_large(self, size: Size) -> bool:
        """Return whether a size is at least as large as one that fits no worker."""
        return any(other.fits_in(size) for other in self.too_large)

    def record_too_large(self, size: Size) -> None:
        """Record a size that fits no worker, in place of larger ones."""
        smaller = [other for other in self.too_large if not size.fits_in(other)]
        self.too_large = [*smaller, size]


def create_round(tables: JobTables, now: Seconds) -> PlacementRound:
    """Return the values for a round that starts now."""
    return PlacementRound(
        now=now,
        largest=largest_worker(tables),
        total_weight=sum(each.weight for each in tables.partners_by_id.values()),
        reserved=_sum_reserved(tables),
        reserved_ids={
            worker.reserved_for
            for worker in tables.workers_by_id.values()
            if worker.reserved_for is not None
        },
    )


def largest_worker(tables: JobTables) -> Size:
    """Return the capacity of the worker with the most processors."""
    workers = tables.workers_by_id.values()
    if not workers:
        return NO_SIZE
    return max((worker.capacity for worker in workers), key=lambda size: size.cpus)


def dominant_share(held: Size, capacity: Size) -> float:
    """Return the largest share held of any one resource."""
    return max(
        fraction_of(held.cpus, capacity.cpus),
        fraction_of(held.memory_gb, capacity.memory_gb),
        fraction_of(held.accelerators, capacity.accelerators),
    )


def is_within_share(
    tables: JobTables, partner: PartnerUse, total_weight: float
) -> bool:
    """Return whether a partner holds less than its weighted fair share."""
    if total_weight <= 0:
        return False
    share = partner.weight / total_weight
    return dominant_share(partner.held, tables.capacity) < share


def check_placement(
    tables: JobTables, job: Job, size: Size, round_: PlacementRound
) -> Blocked | Worker:
    """Return the worker on which a job may start now, or why it may not."""
    partner = tables.partners_by_id[job.partner_id]
    if not partner.held.plus(size).fits_in(partner.quota):
        return Blocked.QUOTA
    if not is_preemptible(job) and not _leaves_spare(tables, job, size, round_):
        return Blocked.SPARE
    if job.id not in round_.reserved_ids and round_.is_too_large(size):
        return Blocked.NO_FREE_WORKER
    worker = find_worker(tables, job, size, round_.now)
    if worker is None:
        round_.record_too_large(size)
        return Blocked.NO_FREE_WORKER
    if worker.id in job.failed_on and _has_untried_worker(tables, job):
        return Blocked.ALREADY_FAILED
    return worker


def find_worker(tables: JobTables, job: Job, size: Size, now: Seconds) -> Worker | None:
    """Return the usable worker with the least free capacity left by the job.

    Best fit keeps whole workers free for large jobs. Workers on which the job
    failed come last. A reserved worker accepts only the job it is reserved for.
    """
    best: Worker | None = None
    best_key: tuple[bool, float] | None = None
    for worker in tables.workers_by_id.values():
        if worker.capacity.cpus - worker.allocated.cpus < size.cpus:
            continue
        if not is_usable(worker, job.id, now):
            continue
        free = worker.capacity.minus(worker.allocated)
        if not size.fits_in(free):
            continue
        left = fraction_of(free.cpus - size.cpus, worker.capacity.cpus)
        wasted = free.accelerators if size.accelerators == 0 else 0
        key = (worker.id in job.failed_on, wasted + left)
        if best_key is None or key < best_key:
            best, best_key = worker, key
    return best


def is_usable(worker: Worker, job_id: JobId, now: Seconds) -> bool:
    """Return whether a worker may start this job now."""
    if not worker.accepts_work or worker.quarantined_until > now:
        return False
    if worker.quarantine_count and worker.job_ids:
        return False  # After a quarantine, one job at a time until one succeeds.
    return worker.reserved_for is None or worker.reserved_for == job_id


def reserve_worker(
    tables: JobTables, job: Job, size: Size, round_: PlacementRound
) -> None:
    """Reserve a worker for a job that has waited ``RESERVE_AFTER_SECONDS``."""
    if round_.now - job.submitted_at < RESERVE_AFTER_SECONDS:
        return
    if job.id in round_.reserved_ids:
        return
    workers = tables.workers_by_id.values()
    if len(round_.reserved_ids) >= max(1, len(workers) // WORKERS_PER_RESERVATION):
        return
    candidates = [
        worker
        for worker in workers
        if worker.reserved_for is None
        and worker.accepts_work
        and worker.quarantined_until <= round_.now
        and size.fits_in(worker.capacity)
    ]
    if not candidates:
        return
    emptiest = min(
        candidates,
        key=lambda worker: fraction_of(worker.allocated.cpus, worker.capacity.cpus),
    )
    emptiest.reserved_for = job.id
    round_.reserved = _sum_reserved(tables)
    round_.reserved_ids.add(job.id)


def fraction_of(amount: float, whole: float) -> float:
    """Return the fraction ``amount / whole``; 0 if ``whole`` is not positive."""
    return amount / whole if whole > 0 else 0.0


def _leaves_spare(
    tables: JobTables, job: Job, size: Size, round_: PlacementRound
) -> bool:
    """Return whether the spare capacity stays free of non-preemptible work.

    If such work held the spare, none would be left when a rack fails, and urgent
    work would wait for hours. Preemptible work may use the spare because it can
    be checkpointed within seconds, and urgent work may always use it.
    """
    if job.urgency is JobUrgency.URGENT:
        return True
    non_preemptible = tables.held.minus(tables.preemptible).plus(size)
    if job.id not in round_.reserved_ids:
        non_preemptible = non_preemptible.plus(round_.reserved)
    usable = 1.0 - tables.spare_percent / 100.0
    return (
        non_preemptible.cpus <= tables.capacity.cpus * usable
        and non_preemptible.memory_gb <= tables.capacity.memory_gb * usable
    )


def _sum_reserved(tables: JobTables) -> Size:
    """Return the total size reserved for jobs that are not preemptible.

    If only running jobs counted, small jobs on other workers would use all
    capacity up to the spare, and the large job could not start on the worker
    reserved for it.
    """
    total = NO_SIZE
    for worker in tables.workers_by_id.values():
        if worker.reserved_for is None:
            continue
        job = tables.jobs_by_id.get(worker.reserved_for)
        if job is not None and not is_preemptible(job):
            total = total.plus(estimate_size(tables, job, worker.capacity))
    return total


def _has_untried_worker(tables: JobTables, job: Job) -> bool:
    """Return whether the job has not yet failed on some worker that fits it."""
    return any(
        worker.accepts_work
        and worker.id not in job.failed_on
        and job.declared.fits_in(worker.capacity)
        for worker in tables.workers_by_id.values()
    )


__all__ = [
    "RESERVE_AFTER_SECONDS",
    "Blocked",
    "PlacementRound",
    "create_round",
    "dominant_share",
    "check_placement",
    "find_worker",
    "is_usable",
    "is_within_share",
    "largest_worker",
    "fraction_of",
    "reserve_worker",
]
