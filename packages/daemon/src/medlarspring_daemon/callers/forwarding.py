"""Forwards a caller's request to upstream VMs, with retries, until one answers."""

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
from medlarspring_daemon.callers.upstream_response import (
    BUFFERED_RESPONSE_BYTES,
    MAX_KEYED_RESPONSE_BYTES,
    buffer_response,
    create_response,
    stream_response,
)
from medlarspring_systems import retry, upstream_health
from medlarspring_tables.requests import Outcome, Refusal, RefusalKind

if TYPE_CHECKING:
    import aiohttp
    from aiohttp import web
    from multidict import CIMultiDict

    from medlarspring_daemon.callers.dispatch import AcquiredSlot, Dispatcher
    from medlarspring_daemon.callers.reports import CallerReports
    from medlarspring_daemon.callers.state import CallerState
    from medlarspring_tables import PoolId, Seconds, VMId
    from medlarspring_tables.requests import CallerRequest

REFUSAL_STATUS = 503
RETRIED_STATUSES = frozenset({500, 502, 503, 504})


@dataclass(slots=True, eq=False)
class Exchange:
    """The state of one caller's request over all attempts."""

    caller_request: CallerRequest
    headers: CIMultiDict[str]
    """Headers sent to upstream VMs."""
    request: web.BaseRequest | None
    """The caller's HTTP request; None when the response must be buffered."""
    attempts: int = 0
    perhaps_run: bool = False
    """An earlier attempt reached an upstream VM and its outcome is unknown."""
    excluded: set[VMId] = field(default_factory=set)
    upstream_id: str = ""
    """Id of the upstream VM of the last attempt."""
    waited: Seconds = 0.0
    """Time spent waiting for slots."""
    replayed: bool = False
    """Whether the response was recorded for an earlier request with the same key."""


@dataclass(slots=True, frozen=True)
class AttemptFailure:
    """Why one attempt yielded no response for the caller."""

    refusal: Refusal
    not_run: bool
    """Whether it is certain that this attempt did not run."""
    answer: web.StreamResponse | None = None
    """The upstream's error response, passed on when there is no retry."""


