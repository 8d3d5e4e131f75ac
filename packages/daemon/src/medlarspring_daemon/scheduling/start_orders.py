"""Start orders to one worker, and what their answers say of the runs.

A start that gets no answer soon is repeated. The repeat names the same run, which the
worker starts once. The first acceptance confirms the run, but a refusal proves nothing
while another attempt is unanswered: the run may be refused as old because it has run
and ended already, or for want of room before the first attempt is carried out late.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from medlarspring_adapters.metrics import Metric
from medlarspring_adapters.worker_orders import OrderRefusal, StartOrder
from medlarspring_daemon.scheduling.failure_log import Step
from medlarspring_daemon.scheduling.run_log import (
    log_run_started,
    log_start_refused,
    log_start_repeated,
    log_start_unanswered,
)
from medlarspring_systems.scheduling.late_orders import record_unanswered_order
from medlarspring_systems.scheduling.lease_plan import plan_start_deadline
from medlarspring_systems.scheduling.placement import find_ticket
from medlarspring_systems.scheduling.quarantine import record_acceptance, record_refusal
from medlarspring_systems.scheduling.runs import confirm_run, detach_run
from medlarspring_systems.scheduling.workers import is_overcommitted, record_clock
from medlarspring_tables.scheduling import RunState

if TYPE_CHECKING:
    from medlarspring_adapters.worker_orders import OrderAnswer
    from medlarspring_daemon.scheduling.hold_calls import HoldCalls
    from medlarspring_daemon.scheduling.link_context import LinkContext
    from medlarspring_daemon.scheduling.repeated_orders import (
        OrderOutcome,
        RepeatedOrders,
    )
    from medlarspring_daemon.scheduling.worker_answers import WorkerAnswers
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import Milliseconds, Run

REPEAT_WINDOW_SECONDS = 0.055
"""Time after the first attempt in which a start may be repeated.

