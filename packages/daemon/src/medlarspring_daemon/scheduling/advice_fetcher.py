"""Fetches the adviser's decisions on which workers may run restricted queues' steps."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, Protocol

from returns.pipeline import is_successful

from medlarspring_adapters.events import Event
from medlarspring_daemon.scheduling.failure_log import Step
from medlarspring_systems.backoff import double_bounded
from medlarspring_systems.scheduling.advice_requests import (
    choose_advice_request,
    record_advice,
    record_advice_call,
    record_advice_failure,
)
from medlarspring_systems.scheduling.advice_times import AdviceTimes, find_ticket_end

if TYPE_CHECKING:
    from medlarspring_adapters.adviser import Advice, Adviser, AdviserUnresponsive
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_systems.scheduling.advice_requests import AdviceRequest
    from medlarspring_tables import PoolId, Seconds
    from medlarspring_tables.scheduling import WorkTables

IDLE_SECONDS = 0.02
"""Shortest pause while no advice is needed, and after a failed call."""
IDLE_SECONDS_PER_JOB = 0.0002
"""Extra pause for each open job. Looking for a step that needs advice takes 16 ms with
1,000 jobs that wait."""
MAX_IDLE_SECONDS = 0.3
"""Longest pause while no advice is needed; urgent work has to start in 2 s."""
UNRESTRICTED_SECONDS = 0.5
"""Pause while no queue is restricted."""
MAX_FAILURE_PAUSE_SECONDS = 0.2
"""Longest pause while calls fail in a row; the adviser refuses calls when too many are
waiting."""
MAX_OPEN_CALLS = 4
"""Calls without an answer, all but the last of them overdue."""


def choose_idle_pause(jobs: int) -> Seconds:
    """Return the time until steps are looked at again that need no advice now."""
    return min(IDLE_SECONDS + IDLE_SECONDS_PER_JOB * jobs, MAX_IDLE_SECONDS)


class AdviceFetcherOwner(Protocol):
    """The part of the cell's controller that the fetcher uses."""

    tables: WorkTables

    def plan(self, pool_id: PoolId) -> None:
        """Schedule a placement round for a pool's waiting tasks."""
        ...


class AdviceFetcher:
    """Sends one request at a time to the adviser, and the next one if it is overdue."""

    def __init__(
        self, node: SchedulingNode, adviser: Adviser, owner: AdviceFetcherOwner
    ) -> None:
        self._node = node
        self._adviser = adviser
        self._owner = owner
        self._times = AdviceTimes()
        self._open_calls: set[asyncio.Task[None]] = set()
        self._failed_in_a_row = 0
        self._checked_version = -1
        """Version of the configuration that ``_any_restricted`` was computed from."""
        self._any_restricted = False

    async def run(self) -> None:
        """Fetch advice until cancelled."""
        try:
            while True:
                await self._fetch_next()
        finally:
            for call in list(self._open_calls):
                call.cancel()
            await asyncio.gather(*self._open_calls, return_exceptions=True)

    async def _fetch_next(self) -> None:
        """Send the next request, if there is one, and wait until it is answered or due.

        A call that stays open must not keep the other steps waiting until its timeout.
        """
        if not self._has_restricted_queue():
            await asyncio.sleep(UNRESTRICTED_SECONDS)
            return
        request = self._choose_request()
        if request is None:
            await asyncio.sleep(choose_idle_pause(len(self._owner.tables.jobs_by_id)))
            return
        record_advice_call(self._owner.tables, request, self._node.clock.now())
        call = asyncio.create_task(self._fetch(request))
        self._open_calls.add(call)
        call.add_done_callback(self._open_calls.discard)
        patience = self._times.get_patience(request)
        await asyncio.wait({call}, timeout=patience)
        if not call.done():
            self._log_overdue(request, patience)
        elif self._failed_in_a_row:
            doublings = self._failed_in_a_row - 1
            await asyncio.sleep(
                double_bounded(IDLE_SECONDS, doublings, MAX_FAILURE_PAUSE_SECONDS)
            )

    def _choose_request(self) -> AdviceRequest | None:
        if len(self._open_calls) >= MAX_OPEN_CALLS:
            return None
        return choose_advice_request(
            self._owner.tables,
            self._node.clock.now(),
            partial(self._node.failures.attempt, Step.ADVICE),
        )

    def _has_restricted_queue(self) -> bool:
        """Return whether any queue is restricted; cached per configuration version."""
        config = self._owner.tables.config
        if config.version != self._checked_version:
            self._checked_version = config.version
            queues = config.queues_by_id.values()
            self._any_restricted = any(queue.advice is not None for queue in queues)
        return self._any_restricted

    async def _fetch(self, request: AdviceRequest) -> None:
        sent_at = self._node.clock.now()
        try:
            answer = await self._adviser.advise(request.step_id, request.worker_ids)
        except Exception:
            self._node.failures.report(Step.ADVICE)
            self._record_failure(request)
            return
        except asyncio.CancelledError:
            # The step could not be asked about again if its call stayed open.
            self._record_failure(request)
            raise
        if is_successful(answer):
            self._handle_advice(request, answer.unwrap(), sent_at)
        else:
            self._handle_missing(request, answer.failure())

    def _record_failure(self, request: AdviceRequest) -> None:
        self._failed_in_a_row += 1
        record_advice_failure(self._owner.tables, request, self._node.clock.now())

    def _handle_missing(
        self, request: AdviceRequest, failure: AdviserUnresponsive
    ) -> None:
        self._record_failure(request)
        self._node.log.warning(
            Event.ADVICE_MISSING,
            step=request.step_id,
            need=request.need.name.lower(),
            workers=len(request.worker_ids),
            failures=request.step.advice_calls.failures,
            fault=failure.message(),
        )

    def _handle_advice(
        self, request: AdviceRequest, advice: Advice, sent_at: Seconds
    ) -> None:
        now = self._node.clock.now()
        self._failed_in_a_row = 0
        self._times.record_answer(request, now - sent_at)
        valid_until = find_ticket_end(sent_at, now, advice.valid_ms / 1_000.0)
        record_advice(
            self._owner.tables, request, advice.tickets_by_worker, valid_until, now
        )
        self._node.log.info(
            Event.ADVICE_TAKEN,
            step=request.step_id,
            need=request.need.name.lower(),
            workers=len(request.worker_ids),
            allowed=len(advice.tickets_by_worker),
            valid_ms=advice.valid_ms,
            took_ms=round((now - sent_at) * 1_000),
        )
        self._owner.plan(request.step.job.queue.pool_id)

    def _log_overdue(self, request: AdviceRequest, patience: Seconds) -> None:
        self._node.log.warning(
            Event.ADVICE_OVERDUE,
            step=request.step_id,
            need=request.need.name.lower(),
            workers=len(request.worker_ids),
            waited_ms=round(patience * 1_000),
            open_calls=len(self._open_calls),
        )


__all__ = ["AdviceFetcher", "AdviceFetcherOwner"]
