"""Reports how late a controller's process is, and when it turns late or on time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_adapters.events import Event
from medlarspring_adapters.metrics import Metric
from medlarspring_systems.scheduling.lateness import Lateness

if TYPE_CHECKING:
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import WorkTables

REPORT_SECONDS = 1.0
"""Interval of the gauges, and the time that the logged rate of calls covers."""


class LatenessReporter:
    """Measures one controller's delay, and logs it once when its lateness changes."""

    def __init__(self, node: SchedulingNode, tables: WorkTables) -> None:
        self._node = node
        self._tables = tables
        self._lateness = Lateness()
        self._counted_at = node.clock.now()
        self._calls_then = node.counted_orders.made
        self._calls_per_second = 0.0

    def get_reported_ms(self) -> int:
        """Return the delay in milliseconds while the controller is late, else 0."""
        return self._lateness.reported_ms

    def record_delay(self, delay: Seconds, period: Seconds) -> None:
        """Record by how much a timer of ``period`` was late."""
        has_turned = self._lateness.record_delay(delay, period)
        self._report_gauges()
        if has_turned:
            self._log_turn()

    def _report_gauges(self) -> None:
        orders, now = self._node.counted_orders, self._node.clock.now()
        elapsed = now - self._counted_at
        if elapsed < REPORT_SECONDS:
            return
        self._calls_per_second = (orders.made - self._calls_then) / elapsed
        self._counted_at, self._calls_then = now, orders.made
        delay_ms = self._lateness.delay * 1_000
        self._node.metrics.gauge(Metric.CONTROLLER_DELAY_MS, delay_ms)
        self._node.metrics.gauge(Metric.WORKER_CALLS_OPEN, orders.open)

    def _log_turn(self) -> None:
        log = self._node.log
        write = log.warning if self._lateness.is_late else log.info
        event = (
            Event.CONTROLLER_LATE
            if self._lateness.is_late
            else Event.CONTROLLER_ON_TIME
        )
        write(
            event,
            delay_ms=round(self._lateness.delay * 1_000),
            calls_per_second=round(self._calls_per_second),
            open_calls=self._node.counted_orders.open,
            open_jobs=len(self._tables.jobs_by_id),
        )


__all__ = ["LatenessReporter"]
