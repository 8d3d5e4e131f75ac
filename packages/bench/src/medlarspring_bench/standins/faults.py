"""Faults of a stand-in's connections, switched while it runs."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, cast

from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Callable


class Faults(Struct, kw_only=True):
    """What goes wrong at one gate until it is set back."""

    down: bool = False
    """Open connections are reset, new ones refused."""
    resetting: bool = False
    """Open connections are reset, new ones too once they are taken."""
    unreachable: bool = False
    """Open connections go silent for good, new ones get no answer at all."""
    frozen: bool = False
    """Connections are taken, but nothing is read until the thaw."""
    slow_seconds: float = 0.0
    """Delay before a request is handled."""
    lose_replies: int = 0
    """So many of the next writes take effect and lose their reply."""
    truncate_replies: int = 0
    """So many of the next answers end in the middle of their body."""
    fail_all: bool = False
    """Every request is answered with status 500 and has no effect."""


class FaultsChange(Struct, forbid_unknown_fields=True, kw_only=True):
    """Body of ``POST /control/faults``; keys left out stay as they are."""

    gate: str | None = None
    """The gate concerned; all gates if left out."""
    silence: bool = False
    """Open connections go silent for good; new ones work."""
    down: bool | None = None
    resetting: bool | None = None
    unreachable: bool | None = None
    frozen: bool | None = None
    slow_seconds: float | None = None
    lose_replies: int | None = None
    truncate_replies: int | None = None
    fail_all: bool | None = None


class Gate:
    """One listening port with its own faults; a zone may have its own gate."""

    def __init__(self, name: str, make_protocol: Callable[[], asyncio.Protocol]):
        self.name = name
        self.faults = Faults()
        self.connections: set[GateConnection] = set()
        self.address = ""
        self.max_connections: int | None = None
        self.connections_refused = 0
        self._make_protocol = make_protocol
        self._server: asyncio.Server | None = None
        self._port_reservation: socket.socket | None = None
        """Keeps the port while nothing listens on it."""
        self._blackhole: list[socket.socket] = []

    async def open(self, host: str, port: int) -> None:
        """Listen; port 0 lets the kernel choose."""
        self._port_reservation = _bind(host, port)
        bound_host, bound_port = self._port_reservation.getsockname()[:2]
        self.address = f"{bound_host}:{bound_port}"
        await self._listen()

    async def _listen(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: GateConnection(self, self._make_protocol()),
            sock=_bind(*self._bound()),
        )

    def close(self) -> None:
        """Stop listening and reset what is open."""
        self._stop_listening()
        self._drop_blackhole()
        self.reset()
        if self._port_reservation is not None:
            self._port_reservation.close()

    async def change(self, change: FaultsChange) -> None:
        """Switch faults."""
        for name in Faults.__struct_fields__:
            value = getattr(change, name)
            if value is not None:
                setattr(self.faults, name, value)
        if change.silence or self.faults.unreachable:
            self.silence()
        if self.faults.down or self.faults.resetting:
            self.reset()
        await self._update_listener()
        if not self.faults.frozen:
            for connection in list(self.connections):
                connection.deliver_held_data()

    async def _update_listener(self) -> None:
        """Listen or not, as the faults say."""
        if self.faults.down or self.faults.unreachable:
            self._stop_listening()
        if self.faults.unreachable and not self._blackhole:
            self._blackhole = _open_blackhole(*self._bound())
        if not self.faults.unreachable:
            self._drop_blackhole()
        if self._server is None and not (self.faults.down or self.faults.unreachable):
            await self._listen()

    def _bound(self) -> tuple[str, int]:
        host, _, port = self.address.rpartition(":")
        return host, int(port)

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def _drop_blackhole(self) -> None:
        for held in self._blackhole:
            held.close()
        self._blackhole = []

    def silence(self) -> None:
        """Let no byte pass on any open connection from now on."""
        for connection in self.connections:
            connection.silent = True

    def reset(self) -> None:
        """Reset all open connections."""
        for connection in list(self.connections):
            connection.abort()

    def can_accept(self) -> bool:
        """Say whether the newest connection may stay."""
        if self.faults.resetting:
            return False
        if self.max_connections is None:
            return True
        if len(self.connections) <= self.max_connections:
            return True
        self.connections_refused += 1
        return False


class GateTransport(asyncio.Transport):
    """Passes calls on, but drops what a silent connection would send."""

    def __init__(self, inner: asyncio.Transport, connection: GateConnection) -> None:
        super().__init__()
        self._inner = inner
        self._connection = connection

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send, unless the connection went silent."""
        if not self._connection.silent:
            self._inner.write(data)

    def writelines(self, list_of_data: object) -> None:
        """Send, unless the connection went silent."""
        if not self._connection.silent:
            self._inner.writelines(list_of_data)  # type: ignore[arg-type]

    def close(self) -> None:
        """Close; the other end of a silent connection never learns of it."""
        if not self._connection.silent:
            self._inner.close()

    def abort(self) -> None:
        """Reset; the other end of a silent connection never learns of it."""
        if not self._connection.silent:
            self._inner.abort()

    def is_closing(self) -> bool:
        """Say whether the connection closes."""
        return self._inner.is_closing()

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Return facts of the connection; ``gate`` names the gate."""
        if name == "gate":
            return self._connection.gate
        return self._inner.get_extra_info(name, default)

    def pause_reading(self) -> None:
        """Read no more for now."""
        self._inner.pause_reading()

    def resume_reading(self) -> None:
        """Read on."""
        self._inner.resume_reading()

    def is_reading(self) -> bool:
        """Say whether bytes are read."""
        return self._inner.is_reading()

    def get_write_buffer_size(self) -> int:
        """Return the bytes not sent yet."""
        return self._inner.get_write_buffer_size()

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Set when the protocol is told to pause."""
        self._inner.set_write_buffer_limits(high, low)


