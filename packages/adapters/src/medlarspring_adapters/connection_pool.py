"""Connections to one address that are kept open between calls."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from medlarspring_adapters.http_connection import HttpConnection
from medlarspring_adapters.input_timeout import InputTimeout

if TYPE_CHECKING:
    from medlarspring_tables import Seconds

KEEPALIVE_SECONDS = 12.0
"""Less than the 15 s after which the platform's servers close idle connections: a
request sent while the server closes the connection has an unknown outcome."""
CONNECT_SECONDS = 0.4
"""Longest wait for a connection; a round trip in a region takes 3 ms."""


class NotSent(Exception):
    """The request did not reach the server and was certainly not carried out."""


class NoOpenConnection(NotSent):
    """No connection was open, and the request was not allowed to open one."""


class ConnectionPool:
    """Lends each connection to one call at a time.

    At most ``max_connections`` are lent, any number with 0; calls beyond that wait in
    their order.
    """

    def __init__(
        self, address: str, max_connections: int, *, drops_unsent: bool
    ) -> None:
        self._address = address
        self._max_connections = max_connections
        self._drops_unsent = drops_unsent
        self._loop = asyncio.get_running_loop()
        self._lent_count = 0
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._idle: deque[tuple[Seconds, HttpConnection]] = deque()
        """Connections with the time of their last answer, the oldest first."""
        self._open: set[HttpConnection] = set()
        self._sweep_timer: asyncio.TimerHandle | None = None
        self.is_closed = False

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._open)

    async def acquire(self, *, reuse_only: bool = False) -> HttpConnection:
        """Return a connection, which must be released; raises ``NotSent``.

        Raises ``ConnectionError`` if the pool is closed. With ``reuse_only``, raises
        ``NoOpenConnection`` instead of opening a connection.
        """
        await self._wait_for_turn()
        try:
            connection = self._take_idle()
            if connection is None:
                if reuse_only:
                    raise NoOpenConnection("no connection is open")
                connection = await self._connect()
        except BaseException:
            self._end_turn()
            raise
        return connection

    def release(self, connection: HttpConnection) -> None:
        """Take a connection back; one with an unfinished call is closed."""
        if connection.is_reusable and not self.is_closed:
            self._idle.append((self._loop.time(), connection))
            if self._sweep_timer is None:
                self._schedule_sweep(KEEPALIVE_SECONDS)
        else:
            connection.abort()
        self._end_turn()

    def close(self) -> None:
        """Close all connections; calls that use or wait for one fail."""
        self.is_closed = True
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        self._idle.clear()
        for connection in list(self._open):
            connection.abort("the connections were closed")
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_exception(ConnectionError("the connections were closed"))

    async def wait_closed(self) -> None:
        """Wait until no connection is open."""
        while self._open:
            await asyncio.wait([each.closed for each in self._open])

    async def _wait_for_turn(self) -> None:
        if self.is_closed:
            raise ConnectionError("the connections were closed")
        if not self._max_connections or self._lent_count < self._max_connections:
            self._lent_count += 1
            return
        turn = self._loop.create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled() and turn.exception() is None:
                self._end_turn()
            raise

    def _end_turn(self) -> None:
        """Let the first call that waits have the turn."""
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self._lent_count -= 1

    def _take_idle(self) -> HttpConnection | None:
        """Return the connection used last, so that those not needed become old."""
        oldest = self._loop.time() - KEEPALIVE_SECONDS
        while self._idle:
            released_at, connection = self._idle.pop()
            if connection.is_reusable and released_at >= oldest:
                return connection
            connection.abort()
        return None

    async def _connect(self) -> HttpConnection:
        host, _, port = self._address.rpartition(":")
        try:
            async with InputTimeout(CONNECT_SECONDS):
                _, connection = await self._loop.create_connection(
                    self._create_connection, host.strip("[]"), int(port)
                )
        except TimeoutError as error:
            raise NotSent(f"{self._address}: no connection in time") from error
        except OSError as error:
            reason = error.strerror or error
            raise NotSent(f"{self._address}: {reason}") from error
        if self.is_closed:
            connection.abort()
            raise ConnectionError("the connections were closed")
        if not connection.is_reusable:
            raise NotSent(f"{self._address}: the connection was closed at once")
        self._open.add(connection)
        connection.closed.add_done_callback(lambda _: self._open.discard(connection))
        return connection

    def _create_connection(self) -> HttpConnection:
        return HttpConnection(self._loop, drops_unsent=self._drops_unsent)

    def _schedule_sweep(self, seconds: Seconds) -> None:
        self._sweep_timer = self._loop.call_later(seconds, self._sweep)

    def _sweep(self) -> None:
        """Close the connections that have been idle for too long."""
        self._sweep_timer = None
        now = self._loop.time()
        while self._idle:
            released_at, connection = self._idle[0]
            left = released_at + KEEPALIVE_SECONDS - now
            if left > 0:
                self._schedule_sweep(left)
                return
            self._idle.popleft()
            connection.abort()


__all__ = ["ConnectionPool", "NoOpenConnection", "NotSent"]