class Forwarder:
    """Routes requests to upstream VMs and returns their responses."""

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
        """Return an upstream VM's response to one request, or a refusal."""
        caller_request = exchange.caller_request
        budget = self._budget_by_pool.setdefault(
            caller_request.pool_id, retry.RetryBudget()
        )
        while True:
            acquired_slot = await self._dispatcher.acquire(
                caller_request, exchange.excluded
            )
            if not is_successful(acquired_slot):
                return Failure(
                    _include_earlier_attempts(acquired_slot.failure(), exchange)
                )
            held = acquired_slot.unwrap()
            exchange.upstream_id = held.upstream.id
            exchange.waited += held.waited
            attempted = await self._attempt(exchange, held, budget)
            exchange.attempts += 1
            if is_successful(attempted):
                return Success(attempted.unwrap())
            failure = attempted.failure()
            exchange.excluded.add(held.upstream.id)
            exchange.perhaps_run |= not failure.not_run
            will_retry = retry.may_retry(
                budget,
                caller_request,
                exchange.attempts,
                held.pool.service_seconds,
                self._node.clock.now(),
                certainly_not_run=not exchange.perhaps_run,
            )
            self._record_failure(exchange, held, failure, will_retry=will_retry)
            if will_retry:
                continue
            if failure.answer is not None:
                return Success(failure.answer)
            return Failure(_include_earlier_attempts(failure.refusal, exchange))

    async def _attempt(
        self, exchange: Exchange, acquired_slot: AcquiredSlot, budget: retry.RetryBudget
    ) -> Result[web.StreamResponse, AttemptFailure]:
        """Make one attempt; the slot is always released."""
        caller_request = exchange.caller_request
        now = self._node.clock.now()
        upstream = acquired_slot.upstream
        if now >= upstream.credit_until or now >= caller_request.deadline:
            # The process was suspended or delayed after it acquired the slot.
            # The slot may have been granted to another entry VM since then, so
            # it must not be used.
            upstream_health.end_inconclusive_probe(upstream)
            self._dispatcher.release(acquired_slot)
            return Failure(AttemptFailure(_SLOT_EXPIRED, not_run=True))
        linger = retry.choose_linger(acquired_slot.pool)
        remaining = caller_request.deadline - now
        exchange.headers["Request-Timeout"] = f"{remaining:.3f}"
        try:
            sent = await self._client.send(
                OutgoingRequest(
                    address=upstream.address,
                    method=caller_request.method,
                    target=caller_request.target,
                    headers=exchange.headers,
                    body=caller_request.body,
                    header_timeout=retry.choose_header_timeout(
                        budget,
                        caller_request,
                        acquired_slot.pool,
                        exchange.attempts,
                        now,
                    ),
                ),
                fresh=not caller_request.repeatable or exchange.attempts > 0,
            )
            if not is_successful(sent):
                fault = sent.failure()
                if not fault.timed_out:
                    linger = 0.0
                return Failure(self._handle_fault(acquired_slot, fault))
            result = await self._handle_answer(
                exchange, acquired_slot, sent.unwrap(), budget
            )
            linger = 0.0
            return result
        except asyncio.CancelledError:
            upstream_health.end_inconclusive_probe(upstream)
            raise
        finally:
            self._dispatcher.release(acquired_slot, linger)

    async def _handle_answer(
        self,
        exchange: Exchange,
        acquired_slot: AcquiredSlot,
        answer: aiohttp.ClientResponse,
        budget: retry.RetryBudget,
    ) -> Result[web.StreamResponse, AttemptFailure]:
        caller_request = exchange.caller_request
        now = self._node.clock.now()
        latency = now - acquired_slot.began_at
        state = answer.headers.get(STATE_HEADER)
        if state == "leaving":
            self._reports.record_leaving(acquired_slot.upstream.id, 0.0, "answer")
        if answer.status == REFUSAL_STATUS and state is not None:
            answer.close()
            upstream_health.end_inconclusive_probe(acquired_slot.upstream)
            if state != "leaving":
                acquired_slot.upstream.credit_until = min(
                    acquired_slot.upstream.credit_until, now
                )
            return Failure(AttemptFailure(_UPSTREAM_REFUSED, not_run=True))
        streams = exchange.request is not None
        held = await buffer_response(
            answer,
            BUFFERED_RESPONSE_BYTES if streams else MAX_KEYED_RESPONSE_BYTES,
            caller_request.deadline - now,
        )
        if not is_successful(held):
            return Failure(self._handle_fault(acquired_slot, held.failure()))
        body = held.unwrap()
        if not body.complete:
            return await self._stream_large_answer(
                exchange, acquired_slot, answer, body.body, latency
            )
        response = create_response(answer, body.body, caller_request)
        ok = answer.status not in RETRIED_STATUSES
        self._record_upstream_health(acquired_slot, ok=ok, latency=latency)
        if not ok:
            return Failure(
                AttemptFailure(_UPSTREAM_FAILED, not_run=False, answer=response)
            )
        config = self._node.config
        if config is not None:
            retry.add_retry_tokens(budget, config.fleet.retry_percent)
        return Success(response)

    async def _stream_large_answer(
        self,
        exchange: Exchange,
        acquired_slot: AcquiredSlot,
        answer: aiohttp.ClientResponse,
        prefix: bytes,
        latency: float,
    ) -> Result[web.StreamResponse, AttemptFailure]:
        if exchange.request is None:
            answer.close()
            fault = UpstreamFault(
                DeliveryStatus.POSSIBLY_SENT,
                "its response is too large",
                timed_out=False,
            )
            return Failure(self._handle_fault(acquired_slot, fault))
        response, complete = await stream_response(
            answer,
            prefix,
            exchange.request,
            exchange.caller_request.id,
            exchange.caller_request.deadline - self._node.clock.now(),
        )
        self._record_upstream_health(acquired_slot, ok=complete, latency=latency)
        return Success(response)

    def _record_upstream_health(
        self, acquired_slot: AcquiredSlot, *, ok: bool, latency: float
    ) -> None:
        upstreams = self._state.list_upstreams(acquired_slot.pool.pool_id)
        now = self._node.clock.now()
        if ok:
            ejected = upstream_health.record_success(
                acquired_slot.upstream, upstreams, latency, now
            )
        else:
            ejected = upstream_health.record_failure(
                acquired_slot.upstream, upstreams, now
            )
        if ejected:
            self._node.log.warning(
                Event.UPSTREAM_SET_ASIDE,
                vm=acquired_slot.upstream.id,
                failures=acquired_slot.upstream.failures,
                latency_ms=round(acquired_slot.upstream.latency * 1000, 1),
            )

    def _handle_fault(
        self, acquired_slot: AcquiredSlot, fault: UpstreamFault
    ) -> AttemptFailure:
        if fault.old_connection:
            upstream_health.end_inconclusive_probe(acquired_slot.upstream)
        else:
            self._record_upstream_health(acquired_slot, ok=False, latency=0.0)
        not_run = fault.reached is DeliveryStatus.NOT_SENT
        kind = RefusalKind.TIMED_OUT if fault.timed_out else RefusalKind.UPSTREAM_FAILED
        outcome = Outcome.NOT_RUN if not_run else Outcome.UNKNOWN
        refusal = Refusal(kind, outcome, fault.message(), retry_after=1.0)
        return AttemptFailure(refusal, not_run=not_run)

    def _record_failure(
        self,
        exchange: Exchange,
        acquired_slot: AcquiredSlot,
        failure: AttemptFailure,
        *,
        will_retry: bool,
    ) -> None:
        self._node.decisions.record(
            Subject.REQUEST,
            exchange.caller_request.id,
            "send again" if will_retry else "give up",
            failure.refusal.kind.code,
            upstream=acquired_slot.upstream.id,
            attempt=exchange.attempts,
            not_run=failure.not_run,
        )


def _include_earlier_attempts(refusal: Refusal, exchange: Exchange) -> Refusal:
    """Replace outcome "not run" by "unknown" if an earlier attempt may have run."""
    if not exchange.perhaps_run or refusal.outcome is Outcome.UNKNOWN:
        return refusal
    return Refusal(refusal.kind, Outcome.UNKNOWN, refusal.detail, refusal.retry_after)


_SLOT_EXPIRED = Refusal(
    RefusalKind.OVERLOADED,
    Outcome.NOT_RUN,
    "The slot expired before the request was sent; send it again.",
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
