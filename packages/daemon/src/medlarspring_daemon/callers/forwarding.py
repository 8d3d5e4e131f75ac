"""Sends a caller's request to upstream VMs until one answers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from medlarspring_adapters.decisions import Subject
from medlarspring_adapters.events import Event
from medlarspring_adapters.upstream_http import (
    STATE_HEADER,
    DeliveryStatus,
    OutgoingRequest,
    UpstreamClient,
    UpstreamFault,
)
from medlarspring_daemon.callers.answer import (
    HELD_ANSWER_BYTES,
    MAX_KEYED_ANSWER_BYTES,
    create_response,
    hold_answer,
    stream_answer,
)
from medlarspring_systems import retry, upstream_health
from medlarspring_tables.requests import Outcome, Refusal, RefusalKind

if TYPE_CHECKING:
    import aiohttp
    from aiohttp import web
    from multidict import CIMultiDict

    from medlarspring_daemon.callers.dispatch import Dispatcher, Turn
    from medlarspring_daemon.callers.reports import CallerReports
    from medlarspring_daemon.callers.state import CallerState
    from medlarspring_tables import PoolId, Seconds, VMId
    from medlarspring_tables.requests import CallerRequest

REFUSES = 503
RETRIED_STATUSES = frozenset({500, 502, 503, 504})


@dataclass(slots=True, eq=False)
class Exchange:
    """One caller's request on its way, over all attempts."""

    row: CallerRequest
    headers: CIMultiDict[str]
    """As upstream VMs get them."""
    request: web.BaseRequest | None
    """The caller's connection; None when the answer must be held whole."""
    attempts: int = 0
    perhaps_run: bool = False
    """An earlier attempt reached an upstream VM and its end is not known."""
    excluded: set[VMId] = field(default_factory=set)
    upstream_id: str = ""
    """Upstream VM of the last attempt."""
    waited: Seconds = 0.0
    """Time spent waiting for slots."""
    replayed: bool = False
    """Whether the answer is that of an earlier request with the same key."""


@dataclass(slots=True, frozen=True)
class AttemptFailure:
    """Why one attempt gave no answer to pass on."""

    refusal: Refusal
    not_run: bool
    """No work was done for this attempt for certain."""
    answer: web.StreamResponse | None = None
    """The upstream's own failing answer, passed on when there is no retry."""


