"""Reports when the store stops and resumes answering, and the configuration's age."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from medlarspring_adapters.events import Event
from medlarspring_adapters.metrics import Metric

if TYPE_CHECKING:
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_daemon.scheduling.operator_records import OperatorRecords
    from medlarspring_tables import Seconds

LOST_SECONDS = 0.3
"""The store counts as lost after all calls have failed for this long."""
CHECK_SECONDS = 0.1


class StoreMonitor:
    """Checks the store's health periodically; a single failed call is not an outage."""

    def __init__(self, node: SchedulingNode, operator_records: OperatorRecords) -> None:
        self._node = node
        self._operator_records = operator_records
        self._lost_since: Seconds | None = None

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            self._check()

    def _check(self) -> None:
        failing_since = self._node.store_health.failing_since
        now = self._node.clock.now()
        self._report_config(now, failing_since)
        if failing_since is None:
            self._log_recovery(now)
        elif self._lost_since is None and now - failing_since >= LOST_SECONDS:
            self._lost_since = failing_since
            failing_ms = round((now - failing_since) * 1_000)
            self._node.log.warning(
                Event.STORE_LOST,
                failing_ms=failing_ms,
                config_version=self._find_config_version(),
            )

    def _report_config(self, now: Seconds, failing_since: Seconds | None) -> None:
        """Report how long newer configurations may have gone unnoticed."""
        unconfirmed = 0.0 if failing_since is None else now - failing_since
        self._node.metrics.gauge(Metric.CONFIG_VERSION, self._find_config_version())
        self._node.metrics.gauge(Metric.CONFIG_UNCONFIRMED_SECONDS, unconfirmed)

    def _find_config_version(self) -> int:
        config = self._operator_records.config
        return 0 if config is None else config.version

    def _log_recovery(self, now: Seconds) -> None:
        if self._lost_since is None:
            return
        seconds = round(now - self._lost_since, 2)
        self._node.log.info(Event.STORE_BACK, after_seconds=seconds)
        self._lost_since = None


__all__ = ["StoreMonitor"]
