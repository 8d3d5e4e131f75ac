"""What became of each request: decisions for ``explain``, and metrics."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from medlarspring_adapters.decisions import Subject
from medlarspring_adapters.metrics import Metric
from medlarspring_tables.requests import Outcome

if TYPE_CHECKING:
    from medlarspring_daemon.node import Node
    from medlarspring_daemon.services.caller_forwarding import Exchange
    from medlarspring_tables import RequestId
    from medlarspring_tables.requests import CallerRequest, Refusal

FLUSH_SECONDS = 1.0
TIMED_PART = 8
"""One answer of so many is sent as a timing."""


class CallerRecords:
    """Remembers outcomes; counts are sent together once a second.

    A datagram for every request would cost more time than the whole of the
    admission.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._counts: Counter[Metric] = Counter()
        self._answers = 0

    async def run(self) -> None:
        """Send the counts every second, until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_SECONDS)
            self.flush()

    def flush(self) -> None:
        """Send what was counted since the last time."""
        for metric, amount in self._counts.items():
            self._node.metrics.count(metric, amount)
        self._counts.clear()

    def note_answer(self, row: CallerRequest, status: int, exchange: Exchange) -> None:
        """Remember an upstream's answer."""
        took_ms = (self._node.clock.now() - row.arrived_at) * 1000
        self._counts[Metric.REQUESTS_ANSWERED] += 1
        self._answers += 1
        if self._answers % TIMED_PART == 0:
            self._node.metrics.timing(Metric.REQUEST_MS, took_ms)
        self._node.decisions.record(
            Subject.REQUEST,
            row.id,
            "answered",
            "sent to the least loaded upstream VM, own zone first",
            partner=row.partner_id,
            service=row.service_id,
            upstream=exchange.upstream_id,
            attempts=exchange.attempts,
            waited_ms=round(exchange.waited * 1000, 1),
            took_ms=round(took_ms, 1),
            status=status,
        )

    def note_replay(self, row: CallerRequest, status: int) -> None:
        """Remember that a recorded answer was given again."""
        self._counts[Metric.REQUESTS_REPLAYED] += 1
        self._node.decisions.record(
            Subject.REQUEST,
            row.id,
            "replayed",
            "the Idempotency-Key has a recorded answer",
            partner=row.partner_id,
            service=row.service_id,
            status=status,
        )

    def note_refusal(self, request_id: RequestId, refusal: Refusal) -> None:
        """Remember a refusal of our own."""
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
