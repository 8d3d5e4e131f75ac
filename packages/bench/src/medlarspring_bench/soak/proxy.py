"""A TCP proxy on loopback whose connections can be delayed, reset, cut or silenced."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables import Seconds

CHUNK_BYTES = 65_536
POLL_SECONDS = 0.02
"""How soon held data moves on after the fault."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Socket option value: closing discards what is unsent and resets."""


@dataclass(slots=True)
class Faults:
    """What goes wrong on a link until it is set back."""

    delay_seconds: Seconds = 0.0
    """Added to each piece of data, in either direction."""
    hold_forward: bool = False
    """What the client sends arrives only after the fault, as TCP repeats it."""
    hold_backward: bool = False
    """What the other end answers arrives only after the fault."""
    refuse: bool = False
    """New connections are reset."""


@dataclass(frozen=True, slots=True)
class Cut:
    """A connection that the other end closed with a call unanswered."""

    sent_at: Seconds
    cut_at: Seconds


class Link:
    """Passes connections on to one address; faults change while they are open."""

    def __init__(self, target: str = "") -> None:
        self.cuts: list[Cut] = []
        self.target = target
        """``IP:PORT``; may change, as when a process starts again."""
        self.faults = Faults()
        self.address = ""
        self._server: asyncio.Server | None = None
        self._connections: dict[ProxiedConnection, None] = {}

    async def open(self, host: str = "127.0.0.1") -> None:
        """Listen on a port of the kernel's choice."""
        self._server = await asyncio.start_server(self._accept, host, 0)
        bound_host, bound_port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{bound_host}:{bound_port}"

    def close(self) -> None:
        """Stop listening and reset what is open."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for connection in list(self._connections):
            connection.abort()

    def silence(self) -> None:
        """Let nothing pass on the open connections any more; new ones work."""
        for connection in self._connections:
            connection.silent = True

    def is_holding(self, *, forward: bool) -> bool:
        """Tell whether data of one direction is held back now."""
        if forward:
            return self.faults.hold_forward
        return self.faults.hold_backward

    def clear_faults(self) -> None:
        """End the faults; silenced connections stay silent."""
        self.faults = Faults()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.faults.refuse or not self.target:
            _abort(writer)
            return
        host, _, port = self.target.rpartition(":")
        try:
            inner_reader, inner_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            # The other end is gone: the caller sees its port refuse, as it would
            # without the proxy.
            _abort(writer)
            return
        connection = ProxiedConnection(self, writer, inner_writer)
        self._connections[connection] = None
        try:
            await connection.run(reader, inner_reader)
        except asyncio.CancelledError:
            # The proxy is closing; asyncio's server would log this as an error.
            return
        finally:
            self._connections.pop(connection, None)


class ProxiedConnection:
    """One proxied connection."""

    def __init__(
        self, link: Link, outer: asyncio.StreamWriter, inner: asyncio.StreamWriter
    ) -> None:
        self.silent = False
        self._sent_at: Seconds | None = None
        """When the client's last piece of a call was passed on; None if answered."""
        self._link = link
        self._outer = outer
        self._inner = inner

    async def run(
        self, outer_reader: asyncio.StreamReader, inner_reader: asyncio.StreamReader
    ) -> None:
        """Pass data on in both directions until either end closes."""
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
        """Reset both ends."""
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
                # The ends must not learn of each other's closing either.
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
