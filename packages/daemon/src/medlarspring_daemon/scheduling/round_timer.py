"""Schedules placement rounds, so that changes close in time share one round."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_tables import PoolId, Seconds
    from medlarspring_tables.scheduling import WorkTables

ROUND_SECONDS = 0.003
"""Shortest delay; ends that arrive within this time share one placement round."""
ROUND_SECONDS_PER_ROW = 0.00002
"""Extra delay for each waiting step and each worker that a round examines. It limits
the share of CPU time that placement takes, however long the queue is."""
MAX_ROUND_SECONDS = 0.015
"""Longest time that a start waits for other changes to share its round."""


class RoundTimer:
    """Delays and combines placement rounds of each pool."""

    def __init__(self, tables: WorkTables, run_round: Callable[[PoolId], None]) -> None:
        self._tables = tables
        self._run_round = run_round
        self._due: dict[PoolId, None] = {}
        self._timer: asyncio.TimerHandle | None = None

    def plan(self, pool_id: PoolId) -> None:
        """Schedule a placement round for a pool."""
        self._due[pool_id] = None
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._choose_delay(pool_id), self._run)

    def cancel(self) -> None:
        """Cancel the scheduled rounds."""
        if self._timer is not None:
            self._timer.cancel()

    def _choose_delay(self, pool_id: PoolId) -> Seconds:
        steps = len(self._tables.ready_by_pool.get(pool_id, ()))
        workers = len(self._tables.workers_by_pool.get(pool_id, ()))
        wait = ROUND_SECONDS + ROUND_SECONDS_PER_ROW * (steps + workers)
        return min(wait, MAX_ROUND_SECONDS)

    def _run(self) -> None:
        self._timer = None
        due, self._due = self._due, {}
        for pool_id in due:
            self._run_round(pool_id)


__all__ = ["RoundTimer"]
