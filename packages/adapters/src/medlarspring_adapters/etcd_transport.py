"""Calls to the etcd v3 JSON gateway that classify failures by their effect."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

import aiohttp
import msgspec
from returns.pipeline import is_successful

from medlarspring_adapters.decoding import ContentUndecodable, decode_json
from medlarspring_adapters.etcd_messages import Fault

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Sequence

    from returns.result import Result

MAX_LINE_BYTES = 16 * 1024 * 1024
KEEPALIVE_SECONDS = 5.0
HTTP_OK = 200
HTTP_SERVER_ERROR = 500
HTTP_NOT_FOUND = 404

Message = TypeVar("Message", bound=msgspec.Struct)


class NotSent(Exception):
    """The request was not sent or was rejected by the server; it had no effect."""

    def __init__(self, detail: str, *, lease_gone: bool = False) -> None:
        super().__init__(detail)
        self.lease_gone = lease_gone


class Unanswered(Exception):
    """The request was sent and no usable answer came back; it may have taken effect."""


class EtcdTransport:
    """Connections to one endpoint at a time."""

    def __init__(
        self, endpoints: Sequence[str], timeout_seconds: float, silence_seconds: float
    ) -> None:
        self.endpoints = tuple(endpoints)
        self._current = 0
        self._timeout_seconds = timeout_seconds
        self._silence_seconds = silence_seconds
        self._session: aiohttp.ClientSession | None = None
        self._retired: set[asyncio.Task[None]] = set()

    async def post(
        self, path: str, request: msgspec.Struct, answer_type: type[Message]
    ) -> Message:
        """Send one call to the current endpoint and return its answer.

        Raises ``NotSent`` or ``Unanswered``.
        """
        body = msgspec.json.encode(request)
        endpoint = self.endpoints[self._current]
        try:
            async with self._open_session().post(self._url(path), data=body) as reply:
                content = await reply.read()
                status = reply.status
        except aiohttp.ClientConnectorError as error:
            raise NotSent(f"{endpoint}: {error}") from error
        except aiohttp.ConnectionTimeoutError as error:
            raise NotSent(f"{endpoint}: no connection in time") from error
        except TimeoutError as error:
            self._retire_session()
            raise Unanswered(f"{endpoint}: no answer in time") from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise Unanswered(f"{endpoint}: {_describe(error)}") from error
        if status != HTTP_OK:
            raise _to_refusal(endpoint, status, content)
        decoded = _decode(content, answer_type)
        if not is_successful(decoded):
            detail = decoded.failure().detail
            raise Unanswered(f"{endpoint}: unreadable answer ({detail})")
        return decoded.unwrap()

    async def stream(
        self, path: str, request: msgspec.Struct, answer_type: type[Message]
    ) -> AsyncGenerator[Message, None]:
        """Yield the messages of a streamed answer, one per line.

        Raises ``TimeoutError`` when no data arrives for ``silence_seconds``.
        """
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=self._timeout_seconds,
            sock_read=self._silence_seconds,
        )
        async with self._open_session().post(
            self._url(path), data=msgspec.json.encode(request), timeout=timeout
        ) as response:
            if response.status != HTTP_OK:
                raise aiohttp.ClientPayloadError(f"HTTP status {response.status}")
            while line := await response.content.readline():
                if not line.strip():
                    continue
                decoded = _decode(line, answer_type)
                if not is_successful(decoded):
                    raise aiohttp.ClientPayloadError(decoded.failure().detail)
                yield decoded.unwrap()

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
        retired = list(self._retired)
        for task in retired:
            task.cancel()
        await asyncio.gather(*retired, return_exceptions=True)

    def _url(self, path: str) -> str:
        return f"http://{self.endpoints[self._current]}/v3/{path}"

    def rotate(self) -> None:
        """Use the next endpoint from now on."""
        self._current = (self._current + 1) % len(self.endpoints)

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None or self._session.closed:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0, keepalive_timeout=KEEPALIVE_SECONDS
                ),
                timeout=aiohttp.ClientTimeout(
                    total=self._timeout_seconds, sock_connect=self._timeout_seconds / 2
                ),
                headers={"Content-Type": "application/json"},
                read_bufsize=MAX_LINE_BYTES,
                trust_env=False,
            )
        return self._session

    def _retire_session(self) -> None:
        """Open new connections for all further calls.

        When a middlebox drops its connection state, all pooled connections are dead
        at once and each would cost one timeout. Calls in flight keep the old session
        until they finish or time out.
        """
        session, self._session = self._session, None
        if session is None:
            return
        task = asyncio.ensure_future(self._close_later(session))
        self._retired.add(task)
        task.add_done_callback(self._retired.discard)

    async def _close_later(self, session: aiohttp.ClientSession) -> None:
        try:
            await asyncio.sleep(self._timeout_seconds)
        finally:
            await session.close()


def _describe(error: Exception) -> str:
    """Return the operating system's error text, without exception names."""
    reason = getattr(error, "strerror", None)
    return reason or str(error) or "the connection broke"


def _decode(
    content: bytes, message_type: type[Message]
) -> Result[Message, ContentUndecodable]:
    # The gateway writes 64-bit integers as strings; strict=False reads them.
    return decode_json(content, message_type, strict=False)


def _to_refusal(endpoint: str, status: int, content: bytes) -> Exception:
    detail = f"{endpoint}: HTTP status {status}"
    decoded = _decode(content, Fault)
    if is_successful(decoded):
        fault = decoded.unwrap()
        detail = f"{detail}: {fault.message or fault.error}"
    # 5xx includes "request timed out" inside the store, after which the write may
    # still be applied; a request answered with 4xx was rejected.
    if status >= HTTP_SERVER_ERROR:
        return Unanswered(detail)
    return NotSent(detail, lease_gone=status == HTTP_NOT_FOUND)


__all__ = ["EtcdTransport", "Message", "NotSent", "Unanswered"]
