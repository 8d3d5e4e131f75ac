"""Hold calls to one worker.

A hold call extends the worker's lease and returns its runs and the ends that are not
acknowledged yet. The worker delays its answer until a run ends or the call's wait
time, which may be 0, has passed. A call that is not answered soon after that is
repeated beside it, without a lease and an acknowledgement. The answer to the repeat
shows the ends that the lost answer contained, and that the worker is responsive.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Self

from returns.pipeline import is_successful

from medlarspring_adapters.metrics import Metric
from medlarspring_adapters.worker_orders import HoldOrder
from medlarspring_systems.scheduling.lease_plan import plan_hold_wait, plan_lease_end
from medlarspring_systems.scheduling.loop_delay import plan_extra_patience
from medlarspring_systems.scheduling.poll_rates import PollKind
from medlarspring_tables.scheduling import RunState

if TYPE_CHECKING:
    from types import TracebackType

    from returns.result import Result

    from medlarspring_adapters.worker_orders import HoldAnswer, WorkerUnresponsive
    from medlarspring_daemon.scheduling.link_context import LinkContext
    from medlarspring_daemon.scheduling.worker_answers import WorkerAnswers
    from medlarspring_systems.scheduling.answer_times import AnswerTimes
    from medlarspring_tables import Seconds

    HoldResult = Result[HoldAnswer, WorkerUnresponsive]

HOLD_TIMEOUT_MARGIN_SECONDS = 0.35
"""Added to the wait time of a hold call for its timeout, and more if this process is
late."""
MAX_TIMEOUT_DOUBLINGS = 2
"""How often the margin is doubled while hold calls go unanswered. An answer that is
late because this process or its link is slow would otherwise be missed each time, and
the worker's tasks would run again although it has listed their ends."""
MAX_HOLD_REPEATS = 2
"""Most repeats of a hold call within its timeout."""
RETRY_SECONDS = 0.15
"""Pause after an unanswered hold call."""


class _Interruptible:
    """A context that can be left from outside, by cancelling what it waits for."""

    def __init__(self) -> None:
        self._timeout = asyncio.timeout(None)
        self.is_over = False
        """Whether it has been left, or is to be."""

    async def __aenter__(self) -> Self:
        await self._timeout.__aenter__()
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool:
        self.is_over = True
        try:
            await self._timeout.__aexit__(error_type, error, trace)
        except TimeoutError:
            return True
        return False

    def interrupt(self) -> None:
        """Leave the context, unless it has been left."""
        if not self.is_over:
            self.is_over = True
            self._timeout.reschedule(asyncio.get_running_loop().time())


