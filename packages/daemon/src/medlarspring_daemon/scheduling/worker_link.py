"""Calls to one worker: start, stop and pace orders, and hold calls.

A hold call extends the worker's lease and returns its runs and the ends that are not
acknowledged yet. The worker delays its answer until a run ends or the call's wait
time, which may be 0, has passed.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.pipeline import is_successful

from medlarspring_adapters.events import Event
from medlarspring_adapters.metrics import Metric
from medlarspring_adapters.worker_orders import (
    HoldOrder,
    OrderRefusal,
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerAddress,
)
from medlarspring_daemon.background_tasks import BackgroundTasks
from medlarspring_daemon.scheduling.run_log import (
    log_run_started,
    log_start_refused,
    log_start_unanswered,
    log_unexpected_run,
)
from medlarspring_daemon.scheduling.unacknowledged_ends import UnacknowledgedEnds
from medlarspring_systems.scheduling.late_orders import (
    pop_late_orders,
    record_unanswered_order,
)
from medlarspring_systems.scheduling.lease_plan import (
    plan_hold_wait,
    plan_lease_end,
    plan_start_deadline,
)
from medlarspring_systems.scheduling.listings import apply_listing, find_belief
from medlarspring_systems.scheduling.placement import find_ticket
from medlarspring_systems.scheduling.probation import (
    PROBATION_SECONDS,
    needs_probation_poll,
)
from medlarspring_systems.scheduling.quarantine import record_acceptance, record_refusal
from medlarspring_systems.scheduling.runs import confirm_run, detach_run
from medlarspring_systems.scheduling.workers import (
    bound_unknown_lease,
    is_ended_incarnation,
    is_other_incarnation,
    record_clock,
)
from medlarspring_tables.scheduling import RunState

if TYPE_CHECKING:
    from medlarspring_adapters.worker_orders import HoldAnswer, OrderAnswer
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_daemon.scheduling.election import Term
    from medlarspring_daemon.scheduling.link_owner import LinkOwner
    from medlarspring_systems.scheduling.listings import ListingOutcome
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import Run, Worker

ORDER_TIMEOUT_SECONDS = 0.35
"""An order that is unanswered for this long is treated as lost; most take 4 ms."""
HOLD_TIMEOUT_MARGIN_SECONDS = 0.35
"""Added to the wait time of a hold call for its timeout."""
MAX_TIMEOUT_DOUBLINGS = 2
"""How often the margin is doubled while hold calls go unanswered. An answer that is
late because this process or its link is slow would otherwise be missed each time, and
the worker's tasks would run again although it has listed their ends."""
RETRY_SECONDS = 0.15
"""Pause after an unanswered hold call, and before a refused task is placed again."""
STOP_REPEAT_SECONDS = 0.35
"""Shortest interval between two stop orders for the same run."""
UNRECORDED_WAIT_SECONDS = 0.05
"""Longest pause between calls while ends wait to be recorded in the store. Until they
are acknowledged the worker answers each call at once, so that more frequent calls would
only report further ends earlier."""


