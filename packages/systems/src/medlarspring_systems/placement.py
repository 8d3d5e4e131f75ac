"""Places waiting jobs: weighted fairness between partners, best fit on workers."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import TYPE_CHECKING

from msgspec.structs import replace

from medlarspring_systems.job_records import put_job
from medlarspring_systems.placement_rules import (
    RESERVE_AFTER_SECONDS,
    Blocked,
    PlacementRound,
    check_placement,
    create_round,
    dominant_share,
    is_within_share,
    reserve_worker,
)
from medlarspring_systems.size_estimates import estimate_size
from medlarspring_tables import Attempt, AttemptState, JobState

if TYPE_CHECKING:
    from medlarspring_tables import (
        Job,
        JobTables,
        PartnerId,
        QueueEntry,
        Seconds,
        Size,
        Worker,
    )

BACKFILL_DEPTH = 8
"""Number of jobs of a partner that are tried when those in front do not fit."""
BACKFILL_WINDOW = 32
"""Number of jobs further back that a round tries when none in front can start. The
window moves with each round, so that each job is tried in the end."""
RECHECK_SECONDS = 5.0
"""Time after which a round is repeated although nothing has changed.

Time alone can let a job start, when a quarantine ends or a job has waited long
enough for a reserved worker.
"""


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Order to start a job on a worker; the record already holds the attempt."""

    job: Job
    reason: str


def place_jobs(tables: JobTables, now: Seconds, limit: int) -> list[StartAttempt]:
    """Place up to ``limit`` waiting jobs and update records and totals at once.

    ``now`` is wall time. Urgent jobs of partners within their share go first,
    then the jobs of all partners, lowest weighted share first. Once all jobs were
    tried, further rounds are skipped for ``RECHECK_SECONDS`` unless something has
    changed.
    """
    is_settled = tables.settled_at_change == tables.changes
    if is_settled and now - tables.settled_at < RECHECK_SECONDS:
        return []
    _count_round(tables)
    round_ = create_round(tables, now)
    urgent, others = tables.urgent_by_partner, tables.waiting_by_partner
    starts = _place_from_queues(tables, urgent, round_, limit, only_within_share=True)
    starts += _place_from_queues(tables, others, round_, limit - len(starts))
    starts += _place_from_queues(tables, urgent, round_, limit - len(starts))
    if len(starts) < limit and _has_tried_all(tables):
        tables.settled_at_change = tables.changes
        tables.settled_at = now
    return starts


def _count_round(tables: JobTables) -> None:
    tables.placement_rounds += 1
    if tables.rounds_counted_at != tables.changes:
        tables.rounds_counted_at = tables.changes
        tables.rounds_at_change = 0
    tables.rounds_at_change += 1


def _has_tried_all(tables: JobTables) -> bool:
    """Return whether the windows have passed all waiting jobs since the last change."""
    queues = (*tables.urgent_by_partner.values(), *tables.waiting_by_partner.values())
    longest = max(map(len, queues), default=0)
    return tables.rounds_at_change * BACKFILL_WINDOW >= longest


def explain_waiting(tables: JobTables, job: Job, now: Seconds) -> Blocked | None:
    """Return why a waiting job cannot start now; None if it can."""
    round_ = create_round(tables, now)
    size = estimate_size(tables, job, round_.largest)
    result = check_placement(tables, job, size, round_)
    return result if isinstance(result, Blocked) else None


def _place_from_queues(
    tables: JobTables,
    queues: dict[PartnerId, list[QueueEntry]],
    round_: PlacementRound,
    limit: int,
    *,
    only_within_share: bool = False,
) -> list[StartAttempt]:
    """Place jobs one by one, each time from the lowest weighted share's queue."""
    starts: list[StartAttempt] = []
    order = [
        (_weighted_share(tables, partner_id), partner_id)
        for partner_id, queue in queues.items()
        if queue
    ]
    heapq.heapify(order)
    while order and len(starts) < limit:
        _, partner_id = heapq.heappop(order)
        partner = tables.partners_by_id.get(partner_id)
        if partner is None:
            continue
        if only_within_share and not is_within_share(
            tables, partner, round_.total_weight
        ):
            continue
        start = _place_next(tables, queues[partner_id], round_)
        if start is None:
            continue
        starts.append(start)
        heapq.heappush(order, (_weighted_share(tables, partner_id), partner_id))
    for partner_id in [key for key, queue in queues.items() if not queue]:
        del queues[partner_id]
    return starts


def _place_next(
    tables: JobTables, queue: list[QueueEntry], round_: PlacementRound
) -> StartAttempt | None:
    """Place the first job that fits at the front of a queue, else in the window."""
    skipped: list[QueueEntry] = []
    start: StartAttempt | None = None
    is_blocked = False
    while queue and start is None and len(skipped) < BACKFILL_DEPTH:
        queue_entry = heapq.heappop(queue)
        job = tables.jobs_by_id.get(queue_entry[1])
        if job is None or job.state is not JobState.WAITING:
            continue
        size = estimate_size(tables, job, round_.largest)
        result = check_placement(tables, job, size, round_)
        if not isinstance(result, Blocked):
            start = _start(tables, job, size, result, round_.now)
            continue
        skipped.append(queue_entry)
        if result in (Blocked.NO_FREE_WORKER, Blocked.SPARE):
            reserve_worker(tables, job, size, round_)
        elif _blocks_backfill(tables, job, size, result, round_.now):
            is_blocked = True
            break
    if start is None and not is_blocked:
        start = _place_from_window(tables, queue, round_)
    for queue_entry in skipped:
        heapq.heappush(queue, queue_entry)
    return start


def _place_from_window(
    tables: JobTables, queue: list[QueueEntry], round_: PlacementRound
) -> StartAttempt | None:
    """Place the first job that fits in this round's window of a queue.

    Its entry stays in the queue, and is dropped when it gets to the front.
    """
    if not queue:
        return None
    begin = tables.placement_rounds * BACKFILL_WINDOW % len(queue)
    end = begin + BACKFILL_WINDOW
    for _, job_id in queue[begin:end] + queue[: max(end - len(queue), 0)]:
        job = tables.jobs_by_id.get(job_id)
        if job is None or job.state is not JobState.WAITING:
            continue
        size = estimate_size(tables, job, round_.largest)
        result = check_placement(tables, job, size, round_)
        if not isinstance(result, Blocked):
            return _start(tables, job, size, result, round_.now)
    return None


def _blocks_backfill(
    tables: JobTables, job: Job, size: Size, block: Blocked, now: Seconds
) -> bool:
    """Return whether a job has waited too long for its partner's quota.

    Otherwise smaller jobs of the same partner would use the quota whenever a
    part of it becomes free, and the large job would never start. A job that needs
    more than the whole quota, as it was lowered, does not start that way either.
    """
    if block is not Blocked.QUOTA or now - job.submitted_at < RESERVE_AFTER_SECONDS:
        return False
    return size.fits_in(tables.partners_by_id[job.partner_id].quota)


def _start(
    tables: JobTables, job: Job, size: Size, worker: Worker, now: Seconds
) -> StartAttempt:
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


def _weighted_share(tables: JobTables, partner_id: PartnerId) -> float:
    partner = tables.partners_by_id.get(partner_id)
    if partner is None or partner.weight <= 0:
        return float("inf")
    return dominant_share(partner.held, tables.capacity) / partner.weight


__all__ = ["BACKFILL_DEPTH", "StartAttempt", "explain_waiting", "place_jobs"]
