"""Runs, restarts and cancels the background tasks of a service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

from medlarspring_adapters.cancellation import is_cancellation_requested
from medlarspring_adapters.events import Event
from medlarspring_adapters.failure_streak import FailureStreak, format_trace

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    from medlarspring_adapters.events import EventLog
    from medlarspring_tables import Seconds

RESTART_SECONDS = 1.0

T = TypeVar("T")


class BackgroundTasks:
    """Holds references to running tasks, and cancels them together.

    Without a reference a task could be garbage-collected while it runs.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._tasks: set[asyncio.Task[Any]] = set()
        self._failures_by_name: dict[str, FailureStreak] = {}
        """Failures of the tasks that run once; those of one name share a streak."""

    def __len__(self) -> int:
        return len(self._tasks)

    def start(
        self, work: Coroutine[Any, Any, Any], name: str = ""
    ) -> asyncio.Task[Any]:
        """Run ``work`` until it ends or the service stops; a failure is logged.

        It is logged under ``name``, by default that of the coroutine. Of failures in
        a row under one name, ``FailureStreak`` chooses those that are logged.
        """
        return self._start(self._run_once(work, name or _find_name(work)), work)

    def start_awaited(
        self, work: Coroutine[Any, Any, T], name: str = ""
    ) -> asyncio.Task[T]:
        """Run ``work`` whose result others await.

        A failure is raised to them and also logged, since they may have gone.
        """
        task = asyncio.ensure_future(work)
        self._tasks.add(task)

        def end(ended: asyncio.Task[T]) -> None:
            self._tasks.discard(ended)
            if ended.cancelled():
                return
            error, named = ended.exception(), name or _find_name(work)
            failures = self._find_failures(named)
            if error is not None:
                self._log_failure(error, named, failures, None)
            else:
                failures.record_success(asyncio.get_running_loop().time())

        task.add_done_callback(end)
        return task

    def run_with_restart(
        self, run: Callable[[], Awaitable[None]], name: str = ""
    ) -> asyncio.Task[Any]:
        """Run ``run`` until the service stops; restart it when it ends or fails.

        If a loop ended because of a defect, the daemon would still answer callers
        but would silently stop watching or renewing. Restarting the loop keeps the
        service working, and the logged event shows the defect.
        """
        return self._start(self._repeat(run, name or _find_name(run)))

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def wait(self, timeout_seconds: Seconds) -> None:
        """Wait until all tasks have ended, or for so long."""
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=timeout_seconds)

    def _start(
        self,
        supervised: Coroutine[Any, Any, Any],
        work: Coroutine[Any, Any, Any] | None = None,
    ) -> asyncio.Task[Any]:
        task = asyncio.ensure_future(supervised)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if work is not None:
            # A task that is cancelled before its first step never awaits its work.
            task.add_done_callback(lambda _: work.close())
        return task

    async def _run_once(self, work: Awaitable[Any], name: str) -> None:
        failures = self._find_failures(name)
        if await self._run_logged(work, name, failures, None):
            failures.record_success(asyncio.get_running_loop().time())

    async def _repeat(self, run: Callable[[], Awaitable[None]], name: str) -> None:
        failures = FailureStreak()
        loop = asyncio.get_running_loop()
        while True:
            failures.record_success(loop.time())
            await self._run_logged(_call(run), name, failures, RESTART_SECONDS)
            if is_cancellation_requested():
                # A call that was cancelled may end in another exception.
                return
            await asyncio.sleep(RESTART_SECONDS)

    async def _run_logged(
        self,
        work: Awaitable[Any],
        name: str,
        failures: FailureStreak,
        restart_seconds: Seconds | None,
    ) -> bool:
        """Await ``work`` and log its failure; returns whether there was none."""
        try:
            await work
        except Exception as error:
            self._log_failure(error, name, failures, restart_seconds)
        except asyncio.CancelledError as error:
            if is_cancellation_requested():
                raise
            self._log_failure(error, name, failures, restart_seconds)
        else:
            return True
        return False

    def _find_failures(self, name: str) -> FailureStreak:
        return self._failures_by_name.setdefault(name, FailureStreak())

    def _log_failure(
        self,
        error: BaseException,
        name: str,
        failures: FailureStreak,
        restart_seconds: Seconds | None,
    ) -> None:
        if not failures.record_failure(asyncio.get_running_loop().time()):
            return
        self._log.error(
            Event.TASK_FAILED,
            task=name,
            failures=failures.count,
            restart_seconds=restart_seconds,
            trace=format_trace(error),
        )


async def _call(run: Callable[[], Awaitable[None]]) -> None:
    """Call ``run`` inside the supervision, as the call itself may raise."""
    await run()


def _find_name(work: object) -> str:
    return getattr(work, "__qualname__", type(work).__name__)


__all__ = ["BackgroundTasks"]
