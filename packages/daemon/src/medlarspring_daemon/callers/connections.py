"""Limits on callers' connections: number, idle time, header size and speed."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Protocol

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong
from aiohttp.web_protocol import RequestHandler

from medlarspring_adapters.problems import (
    create_problem_response,
    encode_raw_problem,
)
from medlarspring_daemon.callers.request_reader import (
    HEADERS_TOO_LARGE,
    create_request_id,
)
from medlarspring_tables.requests import Outcome, Refusal, RefusalKind

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

SWEEP_SECONDS = 1.0
READ_STALL_TIMEOUT_SECONDS = 10.0
"""A connection is aborted when its caller reads no part of a response for this long."""


class PortLimits(Protocol):
    """Limits of an HTTP port."""

    @property
    def max_header_bytes(self) -> int:
        """Largest line or header field of a request in bytes."""
        ...

    @property
    def max_connections(self) -> int:
        """Connections open at once."""
        ...

    @property
    def idle_seconds(self) -> float:
        """Longest time that a connection may be open without a request."""
        ...

    @property
    def body_seconds(self) -> float:
        """Longest time that a caller may take to send a request."""
        ...


class CallerConnection(RequestHandler):
    """One connection; tracks how long it has waited for a request's head."""

    def __init__(self, server: CallerServer, **options: Any) -> None:
        super().__init__(server, **options)
        self._callers = server
        self.head_since: float | None = None
        self.awaits_first_byte = True
        """Whether the caller has sent nothing yet."""
        self.unread: tuple[int, float] = (0, 0.0)
        """Unread response bytes, and the time since which they have not decreased."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Refuse the connection if there are too many."""
        super().connection_made(transport)
        self.head_since = self._loop.time()
        if self._callers.is_full():
            self.refuse(_TOO_MANY)

    def data_received(self, data: bytes) -> None:
        """Track when the head of a request begins and when it is complete."""
        self.awaits_first_byte = False
        super().data_received(data)
        if self._messages or self._current_request is not None:
            self.head_since = None
        elif self.head_since is None:
            self.head_since = self._loop.time()

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal without having read a request, and close."""
        if self.transport is not None:
            self.transport.write(encode_raw_problem(refusal))
        self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that cannot be parsed or whose handler failed."""
        if request.writer.output_size > 0:
            raise ConnectionError("part of a response was already sent")
        if isinstance(exc, LineTooLong):
            refusal = HEADERS_TOO_LARGE
        elif status < HTTPStatus.INTERNAL_SERVER_ERROR:
            refusal = _MALFORMED
        else:
            refusal = _FAILED
            self._callers.on_failure(exc)
        response = create_problem_response(refusal, create_request_id(request))
        response.force_close()
        return response


class CallerServer(web.Server):
    """Accepts callers' connections within the configured limits."""

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        settings: PortLimits,
        on_failure: Callable[[BaseException | None], None],
        *,
        request_factory: Any = None,
        handler_cancellation: bool = True,
    ) -> None:
        super().__init__(
            handler,
            request_factory=request_factory,
            handler_cancellation=handler_cancellation,
        )
        self._settings = settings
        self.on_failure = on_failure
        self._options: dict[str, Any] = {
            "loop": self._loop,
            "access_log": None,
            "keepalive_timeout": settings.idle_seconds,
            "max_line_size": settings.max_header_bytes,
            "max_field_size": settings.max_header_bytes,
            "auto_decompress": False,
        }

    def __call__(self) -> CallerConnection:
        """Return the protocol instance of a new connection."""
        return CallerConnection(self, **self._options)

    def is_full(self) -> bool:
        """Return whether there are more connections than allowed."""
        return len(self.connections) > self._settings.max_connections

    async def sweep(self) -> None:
        """Close the connections of callers that are too slow, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            now = self._loop.time()
            for connection in self.connections:
                assert isinstance(connection, CallerConnection)
                self._check_head_timeout(connection, now)
                _abort_stalled_reader(connection, now)

    def _check_head_timeout(self, connection: CallerConnection, now: float) -> None:
        since = connection.head_since
        if since is None:
            return
        if connection.awaits_first_byte:
            if now - since > self._settings.idle_seconds:
                connection.force_close()
        elif now - since > self._settings.body_seconds:
            connection.refuse(_HEAD_TOO_SLOW)


def _abort_stalled_reader(connection: CallerConnection, now: float) -> None:
    transport = connection.transport
    if transport is None:
        return
    size = transport.get_write_buffer_size()
    before, since = connection.unread
    if not size or size < before or not before:
        connection.unread = (size, now)
    elif now - since > READ_STALL_TIMEOUT_SECONDS:
        transport.abort()


_TOO_MANY = Refusal(
    RefusalKind.TOO_MANY_CONNECTIONS,
    Outcome.NOT_RUN,
    "Use fewer connections, or ask another entry VM.",
    retry_after=1.0,
)
_HEAD_TOO_SLOW = Refusal(
    RefusalKind.CALLER_TOO_SLOW,
    Outcome.NOT_RUN,
    "Send the whole request within body_seconds of the entry VM's settings.",
    retry_after=1.0,
)
_MALFORMED = Refusal(
    RefusalKind.BAD_REQUEST,
    Outcome.NOT_RUN,
    "The request is not valid HTTP/1.1; check the client.",
)
_FAILED = Refusal(
    RefusalKind.INTERNAL,
    Outcome.UNKNOWN,
    "The entry VM failed; see event 2001 in its log.",
)

__all__ = ["CallerServer", "PortLimits"]
