"""Applies the answers of one worker to the tables, and notes when they stay away."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from medlarspring_adapters.events import Event
from medlarspring_adapters.worker_orders import OrderRefusal
from medlarspring_daemon.scheduling.failure_log import Step
from medlarspring_daemon.scheduling.run_log import log_run_started
from medlarspring_daemon.scheduling.unacknowledged_ends import UnacknowledgedEnds
from medlarspring_systems.scheduling.listings import apply_listing
from medlarspring_systems.scheduling.probation import (
    PROBATION_SECONDS,
    needs_probation_poll,
)
from medlarspring_systems.scheduling.quarantine import record_refusal
from medlarspring_systems.scheduling.workers import (
    bound_unknown_lease,
    is_ended_incarnation,
    is_other_incarnation,
    record_clock,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_adapters.worker_orders import HoldAnswer
    from medlarspring_daemon.scheduling.link_context import LinkContext
    from medlarspring_daemon.scheduling.stop_orders import StopOrders
    from medlarspring_systems.scheduling.listings import ListingOutcome
    from medlarspring_tables import Seconds


class WorkerAnswers:
    """Handles the answers of one worker to hold calls, and missing answers."""

    def __init__(
        self, context: LinkContext, stops: StopOrders, poll: Callable[[], None]
    ) -> None:
        self._context = context
        self._node = context.node
        self._owner = context.owner
        self._worker = context.worker
        self._stops = stops
        self._poll = poll
        self._ends = UnacknowledgedEnds(context.worker.born_ms)
        self._probation_poll_due = False
        self.has_unloaded_runs = False
        """Whether the last listing had runs of jobs that are not loaded."""

    def get_current_ends(self) -> UnacknowledgedEnds:
        """Return the ends of the current incarnation; discard those of a former one."""
        if self._ends.life_ms != self._worker.born_ms:
            self._ends = UnacknowledgedEnds(self._worker.born_ms)
            self._stops.forget_sent()
        return self._ends

    def has_unacknowledged_ends(self) -> bool:
        """Return whether any listed end is not acknowledged yet."""
        return bool(self._ends)

    def find_last_recorded_end(self) -> int:
        """Return the highest end up to which all are recorded; 0 for none."""
        return self._ends.find_last_recorded()

    def handle_hold(
        self, answer: HoldAnswer, requested_at: Seconds, now: Seconds
    ) -> bool:
        """Apply an answer to a hold call; returns whether a poll must follow it."""
        worker = self._worker
        if answer.refusal is OrderRefusal.FENCE:
            self._owner.handle_superseded()
            return False
        if answer.refusal is OrderRefusal.OTHER_WORKER:
            self.record_unanswered(now)
            return False
        if answer.refusal is not None:
            record_refusal(worker, now)
            self.record_unanswered(now)
            return False
        if is_ended_incarnation(self._owner.tables, worker.id, answer.born_ms):
            # The answer is from an ended incarnation; the entry of the next one was
            # read first.
            self.record_unanswered(now)
            return False
        self.record_answered(now)
        if is_other_incarnation(worker, answer.born_ms):
            self._owner.handle_worker_restart(worker, answer.born_ms)
        self.get_current_ends().record_listing(now)
        record_clock(worker, answer.clock_ms, now)
        return self._apply_listing(answer, requested_at, now)

    def _apply_listing(
        self, answer: HoldAnswer, requested_at: Seconds, now: Seconds
    ) -> bool:
        outcome = apply_listing(
            self._owner.tables,
            self._worker,
            answer.running,
            list(answer.ended),
            requested_at,
            now,
        )
        # What was applied is handed over in any case: the next listing does not apply
        # it again, and acknowledges its ends.
        for number, job in outcome.ends:
            self._ends.add(number, job)
        self._add_held_ends(outcome)
        attempt = self._node.failures.attempt
        is_first = not self._worker.reconciled
        if is_first and not outcome.failures:
            attempt(Step.LISTING, self._handle_first_answer, now)
        for run in outcome.confirmed:
            attempt(Step.LISTING, log_run_started, self._node, run)
        attempt(Step.LISTING, self.poll_after_probation)
        attempt(Step.LISTING, self._stops.send_due, outcome)
        # The first call could not extend the lease, because the worker's clock was
        # not known yet.
        needs_poll = is_first and bool(self._worker.runs)
        self._owner.handle_listing(self._worker, outcome)
        if outcome.failures:
            message = "rows of a listing were not applied"
            raise ExceptionGroup(message, outcome.failures)
        return needs_poll or bool(outcome.unexpected_runs)

    def _add_held_ends(self, outcome: ListingOutcome) -> None:
        self.has_unloaded_runs = outcome.has_unloaded_runs
        if not outcome.held_ends:
            return
        for end in outcome.held_ends:
            self._ends.add_held(end)
        self._ends.sort()

    def _handle_first_answer(self, now: Seconds) -> None:
        """Handle the first answer of the worker's incarnation in this term."""
        self._worker.reconciled = True
        bound_unknown_lease(self._worker, self._node.limits.worker_lease)
        self._stops.refuse_late_orders(now)

    def poll_after_probation(self) -> None:
        """Poll the worker when its latest starts have proven themselves.

        Without this poll, a start would wait for the next end on the worker, and a
        silent crash would be noticed half a second later.
        """
        if self._probation_poll_due:
            return
        if needs_probation_poll(self._worker, self._node.clock.now()):
            self._probation_poll_due = True
            self._context.tasks.start(self._poll_later())

    async def _poll_later(self) -> None:
        await asyncio.sleep(PROBATION_SECONDS)
        self._probation_poll_due = False
        self._poll()

    def record_answered(self, now: Seconds) -> None:
        """Record that the worker has answered a call."""
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

    def record_unanswered(self, now: Seconds) -> None:
        """Record that a call to the worker got no usable answer."""
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


__all__ = ["WorkerAnswers"]
