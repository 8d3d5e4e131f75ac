"""Sends an order to a worker, and repeats it while no answer comes.

A repeat is the same order to the same worker, so that the worker does at most once
what it asks for. All attempts of an order share one timeout and run side by side.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from returns.pipeline import is_successful
from returns.result import Result

from medlarspring_adapters.worker_orders import (
    OrderAnswer,
    OrderRefusal,
    WorkerUnresponsive,
)
from medlarspring_systems.scheduling.loop_delay import plan_extra_patience

if TYPE_CHECKING:
    from medlarspring_adapters.background_tasks import BackgroundTasks
    from medlarspring_adapters.clock import Clock
    from medlarspring_systems.scheduling.answer_times import AnswerTimes
    from medlarspring_systems.scheduling.loop_delay import LoopDelay
    from medlarspring_tables import Seconds

ORDER_TIMEOUT_SECONDS = 0.35
"""An order of which no attempt is answered for this long is treated as lost, unless
this process is late."""
MAX_ATTEMPTS = 3
"""Most times that an order is sent. With 8 of 100 orders lost, two attempts would still
delay one in twelve jobs of 13 tasks."""
MIN_ATTEMPT_SECONDS = 0.02
"""No attempt begins with less time than this left; most answers take 4 ms."""

OrderResult = Result[OrderAnswer, WorkerUnresponsive]
OrderCall = Callable[["Seconds"], Awaitable[OrderResult]]
"""Sends an order once, with the timeout that it is given."""


@dataclass(slots=True)
class OrderOutcome:
    """What is known of an order from the answers to its attempts."""

    sent: int = 0
    """Number of attempts, at least 1 once the order was sent."""
    resolved: int = 0
    """Attempts that are answered, or certainly did not reach the worker."""
    failed: int = 0
    """Attempts that will get no answer but may have been or may be carried out."""
    answer: OrderAnswer | None = None
    """The acceptance; else the last refusal; None without any answer."""
    answered_attempt: int = 0
    """Number of the attempt that ``answer`` is for, from 1."""

    @property
    def is_certain(self) -> bool:
        """Return whether no attempt can have an effect that its answer doesn't tell."""
        return self.resolved == self.sent

    @property
    def is_settled(self) -> bool:
        """Return whether nothing more can be learnt by waiting."""
        if self.answer is not None and self.answer.refusal in (
            None,
            OrderRefusal.FENCE,
        ):
            return True
        return self.resolved + self.failed == self.sent

    def add(self, attempt: int, result: OrderResult | None) -> None:
        """Add the result of one attempt; None if an exception ended it."""
        if result is None:
            self.failed += 1
        elif is_successful(result):
            self.resolved += 1
            self.answer = result.unwrap()
            self.answered_attempt = attempt
        elif result.failure().may_follow:
            self.failed += 1
        else:
            self.resolved += 1


@dataclass(slots=True)
class _Attempts:
    """The attempts of one order, while it is sent."""

    call: OrderCall
    deadline: Seconds
    outcome: OrderOutcome = field(default_factory=OrderOutcome)
    results: asyncio.Queue[tuple[int, OrderResult | None]] = field(
        default_factory=asyncio.Queue
    )


class RepeatedOrders:
    """Sends the orders to one worker."""

    def __init__(
        self,
        clock: Clock,
        times: AnswerTimes,
        delay: LoopDelay,
        tasks: BackgroundTasks,
        handle_superseded: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._times = times
        self._delay = delay
        self._tasks = tasks
        self._handle_superseded = handle_superseded

    async def send(
        self, call: OrderCall, may_repeat: Callable[[], bool]
    ) -> OrderOutcome:
        """Send an order, and repeat it if no answer comes soon.

        ``may_repeat`` tells whether the order is still wanted. Returns once an attempt
        is accepted, all are resolved, or the timeout has passed.
        """
        started_at = self._clock.now()
        timeout = ORDER_TIMEOUT_SECONDS + self._delay.granted
        attempts = _Attempts(call, started_at + timeout)
        self._times.record_call()
        self._start_attempt(attempts)
        repeat_at = started_at + self._times.patience
        while True:
            result = await self._wait_for_result(attempts, repeat_at)
            if result is not None:
                attempts.outcome.add(*result)
            is_lost = attempts.outcome.failed == attempts.outcome.sent
            if attempts.outcome.is_settled and not is_lost:
                return attempts.outcome
            if result is None or is_lost:
                repeat_at = self._clock.now() + self._times.patience
                if self._may_start(attempts, may_repeat):
                    self._start_attempt(attempts)
                elif is_lost:
                    return attempts.outcome
                else:
                    repeat_at = float("inf")

    def _may_start(self, attempts: _Attempts, may_repeat: Callable[[], bool]) -> bool:
        if attempts.outcome.sent >= MAX_ATTEMPTS or not may_repeat():
            return False
        if attempts.deadline - self._clock.now() < MIN_ATTEMPT_SECONDS:
            return False
        return self._times.take_repeat()

    def _start_attempt(self, attempts: _Attempts) -> None:
        attempts.outcome.sent += 1
        self._tasks.start(self._run_attempt(attempts, attempts.outcome.sent))

    async def _run_attempt(self, attempts: _Attempts, number: int) -> None:
        result: OrderResult | None = None
        sent_at = self._clock.now()
        try:
            result = await attempts.call(attempts.deadline - sent_at)
        finally:
            # Without a result the order would be waited for without end.
            attempts.results.put_nowait((number, result))
        if is_successful(result):
            self._times.record_answer(self._clock.now() - sent_at)
            if result.unwrap().refusal is OrderRefusal.FENCE:
                self._handle_superseded()

    async def _wait_for_result(
        self, attempts: _Attempts, until: Seconds
    ) -> tuple[int, OrderResult | None] | None:
        """Return the next result of an attempt; None if none comes until the time.

        If this process is late, it reads the answers that have come first.
        """
        if until == float("inf"):
            return await attempts.results.get()
        result = await self._poll_results(attempts, until)
        if result is not None:
            return result
        now = self._clock.now()
        extra = plan_extra_patience(now - until, self._times.patience)
        return await self._poll_results(attempts, now + extra) if extra else None

    async def _poll_results(
        self, attempts: _Attempts, until: Seconds
    ) -> tuple[int, OrderResult | None] | None:
        try:
            async with asyncio.timeout(max(until - self._clock.now(), 0.0)):
                return await attempts.results.get()
        except TimeoutError:
            return None


__all__ = ["ORDER_TIMEOUT_SECONDS", "OrderOutcome", "RepeatedOrders"]
