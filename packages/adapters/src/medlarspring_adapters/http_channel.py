"""Calls to one HTTP address that classify failures by their effect."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from medlarspring_adapters.connection_pool import (
    ConnectionPool,
    NoOpenConnection,
    NotSent,
)
from medlarspring_adapters.http_connection import Disconnected
from medlarspring_adapters.http_messages import HttpAnswer, encode_request
from medlarspring_adapters.input_timeout import InputTimeout

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from medlarspring_adapters.http_connection import BodyObserver
    from medlarspring_tables import Seconds

CLOSE_SECONDS = 0.5
"""Longest wait for connections to close at shutdown."""
RETIRED_SECONDS = 3.0
"""Time for which retired connections stay open for their calls in flight."""
REPEATABLE_METHODS = frozenset({"GET", "PUT", "DELETE"})
"""Methods whose requests are repeated once, since a request that is carried out twice
has the effect of one."""
FIRST_ERROR_STATUS = 400


class Unanswered(Exception):
    """No answer came; the request may have been carried out or may be later."""


class AnswerTooLarge(Exception):
    """The answer is larger than the caller accepts; the rest of it was not read."""


@dataclass(frozen=True, slots=True)
class BodyLimits:
    """Limits on the reception of a response's body, in place of the call's timeout."""

    silence_seconds: Seconds
    """Longest time without data; a body may take any time while it arrives."""
    max_bytes: int | None = None
    """Largest body that is accepted; None for no limit."""
    on_data: Callable[[], None] | None = None
    """Called when the headers of a successful response and each part of it arrive."""


@dataclass(slots=True)
class _Attempt:
    """A call that is about to be made."""

    request: bytes
    timeout: InputTimeout
    observe: BodyObserver | None
    is_sent: bool = False
    """Whether the request may have reached the server."""


class HttpChannel:
    """Connections to one address.

    A middlebox may drop its connection state: existing connections stay open but
    pass no data, while new ones work. All pooled connections are then dead at once
    and each would cost one timeout, so the first timeout retires them all.

    With ``drops_unsent``, what is left to send when a connection is closed is dropped.
    It is for calls that must not be carried out after they have timed out.
    """

    def __init__(
        self,
        address: str,
        max_connections: int = 0,
        *,
        allows_reuse_only: bool = False,
        drops_unsent: bool = False,
    ) -> None:
        self.address = address
        self._max_connections = max_connections
        self._allows_reuse_only = allows_reuse_only
        self._drops_unsent = drops_unsent
        self._pool: ConnectionPool | None = None
        self._retired: dict[ConnectionPool, asyncio.TimerHandle] = {}
        """Former pools with the timers that close them."""

    async def call(
        self,
        method: str,
        path: str,
        timeout_seconds: Seconds,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        *,
        reuse_only: bool = False,
        body_limits: BodyLimits | None = None,
    ) -> HttpAnswer:
        """Make one call; raises ``NotSent`` or ``Unanswered``.

        The time is up only after pending input was read: an answer that has arrived
        counts, even if this process is too late to read it in time.

        With ``body_limits``, the timeout applies to the response's headers only, and
        the call may also raise ``AnswerTooLarge``.

        With ``reuse_only``, where the channel allows it, the call is made only over a
        connection that has carried an answer before; without one it raises
        ``NoOpenConnection``.
        """
        pool = self._open_pool()
        timeout = InputTimeout(timeout_seconds)
        observe = _create_observer(body_limits, timeout)
        attempt = _Attempt(b"", timeout, observe)
        try:
            attempt.request = encode_request(method, self.address, path, body, headers)
            async with timeout:
                reuse_only = reuse_only and self._allows_reuse_only
                try:
                    return await _exchange(pool, attempt, reuse_only)
                except Disconnected:
                    if method not in REPEATABLE_METHODS:
                        raise
                return await _repeat(pool, attempt)
        except TimeoutError as error:
            if not attempt.is_sent:
                raise NotSent(f"{self.address}: no connection was free") from error
            self._retire(pool)
            raise Unanswered(f"{self.address}: no answer in time") from error
        except (OSError, ValueError) as error:
            reason = str(error) or type(error).__name__
            raise Unanswered(f"{self.address}: {reason}") from error

    def retire(self) -> None:
        """Stop using all open connections and close them in the background.

        Calls in flight may still end, so callers whose calls go elsewhere must not
        wait for it.
        """
        if self._pool is not None:
            self._retire(self._pool)

    async def close(self) -> None:
        """Close all connections, waiting for at most ``CLOSE_SECONDS``."""
        pools = list(self._retired)
        if self._pool is not None:
            pools.append(self._pool)
        self._pool = None
        for pool in pools:
            self._close_pool(pool)
        if pools:
            waits = [asyncio.ensure_future(pool.wait_closed()) for pool in pools]
            _, unfinished = await asyncio.wait(waits, timeout=CLOSE_SECONDS)
            for wait in unfinished:
                wait.cancel()

    def _open_pool(self) -> ConnectionPool:
        if self._pool is None:
            self._pool = ConnectionPool(
                self.address, self._max_connections, drops_unsent=self._drops_unsent
            )
        return self._pool

    def _retire(self, pool: ConnectionPool) -> None:
        if self._pool is not pool:
            return
        self._pool = None
        loop = asyncio.get_running_loop()
        self._retired[pool] = loop.call_later(RETIRED_SECONDS, self._close_pool, pool)

    def _close_pool(self, pool: ConnectionPool) -> None:
        timer = self._retired.pop(pool, None)
        if timer is not None:
            timer.cancel()
        pool.close()


async def _exchange(
    pool: ConnectionPool, attempt: _Attempt, reuse_only: bool = False
) -> HttpAnswer:
    connection = await pool.acquire(reuse_only=reuse_only)
    try:
        if attempt.timeout.is_up:
            # Sent now, the request would be carried out for nobody.
            raise NotSent("the time was up before the request could be sent")
        attempt.is_sent = True
        return await connection.send(attempt.request, attempt.observe)
    finally:
        pool.release(connection)


async def _repeat(pool: ConnectionPool, attempt: _Attempt) -> HttpAnswer:
    """Make a call whose first attempt may have been carried out."""
    try:
        return await _exchange(pool, attempt)
    except NotSent as error:
        raise ConnectionError(str(error)) from error


def _create_observer(
    limits: BodyLimits | None, timeout: InputTimeout
) -> BodyObserver | None:
    if limits is None:
        return None

    def observe(status: int, size: int) -> None:
        if limits.on_data is not None and status < FIRST_ERROR_STATUS:
            limits.on_data()
        if limits.max_bytes is not None and size > limits.max_bytes:
            raise AnswerTooLarge(f"{size} bytes")
        timeout.restart(limits.silence_seconds)

    return observe


__all__ = [
    "AnswerTooLarge",
    "BodyLimits",
    "HttpAnswer",
    "HttpChannel",
    "NoOpenConnection",
    "NotSent",
    "Unanswered",
]
