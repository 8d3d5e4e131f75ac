"""Assigns slots of upstream VMs to requests, queues them or refuses them."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from medlarspring_daemon.callers.slot_service import SlotService
from medlarspring_systems import admission, fair_queue, upstream_health
from medlarspring_systems.leaving import takes_new_work
from medlarspring_systems.routing import choose_upstream
from medlarspring_tables.requests import Outcome, Refusal, RefusalKind

if TYPE_CHECKING:
    from collections.abc import Collection

    from medlarspring_daemon.callers.state import CallerState
    from medlarspring_tables import PartnerId, PoolId, Seconds, VMId
    from medlarspring_tables.requests import CallerRequest, PoolQueue
    from medlarspring_tables.upstreams import Upstream

NO_UPSTREAM_RETRY_SECONDS = 5.0
"""About the time after which the platform's VM list is read again."""


@dataclass(slots=True, eq=False)
class AcquiredSlot:
    """A slot of an upstream VM, in use until ``Dispatcher.release``."""

    request: CallerRequest
    upstream: Upstream
    pool: PoolQueue
    began_at: Seconds
    waited: Seconds = 0.0


@dataclass(slots=True, eq=False)
class Waiter:
    """A queued request that waits for a slot."""

    answer: asyncio.Future[Result[AcquiredSlot, Refusal]]
    excluded: Collection[VMId]
    timer: asyncio.TimerHandle
    since: Seconds


