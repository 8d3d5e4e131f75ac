"""A time limit that is applied only after pending input was read."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import TracebackType

    from medlarspring_tables import Seconds

INPUT_ROUNDS = 6
"""Rounds of the event loop between the end of the time and the timeout.

Sockets are polled in the first two; the others run what the input has caused, which
takes longest for a connection that was established.
"""


class InputTimeout:
    """Limits the time of a block that waits for input, like ``asyncio.timeout``.

    An event loop that is late runs its timers before it polls its sockets, so that a
    plain timeout would end a call whose answer has already arrived. With None as the
    time, the block is not limited.
    """

    def __init__(self, seconds: Seconds | None) -> None:
        self._seconds = seconds
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.Handle | None = None
        self._task: asyncio.Task[object] | None = None
        self._cancellations = 0
        """Requests to cancel the task that were made before the block."""
        self._ends_at = float("inf")
        self._is_expired = False

    @property
    def is_up(self) -> bool:
        """Whether the time is up, though the block may go on to read pending input."""
        return self._loop.time() >= self._ends_at

    @property
    def is_expired(self) -> bool:
        """Whether the time limit has ended the block."""
        return self._is_expired

    async def __aenter__(self) -> InputTimeout:
        self._task = asyncio.current_task()
        if self._task is None:
            raise RuntimeError("a timeout needs a task")
        self._cancellations = self._task.cancelling()
        if self._seconds is not None:
            self.restart(self._seconds)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop the time; raises ``TimeoutError`` if it has ended the block."""
        self._stop()
        if not self._is_expired or self._task is None:
            return
        is_own = self._task.uncancel() <= self._cancellations
        if is_own and kind is asyncio.CancelledError:
            raise TimeoutError from error

    def restart(self, seconds: Seconds) -> None:
        """Give the rest of the block ``seconds`` from now on."""
        self._stop()
        if not self._is_expired:
            self._ends_at = self._loop.time() + seconds
            self._timer = self._loop.call_at(self._ends_at, self._end, INPUT_ROUNDS)

    def _stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _end(self, rounds: int) -> None:
        if rounds:
            self._timer = self._loop.call_soon(self._end, rounds - 1)
        elif self._task is not None:
            self._timer = None
            self._is_expired = True
            self._task.cancel()


__all__ = ["InputTimeout"]
