"""Reports the steps of restricted queues that wait for the adviser's advice."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from medlarspring_adapters.events import Event
from medlarspring_adapters.metrics import Metric
from medlarspring_systems.scheduling.advice_needs import format_step_id
from medlarspring_systems.scheduling.advice_requests import list_unadvised_steps

if TYPE_CHECKING:
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import StepRun, WorkTables

REPORT_SECONDS = 1.0
"""Interval of the gauges, and shortest time between two log lines."""
LONG_WAIT_SECONDS = 2.0
"""Wait from which steps are logged: urgent work should have started by then."""
MAX_LOGGED_STEPS = 5
"""Number of steps that one log line names."""


class AdviceReporter:
    """Sends gauges of the waiting steps, and logs those that have waited for long."""

    def __init__(self, node: SchedulingNode, tables: WorkTables) -> None:
        self._node = node
        self._tables = tables

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            self._report()

    def _report(self) -> None:
        awaiting = list_unadvised_steps(self._tables, self._node.clock.now())
        longest = awaiting[0][1] if awaiting else 0.0
        metrics = self._node.metrics
        metrics.gauge(Metric.ADVICE_STEPS_AWAITING, len(awaiting))
        metrics.gauge(Metric.ADVICE_LONGEST_WAIT, round(longest, 3))
        if longest > LONG_WAIT_SECONDS:
            self._node.log.warning(
                Event.ADVICE_AWAITED,
                awaiting=len(awaiting),
                steps=[_describe(*pair) for pair in awaiting[:MAX_LOGGED_STEPS]],
            )


def _describe(step: StepRun, wait: Seconds) -> str:
    return f"{format_step_id(step)} {wait:.1f} s"


__all__ = ["AdviceReporter"]