class Dispatcher:
    """Applies the decisions of admission, fair queue and routing."""

    def __init__(self, state: CallerState) -> None:
        self._state = state
        self._clock = state.node.clock
        self._max_waiting = state.node.settings.caller.max_waiting
        self._waiters: dict[CallerRequest, Waiter] = {}
        self._waiting_by_partner: Counter[PartnerId] = Counter()
        self.slots = SlotService(state.node, state, self.dispatch_waiting)

    async def acquire(
        self, request: CallerRequest, excluded: Collection[VMId] = ()
    ) -> Result[AcquiredSlot, Refusal]:
        """Return a slot for the request, without waiting if one is free."""
        self._state.refresh()
        now = self._clock.now()
        pool = self._state.get_pool(request.pool_id)
        if not pool.waiting and self._is_within_limit(pool, request, now):
            upstream = self._choose(request, excluded, now)
            if upstream is not None:
                return Success(self._occupy_slot(request, upstream, pool, now))
        refusal = self._check_admission(pool, request, now)
        if refusal is not None:
            return Failure(refusal)
        return await self._wait(pool, request, excluded, now)

    def release(
        self,
        acquired_slot: AcquiredSlot,
        linger: Seconds = 0.0,
        *,
        answered: bool = True,
    ) -> None:
        """Release a slot, after ``linger`` if its work may still be running."""
        if linger > 0.0:
            # A closed connection is the only sign to the upstream VM that the
            # response is no longer awaited, and it may continue the work. The
            # slot stays in use until the work has probably ended; otherwise the
            # VM would get more requests than it has slots.
            loop = asyncio.get_running_loop()
            loop.call_later(
                linger, partial(self.release, acquired_slot, answered=False)
            )
            return
        acquired_slot.upstream.in_use -= 1
        now = self._clock.now()
        fair_queue.finish_request(
            acquired_slot.pool,
            acquired_slot.request.partner_id,
            acquired_slot.began_at,
            now,
            answered=answered,
        )
        if acquired_slot.pool.waiting:
            self.dispatch_waiting(acquired_slot.pool.pool_id)

    def dispatch_waiting(self, pool_id: PoolId) -> None:
        """Assign free slots to the next requests of the queue."""
        pool = self._state.get_pool(pool_id)
        now = self._clock.now()
        fleet_slots = self._state.count_fleet_slots(pool_id)
        while pool.waiting and self._has_free_slot(pool_id, now):
            request = fair_queue.pick_next(pool, fleet_slots, now)
            if request is None:
                break
            waiter = self._remove_waiter(request)
            if waiter is None or waiter.answer.done():
                continue
            upstream = self._choose(request, waiter.excluded, now)
            if upstream is None:
                upstream = self._choose(request, (), now)
            if upstream is None:
                self._requeue(pool, request, waiter)
                break
            acquired_slot = self._occupy_slot(request, upstream, pool, now)
            acquired_slot.waited = now - waiter.since
            waiter.answer.set_result(Success(acquired_slot))
        if pool.waiting:
            self.slots.request_slots_soon(pool_id)

    def _requeue(self, pool: PoolQueue, request: CallerRequest, waiter: Waiter) -> None:
        """Queue a request again: only a probe slot is free, which it can't use."""
        fair_queue.enqueue(pool, request, first=True)
        waiter.timer = self._start_timer(pool, request, self._clock.now())
        self._add_waiter(request, waiter)

    def _has_free_slot(self, pool_id: PoolId, now: Seconds) -> bool:
        return (
            choose_upstream(self._state.upstreams, pool_id, self._state.zone_id, now)
            is not None
        )

    def _choose(
        self, request: CallerRequest, excluded: Collection[VMId], now: Seconds
    ) -> Upstream | None:
        return choose_upstream(
            self._state.upstreams,
            request.pool_id,
            self._state.zone_id,
            now,
            repeatable=request.repeatable,
            excluded=excluded,
        )

    def _is_within_limit(
        self, pool: PoolQueue, request: CallerRequest, now: Seconds
    ) -> bool:
        queue = fair_queue.get_partner_queue(pool, request.partner_id)
        if queue.limit_percent >= 100.0:
            return True
        fleet_slots = self._state.count_fleet_slots(pool.pool_id)
        return queue.running < fair_queue.count_allowed(pool, queue, fleet_slots, now)

    def _occupy_slot(
        self,
        request: CallerRequest,
        upstream: Upstream,
        pool: PoolQueue,
        now: Seconds,
    ) -> AcquiredSlot:
        upstream.in_use += 1
        upstream_health.mark_probe(upstream)
        fair_queue.begin_request(pool, request.partner_id, now)
        return AcquiredSlot(request, upstream, pool, now)

    def _check_admission(
        self, pool: PoolQueue, request: CallerRequest, now: Seconds
    ) -> Refusal | None:
        upstreams = self._state.list_upstreams(request.pool_id)
        if not any(takes_new_work(upstream, now) for upstream in upstreams):
            return _NO_UPSTREAM
        usable = self._state.count_usable_slots(request.pool_id, now)
        waiting_room = admission.QueueOccupancy(
            self._max_waiting,
            len(self._waiters),
            self._waiting_by_partner[request.partner_id],
        )
        return admission.check_admission(pool, request, usable, waiting_room, now)

    async def _wait(
        self,
        pool: PoolQueue,
        request: CallerRequest,
        excluded: Collection[VMId],
        now: Seconds,
    ) -> Result[AcquiredSlot, Refusal]:
        answer: asyncio.Future[Result[AcquiredSlot, Refusal]] = (
            asyncio.get_running_loop().create_future()
        )
        timer = self._start_timer(pool, request, now)
        self._add_waiter(request, Waiter(answer, excluded, timer, now))
        fair_queue.enqueue(pool, request)
        self.slots.request_slots_soon(pool.pool_id)
        try:
            return await answer
        except asyncio.CancelledError:
            self._abandon(pool, request, answer)
            raise

    def _abandon(
        self,
        pool: PoolQueue,
        request: CallerRequest,
        answer: asyncio.Future[Result[AcquiredSlot, Refusal]],
    ) -> None:
        """Remove the request of a caller that left, and release its slot if any."""
        if self._remove_waiter(request) is not None:
            fair_queue.remove(pool, request)
        elif answer.done() and not answer.cancelled():
            acquired_slot = answer.result().value_or(None)
            if acquired_slot is not None:
                upstream_health.end_inconclusive_probe(acquired_slot.upstream)
                self.release(acquired_slot)

    def _add_waiter(self, request: CallerRequest, waiter: Waiter) -> None:
        self._waiters[request] = waiter
        self._waiting_by_partner[request.partner_id] += 1

    def _remove_waiter(self, request: CallerRequest) -> Waiter | None:
        waiter = self._waiters.pop(request, None)
        if waiter is None:
            return None
        waiter.timer.cancel()
        self._waiting_by_partner[request.partner_id] -= 1
        return waiter

    def _start_timer(
        self, pool: PoolQueue, request: CallerRequest, now: Seconds
    ) -> asyncio.TimerHandle:
        left = request.deadline - now - admission.estimate_service_time(pool)
        loop = asyncio.get_running_loop()
        return loop.call_later(max(0.0, left), self._expire, pool, request)

    def _expire(self, pool: PoolQueue, request: CallerRequest) -> None:
        """Refuse a request that can no longer be answered in time."""
        waiter = self._remove_waiter(request)
        if waiter is None:
            return
        fair_queue.remove(pool, request)
        if waiter.answer.done():
            return
        queue = fair_queue.get_partner_queue(pool, request.partner_id)
        usable = self._state.count_usable_slots(pool.pool_id, self._clock.now())
        wait = admission.estimate_wait(pool, queue, request.urgency, usable)
        refusal = admission.refuse_for_load(pool, queue, wait)
        waiter.answer.set_result(Failure(refusal))


_NO_UPSTREAM = Refusal(
    RefusalKind.NO_UPSTREAM,
    Outcome.NOT_RUN,
    "No upstream VM of the service takes work; see its pool in the VM list.",
    retry_after=NO_UPSTREAM_RETRY_SECONDS,
)

__all__ = ["Dispatcher", "AcquiredSlot"]
