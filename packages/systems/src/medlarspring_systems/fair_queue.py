"""Whose request goes next: weighted fair queueing over the whole fleet.

A partner is charged for the slot seconds it uses through any entry VM. Peers'
use comes in by their reports. Charges fade with a time constant of a few
seconds, so that idle share is lent freely and comes back soon, and nobody
saves up share for later.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

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
"""Time constant with which past use fades."""

MAX_UNIT_EXPONENT = 200.0
"""The units are rebased before they overflow a float."""

SMOOTHING = 0.05
"""Weight of one request in the smoothed service time."""

PEER_USAGE_TIMEOUT_SECONDS = 12.0
"""A peer's waiting and running count for nothing after this silence; longer
than the time in which unchanged figures are repeated."""

ENTITLED_TOLERANCE = 1.05
"""Urgent work of a partner up to this part of its share goes before others'."""


def get_partner_queue(pool: PoolQueue, partner_id: PartnerId) -> PartnerQueue:
    """Return the partner's queue, creating it at first use."""
    queue = pool.queues_by_partner.get(partner_id)
    if queue is None:
        queue = PartnerQueue(partner_id)
        _apply_partner_row(queue, pool.rows_by_partner.get(partner_id))
        pool.queues_by_partner[partner_id] = queue
    return queue


def apply_partner_config(pool: PoolQueue, config: ConfigTable) -> None:
    """Take over weights and limits of the table in force.

    Queues are made only for partners that ask: hundreds of partners in dozens
    of pools would take more memory than all else.
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
    """Let a request wait for its turn, before all others if it had it already."""
    queue = get_partner_queue(pool, request.partner_id)
    waiting = queue.waiting_by_urgency[request.urgency]
    if first:
        waiting.appendleft(request)
    else:
        waiting.append(request)
    _count_waiting(pool, queue, request, 1)


def remove(pool: PoolQueue, request: CallerRequest) -> bool:
    """Take a waiting request out, as its caller left or its time is up."""
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
    """Take the request that goes next, or None if nothing may go.

    Urgent requests of partners within their share go first. After them the
    partner goes that has used least for its weight; its own urgent requests
    come before its others.
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

    The limit holds for the fleet, so it is divided between the entry VMs by
    what each has of the partner's demand.
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


def begin(pool: PoolQueue, partner_id: PartnerId, now: Seconds) -> None:
    """Charge a request that is given a slot with its expected slot time."""
    queue = get_partner_queue(pool, partner_id)
    count_slot_time(queue, now)
    queue.running += 1
    pool.asked_at = now
    queue.used += to_units(pool, pool.service_seconds, now)


def finish(
    pool: PoolQueue,
    partner_id: PartnerId,
    began_at: Seconds,
    now: Seconds,
    *,
    answered: bool = True,
) -> None:
    """Correct the charge by the slot time that was really used.

    Only answered requests tell how long work takes. A slot kept after a
    give-up would make the service look slow, and requests would be refused
    for deadlines that can well be met.
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
    """Bring the cumulative slot time up to now."""
    queue.slot_seconds += queue.running * (now - queue.counted_at)
    queue.counted_at = now


def to_units(pool: PoolQueue, seconds: Seconds, now: Seconds) -> float:
    """Return slot seconds used now in the pool's growing units.

    New use counts for more instead of old use for less: one comparison then
    needs no fading of every partner's figure.
    """
    if pool.units_since is None:
        pool.units_since = now
    exponent = (now - pool.units_since) / USAGE_DECAY_SECONDS
    if exponent > MAX_UNIT_EXPONENT:
        _rebase(pool, exponent, now)
        exponent = 0.0
    return seconds * math.exp(exponent)


def _rebase(pool: PoolQueue, exponent: float, now: Seconds) -> None:
    factor = math.exp(-min(exponent, 700.0))
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
    """Charge a partner for what a peer says it used since its last report.

    ``elapsed`` is the time since the peer's last report of anything.
    """
    known = pool.peer_usage.get((peer, partner_id))
    pool.peer_usage[peer, partner_id] = usage
    if known is None or known.incarnation != usage.incarnation:
        return
    used = usage.slot_seconds - known.slot_seconds
    if used <= 0.0 or elapsed <= 0.0:
        return
    # After a cut of minutes the whole use comes in one report. Only what is
    # recent counts, or the partner would be starved for long gone use.
    recent = used * min(1.0, USAGE_DECAY_SECONDS / elapsed)
    queue = get_partner_queue(pool, partner_id)
    queue.used += to_units(pool, recent, usage.reported_at)


def remove_departed_peers(pool: PoolQueue, peers: Collection[EntryVMId]) -> None:
    """Forget peers that the VM list no longer shows."""
    pool.peer_usage = {
        key: usage for key, usage in pool.peer_usage.items() if key[0] in peers
    }


__all__ = [
    "USAGE_DECAY_SECONDS",
    "apply_partner_config",
    "begin",
    "count_allowed",
    "count_slot_time",
    "enqueue",
    "finish",
    "get_partner_queue",
    "remove_departed_peers",
    "pick_next",
    "remove",
    "record_peer_usage",
    "to_units",
]