class Forwarder:
    """Routes requests, sends them and passes answers on."""

    def __init__(
        self,
        state: CallerState,
        dispatcher: Dispatcher,
        client: UpstreamClient,
        reports: CallerReports,
    ) -> None:
        self._state = state
        self._node = state.node
        self._dispatcher = dispatcher
        self._client = client
        self._reports = reports
        self._budget_by_pool: dict[PoolId, retry.RetryBudget] = {}

    async def forward(self, exchange: Exchange) -> Result[web.StreamResponse, Refusal]:
        """Answer one request from an upstream VM, or say why not."""
        row = exchange.row
        budget = self._budget_by_pool.setdefault(row.pool_id, retry.RetryBudget())
        while True:
            turn = await self._dispatcher.acquire(row, exchange.excluded)
            if not is_successful(turn):
                return Failure(_after_attempts(turn.failure(), exchange))
            held = turn.unwrap()
            exchange.upstream_id = held.upstream.id
            exchange.waited += held.waited
            tried = await self._try(exchange, held, budget)
            exchange.attempts += 1
            if is_successful(tried):
                return Success(tried.unwrap())
            failure = tried.failure()
            exchange.excluded.add(held.upstream.id)
            exchange.perhaps_run |= not failure.not_run
            again = retry.may_retry(
                budget,
                row,
                exchange.attempts,
                held.pool.service_seconds,
                self._node.clock.now(),
                certainly_not_run=not exchange.perhaps_run,
            )
            self._record_failure(exchange, held, failure, again=again)
            if again:
                continue
            if failure.answer is not None:
                return Success(failure.answer)
            return Failure(_after_attempts(failure.refusal, exchange))

    async def _try(
        self, exchange: Exchange, turn: Turn, budget: retry.RetryBudget
    ) -> Result[web.StreamResponse, AttemptFailure]:
        """Make one attempt; the slot is given back whatever happens."""
        row = exchange.row
        now = self._node.clock.now()
        upstream = turn.upstream
        if now >= upstream.credit_until or now >= row.deadline:
            # The process was frozen or held up since the slot was given. The
            # slot may be another's by now, so it must not be used.
            upstream_health.note_no_verdict(upstream)
            self._dispatcher.release(turn)
            return Failure(AttemptFailure(_SLOT_LAPSED, not_run=True))
        linger = retry.choose_linger(turn.pool)
        remaining = row.deadline - now
        exchange.headers["Request-Timeout"] = f"{remaining:.3f}"
        try:
            sent = await self._client.send(
                OutgoingRequest(
                    address=upstream.address,
                    method=row.method,
                    target=row.target,
                    headers=exchange.headers,
                    body=row.body,
                    header_timeout=retry.choose_header_timeout(
                        budget, row, turn.pool, exchange.attempts, now
                    ),
                ),
                fresh=not row.repeatable or exchange.attempts > 0,
            )
            if not is_successful(sent):
                fault = sent.failure()
                if not fault.timed_out:
                    linger = 0.0
                return Failure(self._judge_fault(turn, fault))
            result = await self._take_answer(exchange, turn, sent.unwrap(), budget)
            linger = 0.0
            return result
        except asyncio.CancelledError:
            upstream_health.note_no_verdict(upstream)
            raise
        finally:
            self._dispatcher.release(turn, linger)

    async def _take_answer(
        self,
        exchange: Exchange,
        turn: Turn,
        answer: aiohttp.ClientResponse,
        budget: retry.RetryBudget,
    ) -> Result[web.StreamResponse, AttemptFailure]:
        row = exchange.row
        now = self._node.clock.now()
        latency = now - turn.began_at
        state = answer.headers.get(STATE_HEADER)
        if state == "leaving":
            self._reports.note_leaving(turn.upstream.id, 0.0, "answer")
        if answer.status == REFUSES and state is not None:
            answer.close()
            upstream_health.note_no_verdict(turn.upstream)
            if state != "leaving":
                turn.upstream.credit_until = min(turn.upstream.credit_until, now)
            return Failure(AttemptFailure(_UPSTREAM_REFUSED, not_run=True))
        streams = exchange.request is not None
        held = await hold_answer(
            answer,
            HELD_ANSWER_BYTES if streams else MAX_KEYED_ANSWER_BYTES,
            row.deadline - now,
        )
        if not is_successful(held):
            return Failure(self._judge_fault(turn, held.failure()))
        body = held.unwrap()
        if not body.complete:
            return await self._pass_large(exchange, turn, answer, body.body, latency)
        passed = create_response(answer, body.body, row)
        ok = answer.status not in RETRIED_STATUSES
        self._judge_answer(turn, ok=ok, latency=latency)
        if not ok:
            return Failure(
                AttemptFailure(_UPSTREAM_FAILED, not_run=False, answer=passed)
            )
        config = self._node.config
        if config is not None:
            retry.earn(budget, config.fleet.retry_percent)
        return Success(passed)

    async def _pass_large(
        self,
        exchange: Exchange,
        turn: Turn,
        answer: aiohttp.ClientResponse,
        begin: bytes,
        latency: float,
    ) -> Result[web.StreamResponse, AttemptFailure]:
        if exchange.request is None:
            answer.close()
            fault = UpstreamFault(
                DeliveryStatus.POSSIBLY_SENT, "its answer is too large", timed_out=False
            )
            return Failure(self._judge_fault(turn, fault))
        response, whole = await stream_answer(
            answer,
            begin,
            exchange.request,
            exchange.row.id,
            exchange.row.deadline - self._node.clock.now(),
        )
        self._judge_answer(turn, ok=whole, latency=latency)
        return Success(response)

    def _judge_answer(self, turn: Turn, *, ok: bool, latency: float) -> None:
        upstreams = self._state.list_upstreams(turn.pool.pool_id)
        now = self._node.clock.now()
        if ok:
            aside = upstream_health.note_success(turn.upstream, upstreams, latency, now)
        else:
            aside = upstream_health.note_failure(turn.upstream, upstreams, now)
        if aside:
            self._node.log.warning(
                Event.UPSTREAM_SET_ASIDE,
                vm=turn.upstream.id,
                failures=turn.upstream.failures,
                latency_ms=round(turn.upstream.latency * 1000, 1),
            )

    def _judge_fault(self, turn: Turn, fault: UpstreamFault) -> AttemptFailure:
        if fault.old_connection:
            upstream_health.note_no_verdict(turn.upstream)
        else:
            self._judge_answer(turn, ok=False, latency=0.0)
        not_run = fault.reached is DeliveryStatus.NOT_SENT
        kind = RefusalKind.TIMED_OUT if fault.timed_out else RefusalKind.UPSTREAM_FAILED
        outcome = Outcome.NOT_RUN if not_run else Outcome.UNKNOWN
        refusal = Refusal(kind, outcome, fault.message(), retry_after=1.0)
        return AttemptFailure(refusal, not_run=not_run)

    def _record_failure(
        self, exchange: Exchange, turn: Turn, failure: AttemptFailure, *, again: bool
    ) -> None:
        self._node.decisions.record(
            Subject.REQUEST,
            exchange.row.id,
            "send again" if again else "give up",
            failure.refusal.kind.code,
            upstream=turn.upstream.id,
            attempt=exchange.attempts,
            not_run=failure.not_run,
        )


def _after_attempts(refusal: Refusal, exchange: Exchange) -> Refusal:
    """Never say "not run" once an earlier attempt may have run."""
    if not exchange.perhaps_run or refusal.outcome is Outcome.UNKNOWN:
        return refusal
    return Refusal(refusal.kind, Outcome.UNKNOWN, refusal.detail, refusal.retry_after)


_SLOT_LAPSED = Refusal(
    RefusalKind.OVERLOADED,
    Outcome.NOT_RUN,
    "The slot lapsed before the request was sent; send it again.",
    retry_after=1.0,
)
_UPSTREAM_REFUSED = Refusal(
    RefusalKind.OVERLOADED,
    Outcome.NOT_RUN,
    "The upstream VMs refused the request before running it; send it again.",
    retry_after=1.0,
)
_UPSTREAM_FAILED = Refusal(
    RefusalKind.UPSTREAM_FAILED,
    Outcome.UNKNOWN,
    "The upstream VM failed; see its log.",
    retry_after=1.0,
)

__all__ = ["Exchange", "Forwarder"]
