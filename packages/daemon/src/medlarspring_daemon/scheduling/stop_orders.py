"""Stop and pace orders to one worker."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.pipeline import is_successful

from medlarspring_adapters.events import Event
from medlarspring_adapters.worker_orders import OrderRefusal, PaceOrder, StopOrder
from medlarspring_daemon.scheduling.repeated_orders import ORDER_TIMEOUT_SECONDS
from medlarspring_daemon.scheduling.run_log import log_unexpected_run
from medlarspring_systems.scheduling.late_orders import (
    MAX_ORDER_DELAY_SECONDS,
    pop_late_orders,
)
from medlarspring_systems.scheduling.listings import find_belief
from medlarspring_systems.scheduling.workers import record_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_daemon.scheduling.link_context import LinkContext
    from medlarspring_daemon.scheduling.repeated_orders import RepeatedOrders
    from medlarspring_systems.scheduling.listings import ListingOutcome
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import Run

STOP_REPEAT_SECONDS = 0.35
"""Shortest interval between two stop orders for the same run."""


class StopOrders:
    """Sends the stop and pace orders to one worker."""

    def __init__(
        self, context: LinkContext, orders: RepeatedOrders, poll: Callable[[], None]
    ) -> None:
        self._context = context
        self._node = context.node
        self._owner = context.owner
        self._worker = context.worker
        self._orders = orders
        self._poll = poll
        self._sent_at: dict[tuple[str, int], Seconds] = {}
        """Times of the last stop orders, by task id and run number."""

    def send(self, run: Run, reason: str) -> None:
        """Order the stop of a run, unless it was just ordered."""
        run.stopping = True
        if not run.stop_reason:
            run.stop_reason = reason
            self._node.log.info(
                Event.RUN_STOP_ORDERED,
                task=run.task.id,
                run=run.number,
                worker=self._worker.id,
                reason=reason,
            )
        self._stop_when_due(run)

    def send_pace(self, run: Run, percent: int) -> None:
        """Limit a run to a percentage of its full speed."""
        run.pace_percent = percent
        self._context.tasks.start(self._pace(run, percent))

    def send_due(self, outcome: ListingOutcome) -> None:
        """Order the stops that a listing calls for."""
        for run in outcome.absent:
            self._stop_when_due(run)
        for run in self._worker.runs.values():
            if run.stopping:
                self._stop_when_due(run)
        for task_id, number in outcome.unexpected_runs:
            if self._take_turn(task_id, number):
                belief = find_belief(self._owner.tables, task_id)
                log_unexpected_run(self._node, self._worker, task_id, number, belief)
                self._context.tasks.start(self._stop(task_id, number, None))

    def refuse_late_orders(self, now: Seconds) -> None:
        """Stop start orders that an earlier incarnation left unanswered.

        A start order that arrives late is then refused by the new incarnation.
        """
        for task_id, number in pop_late_orders(self._owner.tables, self._worker, now):
            self._context.tasks.start(self._refuse_late_order(task_id, number, now))

    def forget_sent(self) -> None:
        """Forget the stops that were sent to an ended incarnation."""
        self._sent_at.clear()

    async def _refuse_late_order(
        self, task_id: str, number: int, began_at: Seconds
    ) -> None:
        """Repeat a stop until it is answered, or until no late order can arrive.

        No listing shows that the stop is missing, and the task may run elsewhere.
        """
        born_ms = self._worker.born_ms
        while not await self._stop(task_id, number, None):
            late = self._node.clock.now() - began_at > MAX_ORDER_DELAY_SECONDS
            if late or self._worker.gone or self._worker.born_ms != born_ms:
                return
            await asyncio.sleep(STOP_REPEAT_SECONDS)

    def _stop_when_due(self, run: Run) -> None:
        if self._take_turn(run.task.id, run.number):
            self._context.tasks.start(self._stop(run.task.id, run.number, run))

    def _take_turn(self, task_id: str, number: int) -> bool:
        """Return whether a stop may be sent now, and record it."""
        now = self._node.clock.now()
        key = (task_id, number)
        if now - self._sent_at.get(key, float("-inf")) < STOP_REPEAT_SECONDS:
            return False
        self._sent_at[key] = now
        return True

    async def _stop(self, task_id: str, number: int, run: Run | None) -> bool:
        """Send a stop; returns whether the worker answered."""
        order = StopOrder(task_id, number, self._context.term.fence)
        born_ms = self._worker.born_ms
        outcome = await self._orders.send(
            lambda timeout: self._node.orders.stop(
                self._context.address, order, timeout
            ),
            lambda: self._context.term.is_active() and self._worker.born_ms == born_ms,
        )
        now = self._node.clock.now()
        answer = outcome.answer
        if answer is None:
            if run is not None:
                # The listing shows whether the stop has to be repeated.
                self._poll()
            return False
        record_clock(self._worker, answer.clock_ms, now)
        if answer.refusal is OrderRefusal.OTHER_WORKER:
            self._owner.handle_unresponsive_worker(self._worker)
        elif answer.refusal is None:
            if run is not None and not run.stop_confirmed_at:
                run.stop_confirmed_at = now
            self._poll()
        return True

    async def _pace(self, run: Run, percent: int) -> None:
        order = PaceOrder(run.task.id, run.number, percent, self._context.term.fence)
        timeout = ORDER_TIMEOUT_SECONDS + self._owner.loop_delay.granted
        answer = await self._node.orders.pace(self._context.address, order, timeout)
        if is_successful(answer) and answer.unwrap().refusal is OrderRefusal.FENCE:
            self._owner.handle_superseded()


__all__ = ["StopOrders"]
