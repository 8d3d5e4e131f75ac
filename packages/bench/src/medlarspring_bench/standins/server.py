"""Shared code of the stand-ins: gated applications, control port, start and stop."""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import TYPE_CHECKING

import msgspec
import uvloop
from aiohttp import web

from medlarspring_bench.standins.faults import FaultsChange, Gate

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine, Iterable

    Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

MAX_BODY_BYTES = 8 * 1_048_576
READ_KEY = web.RequestKey("read", bool)
"""Set by handlers to True for read-only calls, whatever their HTTP method."""
GATE_KEY = web.RequestKey("gate", Gate)


def json_response(value: object, status: int = 200) -> web.Response:
    """Return a JSON response encoded by msgspec."""
    return web.Response(
        body=msgspec.json.encode(value), status=status, content_type="application/json"
    )


@web.middleware
async def apply_faults(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Delay, fail, lose or truncate responses according to the gate's faults."""
    gate = _gate_of(request)
    if gate is None:
        return await handler(request)
    request[GATE_KEY] = gate
    if gate.faults.slow_seconds:
        await asyncio.sleep(gate.faults.slow_seconds)
    if gate.faults.fail_all:
        return json_response({"error": "this stand-in fails everything"}, 500)
    response = await handler(request)
    if gate.faults.lose_replies > 0 and _is_write(request):
        gate.faults.lose_replies -= 1
        _transport(request).abort()
    elif gate.faults.truncate_replies > 0 and isinstance(response, web.Response):
        gate.faults.truncate_replies -= 1
        _send_truncated(request, response)
    return response


def _is_write(request: web.Request) -> bool:
    return request.method != "GET" and not request.get(READ_KEY, False)


def _gate_of(request: web.Request) -> Gate | None:
    if request.transport is None:
        return None
    gate = request.transport.get_extra_info("gate")
    return gate if isinstance(gate, Gate) else None


def _transport(request: web.Request) -> asyncio.Transport:
    assert request.transport is not None
    return request.transport


def _send_truncated(request: web.Request, response: web.Response) -> None:
    body = response.body if isinstance(response.body, bytes) else b""
    head = f"HTTP/1.1 {response.status} OK\r\nContent-Length: {len(body) + 2}\r\n\r\n"
    transport = _transport(request)
    transport.write(head.encode() + body[: len(body) // 2])
    transport.close()


class GatedApp:
    """An application that is served through one gate for each name."""

    def __init__(self, app: web.Application, gate_names: Iterable[str]) -> None:
        app.middlewares.insert(0, apply_faults)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.2)
        self.gates_by_name = {
            name: Gate(name, self._make_protocol) for name in gate_names
        }

    def _make_protocol(self) -> asyncio.Protocol:
        assert self._runner.server is not None
        return self._runner.server()

    async def open(self, host: str, port: int) -> None:
        """Open all gates; the first one gets ``port``, the others any free port."""
        await self._runner.setup()
        for gate in self.gates_by_name.values():
            await gate.open(host, port)
            port = 0

    async def close(self) -> None:
        """Close all gates."""
        for gate in self.gates_by_name.values():
            gate.close()
        await self._runner.cleanup()

    async def change_faults(self, change: FaultsChange) -> None:
        """Set faults of the gate that the change names, or of all gates."""
        for gate in self.gates_by_name.values():
            if change.gate in (None, gate.name):
                await gate.change(change)


def create_control_app(
    change_faults: Callable[[FaultsChange], Awaitable[None]],
) -> web.Application:
    """Return the application of the control port, to which no faults apply."""

    async def post_faults(request: web.Request) -> web.Response:
        try:
            change = msgspec.json.decode(await request.read(), type=FaultsChange)
        except msgspec.ValidationError as error:
            return json_response({"error": str(error)}, 400)
        await change_faults(change)
        return json_response({})

    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app.router.add_post("/control/faults", post_faults)
    return app


async def open_control(app: web.Application, host: str) -> str:
    """Serve the control port on any free port and return its address."""
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, 0).start()
    bound_host, bound_port = runner.addresses[0][:2]
    return f"{bound_host}:{bound_port}"


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


_stop_requested = asyncio.Event()
"""Set when this process receives a signal to stop."""


def announce(**addresses: object) -> None:
    """Print the JSON line that tells the parent process the addresses.

    The signal handlers are installed before the line is printed. A parent that
    stops the stand-in as soon as it has read the line would otherwise kill it if
    the machine is busy and the signal arrives before the handlers are installed.
    """
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, _stop_requested.set)
    sys.stdout.write(msgspec.json.encode(addresses).decode() + "\n")
    sys.stdout.flush()


async def wait_for_end() -> None:
    """Wait for SIGTERM or SIGINT."""
    await _stop_requested.wait()


def run(main: Coroutine[object, object, None]) -> None:
    """Run the main coroutine of a stand-in on uvloop."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main)


__all__ = [
    "GATE_KEY",
    "MAX_BODY_BYTES",
    "READ_KEY",
    "GatedApp",
    "announce",
    "create_control_app",
    "json_response",
    "open_control",
    "run",
    "split_address",
    "wait_for_end",
]
