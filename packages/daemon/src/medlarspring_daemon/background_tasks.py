"""Runs, restarts and cancels the background tasks of a service."""

from __future__ import annotations

import asyncio
import traceback
from typing import TYPE_CHECKING, Any

from medlarspring_adapters.events import Event

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    from medlarspring_adapters.events import EventLog

RESTART_SECONDS = 1.0


class BackgroundTasks:
    """Holds references to running tasks, and cancels them together.

    Without a reference a task could be garbage-collected while it runs.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run ``work`` until it ends or the service stops; a failure is logged."""
        task = asyncio.ensure_future(self._run_logged(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        # A task that is cancelled before its first step never awaits its work.
        task.add_done_callback(lambda _: work.close())
        return task

    def run_with_restart(self, run: Callable[[], Awaitable[None]]) -> asyncio.Task[Any]:
        """Run ``run`` until the service stops; restart it when it ends or fails.

        If a loop ended because of a defect, the daemon would still answer callers
        but would silently stop watching or renewing. Restarting the loop keeps the
        service working, and the logged event shows the defect.
        """
        return self.start(self._repeat(run))

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _repeat(self, run: Callable[[], Awaitable[None]]) -> None:
        while True:
            await self._run_logged(run())
            await asyncio.sleep(RESTART_SECONDS)

    async def _run_logged(self, work: Awaitable[Any]) -> None:
        try:
            await work
        except Exception:
            self._log.error(Event.TASK_FAILED, trace=traceback.format_exc())


__all__ = ["BackgroundTasks"]
