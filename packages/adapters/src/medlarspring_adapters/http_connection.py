"""One HTTP/1.1 connection, which makes one call at a time."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpResponseParser

from medlarspring_adapters.http_messages import HttpAnswer

if TYPE_CHECKING:
    from asyncio import AbstractEventLoop, BaseTransport, Future
    from collections.abc import Callable

    from aiohttp.http import RawResponseMessage
    from aiohttp.streams import StreamReader

    BodyObserver = Callable[[int, int], None]

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER``: switched on, with 0 s to send what is left."""
BUFFER_BYTES = 65_536
"""Size of a body beyond which the parser asks for a pause, which it is not given."""
FIRST_FINAL_STATUS = 200
SWITCHING_PROTOCOLS = 101


class Disconnected(ConnectionError):
    """The connection ended before any byte of the answer."""


class HttpConnection(BaseProtocol):
    """A connection; with ``drops_unsent``, it is reset when it is closed.

    Otherwise the kernel goes on sending after the close. A call that timed out during
    a partition would be carried out seconds later, when the partition ends.
    """

    def __init__(self, loop: AbstractEventLoop, *, drops_unsent: bool = False) -> None:
        parser = HttpResponseParser(
            self, loop, BUFFER_BYTES, read_until_eof=True, auto_decompress=False
        )
        super().__init__(loop, parser)
        self._responses = parser
        self._drops_unsent = drops_unsent
        self._answer: Future[HttpAnswer] | None = None
        self._observe: BodyObserver | None = None
        self._message: RawResponseMessage | None = None
        self._body: StreamReader | None = None
        self._has_input = False
        self._is_spent = False
        """Whether the connection must not be used for another call."""
        self.closed: Future[None] = loop.create_future()
        """Done when the connection has ended."""

    @property
    def is_reusable(self) -> bool:
        """Whether the connection is open and waits for a request."""
        transport = self.transport
        return (
            transport is not None
            and not transport.is_closing()
            and not self._is_spent
            and self._answer is None
        )

    def send(
        self, request: bytes, observe: BodyObserver | None = None
    ) -> Future[HttpAnswer]:
        """Send a request; the future fails with an ``OSError`` or ``ValueError``.

        ``observe`` is called when the response's headers and parts of its body arrive,
        with the status and the size in bytes of the body, as announced or as received.
        The call fails with the exception that it raises.
        """
        assert self.transport is not None
        self._observe = observe
        self._message = self._body = None
        self._has_input = False
        self._answer = self._loop.create_future()
        self.transport.write(request)
        return self._answer

    def abort(self, reason: str = "the call was given up") -> None:
        """Close the connection at once, without sending what is left."""
        self._fail(ConnectionError(reason))

    def connection_made(self, transport: BaseTransport) -> None:
        """Set the options of the new connection."""
        super().connection_made(transport)
        if self._drops_unsent:
            opened = transport.get_extra_info("socket")
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def pause_reading(self) -> None:
        """Read on: a caller that limits the size closes the connection instead."""

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Do nothing, since reading is never paused."""

    def data_received(self, data: bytes) -> None:
        """Continue the answer; unrequested data ends the connection."""
        if self._answer is None:
            self.abort()
            return
        self._has_input = True
        try:
            messages, is_upgraded, _ = self._responses.feed_data(data)
        except Exception as error:  # the parser's exceptions have no common base
            self._fail(ValueError(f"malformed response ({error})"))
            return
        for message, body in messages:
            if message.code >= FIRST_FINAL_STATUS and self._message is None:
                self._message, self._body = message, body
            elif message.code == SWITCHING_PROTOCOLS or self._message is not None:
                self._is_spent = True
        if is_upgraded:
            self._fail(ValueError("unrequested upgrade"))
        elif self._message is not None and self._body is not None:
            self._continue_body(self._message, self._body)

    def connection_lost(self, error: BaseException | None) -> None:
        """End the answer, successfully if its body lasts until the connection ends."""
        super().connection_lost(error)
        if not self.closed.done():
            self.closed.set_result(None)
        if self._answer is None:
            return
        if not self._has_input:
            self._fail(Disconnected(str(error or "the server closed the connection")))
            return
        if error is None and self._message is not None and self._body is not None:
            try:
                self._responses.feed_eof()
            except Exception as incomplete:
                self._fail(ConnectionError(str(incomplete)))
                return
            self._continue_body(self._message, self._body)
        self._fail(ConnectionError(str(error or "the answer is incomplete")))

    def _continue_body(self, message: RawResponseMessage, body: StreamReader) -> None:
        error = body.exception()
        if error is not None:
            self._fail(ValueError(f"malformed body ({error})"))
            return
        if self._observe is not None:
            announced = int(message.headers.get("Content-Length", "0"))
            try:
                self._observe(message.code, max(announced, body.total_bytes))
            except Exception as refusal:
                self._fail(refusal)
                return
        if body.is_eof():
            self._finish(HttpAnswer(message.code, body.read_nowait()), message)

    def _finish(self, content: HttpAnswer, message: RawResponseMessage) -> None:
        answer, self._answer = self._answer, None
        self._observe = self._message = self._body = None
        if message.should_close or self._has_excess():
            self._is_spent = True
        if answer is not None and not answer.done():
            answer.set_result(content)

    def _has_excess(self) -> bool:
        """Return whether another response has begun, which nobody asked for."""
        try:
            return self._responses.feed_eof() is not None
        except Exception:
            return True

    def _fail(self, error: Exception) -> None:
        answer, self._answer = self._answer, None
        self._observe = self._message = self._body = None
        self._is_spent = True
        if answer is not None and not answer.done():
            answer.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


__all__ = ["Disconnected", "HttpConnection"]
