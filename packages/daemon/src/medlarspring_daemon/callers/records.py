"""Records the outcome of each request: decisions for ``explain``, and metrics."""

from __future__ import annotations

import asyncio
from collections import Counter, OrderedDict
from typing import TYPE_CHECKING

from msgspec import Struct

from medlarspring_adapters.decisions import Decision, Subject
from medlarspring_adapters.metrics import Metric
from medlarspring_tables.requests import Outcome

if TYPE_CHECKING:
    from medlarspring_daemon.callers.forwarding import Exchange
    from medlarspring_daemon.node import Node
    from medlarspring_tables import RequestId
    from medlarspring_tables.requests import CallerRequest, Refusal

FLUSH_SECONDS = 1.0
MAX_ANSWERS = 10_000
"""Number of answered requests that are kept.

They are kept apart from the less frequent decisions about VMs, jobs and waves,
which they would otherwise displace within a minute.
"""
TIMING_SAMPLE_INTERVAL = 8
"""One in this many answers is sent as a timing."""


class AnsweredRequest(Struct, frozen=True, gc=False):
    """The recorded facts of an answered request; durations in seconds."""

    at: float
    partner: str
    service: str
    upstream: str
    attempts: int
    waited: float
    took: float
    status: int


class CallerRecords:
    """Records outcomes, and sends the accumulated counts once a second.

    One datagram per request would take longer than its entire admission.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._counts: Counter[Metric] = Counter()
        self._answers_since_timing = 0
        self._answers_by_id: OrderedDict[str, AnsweredRequest] = OrderedDict()
        node.decisions.add_source(self.find_answer)

    async def run(self) -> None:
        """Send the counts every second, until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_SECONDS)
            self.flush()

    def flush(self) -> None:
        """Send the counts accumulated since the last flush."""
        for metric, amount in self._counts.items():
            self._node.metrics.count(metric, amount)
        self._counts.clear()

    def record_answer(
        self, caller_request: CallerRequest, status: int, exchange: Exchange
    ) -> None:
        """Record an upstream's answer; ``find_answer`` formats it on demand."""
        took = self._node.clock.now() - caller_request.arrived_at
        self._counts[Metric.REQUESTS_ANSWERED] += 1
        self._answers_since_timing += 1
        if self._answers_since_timing == TIMING_SAMPLE_INTERVAL:
            self._answers_since_timing = 0
            self._node.metrics.timing(Metric.REQUEST_MS, took * 1000)
        if len(self._answers_by_id) >= MAX_ANSWERS:
            self._answers_by_id.popitem(last=False)
        self._answers_by_id[caller_request.id] = AnsweredRequest(
            self._node.clock.wall(),
            caller_request.partner_id,
            caller_request.service_id,
            exchange.upstream_id,
            exchange.attempts,
            exchange.waited,
            took,
            status,
        )

    def find_answer(self, subject: Subject, id: str) -> list[Decision]:  # noqa: A002
        """Return the decision of an answered request; a ``DecisionSource``."""
        answered = self._answers_by_id.get(id) if subject is Subject.REQUEST else None
        if answered is None:
            return []
        facts: dict[str, str | int | float | bool] = {
            "partner": answered.partner,
            "service": answered.service,
            "upstream": answered.upstream,
            "attempts": answered.attempts,
            "waited_ms": round(answered.waited * 1000, 1),
            "took_ms": round(answered.took * 1000, 1),
            "status": answered.status,
        }
        rule = "sent to the least loaded upstream VM, own zone first"
        decision = Decision(
            at=answered.at,
            entry_vm=self._node.id,
            subject=subject.value,
            id=id,
            decided="answered",
            rule=rule,
            facts=facts,
        )
        return [decision]

    def record_replay(self, caller_request: CallerRequest, status: int) -> None:
        """Record that a recorded answer was replayed."""
        self._counts[Metric.REQUESTS_REPLAYED] += 1
        self._node.decisions.record(
            Subject.REQUEST,
            caller_request.id,
            "replayed",
            "the Idempotency-Key has a recorded answer",
            partner=caller_request.partner_id,
            service=caller_request.service_id,
            status=status,
        )

    def record_refusal(self, request_id: RequestId, refusal: Refusal) -> None:
        """Record a refusal by this entry VM."""
        unknown = refusal.outcome is not Outcome.NOT_RUN
        metric = Metric.REQUESTS_UNKNOWN if unknown else Metric.REQUESTS_REFUSED
        self._counts[metric] += 1
        self._node.decisions.record(
            Subject.REQUEST,
            request_id,
            "refused",
            refusal.kind.code,
            outcome=refusal.outcome.value,
            detail=refusal.detail,
            retry_after=refusal.retry_after or 0.0,
        )


__all__ = ["CallerRecords"]
