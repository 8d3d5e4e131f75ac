"""Calls to one HTTP address that classify failures by their effect."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp

from medlarspring_adapters.cancellation import is_cancellation_requested

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from types import SimpleNamespace

    from medlarspring_tables import Seconds

KEEPALIVE_SECONDS = 12.0
"""Less than the 15 s after which the platform's servers close idle connections: a
request sent while the server closes the connection has an unknown outcome."""
CONNECT_SECONDS = 0.4
"""Longest wait for a connection; a round trip in a region takes 3 ms."""
CLOSE_SECONDS = 0.5
"""Longest wait for connections to close at shutdown."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER``: switched on, with 0 s to send what is left."""
RETIRED_SECONDS = 3.0
"""Time for which a retired session stays open for its calls in flight."""


class NotSent(Exception):
    """The request did not reach the server and was certainly not carried out."""


class NoOpenConnection(NotSent):
    """No connection was open, and the request was not allowed to open one."""


class Unanswered(Exception):
    """No answer came; the request may have been carried out or may be later."""


class AnswerTooLarge(Exception):
    """The answer is larger than the caller accepts; the rest of it was not read."""


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete HTTP response."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class BodyLimits:
    """Limits on the reception of a response's body, in place of the call's timeout."""

    silence_seconds: Seconds
    """Longest time without data; a body may take any time while it arrives."""
    max_bytes: int | None = None
    """Largest body that is accepted; None for no limit."""
    on_data: Callable[[], None] | None = None
    """Called when the headers of a successful response and each part of it arrive."""


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
        self._socket_factory = _create_dropping_socket if drops_unsent else None
        self._max_connections = max_connections
        self._trace_configs = [_create_reuse_guard()] if allows_reuse_only else None
        self._session: aiohttp.ClientSession | None = None
        self._retired: set[asyncio.Task[None]] = set()

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

        With ``body_limits``, the timeout applies to the response's headers only, and
        the call may also raise ``AnswerTooLarge``.

        With ``reuse_only``, where the channel allows it, the call is made only over a
        connection that has carried an answer before; without one it raises
        ``NoOpenConnection``.
        """
        session = self._open_session()
        try:
            async with asyncio.timeout(timeout_seconds) as timeout:
                async with session.request(
                    method,
                    f"http://{self.address}{path}",
                    data=body,
                    headers=headers,
                    trace_request_ctx=reuse_only,
                ) as reply:
                    if body_limits is None:
                        received = await reply.read()
                    else:
                        received = await _receive(reply, timeout, body_limits)
                    return HttpAnswer(reply.status, received)
        except aiohttp.ClientConnectorError as error:
            raise NotSent(f"{self.address}: {error.strerror or error}") from error
        except aiohttp.ConnectionTimeoutError as error:
            raise NotSent(f"{self.address}: no connection in time") from error
        except TimeoutError as error:
            self._retire(session)
            raise Unanswered(f"{self.address}: no answer in time") from error
        except asyncio.CancelledError as error:
            # Closing a session cancels what its calls wait for. The caller must not
            # take that for the end of its own task.
            if is_cancellation_requested():
                raise
            raise Unanswered(f"{self.address}: the session was closed") from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            reason = str(error) or type(error).__name__
            raise Unanswered(f"{self.address}: {reason}") from error

    def retire(self) -> None:
        """Stop using all open connections and close them in the background.

        Closing waits for data that a dead peer never accepts, so callers whose calls
        go elsewhere must not wait for it.
        """
        if self._session is not None:
            self._retire(self._session)

    async def close(self) -> None:
        """Close all connections, waiting for at most ``CLOSE_SECONDS``."""
        session, self._session = self._session, None
        # A task that is cancelled before it starts would not close its session.
        await asyncio.sleep(0)
        closing = list(self._retired)
        for task in closing:
            task.cancel()
        if session is not None:
            closing.append(asyncio.ensure_future(session.close()))
        if closing:
            await asyncio.wait(closing, timeout=CLOSE_SECONDS)

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=self._max_connections,
                    keepalive_timeout=KEEPALIVE_SECONDS,
                    socket_factory=self._socket_factory,
                ),
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS),
                headers={"Content-Type": "application/json"},
                auto_decompress=False,
                trace_configs=self._trace_configs,
                cookie_jar=aiohttp.DummyCookieJar(),
                trust_env=False,
            )
        return self._session

    def _retire(self, session: aiohttp.ClientSession) -> None:
        if self._session is not session:
            return
        self._session = None
        task = asyncio.ensure_future(_close_later(session))
        self._retired.add(task)
        task.add_done_callback(self._retired.discard)


async def _receive(
    reply: aiohttp.ClientResponse, timeout: asyncio.Timeout, limits: BodyLimits
) -> bytes:
    """Read a body; the connection is closed if the body is not read to its end."""
    loop = asyncio.get_running_loop()
    received = bytearray()
    announced = reply.content_length or 0
    while True:
        if limits.on_data is not None and reply.ok:
            limits.on_data()
        if limits.max_bytes is not None:
            size = max(announced, len(received))
            if size > limits.max_bytes:
                raise AnswerTooLarge(f"{size} bytes")
        timeout.reschedule(loop.time() + limits.silence_seconds)
        part = await reply.content.readany()
        if not part:
            return bytes(received)
        received += part


def _create_dropping_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    """Return a socket that is reset when it is closed, with all unsent data discarded.

    Otherwise the kernel goes on sending after the close. A call that timed out during
    a partition would be carried out seconds later, when the partition ends.
    """
    family, kind, protocol, *_ = address
    created = socket.socket(family, kind, protocol)
    created.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    return created


def _create_reuse_guard() -> aiohttp.TraceConfig:
    guard = aiohttp.TraceConfig()
    guard.on_connection_create_start.append(_refuse_to_open)
    return guard


async def _refuse_to_open(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    params: aiohttp.TraceConnectionCreateStartParams,
) -> None:
    if context.trace_request_ctx:
        raise NoOpenConnection("no connection is open")


async def _close_later(session: aiohttp.ClientSession) -> None:
    try:
        await asyncio.sleep(RETIRED_SECONDS)
    finally:
        await session.close()


__all__ = [
    "AnswerTooLarge",
    "BodyLimits",
    "HttpAnswer",
    "HttpChannel",
    "NoOpenConnection",
    "NotSent",
    "Unanswered",
]
