"""Background tasks of one service."""

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
    """Keeps tasks from being collected, and cancels them together."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run ``work`` until it ends or the service stops; a failure is logged."""
        task = asyncio.ensure_future(self._run_logged(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def run_with_restart(self, run: Callable[[], Awaitable[None]]) -> asyncio.Task[Any]:
        """Run ``run`` until the service stops, again after a failure.

        A loop that ended by a defect would leave a daemon that answers callers
        but no longer watches or renews, and nobody would notice. Logged and
        started again, the duty goes on and the event shows the defect.
        """
        return self.start(self._repeat(run))

    async def cancel(self) -> None:
        """Cancel all tasks and wait for their end."""
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
