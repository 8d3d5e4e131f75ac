"""In-process metrics, exposed in Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

if TYPE_CHECKING:
    from medlarspring_adapters.metrics import Metric

NAMESPACE = "medlarspring"
BUCKETS_MS = (
    1.0, 2.5, 5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0,
    1_000.0, 2_500.0, 5_000.0, 10_000.0, 30_000.0,
)  # fmt: skip
"""Range from a call within the zone to a job that waits for a takeover."""


class PrometheusMetrics:
    """Implements ``Metrics``; each metric appears with its first value."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._counters: dict[Metric, Counter] = {}
        self._gauges: dict[Metric, Gauge] = {}
        self._histograms: dict[Metric, Histogram] = {}

    def count(self, metric: Metric, amount: int = 1) -> None:
        """Add to a counter."""
        counter = self._counters.get(metric)
        if counter is None:
            counter = Counter(
                _name(metric),
                metric.value,
                namespace=NAMESPACE,
                registry=self._registry,
            )
            self._counters[metric] = counter
        counter.inc(amount)

    def gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""
        gauge = self._gauges.get(metric)
        if gauge is None:
            gauge = Gauge(
                _name(metric),
                metric.value,
                namespace=NAMESPACE,
                registry=self._registry,
            )
            self._gauges[metric] = gauge
        gauge.set(value)

    def timing(self, metric: Metric, milliseconds: float) -> None:
        """Record a duration."""
        histogram = self._histograms.get(metric)
        if histogram is None:
            histogram = Histogram(
                _name(metric),
                metric.value,
                namespace=NAMESPACE,
                registry=self._registry,
                buckets=BUCKETS_MS,
            )
            self._histograms[metric] = histogram
        histogram.observe(milliseconds)

    def render(self) -> bytes:
        """Return all metrics as text."""
        return generate_latest(self._registry)


def _name(metric: Metric) -> str:
    return metric.value.replace(".", "_").replace("-", "_")


__all__ = ["PrometheusMetrics"]