No process starts faster. Later, the worker may have started the task, crashed under it
and restarted under its id. The repeat would start the task in the new incarnation, and
a task that crashes its workers would do so unnoticed.
"""
RETRY_SECONDS = 0.15
"""Pause before a refused task is placed again."""


@dataclass(frozen=True, slots=True)
class _SentStart:
    """A start order that was sent, and the incarnation that it was meant for."""

    run: Run
    order: StartOrder
    sent_at: Seconds
    born_ms: Milliseconds


class StartOrders:
    """Sends the start orders to one worker."""

    def __init__(
        self,
        context: LinkContext,
        orders: RepeatedOrders,
        answers: WorkerAnswers,
        holds: HoldCalls,
    ) -> None:
        self._context = context
        self._node = context.node
        self._owner = context.owner
        self._worker = context.worker
        self._orders = orders
        self._answers = answers
        self._holds = holds

    def send(self, run: Run) -> None:
        """Order the start of a run whose intent is recorded in the store."""
        run.state = RunState.ORDERED
        run.ordered_at = self._node.clock.now()
        self._context.tasks.start(self._start_or_await(run))

    async def _start_or_await(self, run: Run) -> None:
        try:
            await self._start(run)
        except Exception:
            # The order may have been sent. Left in the ordered state, the run would
            # keep its task from ever being placed again.
            self._node.failures.report(Step.START)
            if run.state is RunState.ORDERED and self._is_attached(run):
                self._await_listing(run, self._node.clock.now())

    async def _start(self, run: Run) -> None:
        sent_at = self._node.clock.now()
        if not self._context.term.is_active():
            # If it stayed in the ordered state, the run would be awaited once the
            # term resumes after a pause, although no start was sent.
            detach_run(self._owner.tables, run, sent_at)
            self._owner.handle_detached_run(self._worker, run)
            return
        start = _SentStart(
            run, self._create_order(run, sent_at), sent_at, self._worker.born_ms
        )
        outcome = await self._orders.send(
            lambda timeout: self._node.orders.start(
                self._context.address, start.order, timeout
            ),
            lambda: self._may_repeat(start),
        )
        now = self._node.clock.now()
        self._node.metrics.timing(Metric.RUN_ORDER_MS, (now - sent_at) * 1_000)
        self._owner.record_order(answered=outcome.answer is not None)
        if outcome.sent > 1:
            log_start_repeated(self._node, run, outcome, now - sent_at)
        self._handle_outcome(run, outcome, now)

    def _create_order(self, run: Run, now: Seconds) -> StartOrder:
        until = plan_start_deadline(self._worker, now)
        run.order_ends_ms = until
        ticket = find_ticket(run.task.step, self._worker)
        return StartOrder(
            task_id=run.task.id,
            run=run.number,
            payload=run.task.step.job.spec.payload,
            not_after_ms=until,
            fence=self._context.term.fence,
            checkpoint=run.checkpoint,
            ticket=ticket.text if ticket is not None else "",
        )

    def _may_repeat(self, start: _SentStart) -> bool:
        """Return whether the run is still to be started, by the same incarnation."""
        run, worker = start.run, self._worker
        if self._node.clock.now() - start.sent_at > REPEAT_WINDOW_SECONDS:
            return False
        if run.state is not RunState.ORDERED or run.stopping or run.task.done:
            return False
        if not self._is_attached(run) or not self._context.term.is_active():
            return False
        if worker.born_ms != start.born_ms or worker.gone or worker.draining:
            return False
        return not is_overcommitted(worker)

    def _is_attached(self, run: Run) -> bool:
        return self._worker.runs.get((run.task.id, run.number)) is run

    def _handle_outcome(self, run: Run, outcome: OrderOutcome, now: Seconds) -> None:
        answer = outcome.answer
        if not outcome.is_certain:
            # A restarted worker must refuse an attempt that reaches it late.
            record_unanswered_order(
                self._owner.tables, self._worker.id, run.task.id, run.number, now
            )
        if answer is None:
            self._handle_unanswered(run, outcome, now)
            return
        self._answers.record_answered(now)
        record_clock(self._worker, answer.clock_ms, now)
        if answer.refusal is None:
            self._handle_acceptance(run, now)
        elif answer.refusal is not OrderRefusal.FENCE:
            self._handle_refusal(run, answer, outcome, now)

    def _handle_acceptance(self, run: Run, now: Seconds) -> None:
        record_acceptance(self._worker)
        if run.state in (RunState.ORDERED, RunState.UNKNOWN):
            confirm_run(run, now)
            log_run_started(self._node, run)
            self._answers.poll_after_probation()
        self._holds.wake()

    def _handle_unanswered(self, run: Run, outcome: OrderOutcome, now: Seconds) -> None:
        if run.state is not RunState.ORDERED:
            return
        may_follow = not outcome.is_certain
        log_start_unanswered(
            self._node, run, now - run.ordered_at, may_follow=may_follow
        )
        if may_follow:
            self._await_listing(run, now)
            return
        detach_run(self._owner.tables, run, now)
        self._owner.handle_detached_run(self._worker, run)
        self._answers.record_unanswered(now)

    def _await_listing(self, run: Run, now: Seconds) -> None:
        """Leave it to the worker's listings, and a stop, whether the run exists."""
        run.state = RunState.UNKNOWN
        run.ordered_at = now
        self._holds.poll()

    def _handle_refusal(
        self, run: Run, answer: OrderAnswer, outcome: OrderOutcome, now: Seconds
    ) -> None:
        assert answer.refusal is not None
        log_start_refused(self._node, run, answer.refusal)
        if answer.refusal in (OrderRefusal.UNHEALTHY, OrderRefusal.ROOM):
            record_refusal(self._worker, now)
        elif answer.refusal is OrderRefusal.OTHER_WORKER:
            self._owner.handle_unresponsive_worker(self._worker)
        elif answer.refusal is OrderRefusal.TICKET:
            run.task.step.tickets.pop(self._worker.id, None)
        if not self._is_attached(run):
            return
        if not outcome.is_certain:
            if run.state is RunState.ORDERED:
                self._await_listing(run, now)
            return
        run.task.not_before = now + RETRY_SECONDS
        detach_run(self._owner.tables, run, now)
        self._owner.handle_detached_run(self._worker, run)
        self._holds.poll()


__all__ = ["StartOrders"]
