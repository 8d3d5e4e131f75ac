"""Metrics sent by statsd over UDP; docs/METRICS.md names them."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from statsd import StatsClient


class Metric(Enum):
    """Every metric the daemon sends."""

    REQUESTS_ANSWERED = "requests.answered"
    REQUESTS_REFUSED = "requests.refused"
    REQUESTS_UNKNOWN = "requests.unknown"
    REQUEST_MS = "requests.ms"


class Metrics(Protocol):
    """Counters, gauges and timings by name."""

    def count(self, metric: Metric, amount: int = 1) -> None:
        """Add to a counter."""
        ...

    def gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""
        ...

    def timing(self, metric: Metric, milliseconds: float) -> None:
        """Record a duration."""
        ...


class StatsdMetrics:
    """Metrics to a statsd daemon; a lost datagram is not noticed."""

    def __init__(self, host: str, port: int) -> None:
        self._client = StatsClient(host, port, prefix="medlarspring")

    def count(self, metric: Metric, amount: int = 1) -> None:
        """Add to a counter."""
        self._client.incr(metric.value, amount)

    def gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""
        self._client.gauge(metric.value, value)

    def timing(self, metric: Metric, milliseconds: float) -> None:
        """Record a duration."""
        self._client.timing(metric.value, milliseconds)


class NoMetrics:
    """Discards all metrics, for deployments without a statsd daemon."""

    def count(self, metric: Metric, amount: int = 1) -> None:
        """Discard."""

    def gauge(self, metric: Metric, value: float) -> None:
        """Discard."""

    def timing(self, metric: Metric, milliseconds: float) -> None:
        """Discard."""


__all__ = ["Metric", "Metrics", "NoMetrics", "StatsdMetrics"]
