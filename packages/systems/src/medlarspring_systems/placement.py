"""Where waiting jobs start: fair between partners, best fit on workers."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from msgspec.structs import replace

from medlarspring_systems.job_records import is_lent, put_job
from medlarspring_systems.size_beliefs import believe_size
from medlarspring_tables import (
    NO_SIZE,
    Attempt,
    AttemptState,
    JobState,
    JobUrgency,
    Size,
)

if TYPE_CHECKING:
    from medlarspring_tables import (
        Job,
        JobId,
        JobTables,
        PartnerId,
        PartnerUse,
        Ranked,
        Seconds,
        Worker,
    )

BACKFILL_DEPTH = 8
"""Jobs looked at behind one that does not fit, per partner and tick."""
RESERVE_AFTER_SECONDS = 120.0
"""A job that waited this long for a large enough worker gets one reserved."""
RESERVED_PART = 8
"""At most one worker in so many is reserved, but always one."""


class Blocked(Enum):
    """Why a waiting job was not placed."""

    SPARE = "the rest of the capacity is held back as spare"
    QUOTA = "the partner's quota is in use"
    NO_ROOM = "no worker has room now"
    TRIED = "it failed on every worker that has room"


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start a job on a worker; the record already holds the attempt."""

    job: Job
    reason: str


def place_jobs(tables: JobTables, now: Seconds, most: int) -> list[StartAttempt]:
    """Place up to ``most`` waiting jobs; records and sums are changed at once.

    ``now`` is wall time. Urgent jobs of partners within their share go first,
    then all partners by the part of the pool they hold for their weight.
    """
    starts = _place_from(tables, tables.urgent_by_partner, now, most, urgent=True)
    rest = most - len(starts)
    starts += _place_from(tables, tables.waiting_by_partner, now, rest, urgent=False)
    rest = most - len(starts)
    starts += _place_from(tables, tables.urgent_by_partner, now, rest, urgent=False)
    return starts


def dominant_part(held: Size, capacity: Size) -> float:
    """Return the largest part held of any one kind of capacity."""
    return max(
        _part(held.cpus, capacity.cpus),
        _part(held.memory_gb, capacity.memory_gb),
        _part(held.accelerators, capacity.accelerators),
    )


def is_within_share(tables: JobTables, partner: PartnerUse) -> bool:
    """Tell whether a partner holds less than its weight entitles it to."""
    total = sum(each.weight for each in tables.partners_by_id.values())
    if total <= 0:
        return False
    return dominant_part(partner.held, tables.capacity) < partner.weight / total


def explain_waiting(tables: JobTables, job: Job, now: Seconds) -> Blocked | None:
    """Return why a waiting job does not start now; None if it could."""
    size = believe_size(tables, job, _largest(tables))
    return _find_block(tables, job, size, now)


def find_worker(tables: JobTables, job: Job, size: Size, now: Seconds) -> Worker | None:
    """Return the usable worker that the job would leave with least room.

    Best fit keeps whole workers free for large jobs. Workers on which the job
    failed come last; reserved ones take only the job they wait for.
    """
    best: Worker | None = None
    best_key: tuple[bool, float] | None = None
    for worker in tables.workers_by_id.values():
        if not is_usable(worker, job.id, now):
            continue
        free = worker.capacity.minus(worker.set_aside)
        if not size.fits_in(free):
            continue
        left = _part(free.cpus - size.cpus, worker.capacity.cpus)
        wasted = free.accelerators if size.accelerators == 0 else 0
        key = (worker.id in job.failed_on, wasted + left)
        if best_key is None or key < best_key:
            best, best_key = worker, key
    return best


def is_usable(worker: Worker, job_id: JobId, now: Seconds) -> bool:
    """Tell whether a worker may take this job now."""
    if not worker.accepts_work or worker.quarantined_until > now:
        return False
    if worker.quarantines and worker.job_ids:
        return False  # On probation: one job at a time until one succeeds.
    return worker.reserved_for is None or worker.reserved_for == job_id


def _place_from(
    tables: JobTables,
    queues: dict[PartnerId, list[Ranked]],
    now: Seconds,
    most: int,
    *,
    urgent: bool,
) -> list[StartAttempt]:
    """Serve the partner with the smallest weighted part, again and again."""
    starts: list[StartAttempt] = []
    order = [
        (_weighted_part(tables, partner_id), partner_id)
        for partner_id, queue in queues.items()
        if queue
    ]
    heapq.heapify(order)
    while order and len(starts) < most:
        _, partner_id = heapq.heappop(order)
        partner = tables.partners_by_id.get(partner_id)
        if partner is None:
            continue
        if urgent and not is_within_share(tables, partner):
            continue
        start = _place_next(tables, queues[partner_id], now)
        if start is None:
            continue
        starts.append(start)
        heapq.heappush(order, (_weighted_part(tables, partner_id), partner_id))
    for partner_id in [key for key, queue in queues.items() if not queue]:
        del queues[partner_id]
    return starts


def _place_next(
    tables: JobTables, queue: list[Ranked], now: Seconds
) -> StartAttempt | None:
    """Place the first job of a queue that fits, looking a few places behind."""
    passed: list[Ranked] = []
    start: StartAttempt | None = None
    while queue and start is None and len(passed) < BACKFILL_DEPTH:
        ranked = heapq.heappop(queue)
        job = tables.jobs_by_id.get(ranked[1])
        if job is None or job.state is not JobState.WAITING:
            continue
        start = _try_place(tables, job, now)
        if start is None:
            passed.append(ranked)
            if _may_not_be_passed(tables, job, now):
                break
    for ranked in passed:
        heapq.heappush(queue, ranked)
    return start


