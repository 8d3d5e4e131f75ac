"""Gives requests a slot of an upstream VM, or has them wait or go away."""

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
"""The platform's list is read again after about this time."""


@dataclass(slots=True, eq=False)
class Turn:
    """A slot of one upstream VM, held until ``Dispatcher.release``."""

    request: CallerRequest
    upstream: Upstream
    pool: PoolQueue
    began_at: Seconds
    waited: Seconds = 0.0


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for its turn."""

    answer: asyncio.Future[Result[Turn, Refusal]]
    excluded: Collection[VMId]
    timer: asyncio.TimerHandle
    since: Seconds


class Dispatcher:
    """Carries out what admission, fair queue and routing decide."""

    def __init__(self, state: CallerState) -> None:
        self._state = state
        self._clock = state.node.clock
        self._max_waiting = state.node.settings.caller.max_waiting
        self._waiters: dict[CallerRequest, Waiter] = {}
        self._waiting_by_partner: Counter[PartnerId] = Counter()
        self.slots = SlotService(state.node, state, self.pump)

    async def acquire(
        self, request: CallerRequest, excluded: Collection[VMId] = ()
    ) -> Result[Turn, Refusal]:
        """Return the request's turn, at once if a slot is free."""
        self._state.refresh()
        now = self._clock.now()
        pool = self._state.get_pool(request.pool_id)
        if not pool.waiting and self._is_within_limit(pool, request, now):
            upstream = self._choose(request, excluded, now)
            if upstream is not None:
                return Success(self._begin(request, upstream, pool, now))
        refusal = self._check(pool, request, now)
        if refusal is not None:
            return Failure(refusal)
        return await self._wait(pool, request, excluded, now)

    def release(
        self, turn: Turn, linger: Seconds = 0.0, *, answered: bool = True
    ) -> None:
        """Give a slot back, after ``linger`` if its work may still run there."""
        if linger > 0.0:
            # The upstream VM is not told that the answer is no longer awaited
            # other than by the closed connection, and may go on working. Its
            # slot is counted as used until that is likely over; otherwise it
            # would be sent more than it has slots for.
            loop = asyncio.get_running_loop()
            loop.call_later(linger, partial(self.release, turn, answered=False))
            return
        turn.upstream.in_use -= 1
        now = self._clock.now()
        fair_queue.finish_request(
            turn.pool, turn.request.partner_id, turn.began_at, now, answered=answered
        )
        if turn.pool.waiting:
            self.pump(turn.pool.pool_id)

    def pump(self, pool_id: PoolId) -> None:
        """Give free slots to the requests that go next."""
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
                self._put_back(pool, request, waiter)
                break
            turn = self._begin(request, upstream, pool, now)
            turn.waited = now - waiter.since
            waiter.answer.set_result(Success(turn))
        if pool.waiting:
            self.slots.want(pool_id)

    def _put_back(
        self, pool: PoolQueue, request: CallerRequest, waiter: Waiter
    ) -> None:
        """Only a probe slot was free, and this request may not be a probe."""
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

    def _begin(
        self,
        request: CallerRequest,
        upstream: Upstream,
        pool: PoolQueue,
        now: Seconds,
    ) -> Turn:
        upstream.in_use += 1
        upstream_health.mark_probe(upstream)
        fair_queue.begin_request(pool, request.partner_id, now)
        return Turn(request, upstream, pool, now)

    def _check(
        self, pool: PoolQueue, request: CallerRequest, now: Seconds
    ) -> Refusal | None:
        upstreams = self._state.list_upstreams(request.pool_id)
        if not any(takes_new_work(upstream, now) for upstream in upstreams):
            return _NO_UPSTREAM
        usable = self._state.count_usable_slots(request.pool_id, now)
        room = admission.QueueOccupancy(
            self._max_waiting,
            len(self._waiters),
            self._waiting_by_partner[request.partner_id],
        )
        return admission.check_admission(pool, request, usable, room, now)

    async def _wait(
        self,
        pool: PoolQueue,
        request: CallerRequest,
        excluded: Collection[VMId],
        now: Seconds,
    ) -> Result[Turn, Refusal]:
        answer: asyncio.Future[Result[Turn, Refusal]] = (
            asyncio.get_running_loop().create_future()
        )
        timer = self._start_timer(pool, request, now)
        self._add_waiter(request, Waiter(answer, excluded, timer, now))
        fair_queue.enqueue(pool, request)
        self.slots.want(pool.pool_id)
        try:
            return await answer
        except asyncio.CancelledError:
            self._abandon(pool, request, answer)
            raise

    def _abandon(
        self,
        pool: PoolQueue,
        request: CallerRequest,
        answer: asyncio.Future[Result[Turn, Refusal]],
    ) -> None:
        """Undo a wait whose caller left; its turn may just have come."""
        if self._remove_waiter(request) is not None:
            fair_queue.remove(pool, request)
        elif answer.done() and not answer.cancelled():
            turn = answer.result().value_or(None)
            if turn is not None:
                upstream_health.end_inconclusive_probe(turn.upstream)
                self.release(turn)

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

__all__ = ["Dispatcher", "Turn"]