class WorkerLink:
    """Makes all calls to one worker during one leadership term."""

    def __init__(
        self, node: SchedulingNode, term: Term, owner: LinkOwner, worker: Worker
    ) -> None:
        self._node = node
        self._term = term
        self._owner = owner
        self._worker = worker
        self._address = WorkerAddress(worker.id, worker.address)
        self._wake = asyncio.Event()
        self._call_due = asyncio.Event()
        """Set when the next hold call must not wait until the pause is over."""
        self._tasks = BackgroundTasks(node.log)
        self._ends = UnacknowledgedEnds(worker.born_ms)
        self._stops_sent: dict[tuple[str, int], Seconds] = {}
        self._poll_requested = False
        self._hold_in_flight = False
        self._side_poll_in_flight = False
        self._probation_poll_due = False
        self._unanswered_holds = 0
        """Hold calls without an answer since the last one with an answer."""

    def uses_address(self, address: str) -> bool:
        """Return whether calls go to this address."""
        return self._address.address == address

    def start(self) -> None:
        """Start the loop of hold calls."""
        self._tasks.run_with_restart(self._run)

    async def close(self) -> None:
        """Cancel all calls and close the connections."""
        await self._tasks.cancel()
        self._node.orders.close_connections(self._address)

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
            self._tasks.start(self._side_poll())

    def poll(self) -> None:
        """Ask the worker for its runs and ends without delay."""
        self._poll_requested = True
        self.wake()

    def _poll_after_probation(self) -> None:
        """Poll the worker when its latest starts have proven themselves.

        Without this poll, a start would wait for the next end on the worker, and a
        silent crash would be noticed half a second later.
        """
        if self._probation_poll_due:
            return
        if needs_probation_poll(self._worker, self._node.clock.now()):
            self._probation_poll_due = True
            self._tasks.start(self._poll_later())

    async def _poll_later(self) -> None:
        await asyncio.sleep(PROBATION_SECONDS)
        self._probation_poll_due = False
        self.poll()

    def acknowledge_ends(self) -> None:
        """Acknowledge, with the next call, ends that job records in the store hold."""
        self._call_due.set()
        self.wake()

    async def _side_poll(self) -> None:
        try:
            await self._hold_once(is_concurrent=True)
        finally:
            self._side_poll_in_flight = False

    def send_start(self, run: Run) -> None:
        """Order the start of a run whose intent is recorded in the store."""
        run.state = RunState.ORDERED
        run.ordered_at = self._node.clock.now()
        self._tasks.start(self._start(run))

    def send_stop(self, run: Run, reason: str) -> None:
        """Order the stop of a run; the order is repeated until its end is listed."""
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
        self.wake()

    def send_pace(self, run: Run, percent: int) -> None:
        """Limit a run to a percentage of its full speed."""
        run.pace_percent = percent
        self._tasks.start(self._pace(run, percent))

    # Start orders

    async def _start(self, run: Run) -> None:
        worker = self._worker
        sent_at = self._node.clock.now()
        if not self._term.is_active():
            # If it stayed in the ordered state, the run would be awaited once the
            # term resumes after a pause, although no start was sent.
            detach_run(self._owner.tables, run, sent_at)
            self._owner.handle_detached_run(worker, run)
            return
        until = plan_start_deadline(worker, sent_at)
        run.order_ends_ms = until
        order = StartOrder(
            task_id=run.task.id,
            run=run.number,
            payload=run.task.step.job.spec.payload,
            not_after_ms=until,
            fence=self._term.fence,
            checkpoint=run.checkpoint,
            ticket=self._find_ticket(run),
        )
        answer = await self._node.orders.start(
            self._address, order, ORDER_TIMEOUT_SECONDS
        )
        now = self._node.clock.now()
        self._node.metrics.timing(Metric.RUN_ORDER_MS, (now - sent_at) * 1_000)
        self._owner.record_order(answered=is_successful(answer))
        if not is_successful(answer):
            self._handle_unanswered_start(run, answer.failure().may_follow, now)
            return
        self._record_answered(now)
        record_clock(worker, answer.unwrap().clock_ms, now)
        self._handle_start_answer(run, answer.unwrap(), now)

    def _find_ticket(self, run: Run) -> str:
        ticket = find_ticket(run.task.step, self._worker)
        return ticket.text if ticket is not None else ""

    def _handle_unanswered_start(
        self, run: Run, may_follow: bool, now: Seconds
    ) -> None:
        if run.state is not RunState.ORDERED:
            return
        log_start_unanswered(
            self._node, run, now - run.ordered_at, may_follow=may_follow
        )
        if not may_follow:
            detach_run(self._owner.tables, run, now)
            self._owner.handle_detached_run(self._worker, run)
            self._record_unanswered(now)
            return
        run.state = RunState.UNKNOWN
        run.ordered_at = now
        record_unanswered_order(
            self._owner.tables, self._worker.id, run.task.id, run.number, now
        )
        self._poll_requested = True
        self.wake()

    def _handle_start_answer(self, run: Run, answer: OrderAnswer, now: Seconds) -> None:
        if answer.refusal is None:
            record_acceptance(self._worker)
            if run.state in (RunState.ORDERED, RunState.UNKNOWN):
                confirm_run(run, now)
                log_run_started(self._node, run)
                self._poll_after_probation()
            self.wake()
            return
        if answer.refusal is OrderRefusal.FENCE:
            self._owner.handle_superseded()
            return
        log_start_refused(self._node, run, answer.refusal)
        if answer.refusal in (OrderRefusal.UNHEALTHY, OrderRefusal.ROOM):
            record_refusal(self._worker, now)
        elif answer.refusal is OrderRefusal.OTHER_WORKER:
            self._owner.handle_unresponsive_worker(self._worker)
        elif answer.refusal is OrderRefusal.TICKET:
            run.task.step.tickets.pop(self._worker.id, None)
        run.task.not_before = now + RETRY_SECONDS
        detach_run(self._owner.tables, run, now)
        self._owner.handle_detached_run(self._worker, run)
        self._poll_requested = True
        self.wake()

    # Stop and pace orders

    def _stop_when_due(self, run: Run) -> None:
        key = (run.task.id, run.number)
        now = self._node.clock.now()
        if now - self._stops_sent.get(key, -1e9) < STOP_REPEAT_SECONDS:
            return
        self._stops_sent[key] = now
        self._tasks.start(self._stop(run.task.id, run.number, run))

    async def _stop(self, task_id: str, number: int, run: Run | None) -> None:
        order = StopOrder(task_id, number, self._term.fence)
        answer = await self._node.orders.stop(
            self._address, order, ORDER_TIMEOUT_SECONDS
        )
        now = self._node.clock.now()
        if not is_successful(answer):
            return
        record_clock(self._worker, answer.unwrap().clock_ms, now)
        refusal = answer.unwrap().refusal
        if refusal is OrderRefusal.FENCE:
            self._owner.handle_superseded()
        elif refusal is OrderRefusal.OTHER_WORKER:
            self._owner.handle_unresponsive_worker(self._worker)
        elif refusal is None:
            if run is not None and not run.stop_confirmed_at:
                run.stop_confirmed_at = now
            self._poll_requested = True
            self.wake()

    async def _pace(self, run: Run, percent: int) -> None:
        order = PaceOrder(run.task.id, run.number, percent, self._term.fence)
        answer = await self._node.orders.pace(
            self._address, order, ORDER_TIMEOUT_SECONDS
        )
        if is_successful(answer) and answer.unwrap().refusal is OrderRefusal.FENCE:
            self._owner.handle_superseded()

    # Hold calls

    async def _run(self) -> None:
        while not self._worker.gone:
            if not self._needs_hold():
                self._wake.clear()
                await self._wake.wait()
                continue
            self._hold_in_flight = True
            try:
                await self._hold_once()
            finally:
                self._hold_in_flight = False

    def _needs_hold(self) -> bool:
        worker = self._worker
        if not worker.reconciled or worker.unanswered_since or self._poll_requested:
            return True
        if self._ends.find_last_recorded():
            return True
        return any(run.state is not RunState.INTENDED for run in worker.runs.values())

    async def _hold_once(self, *, is_concurrent: bool = False) -> None:
        ends = self._get_current_ends()
        wait_ms = plan_hold_wait(self._worker, immediate=self._poll_requested)
        self._poll_requested = False
        requested_at = self._node.clock.now()
        order = HoldOrder(
            fence=self._term.fence,
            acknowledged=0
            if is_concurrent
            else ends.find_acknowledgeable(requested_at),
            lease_until_ms=self._plan_lease(requested_at),
            wait_ms=wait_ms,
            is_concurrent=is_concurrent,
        )
        timeout = wait_ms / 1_000.0 + self._get_timeout_margin()
        answer = await self._node.orders.hold(self._address, order, timeout)
        now = self._node.clock.now()
        if not is_successful(answer):
            self._unanswered_holds += 1
            self._record_unanswered(now)
            await asyncio.sleep(RETRY_SECONDS)
            return
        self._unanswered_holds = 0
        self._handle_hold_answer(answer.unwrap(), requested_at, now)
        ends.drop(answer.unwrap().acknowledged)
        if self._ends and not self._poll_requested:
            await self._wait_for_record()

    def _get_timeout_margin(self) -> Seconds:
        doublings = min(self._unanswered_holds, MAX_TIMEOUT_DOUBLINGS)
        return HOLD_TIMEOUT_MARGIN_SECONDS * 2.0**doublings

    def _get_current_ends(self) -> UnacknowledgedEnds:
        """Return the ends of the current incarnation; discard those of a former one."""
        if self._ends.life_ms != self._worker.born_ms:
            self._ends = UnacknowledgedEnds(self._worker.born_ms)
            self._stops_sent.clear()
        return self._ends

    async def _wait_for_record(self) -> None:
        """Wait until an end is recorded or the next call is due.

        Without this pause there would be a third more calls, which cost time in the
        HTTP client and return nothing new.
        """
        self._call_due.clear()
        if self._ends.find_last_recorded():
            return
        try:
            async with asyncio.timeout(UNRECORDED_WAIT_SECONDS):
                await self._call_due.wait()
        except TimeoutError:
            return

    def _plan_lease(self, now: Seconds) -> int:
        if not self._term.is_active():
            return 0
        return plan_lease_end(self._worker, self._node.limits.worker_lease, now)

    def _handle_hold_answer(
        self, answer: HoldAnswer, requested_at: Seconds, now: Seconds
    ) -> None:
        worker = self._worker
        if answer.refusal is OrderRefusal.FENCE:
            self._owner.handle_superseded()
            return
        if answer.refusal is OrderRefusal.OTHER_WORKER:
            self._record_unanswered(now)
            return
        if answer.refusal is not None:
            record_refusal(worker, now)
            self._record_unanswered(now)
            return
        if is_ended_incarnation(self._owner.tables, worker.id, answer.born_ms):
            # The answer is from an ended incarnation; the entry of the next one was
            # read first.
            self._record_unanswered(now)
            return
        self._record_answered(now)
        if is_other_incarnation(worker, answer.born_ms):
            self._owner.handle_worker_restart(worker, answer.born_ms)
        self._get_current_ends().record_listing(now)
        record_clock(worker, answer.clock_ms, now)
        outcome = apply_listing(
            self._owner.tables,
            worker,
            answer.running,
            list(answer.ended),
            requested_at,
            now,
        )
        if not worker.reconciled:
            self._handle_first_answer(now)
        for number, job in outcome.ends:
            self._ends.add(number, job)
        for run in outcome.confirmed:
            log_run_started(self._node, run)
        self._poll_after_probation()
        self._send_due_stops(outcome)
        self._owner.handle_listing(worker, outcome)

    def _handle_first_answer(self, now: Seconds) -> None:
        """Handle the first answer of the worker's incarnation in this term."""
        self._worker.reconciled = True
        bound_unknown_lease(self._worker, self._node.limits.worker_lease)
        self._refuse_late_orders(now)
        if self._worker.runs:
            # The first call could not extend the lease, because the worker's clock
            # was not known yet.
            self._poll_requested = True

    def _refuse_late_orders(self, now: Seconds) -> None:
        """Stop start orders that an earlier incarnation left unanswered.

        A start order that arrives late is then refused by the new incarnation.
        """
        for task_id, number in pop_late_orders(self._owner.tables, self._worker, now):
            self._tasks.start(self._stop(task_id, number, None))

    def _send_due_stops(self, outcome: ListingOutcome) -> None:
        for run in outcome.absent:
            self._stop_when_due(run)
        for run in self._worker.runs.values():
            if run.stopping:
                self._stop_when_due(run)
        for task_id, number in outcome.unexpected_runs:
            key = (task_id, number)
            now = self._node.clock.now()
            if now - self._stops_sent.get(key, -1e9) < STOP_REPEAT_SECONDS:
                continue
            self._stops_sent[key] = now
            belief = find_belief(self._owner.tables, task_id)
            log_unexpected_run(self._node, self._worker, task_id, number, belief)
            self._tasks.start(self._stop(task_id, number, None))
        if outcome.unexpected_runs:
            self._poll_requested = True

    def _record_answered(self, now: Seconds) -> None:
        worker = self._worker
        worker.answered_at = now
        if worker.unanswered_since:
            unanswered_seconds = now - worker.unanswered_since
            worker.unanswered_since = 0.0
            self._node.log.info(
                Event.WORKER_ANSWERS,
                worker=worker.id,
                vm=worker.vm_id,
                silent_ms=round(unanswered_seconds * 1_000),
            )

    def _record_unanswered(self, now: Seconds) -> None:
        worker = self._worker
        self._ends.record_unanswered_call()
        if not worker.unanswered_since:
            worker.unanswered_since = now
            self._node.log.warning(
                Event.WORKER_SILENT,
                worker=worker.id,
                vm=worker.vm_id,
                runs=len(worker.runs),
            )
        self._owner.handle_unresponsive_worker(worker)


__all__ = ["WorkerLink"]