class HoldCalls:
    """Makes the hold calls to one worker during one leadership term."""

    def __init__(
        self, context: LinkContext, answers: WorkerAnswers, times: AnswerTimes
    ) -> None:
        self._context = context
        self._node = context.node
        self._worker = context.worker
        self._answers = answers
        self._times = times
        self._polls = context.owner.poll_rates
        self._wake = asyncio.Event()
        self._call_due = asyncio.Event()
        """Set when the next hold call must not wait until the pause is over."""
        self._poll_requested = False
        self._hold_in_flight = False
        self._side_poll_in_flight = False
        self._is_failing = False
        """Whether an exception ended the last hold call."""
        self._unanswered_holds = 0
        """Hold calls without an answer since the last one with an answer."""

    def start(self) -> None:
        """Start the loop of hold calls."""
        self._context.tasks.run_with_restart(self._run)

    def wake(self) -> None:
        """Resume the hold calls, because a run needs a lease, a stop or a check."""
        self._wake.set()
        if self._poll_requested:
            self._call_due.set()
        # A hold call that waits for an end could delay the poll by half a second.
        if (
            self._poll_requested
            and self._hold_in_flight
            and not self._side_poll_in_flight
        ):
            self._side_poll_in_flight = True
            self._context.tasks.start(self._side_poll())

    def poll(self) -> None:
        """Ask the worker for its runs and ends without delay."""
        self._poll_requested = True
        self.wake()

    def acknowledge_ends(self) -> None:
        """Acknowledge, with the next call, ends that job records in the store hold."""
        self._call_due.set()
        self.wake()

    async def _run(self) -> None:
        try:
            await self._hold_forever()
        finally:
            self._polls.forget(self._worker.id)

    async def _hold_forever(self) -> None:
        while not self._worker.gone:
            if not self._needs_hold():
                self._polls.forget(self._worker.id)
                self._wake.clear()
                await self._wake.wait()
                continue
            self._hold_in_flight = True
            try:
                await self._hold_once()
            except Exception:
                # What the worker lists can't be applied. Without further leases its
                # runs end, and their tasks are placed elsewhere.
                self._is_failing = True
                self._answers.record_unanswered(self._node.clock.now())
                raise
            finally:
                self._hold_in_flight = False
            self._is_failing = False

    async def _side_poll(self) -> None:
        try:
            await self._hold_once(is_concurrent=True)
        finally:
            self._side_poll_in_flight = False

    def _needs_hold(self) -> bool:
        worker = self._worker
        if not worker.reconciled or worker.unanswered_since or self._poll_requested:
            return True
        if self._answers.find_last_recorded_end() or self._answers.has_unloaded_runs:
            return True
        return any(run.state is not RunState.INTENDED for run in worker.runs.values())

    async def _hold_once(self, *, is_concurrent: bool = False) -> None:
        ends = self._answers.get_current_ends()
        wait_ms = plan_hold_wait(
            self._worker, self._polls, immediate=self._poll_requested
        )
        self._poll_requested = False
        requested_at = self._node.clock.now()
        acknowledged = 0 if is_concurrent else ends.find_acknowledgeable(requested_at)
        order = HoldOrder(
            fence=self._context.term.fence,
            acknowledged=acknowledged,
            lease_until_ms=self._plan_lease(requested_at),
            wait_ms=wait_ms,
            is_concurrent=is_concurrent,
        )
        result = await self._call_with_repeats(order)
        if result is None:
            # The connection of the call is closed, and its incarnation may have ended.
            ends.record_unanswered_call()
            self._unanswered_holds = 0
            await self._pause_for_record()
            return
        now = self._node.clock.now()
        if not is_successful(result):
            self._unanswered_holds += 1
            self._answers.record_unanswered(now)
            await asyncio.sleep(RETRY_SECONDS)
            return
        self._unanswered_holds = 0
        self._handle_answer(result.unwrap(), requested_at)
        ends.drop(result.unwrap().acknowledged)
        await self._pause_for_record()

    def _handle_answer(self, answer: HoldAnswer, requested_at: Seconds) -> None:
        now = self._node.clock.now()
        if self._answers.handle_hold(answer, requested_at, now):
            self._poll_requested = True

    async def _call_with_repeats(self, order: HoldOrder) -> HoldResult | None:
        """Make a hold call; None if only a repeat of it was answered."""
        loop = asyncio.get_running_loop()
        wait = order.wait_ms / 1_000.0 + self._times.patience
        timeout = order.wait_ms / 1_000.0 + self._get_timeout_margin()
        self._times.record_call()
        async with _Interruptible() as attempt:
            due_at = loop.time() + wait
            timer = loop.call_at(due_at, self._start_repeats, order, attempt, due_at)
            try:
                return await self._call(order, timeout)
            finally:
                timer.cancel()
        return None

    def _start_repeats(
        self, order: HoldOrder, attempt: _Interruptible, due_at: Seconds
    ) -> None:
        late = asyncio.get_running_loop().time() - due_at
        self._context.tasks.start(self._repeat(order, attempt, late))

    async def _repeat(
        self, order: HoldOrder, attempt: _Interruptible, late: Seconds
    ) -> None:
        """Repeat a hold call until it ends, or one of the repeats is answered.

        If this process is late, it reads the answers that have come first.
        """
        wait = self._times.patience
        await asyncio.sleep(plan_extra_patience(late, wait))
        for _ in range(MAX_HOLD_REPEATS):
            if attempt.is_over or not self._may_repeat():
                return
            self._context.tasks.start(self._send_repeat(order, attempt))
            wait *= 2
            await asyncio.sleep(wait)

    def _may_repeat(self) -> bool:
        """Return whether a repeat may be sent, and charge it.

        An unresponsive worker is polled by the loop itself.
        """
        if self._worker.unanswered_since:
            return False
        return self._context.term.is_active() and self._times.take_repeat()

    async def _send_repeat(self, order: HoldOrder, attempt: _Interruptible) -> None:
        self._node.metrics.count(Metric.WORKER_CALL_REPEATS)
        requested_at = self._node.clock.now()
        # The repeat extends no lease. If no answer comes, runs count as lost when the
        # last lease is over, and each repeat would put that off.
        poll = HoldOrder(
            fence=order.fence, acknowledged=0, lease_until_ms=0, is_concurrent=True
        )
        result = await self._call(poll, self._get_timeout_margin())
        if is_successful(result):
            self._handle_answer(result.unwrap(), requested_at)
            attempt.interrupt()

    async def _call(self, order: HoldOrder, timeout: Seconds) -> HoldResult:
        sent_at = self._node.clock.now()
        result = await self._node.orders.hold(self._context.address, order, timeout)
        seconds = self._node.clock.now() - sent_at - order.wait_ms / 1_000.0
        if is_successful(result) and seconds >= 0:
            self._times.record_answer(seconds)
        return result

    def _get_timeout_margin(self) -> Seconds:
        doublings = min(self._unanswered_holds, MAX_TIMEOUT_DOUBLINGS)
        granted = self._context.owner.loop_delay.granted
        return HOLD_TIMEOUT_MARGIN_SECONDS * 2.0**doublings + granted

    async def _pause_for_record(self) -> None:
        """Wait until a listed end is recorded or the next call is due.

        Without this pause there would be a third more calls, which cost time in the
        HTTP client and return nothing new. Until the end is acknowledged, the worker
        answers each call at once.
        """
        if self._poll_requested or not self._answers.has_unacknowledged_ends():
            return
        self._call_due.clear()
        if self._answers.find_last_recorded_end():
            return
        wait_ms = self._polls.plan_wait(self._worker.id, PollKind.UNRECORDED)
        try:
            async with asyncio.timeout(wait_ms / 1_000.0):
                await self._call_due.wait()
        except TimeoutError:
            return

    def _plan_lease(self, now: Seconds) -> int:
        if self._is_failing or not self._context.term.is_active():
            return 0
        return plan_lease_end(self._worker, self._node.limits.worker_lease, now)


__all__ = ["HoldCalls"]
