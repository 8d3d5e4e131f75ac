"""TCP streams that are closed, and their closing awaited, when their context ends.

An ``asyncio.StreamWriter`` that is collected while open closes its transport; once
the event loop has ended, this fails at a moment that the collector chooses.
"""

from __future__ import annotations

import asyncio
import logging
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import socket
    from collections.abc import AsyncIterator, Awaitable, Callable

    StreamHandler = Callable[
        [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
    ]

BUFFER_LIMIT_BYTES = 65_536
LOGGER = logging.getLogger(__name__)


@asynccontextmanager
async def connect_streams(
    address: str, *, limit_bytes: int = BUFFER_LIMIT_BYTES
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Connect to ``address`` (``IP:PORT``); unsent data is discarded at the end."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=limit_bytes)
    try:
        yield reader, writer
    finally:
        await _abort(writer)


@asynccontextmanager
async def serve_streams(
    handler: StreamHandler,
    *,
    host: str = "127.0.0.1",
    listener: socket.socket | None = None,
    limit_bytes: int = BUFFER_LIMIT_BYTES,
) -> AsyncIterator[str]:
    """Serve connections on ``host``, or on ``listener``, and yield ``IP:PORT``.

    A connection whose handler returns without closing it stays open until the
    context ends, when handlers that still run are cancelled.
    """
    connections = _Connections(handler)
    if listener is None:
        server = await asyncio.start_server(
            connections.accept, host, 0, limit=limit_bytes
        )
    else:
        server = await asyncio.start_server(
            connections.accept, sock=listener, limit=limit_bytes
        )
    bound_host, bound_port = server.sockets[0].getsockname()[:2]
    try:
        yield f"{bound_host}:{bound_port}"
    finally:
        server.close()
        await connections.close()
        await server.wait_closed()


class _Connections:
    """The connections that one server has accepted."""

    def __init__(self, handler: StreamHandler) -> None:
        self._handler = handler
        self._is_closed = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_closed:
            writer.transport.abort()
            return
        self._writers.add(writer)
        task = asyncio.create_task(self._handle(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        self._is_closed = True
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for writer in self._writers:
            await _abort(writer)

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._handler(reader, writer)
        except (ConnectionError, EOFError) as error:
            LOGGER.debug("peer closed the connection: %r", error)
            writer.close()
        except Exception:
            LOGGER.exception("stream handler failed")
            writer.close()
        if writer.is_closing():
            await _wait_closed(writer)
            self._writers.discard(writer)


async def _abort(writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()
    await _wait_closed(writer)


async def _wait_closed(writer: asyncio.StreamWriter) -> None:
    # Cancelling wait_closed() cancels the connection's future, and later calls would
    # raise; a task of its own is not cancelled with the caller.
    waiter = asyncio.create_task(writer.wait_closed())
    waiter.add_done_callback(_log_error)
    await asyncio.wait({waiter})


def _log_error(waiter: asyncio.Task[None]) -> None:
    if not waiter.cancelled() and (error := waiter.exception()) is not None:
        LOGGER.debug("connection ended with an error: %r", error)


__all__ = ["connect_streams", "serve_streams"]
