"""Weighted fair queueing of requests over the whole fleet.

A partner is charged for the slot seconds that it uses through any entry VM; peers
report the use through them. Charges decay with a time constant of a few seconds.
So other partners can use an idle partner's share, the partner gets it back soon,
and no partner accumulates unused share.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.decayed_use import find_remaining, grow_unit
from medlarspring_tables.requests import (
    PartnerQueue,
    PeerUsage,
    PoolQueue,
    Urgency,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    from medlarspring_tables import (
        ConfigTable,
        EntryVMId,
        PartnerId,
        PartnerRow,
        Seconds,
    )
    from medlarspring_tables.requests import CallerRequest

USAGE_DECAY_SECONDS = 2.0
"""Time constant of the exponential decay of past use."""

SMOOTHING = 0.05
"""Weight of one request in the smoothed service time."""

PEER_USAGE_TIMEOUT_SECONDS = 12.0
"""A peer's waiting and running requests are ignored this long after its last
report; longer than the time in which unchanged figures are repeated."""

ENTITLED_TOLERANCE = 1.05
"""A partner's urgent requests go first while its use is at most this multiple of
its share."""


def get_partner_queue(pool: PoolQueue, partner_id: PartnerId) -> PartnerQueue:
    """Return the partner's queue, creating it at first use."""
    queue = pool.queues_by_partner.get(partner_id)
    if queue is None:
        queue = PartnerQueue(partner_id)
        _apply_partner_row(queue, pool.rows_by_partner.get(partner_id))
        pool.queues_by_partner[partner_id] = queue
    return queue


def apply_partner_config(pool: PoolQueue, config: ConfigTable) -> None:
    """Apply the weights and limits of the table in force.

    Queues are created only for partners that send requests: queues for hundreds
    of partners in dozens of pools would take more memory than everything else.
    """
    pool.rows_by_partner = config.partners_by_id
    pool.total_weight = sum(row.weight for row in config.partners_by_id.values())
    for partner_id, queue in pool.queues_by_partner.items():
        _apply_partner_row(queue, config.partners_by_id.get(partner_id))


def _apply_partner_row(queue: PartnerQueue, row: PartnerRow | None) -> None:
    if row is not None:
        queue.weight = row.weight
        queue.limit_percent = row.limit_percent


def enqueue(pool: PoolQueue, request: CallerRequest, *, first: bool = False) -> None:
    """Queue a request; ``first`` puts it back at the head of its queue."""
    queue = get_partner_queue(pool, request.partner_id)
    waiting = queue.waiting_by_urgency[request.urgency]
    if first:
        waiting.appendleft(request)
    else:
        waiting.append(request)
    _count_waiting(pool, queue, request, 1)


def remove(pool: PoolQueue, request: CallerRequest) -> bool:
    """Remove a waiting request; return whether it was in the queue.

    Used when the caller disconnects or the deadline passes.
    """
    queue = pool.queues_by_partner.get(request.partner_id)
    if queue is None:
        return False
    try:
        queue.waiting_by_urgency[request.urgency].remove(request)
    except ValueError:
        return False
    _count_waiting(pool, queue, request, -1)
    return True


def _count_waiting(
    pool: PoolQueue, queue: PartnerQueue, request: CallerRequest, step: int
) -> None:
    queue.waiting += step
    if queue.waiting:
        pool.waiting_by_partner[queue.partner_id] = queue
    else:
        del pool.waiting_by_partner[queue.partner_id]
    pool.waiting += step
    if request.urgency is Urgency.URGENT:
        pool.urgent_waiting += step


def pick_next(pool: PoolQueue, fleet_slots: int, now: Seconds) -> CallerRequest | None:
    """Dequeue and return the next request, or None if none may be sent.

    Urgent requests of partners within their share go first. After them, the
    partner with the smallest use for its weight is served; its urgent requests
    go before its other requests.
    """
    best: PartnerQueue | None = None
    best_rank = (2, 0.0)
    entitled = _find_entitled(pool, now) if pool.urgent_waiting else ()
    for queue in pool.waiting_by_partner.values():
        if queue.running >= count_allowed(pool, queue, fleet_slots, now):
            continue
        urgent = bool(queue.waiting_by_urgency[Urgency.URGENT])
        rank = (
            0 if urgent and queue.partner_id in entitled else 1,
            queue.used / queue.weight,
        )
        if rank < best_rank:
            best, best_rank = queue, rank
    if best is None:
        return None
    for waiting in best.waiting_by_urgency.values():
        if waiting:
            request = waiting.popleft()
            _count_waiting(pool, best, request, -1)
            return request
    return None


def _find_entitled(pool: PoolQueue, now: Seconds) -> set[PartnerId]:
    active = [
        queue for queue in pool.queues_by_partner.values() if _is_active(pool, queue)
    ]
    used = sum(queue.used for queue in active)
    weights = sum(queue.weight for queue in active)
    return {
        queue.partner_id
        for queue in active
        if queue.used * weights <= ENTITLED_TOLERANCE * used * queue.weight
        or queue.used < to_units(pool, pool.service_seconds, now)
    }


