"""An event loop in a thread, so that synchronous test steps can run callers."""

from __future__ import annotations

import asyncio
import threading
from typing import TYPE_CHECKING, Any, TypeVar

import uvloop

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from concurrent.futures import Future

T = TypeVar("T")


class BackgroundLoop:
    """Runs coroutines in a thread of its own."""

    def __init__(self) -> None:
        self._loop = uvloop.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def submit(self, coroutine: Coroutine[Any, Any, T]) -> Future[T]:
        """Start a coroutine."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def run(self, coroutine: Coroutine[Any, Any, T], seconds: float = 60.0) -> T:
        """Run a coroutine to its end and return its result."""
        return self.submit(coroutine).result(seconds)

    def close(self) -> None:
        """Stop the loop."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


__all__ = ["BackgroundLoop"]
