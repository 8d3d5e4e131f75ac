"""Whether a request may wait, and when a refused one should come back."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from medlarspring_systems.fair_queue import get_partner_queue
from medlarspring_tables.requests import Outcome, Refusal, RefusalKind, Urgency

if TYPE_CHECKING:
    from medlarspring_tables import Seconds
    from medlarspring_tables.requests import CallerRequest, PartnerQueue, PoolQueue

MIN_RETRY_SECONDS = 1.0
MIN_WAITING_PER_PARTNER = 16
"""Each partner may have this many waiting, however small its weight."""


@dataclass(slots=True, frozen=True)
class QueueOccupancy:
    """How many requests wait in this process, over all services."""

    max_waiting: int
    total_waiting: int
    partner_waiting: int


def check_admission(
    pool: PoolQueue,
    request: CallerRequest,
    usable_slots: int,
    occupancy: QueueOccupancy,
    now: Seconds,
) -> Refusal | None:
    """Return why a request that would have to wait is refused, if it is.

    A request is refused at once when it would not be answered in time: it
    would only take the place of one that can.
    """
    queue = get_partner_queue(pool, request.partner_id)
    wait = estimate_wait(pool, queue, request.urgency, usable_slots)
    if (
        not _is_full(pool, queue, occupancy)
        and now + wait + estimate_service_time(pool) <= request.deadline
    ):
        return None
    return refuse_for_load(pool, queue, wait)


def estimate_service_time(pool: PoolQueue) -> Seconds:
    """Return the time within which most requests are answered once sent.

    Begun with the mean time left, nearly half would miss their deadline, and
    the slots they used would be lost when the service is short of them.
    """
    return pool.service_seconds + pool.service_spread


def refuse_for_load(pool: PoolQueue, queue: PartnerQueue, wait: Seconds) -> Refusal:
    """Return the refusal of a request whose turn would come too late."""
    retry_after = max(MIN_RETRY_SECONDS, wait)
    others = pool.waiting > queue.waiting
    if others and is_over_share(pool, queue):
        return Refusal(
            RefusalKind.OVER_SHARE,
            Outcome.NOT_RUN,
            "Others are owed the free slots; send again after Retry-After.",
            retry_after,
        )
    return Refusal(
        RefusalKind.OVERLOADED,
        Outcome.NOT_RUN,
        "The queue is longer than the deadline; send again after Retry-After.",
        retry_after,
    )


def estimate_wait(
    pool: PoolQueue, queue: PartnerQueue, urgency: Urgency, usable_slots: int
) -> Seconds:
    """Return how long a new request would wait for a slot.

    The partner is served at its share of the rate at least, and the whole
    queue at the whole rate: the smaller of the two times holds.
    """
    rate = max(1, usable_slots) / max(pool.service_seconds, 0.001)
    if urgency is Urgency.URGENT:
        return (pool.urgent_waiting + 1) / rate
    ahead = sum(
        len(waiting)
        for kind, waiting in queue.waiting_by_urgency.items()
        if kind.value <= urgency.value
    )
    share = queue.weight / _sum_active_weights(pool, queue)
    return min((pool.waiting + 1) / rate, (ahead + 1) / (rate * share))


def is_over_share(pool: PoolQueue, queue: PartnerQueue) -> bool:
    """Whether the partner has used more than its weight gives it."""
    used = sum(other.used for other in pool.queues_by_partner.values())
    return queue.used * _sum_active_weights(pool, queue) > used * queue.weight


def _sum_active_weights(pool: PoolQueue, queue: PartnerQueue) -> float:
    return sum(
        other.weight
        for other in pool.queues_by_partner.values()
        if other is queue or other.waiting or other.running
    )


def _is_full(pool: PoolQueue, queue: PartnerQueue, occupancy: QueueOccupancy) -> bool:
    """Whether the partner's part of the places is taken, or all of them are.

    Each partner's part goes by weight, so that one partner's flood over all
    services never takes the places of the others.
    """
    if occupancy.total_waiting >= occupancy.max_waiting:
        return True
    part = queue.weight / max(pool.total_weight, queue.weight)
    bound = max(MIN_WAITING_PER_PARTNER, int(occupancy.max_waiting * part))
    return occupancy.partner_waiting >= bound


__all__ = [
    "QueueOccupancy",
    "check_admission",
    "estimate_wait",
    "estimate_service_time",
    "is_over_share",
    "refuse_for_load",
]