def _is_active(pool: PoolQueue, queue: PartnerQueue) -> bool:
    return bool(queue.waiting or queue.running or queue.used)


def count_allowed(
    pool: PoolQueue, queue: PartnerQueue, fleet_slots: int, now: Seconds
) -> int:
    """Return how many slots a partner's limit allows it through this entry VM.

    The limit applies to the whole fleet and is divided between the entry VMs in
    proportion to the partner's demand at each.
    """
    if queue.limit_percent >= 100.0:
        return fleet_slots
    allowed = fleet_slots * queue.limit_percent / 100.0
    here = queue.waiting + queue.running
    elsewhere = sum(
        usage.waiting + usage.running
        for (_, partner_id), usage in pool.peer_usage.items()
        if partner_id == queue.partner_id
        and now - usage.reported_at < PEER_USAGE_TIMEOUT_SECONDS
    )
    if not elsewhere:
        return max(1, int(allowed))
    return max(1, int(allowed * here / (here + elsewhere)))


def begin_request(pool: PoolQueue, partner_id: PartnerId, now: Seconds) -> None:
    """Charge the partner the expected slot time of a request that gets a slot."""
    queue = get_partner_queue(pool, partner_id)
    count_slot_time(queue, now)
    queue.running += 1
    pool.last_request_at = now
    queue.used += to_units(pool, pool.service_seconds, now)


def finish_request(
    pool: PoolQueue,
    partner_id: PartnerId,
    began_at: Seconds,
    now: Seconds,
    *,
    answered: bool = True,
) -> None:
    """Correct the charge by the slot time that was actually used.

    Only answered requests update the service time. The slot of an abandoned
    request stays in use for longer; counted, it would make the service look slow,
    and requests whose deadlines can be met would be refused.
    """
    queue = get_partner_queue(pool, partner_id)
    count_slot_time(queue, now)
    queue.running -= 1
    took = now - began_at
    correction = took - pool.service_seconds
    queue.used = max(0.0, queue.used + to_units(pool, correction, now))
    if not answered:
        return
    pool.answers += 1
    pool.service_spread += SMOOTHING * (abs(correction) - pool.service_spread)
    pool.service_seconds += SMOOTHING * correction


def count_slot_time(queue: PartnerQueue, now: Seconds) -> None:
    """Update the cumulative slot time to now."""
    queue.slot_seconds += queue.running * (now - queue.counted_at)
    queue.counted_at = now


def to_units(pool: PoolQueue, seconds: Seconds, now: Seconds) -> float:
    """Convert slot seconds used now to the pool's growing units.

    New use is scaled up instead of scaling old use down, so that a comparison
    does not have to decay the figure of every partner.
    """
    if pool.units_since is None:
        pool.units_since = now
    elapsed = now - pool.units_since
    unit = grow_unit(elapsed, USAGE_DECAY_SECONDS)
    if unit is None:
        _rebase(pool, elapsed, now)
        unit = 1.0
    return seconds * unit


def _rebase(pool: PoolQueue, elapsed: Seconds, now: Seconds) -> None:
    factor = find_remaining(elapsed, USAGE_DECAY_SECONDS)
    for queue in pool.queues_by_partner.values():
        queue.used *= factor
    pool.units_since = now


def record_peer_usage(
    pool: PoolQueue,
    peer: EntryVMId,
    partner_id: PartnerId,
    usage: PeerUsage,
    elapsed: Seconds,
) -> None:
    """Charge a partner for its use through a peer since the peer's last report.

    ``elapsed`` is the time since the last report of any kind from the peer.
    """
    known = pool.peer_usage.get((peer, partner_id))
    pool.peer_usage[peer, partner_id] = usage
    if known is None or known.incarnation != usage.incarnation:
        return
    used = usage.slot_seconds - known.slot_seconds
    if used <= 0.0 or elapsed <= 0.0:
        return
    # After a partition of minutes, one report contains all the use since. Only
    # the recent part is charged; otherwise the partner would be starved for old
    # use.
    recent = used * min(1.0, USAGE_DECAY_SECONDS / elapsed)
    queue = get_partner_queue(pool, partner_id)
    queue.used += to_units(pool, recent, usage.reported_at)


def remove_departed_peers(pool: PoolQueue, peers: Collection[EntryVMId]) -> None:
    """Remove the usage of peers that are no longer on the VM list."""
    pool.peer_usage = {
        key: usage for key, usage in pool.peer_usage.items() if key[0] in peers
    }


__all__ = [
    "USAGE_DECAY_SECONDS",
    "apply_partner_config",
    "begin_request",
    "count_allowed",
    "count_slot_time",
    "enqueue",
    "finish_request",
    "get_partner_queue",
    "remove_departed_peers",
    "pick_next",
    "remove",
    "record_peer_usage",
    "to_units",
]
