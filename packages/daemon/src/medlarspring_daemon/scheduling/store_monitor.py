"""Logs when the store stops answering this process, and when it answers again."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from medlarspring_adapters.events import Event

if TYPE_CHECKING:
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_tables import Seconds

LOST_SECONDS = 0.3
"""The store counts as lost after all calls have failed for this long."""
CHECK_SECONDS = 0.1


class StoreMonitor:
    """Checks the store's health periodically; a single failed call is not an outage."""

    def __init__(self, node: SchedulingNode) -> None:
        self._node = node
        self._lost_since: Seconds | None = None

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            self._check()

    def _check(self) -> None:
        failing_since = self._node.store_health.failing_since
        now = self._node.clock.now()
        if failing_since is None:
            self._log_recovery(now)
        elif self._lost_since is None and now - failing_since >= LOST_SECONDS:
            self._lost_since = failing_since
            failing_ms = round((now - failing_since) * 1_000)
            self._node.log.warning(Event.STORE_LOST, failing_ms=failing_ms)

    def _log_recovery(self, now: Seconds) -> None:
        if self._lost_since is None:
            return
        seconds = round(now - self._lost_since, 2)
        self._node.log.info(Event.STORE_BACK, after_seconds=seconds)
        self._lost_since = None


__all__ = ["StoreMonitor"]