def _may_not_be_passed(tables: JobTables, job: Job, now: Seconds) -> bool:
    """Tell whether a job has waited too long for its partner's own quota.

    Smaller jobs of the same partner would refill the quota whenever a part of
    it comes free, and the large job would never start.
    """
    if now - job.submitted_at < RESERVE_AFTER_SECONDS:
        return False
    size = believe_size(tables, job, _largest(tables))
    return _find_block(tables, job, size, now) is Blocked.QUOTA


def _try_place(tables: JobTables, job: Job, now: Seconds) -> StartAttempt | None:
    size = believe_size(tables, job, _largest(tables))
    block = _find_block(tables, job, size, now)
    if block in (Blocked.NO_ROOM, Blocked.SPARE):
        _reserve_worker(tables, job, size, now)
        return None
    worker = find_worker(tables, job, size, now)
    if block is not None or worker is None:
        return None
    if worker.reserved_for == job.id:
        worker.reserved_for = None
    attempt = Attempt(
        number=job.attempts_made + 1,
        vm_id=worker.id,
        state=AttemptState.INTENDED,
        size=size,
        started_at=now,
    )
    placed = replace(
        job,
        state=JobState.RUNNING,
        attempt=attempt,
        attempts_made=attempt.number,
    )
    put_job(tables, placed)
    return StartAttempt(placed, f"best fit for {size.cpus:g} cpus")


def _find_block(
    tables: JobTables, job: Job, size: Size, now: Seconds
) -> Blocked | None:
    partner = tables.partners_by_id[job.partner_id]
    if not partner.held.plus(size).fits_in(partner.quota):
        return Blocked.QUOTA
    if not is_lent(job) and not _leaves_spare(tables, job, size):
        return Blocked.SPARE
    worker = find_worker(tables, job, size, now)
    if worker is None:
        return Blocked.NO_ROOM
    if worker.id in job.failed_on and _has_untried(tables, job):
        return Blocked.TRIED
    return None


def _leaves_spare(tables: JobTables, job: Job, size: Size) -> bool:
    """Tell whether work that cannot yield stays out of the spare.

    Spare that is held by work nobody can stop would be gone when a rack
    fails, and urgent work would wait for hours. Work that can be stopped or
    throttled within seconds may use it meanwhile; urgent work may always.
    """
    if job.urgency is JobUrgency.URGENT:
        return True
    firm = tables.held.minus(tables.lent).plus(size)
    firm = firm.plus(_sum_reserved(tables, job))
    usable = 1.0 - tables.spare_percent / 100.0
    return (
        firm.cpus <= tables.capacity.cpus * usable
        and firm.memory_gb <= tables.capacity.memory_gb * usable
    )


def _sum_reserved(tables: JobTables, job: Job) -> Size:
    """Return what is reserved for other jobs that cannot yield.

    Counting only what runs, small jobs elsewhere would fill the capacity up
    to the spare, and the worker emptied for a large job would stay unused.
    """
    total = NO_SIZE
    for worker in tables.workers_by_id.values():
        if worker.reserved_for is None or worker.reserved_for == job.id:
            continue
        other = tables.jobs_by_id.get(worker.reserved_for)
        if other is not None and not is_lent(other):
            total = total.plus(believe_size(tables, other, worker.capacity))
    return total


def _has_untried(tables: JobTables, job: Job) -> bool:
    """Tell whether a worker that could hold the job has not been tried."""
    return any(
        worker.accepts_work
        and worker.id not in job.failed_on
        and job.declared.fits_in(worker.capacity)
        for worker in tables.workers_by_id.values()
    )


def _reserve_worker(tables: JobTables, job: Job, size: Size, now: Seconds) -> None:
    """Keep small jobs off one worker once a large job has waited for long."""
    if now - job.submitted_at < RESERVE_AFTER_SECONDS:
        return
    workers = list(tables.workers_by_id.values())
    reserved = [worker for worker in workers if worker.reserved_for is not None]
    if any(worker.reserved_for == job.id for worker in reserved):
        return
    if len(reserved) >= max(1, len(workers) // RESERVED_PART):
        return
    candidates = [
        worker
        for worker in workers
        if worker.reserved_for is None
        and worker.accepts_work
        and worker.quarantined_until <= now
        and size.fits_in(worker.capacity)
    ]
    if not candidates:
        return
    emptiest = min(
        candidates,
        key=lambda worker: _part(worker.set_aside.cpus, worker.capacity.cpus),
    )
    emptiest.reserved_for = job.id


def _weighted_part(tables: JobTables, partner_id: PartnerId) -> float:
    partner = tables.partners_by_id.get(partner_id)
    if partner is None or partner.weight <= 0:
        return float("inf")
    return dominant_part(partner.held, tables.capacity) / partner.weight


def _largest(tables: JobTables) -> Size:
    workers = tables.workers_by_id.values()
    if not workers:
        return NO_SIZE
    return max((worker.capacity for worker in workers), key=lambda size: size.cpus)


def _part(amount: float, whole: float) -> float:
    return amount / whole if whole > 0 else 0.0


__all__ = [
    "Blocked",
    "StartAttempt",
    "dominant_part",
    "explain_waiting",
    "find_worker",
    "is_usable",
    "is_within_share",
    "place_jobs",
]
