"""TCP proxy on loopback whose connections can be delayed, held, reset or silenced."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import TYPE_CHECKING

from medlarspring_bench.streams import serve_streams

if TYPE_CHECKING:
    from medlarspring_tables import Seconds

CHUNK_BYTES = 65_536
POLL_SECONDS = 0.02
"""Interval at which held data is checked for the end of the fault."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER: closing discards unsent data and resets the connection."""


@dataclass(slots=True)
class Faults:
    """Faults of one link; each lasts until it is cleared."""

    delay_seconds: Seconds = 0.0
    """Delay of each chunk of data, in either direction."""
    hold_forward: bool = False
    """The client's data arrives after the fault, as with TCP retransmission."""
    hold_backward: bool = False
    """The target's data arrives after the fault."""
    refuse: bool = False
    """New connections are reset."""


@dataclass(frozen=True, slots=True)
class Cut:
    """A connection that the target closed before it answered a call."""

    sent_at: Seconds
    cut_at: Seconds


class Link:
    """Forwards connections to one address; faults apply to open connections too."""

    def __init__(self, target: str = "") -> None:
        self.cuts: list[Cut] = []
        self.target = target
        """``IP:PORT``; changes when the target's process restarts."""
        self.faults = Faults()
        self.address = ""
        self._stack = AsyncExitStack()
        self._connections: dict[ProxiedConnection, None] = {}

    async def open(self, host: str = "127.0.0.1") -> None:
        """Listen on any free port."""
        server = serve_streams(self._accept, host=host)
        self.address = await self._stack.enter_async_context(server)

    async def close(self) -> None:
        """Stop listening, reset all open connections and wait for their end."""
        self.reset()
        await self._stack.aclose()

    def reset(self) -> None:
        """Reset all open connections."""
        for connection in list(self._connections):
            connection.abort()

    def silence(self) -> None:
        """Drop all data of the connections that are open now; new ones work."""
        for connection in self._connections:
            connection.silent = True

    def is_holding(self, *, forward: bool) -> bool:
        """Return whether data of one direction is held now."""
        if forward:
            return self.faults.hold_forward
        return self.faults.hold_backward

    def clear_faults(self) -> None:
        """Clear the faults; silenced connections stay silent."""
        self.faults = Faults()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.faults.refuse or not self.target:
            _abort(writer)
            return
        host, _, port = self.target.rpartition(":")
        try:
            # The proxied connection closes it, and sends its buffered data first.
            inner_reader, inner_writer = await asyncio.open_connection(  # noqa: TID251
                host, int(port)
            )
        except OSError:
            # The target does not listen. The client's connection is reset, much as
            # it would be refused without the proxy.
            _abort(writer)
            return
        except asyncio.CancelledError:
            _abort(writer)
            raise
        connection = ProxiedConnection(self, writer, inner_writer)
        self._connections[connection] = None
        try:
            await connection.run(reader, inner_reader)
        finally:
            self._connections.pop(connection, None)


class ProxiedConnection:
    """One proxied connection."""

    def __init__(
        self, link: Link, outer: asyncio.StreamWriter, inner: asyncio.StreamWriter
    ) -> None:
        self.silent = False
        self._sent_at: Seconds | None = None
        """When the client's last data was forwarded; None once it is answered."""
        self._link = link
        self._outer = outer
        self._inner = inner

    async def run(
        self, outer_reader: asyncio.StreamReader, inner_reader: asyncio.StreamReader
    ) -> None:
        """Forward data in both directions until either end closes."""
        directions = [
            asyncio.ensure_future(self._pass(outer_reader, self._inner, forward=True)),
            asyncio.ensure_future(self._pass(inner_reader, self._outer, forward=False)),
        ]
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
            if directions[1].done() and self._sent_at is not None:
                self._link.cuts.append(Cut(self._sent_at, time.monotonic()))
        finally:
            for direction in directions:
                direction.cancel()
            await asyncio.gather(*directions, return_exceptions=True)
            for writer in (self._outer, self._inner):
                writer.close()

    def abort(self) -> None:
        """Reset the connections to both ends."""
        for writer in (self._outer, self._inner):
            _abort(writer)

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        forward: bool,
    ) -> None:
        while True:
            try:
                data = await reader.read(CHUNK_BYTES)
            except ConnectionError:
                return
            if self.silent:
                # Neither end may see that the other one closes.
                await asyncio.Event().wait()
            if not data:
                return
            if self._link.faults.delay_seconds:
                await asyncio.sleep(self._link.faults.delay_seconds)
            while self._link.is_holding(forward=forward):
                await asyncio.sleep(POLL_SECONDS)
            self._sent_at = time.monotonic() if forward else None
            writer.write(data)
            try:
                await writer.drain()
            except ConnectionError:
                return


def _abort(writer: asyncio.StreamWriter) -> None:
    raw = writer.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


__all__ = ["Cut", "Faults", "Link"]
