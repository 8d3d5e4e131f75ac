"""Listening ports of stand-ins with faults that can be set while they run."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, cast

from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Callable


class Faults(Struct, kw_only=True):
    """Faults of one gate; each lasts until it is cleared."""

    down: bool = False
    """Open connections are reset and new ones are refused."""
    resetting: bool = False
    """Open connections are reset; new ones are accepted and then reset."""
    unreachable: bool = False
    """Open connections stay silent for good; new attempts get no answer."""
    frozen: bool = False
    """Connections are accepted, but data is not processed until this is cleared."""
    slow_seconds: float = 0.0
    """Delay in seconds before a request is handled."""
    lose_replies: int = 0
    """Number of next writes that take effect but whose reply is lost."""
    truncate_replies: int = 0
    """Number of next responses that end in the middle of their body."""
    fail_all: bool = False
    """Every request is answered with status 500 and has no effect."""


class FaultsChange(Struct, forbid_unknown_fields=True, kw_only=True):
    """Body of ``POST /control/faults``; faults without a key stay unchanged."""

    gate: str | None = None
    """Name of the gate to change; None changes all gates."""
    silence: bool = False
    """Open connections stay silent for good; new ones work."""
    down: bool | None = None
    resetting: bool | None = None
    unreachable: bool | None = None
    frozen: bool | None = None
    slow_seconds: float | None = None
    lose_replies: int | None = None
    truncate_replies: int | None = None
    fail_all: bool | None = None


class Gate:
    """One listening port with its own faults, for example one for each zone."""

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
        """Socket that keeps the port reserved while nothing listens on it."""
        self._blackhole: list[socket.socket] = []

    async def open(self, host: str, port: int) -> None:
        """Start to listen; with port 0 the kernel chooses the port."""
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
        """Stop listening and reset all open connections."""
        self._stop_listening()
        self._drop_blackhole()
        self.reset()
        if self._port_reservation is not None:
            self._port_reservation.close()

    async def change(self, change: FaultsChange) -> None:
        """Set or clear faults and apply them to the open connections."""
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
        """Start or stop listening according to the faults."""
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
        """Drop all data of the connections that are open now, in both directions."""
        for connection in self.connections:
            connection.silent = True

    def reset(self) -> None:
        """Reset all open connections."""
        for connection in list(self.connections):
            connection.abort()

    def can_accept(self) -> bool:
        """Return whether the newest connection may stay open."""
        if self.faults.resetting:
            return False
        if self.max_connections is None:
            return True
        if len(self.connections) <= self.max_connections:
            return True
        self.connections_refused += 1
        return False


class GateTransport(asyncio.Transport):
    """Wraps a transport and drops what a silent connection would send."""

    def __init__(self, inner: asyncio.Transport, connection: GateConnection) -> None:
        super().__init__()
        self._inner = inner
        self._connection = connection

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send data unless the connection is silent."""
        if not self._connection.silent:
            self._inner.write(data)

    def writelines(self, list_of_data: object) -> None:
        """Send data unless the connection is silent."""
        if not self._connection.silent:
            self._inner.writelines(list_of_data)  # type: ignore[arg-type]

    def close(self) -> None:
        """Close the connection, unless it is silent: its peer must not see a FIN."""
        if not self._connection.silent:
            self._inner.close()

    def abort(self) -> None:
        """Reset the connection, unless it is silent: its peer must not see an RST."""
        if not self._connection.silent:
            self._inner.abort()

    def is_closing(self) -> bool:
        """Return whether the connection is closing."""
        return self._inner.is_closing()

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Return information on the connection; ``gate`` returns its ``Gate``."""
        if name == "gate":
            return self._connection.gate
        return self._inner.get_extra_info(name, default)

    def pause_reading(self) -> None:
        """Pause reading from the connection."""
        self._inner.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading from the connection."""
        self._inner.resume_reading()

    def is_reading(self) -> bool:
        """Return whether the connection is being read."""
        return self._inner.is_reading()

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that are not sent yet."""
        return self._inner.get_write_buffer_size()

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Set the buffer sizes at which the protocol pauses and resumes writing."""
        self._inner.set_write_buffer_limits(high, low)


class GateConnection(asyncio.Protocol):
    """One accepted connection: applies the gate's faults to an inner protocol."""

    def __init__(self, gate: Gate, inner: asyncio.Protocol) -> None:
        self.gate = gate
        self.silent = False
        self._inner = inner
        self._held: list[bytes] = []
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; reset it if the gate resets it or is full."""
        self._transport = cast("asyncio.Transport", transport)
        self.gate.connections.add(self)
        self._inner.connection_made(GateTransport(self._transport, self))
        if not self.gate.can_accept():
            self.abort()

    def data_received(self, data: bytes) -> None:
        """Forward data; hold it while the gate is frozen, drop it when silent."""
        if self.silent:
            return
        if self.gate.faults.frozen or self._held:
            self._held.append(data)
            return
        self._inner.data_received(data)

    def deliver_held_data(self) -> None:
        """Forward the data that was held while the gate was frozen."""
        held, self._held = self._held, []
        for data in held:
            self.data_received(data)

    def eof_received(self) -> bool | None:
        """Forward the end of the stream."""
        return self._inner.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from its gate."""
        self.gate.connections.discard(self)
        self._inner.connection_lost(exc)

    def pause_writing(self) -> None:
        """Forward the start of back-pressure."""
        self._inner.pause_writing()

    def resume_writing(self) -> None:
        """Forward the end of back-pressure."""
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
    """Make connection attempts hang, as behind a network partition.

    The kernel drops further attempts once the backlog of the listener is full;
    two connections from this process fill it. Returns the sockets to close.
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
