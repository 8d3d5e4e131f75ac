"""Talks to one worker: starts, stops, and holds its lease while it works."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.pipeline import is_successful

from medlarspring_adapters.events import Event
from medlarspring_adapters.metrics import Metric
from medlarspring_adapters.worker_orders import (
    HoldOrder,
    PaceOrder,
    Refusal,
    StartOrder,
    StopOrder,
    WorkerAddress,
)
from medlarspring_daemon.scheduling.run_log import (
    log_refused,
    log_started,
    log_unanswered,
)
from medlarspring_daemon.scheduling.unacknowledged_ends import UnacknowledgedEnds
from medlarspring_daemon.tasks import Tasks
from medlarspring_systems.scheduling.late_orders import (
    pop_late_orders,
    record_unanswered_order,
)
from medlarspring_systems.scheduling.lease_plan import (
    plan_hold_wait,
    plan_lease_end,
    plan_start_deadline,
)
from medlarspring_systems.scheduling.listings import apply_listing
from medlarspring_systems.scheduling.placement import find_ticket
from medlarspring_systems.scheduling.quarantine import record_acceptance, record_refusal
from medlarspring_systems.scheduling.runs import confirm_run, detach_run
from medlarspring_systems.scheduling.workers import (
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

ORDER_SECONDS = 0.35
"""An order without an answer for so long is taken for lost; most take 4 ms."""
HOLD_SLACK_SECONDS = 0.35
SILENT_RETRY_SECONDS = 0.15
STOP_REPEAT_SECONDS = 0.35
UNRECORDED_SECONDS = 0.05
"""Longest pause between calls while ends wait for the store. Until it may forget them
the worker lists them at once, so that more calls tell only of further ends."""


class WorkerLink:
    """All calls to one worker under one tenure."""

    def __init__(
        self, node: SchedulingNode, term: Term, owner: LinkOwner, worker: Worker
    ) -> None:
        self._node = node
        self._term = term
        self._owner = owner
        self._worker = worker
        self._address = WorkerAddress(worker.id, worker.address)
        self._wake = asyncio.Event()
        self._next_call = asyncio.Event()
        """Set when a call has something to tell or to learn before its pause ends."""
        self._tasks = Tasks(node.log)
        self._ends = UnacknowledgedEnds(worker.born_ms)
        self._stops_sent: dict[tuple[str, int], Seconds] = {}
        self._look_now = False
        self._in_hold = False
        self._looking = False

    def leads_to(self, address: str) -> bool:
        """Tell whether calls go to this address."""
        return self._address.address == address

    def start(self) -> None:
        """Begin to hold the worker."""
        self._tasks.keep(self._run)

    async def close(self) -> None:
        """End all calls."""
        await self._tasks.cancel()
        self._node.orders.forget(self._address)

    def wake(self) -> None:
        """Look at the worker again: there is something to hold, stop or confirm."""
        self._wake.set()
        if self._look_now:
            self._next_call.set()
        # A call that waits for an end would hold the look back by half a second.
        if self._look_now and self._in_hold and not self._looking:
            self._looking = True
            self._tasks.start(self._look())

    def look(self) -> None:
        """Ask the worker now what runs there."""
        self._look_now = True
        self.wake()

    def note_recorded(self) -> None:
        """Have the worker forget ends: a job's record holds them now."""
        self._next_call.set()
        self.wake()

    async def _look(self) -> None:
        try:
            await self._hold_once(aside=True)
        finally:
            self._looking = False

    def send_start(self, run: Run) -> None:
        """Order a run whose intent is recorded."""
        run.state = RunState.ORDERED
        run.ordered_at = self._node.clock.now()
        self._tasks.start(self._start(run))

    def send_stop(self, run: Run, reason: str) -> None:
        """Have a run stopped; repeated until its end is listed."""
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
        """Let a run work at a part of its speed."""
        run.pace_percent = percent
        self._tasks.start(self._pace(run, percent))

    # Starts

    async def _start(self, run: Run) -> None:
        worker = self._worker
        sent_at = self._node.clock.now()
        if not self._term.is_active():
            # Left as ordered, the run would be waited for after a pause of the
            # tenure, although nobody was told to start it.
            detach_run(self._owner.tables, run, sent_at)
            self._owner.note_changed(worker, run)
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
        answer = await self._node.orders.start(self._address, order, ORDER_SECONDS)
        now = self._node.clock.now()
        self._node.metrics.timing(Metric.RUN_ORDER_MS, (now - sent_at) * 1_000)
        self._owner.note_order(answered=is_successful(answer))
        if not is_successful(answer):
            self._take_silence(run, answer.failure().may_follow, now)
            return
        self._note_answered(now)
        record_clock(worker, answer.unwrap().clock_ms, now)
        self._take_start_answer(run, answer.unwrap(), now)

    def _find_ticket(self, run: Run) -> str:
        ticket = find_ticket(run.task.step, self._worker)
        return ticket.text if ticket is not None else ""

    def _take_silence(self, run: Run, may_follow: bool, now: Seconds) -> None:
        if run.state is not RunState.ORDERED:
            return
        log_unanswered(self._node, run, now - run.ordered_at, may_follow=may_follow)
        if not may_follow:
            detach_run(self._owner.tables, run, now)
            self._owner.note_changed(self._worker, run)
            self._note_unanswered(now)
            return
        run.state = RunState.UNKNOWN
        run.ordered_at = now
        record_unanswered_order(
            self._owner.tables, self._worker.id, run.task.id, run.number, now
        )
        self._look_now = True
        self.wake()

    def _take_start_answer(self, run: Run, answer: OrderAnswer, now: Seconds) -> None:
        if answer.refusal is None:
            record_acceptance(self._worker)
            if run.state in (RunState.ORDERED, RunState.UNKNOWN):
                confirm_run(run, now)
                log_started(self._node, run)
            self.wake()
            return
        if answer.refusal is Refusal.FENCE:
            self._owner.note_superseded()
            return
        log_refused(self._node, run, answer.refusal)
        if answer.refusal in (Refusal.UNHEALTHY, Refusal.ROOM):
            record_refusal(self._worker, now)
        elif answer.refusal is Refusal.OTHER_LIFE:
            self._owner.note_silent(self._worker)
        elif answer.refusal is Refusal.TICKET:
            run.task.step.tickets.pop(self._worker.id, None)
        run.task.not_before = now + SILENT_RETRY_SECONDS
        detach_run(self._owner.tables, run, now)
        self._owner.note_changed(self._worker, run)
        self._look_now = True
        self.wake()

    # Stops and pace

    def _stop_when_due(self, run: Run) -> None:
        key = (run.task.id, run.number)
        now = self._node.clock.now()
        if now - self._stops_sent.get(key, -1e9) < STOP_REPEAT_SECONDS:
            return
        self._stops_sent[key] = now
        self._tasks.start(self._stop(run.task.id, run.number, run))

    async def _stop(self, task_id: str, number: int, run: Run | None) -> None:
        order = StopOrder(task_id, number, self._term.fence)
        answer = await self._node.orders.stop(self._address, order, ORDER_SECONDS)
        now = self._node.clock.now()
        if not is_successful(answer):
            return
        record_clock(self._worker, answer.unwrap().clock_ms, now)
        refusal = answer.unwrap().refusal
        if refusal is Refusal.FENCE:
            self._owner.note_superseded()
        elif refusal is Refusal.OTHER_LIFE:
            self._owner.note_silent(self._worker)
        elif refusal is None:
            if run is not None and not run.stop_confirmed_at:
                run.stop_confirmed_at = now
            self._look_now = True
            self.wake()

    async def _pace(self, run: Run, percent: int) -> None:
        order = PaceOrder(run.task.id, run.number, percent, self._term.fence)
        answer = await self._node.orders.pace(self._address, order, ORDER_SECONDS)
        if is_successful(answer) and answer.unwrap().refusal is Refusal.FENCE:
            self._owner.note_superseded()

    # Holding

    async def _run(self) -> None:
        while not self._worker.gone:
            if not self._is_needed():
                self._wake.clear()
                await self._wake.wait()
                continue
            self._in_hold = True
            try:
                await self._hold_once()
            finally:
                self._in_hold = False

    def _is_needed(self) -> bool:
        worker = self._worker
        if not worker.reconciled or worker.unanswered_since or self._look_now:
            return True
        if self._ends.find_last_recorded():
            return True
        return any(run.state is not RunState.INTENDED for run in worker.runs.values())

    async def _hold_once(self, *, aside: bool = False) -> None:
        ends = self._enter_life()
        wait_ms = plan_hold_wait(self._worker, immediate=self._look_now)
        self._look_now = False
        asked_at = self._node.clock.now()
        order = HoldOrder(
            fence=self._term.fence,
            acknowledged=0 if aside else ends.find_acknowledgeable(asked_at),
            lease_until_ms=self._plan_lease(asked_at),
            wait_ms=wait_ms,
            aside=aside,
        )
        timeout = wait_ms / 1_000.0 + HOLD_SLACK_SECONDS
        answer = await self._node.orders.hold(self._address, order, timeout)
        now = self._node.clock.now()
        if not is_successful(answer):
            self._note_unanswered(now)
            await asyncio.sleep(SILENT_RETRY_SECONDS)
            return
        self._take_hold_answer(answer.unwrap(), asked_at, now)
        ends.drop(answer.unwrap().acknowledged)
        if self._ends and not self._look_now:
            await self._await_record()

    def _enter_life(self) -> UnacknowledgedEnds:
        """Return the ledger of the present life; that of a former one is left."""
        if self._ends.life_ms != self._worker.born_ms:
            self._ends = UnacknowledgedEnds(self._worker.born_ms)
            self._stops_sent.clear()
        return self._ends

    async def _await_record(self) -> None:
        """Wait until an end is recorded, or another call can't wait.

        Asked again at once meanwhile, workers would take a third more calls, each of
        them time in the HTTP client, for answers that tell nothing new.
        """
        self._next_call.clear()
        if self._ends.find_last_recorded():
            return
        try:
            async with asyncio.timeout(UNRECORDED_SECONDS):
                await self._next_call.wait()
        except TimeoutError:
            return

    def _plan_lease(self, now: Seconds) -> int:
        if not self._term.is_active():
            return 0
        return plan_lease_end(self._worker, self._node.limits.worker_lease, now)

    def _take_hold_answer(
        self, answer: HoldAnswer, asked_at: Seconds, now: Seconds
    ) -> None:
        worker = self._worker
        if answer.refusal is Refusal.FENCE:
            self._owner.note_superseded()
            return
        if answer.refusal is Refusal.OTHER_LIFE:
            self._note_unanswered(now)
            return
        if answer.refusal is not None:
            record_refusal(worker, now)
            self._note_unanswered(now)
            return
        if is_ended_incarnation(self._owner.tables, worker.id, answer.born_ms):
            # Said by a former life, and overtaken by the next one's entry.
            self._note_unanswered(now)
            return
        self._note_answered(now)
        if is_other_incarnation(worker, answer.born_ms):
            self._owner.note_started_again(worker, answer.born_ms)
        self._enter_life().record_listing(now)
        record_clock(worker, answer.clock_ms, now)
        outcome = apply_listing(
            self._owner.tables,
            worker,
            answer.running,
            list(answer.ended),
            asked_at,
            now,
        )
        first_look = not worker.reconciled
        worker.reconciled = True
        if first_look:
            self._refuse_late_orders(now)
        if first_look and worker.runs:
            # The lease could not be extended before the worker's clock was known.
            self._look_now = True
        for number, job in outcome.ends:
            self._ends.add(number, job)
        for run in outcome.confirmed:
            log_started(self._node, run)
        self._settle_rest(outcome)
        self._owner.handle_listing(worker, outcome)

    def _refuse_late_orders(self, now: Seconds) -> None:
        """Have a new life refuse what its former one may have left to be done."""
        for task_id, number in pop_late_orders(self._owner.tables, self._worker, now):
            self._tasks.start(self._stop(task_id, number, None))

    def _settle_rest(self, outcome: ListingOutcome) -> None:
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
            self._node.log.warning(
                Event.RUN_STRANGE, task=task_id, run=number, worker=self._worker.id
            )
            self._tasks.start(self._stop(task_id, number, None))
        if outcome.unexpected_runs:
            self._look_now = True

    def _note_answered(self, now: Seconds) -> None:
        worker = self._worker
        worker.answered_at = now
        if worker.unanswered_since:
            silent = now - worker.unanswered_since
            worker.unanswered_since = 0.0
            self._node.log.info(
                Event.WORKER_ANSWERS,
                worker=worker.id,
                vm=worker.vm_id,
                silent_ms=round(silent * 1_000),
            )

    def _note_unanswered(self, now: Seconds) -> None:
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
        self._owner.note_silent(worker)


__all__ = ["WorkerLink"]
