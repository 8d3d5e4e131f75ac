"""Admission control: whether a request may be queued, and when to retry it."""

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
"""Every partner may queue this many requests, whatever its weight."""


@dataclass(slots=True, frozen=True)
class QueueOccupancy:
    """Number of requests queued in this process, over all services."""

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
    """Return the refusal of a request that has to wait, or None if it may wait.

    A request that cannot be answered before its deadline is refused at once,
    because it would occupy queue capacity that another request can use.
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

    With only the mean service time left, nearly half of the requests would miss
    their deadline and waste their slots while the service is short of slots.
    """
    return pool.service_seconds + pool.service_spread


def refuse_for_load(pool: PoolQueue, queue: PartnerQueue, wait: Seconds) -> Refusal:
    """Return the refusal of a request that would get a slot too late."""
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

    This is the smaller of two times: to serve the partner's queue at the
    partner's share of the service rate, and to serve the whole queue at the
    whole rate.
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
    """Return whether the partner has used more than its weighted share."""
    used = sum(other.used for other in pool.queues_by_partner.values())
    return queue.used * _sum_active_weights(pool, queue) > used * queue.weight


def _sum_active_weights(pool: PoolQueue, queue: PartnerQueue) -> float:
    return sum(
        other.weight
        for other in pool.queues_by_partner.values()
        if other is queue or other.waiting or other.running
    )


def _is_full(pool: PoolQueue, queue: PartnerQueue, occupancy: QueueOccupancy) -> bool:
    """Return whether the queue is full, either in total or for this partner.

    Each partner may fill a part of the queue in proportion to its weight, so
    that one partner's flood over all services leaves capacity for the others.
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