class GateConnection(asyncio.Protocol):
    """One accepted connection: an inner protocol behind the gate's faults."""

    def __init__(self, gate: Gate, inner: asyncio.Protocol) -> None:
        self.gate = gate
        self.silent = False
        self._inner = inner
        self._held: list[bytes] = []
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Reset the connection when the gate is down or full."""
        self._transport = cast("asyncio.Transport", transport)
        self.gate.connections.add(self)
        self._inner.connection_made(GateTransport(self._transport, self))
        if not self.gate.can_accept():
            self.abort()

    def data_received(self, data: bytes) -> None:
        """Pass bytes on, hold them while frozen, drop them when silent."""
        if self.silent:
            return
        if self.gate.faults.frozen or self._held:
            self._held.append(data)
            return
        self._inner.data_received(data)

    def deliver_held_data(self) -> None:
        """Pass on what was held."""
        held, self._held = self._held, []
        for data in held:
            self.data_received(data)

    def eof_received(self) -> bool | None:
        """Pass the end of the stream on."""
        return self._inner.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self.gate.connections.discard(self)
        self._inner.connection_lost(exc)

    def pause_writing(self) -> None:
        """Pass back-pressure on."""
        self._inner.pause_writing()

    def resume_writing(self) -> None:
        """Pass the end of back-pressure on."""
        self._inner.resume_writing()

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()


def _bind(host: str, port: int) -> socket.socket:
    """Return a socket on a port that other sockets of this process may share."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    bound.bind((host, port))
    return bound


def _open_blackhole(host: str, port: int) -> list[socket.socket]:
    """Let connection attempts wait for ever, as behind a network partition.

    The kernel drops further attempts once the queue of connections that nobody
    accepts is full; two of our own fill it.
    """
    listener = _bind(host, port)
    listener.listen(0)
    held = [listener]
    for _ in range(2):
        filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        filler.setblocking(False)
        filler.connect_ex((host, port))
        held.append(filler)
    return held


__all__ = ["Faults", "FaultsChange", "Gate"]
