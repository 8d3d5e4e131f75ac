"""Forwards TCP connections to a target that is chosen for each connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from medlarspring_bench.standins.server import split_address

if TYPE_CHECKING:
    from collections.abc import Callable

CONNECT_SECONDS = 2.0


class ProxyConnection(asyncio.Protocol):
    """One of the two connections of a proxied pair; both close together."""

    def __init__(self, on_close: Callable[[], None] | None = None) -> None:
        self.other: ProxyConnection | None = None
        self.transport: asyncio.Transport | None = None
        self._on_close = on_close

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        """Forward data to the other connection."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other connection after its buffered data is sent."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()
        if self._on_close is not None:
            self._on_close()

    def pause_writing(self) -> None:
        """Pause reading from the other connection while this one can't send."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        """Resume reading from the other connection."""
        if (
            self.other is not None
            and self.other.transport is not None
            and not self.other.transport.is_closing()
        ):
            self.other.transport.resume_reading()


class ClientConnection(ProxyConnection):
    """The accepted connection; connects to the target that ``choose`` returns.

    It is reset if ``choose`` returns None or the target cannot be reached.
    """

    def __init__(
        self,
        choose: Callable[[], str | None],
        on_open: Callable[[str], None] | None = None,
        on_closed: Callable[[str], None] | None = None,
    ) -> None:
        super().__init__(self._closed)
        self._choose = choose
        self._on_open = on_open
        self._on_closed = on_closed
        self._target = ""
        self._buffered: list[bytes] = []
        self._connecting: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to connect to the target."""
        super().connection_made(transport)
        self._connecting = asyncio.create_task(self._connect())

    def data_received(self, data: bytes) -> None:
        """Forward data, or buffer it until the target is connected."""
        if self.other is None:
            self._buffered.append(data)
            return
        super().data_received(data)

    async def _connect(self) -> None:
        assert self.transport is not None
        target = self._choose()
        if target is None:
            self.transport.abort()
            return
        self._target = target
        if self._on_open is not None:
            self._on_open(target)
        back = ProxyConnection()
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                host, port = split_address(target)
                loop = asyncio.get_running_loop()
                await loop.create_connection(lambda: back, host, port)
        except OSError:
            self.transport.abort()
            return
        self._link_connections(back)

    def _link_connections(self, back: ProxyConnection) -> None:
        assert self.transport is not None
        assert back.transport is not None
        if self.transport.is_closing():
            back.transport.close()
            return
        back.other = self
        self.other = back
        for data in self._buffered:
            back.transport.write(data)
        self._buffered.clear()

    def _closed(self) -> None:
        if self._target and self._on_closed is not None:
            self._on_closed(self._target)


__all__ = ["ClientConnection"]
