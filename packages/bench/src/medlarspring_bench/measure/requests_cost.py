"""Measures the cost of the caller port against a bare aiohttp forwarder.

Both run as separate processes with the same upstreams. One client alternates
between them, so that changes in the load of the machine affect both alike.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from statistics import median
from typing import cast

import psutil
import uvloop

from medlarspring_bench.measure.requests_processes import CREDENTIAL, SERVICE
from medlarspring_bench.processes import Processes

MODULE = "medlarspring_bench.measure.requests_processes"
UPSTREAMS = 2
ROUNDS = 5
WARM_REQUESTS = 400
LIGHT_REQUESTS = 1200
LOADED_REQUESTS = 3000
LOADED_CONNECTIONS = 24
REQUEST = (
    f"GET /{SERVICE}/parcels/7 HTTP/1.1\r\nHost: measure\r\n"
    f"Authorization: Bearer {CREDENTIAL}\r\nAccept: text/plain\r\n\r\n"
).encode()
OK = b"HTTP/1.1 200"


@dataclass(slots=True)
class Cost:
    """Cost of one kind of forwarder, with one entry per round."""

    p50_ms: list[float] = field(default_factory=list)
    p99_ms: list[float] = field(default_factory=list)
    per_core: list[float] = field(default_factory=list)
    """Requests per second of CPU time."""


class Client(asyncio.Protocol):
    """A keep-alive connection that sends requests in sequence."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._response_received: asyncio.Future[None] | None = None
        self._received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self._transport = cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        """Complete the pending request once its response has fully arrived."""
        self._received += data
        head, separator, body = self._received.partition(b"\r\n\r\n")
        if not separator:
            return
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        if len(body) < length or self._response_received is None:
            return
        if not head.startswith(OK):
            self._response_received.set_exception(RuntimeError(head.decode()))
        else:
            self._response_received.set_result(None)
        self._received = b""

    async def send_request(self) -> float:
        """Send one request and return the seconds until its response."""
        assert self._transport is not None
        self._response_received = asyncio.get_running_loop().create_future()
        began = time.perf_counter()
        self._transport.write(REQUEST)
        await self._response_received
        return time.perf_counter() - began


async def _connect(address: str) -> Client:
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    _, client = await loop.create_connection(Client, host, int(port))
    return client


async def _measure_round(address: str, pid: int, cost: Cost) -> None:
    client = await _connect(address)
    times = sorted([await client.send_request() * 1000 for _ in range(LIGHT_REQUESTS)])
    cost.p50_ms.append(times[len(times) // 2])
    cost.p99_ms.append(times[len(times) * 99 // 100])
    clients = [await _connect(address) for _ in range(LOADED_CONNECTIONS)]
    before = _cpu_seconds(pid)
    await asyncio.gather(
        *(_repeat(each, LOADED_REQUESTS // LOADED_CONNECTIONS) for each in clients)
    )
    cost.per_core.append(LOADED_REQUESTS / (_cpu_seconds(pid) - before))


async def _repeat(client: Client, times: int) -> None:
    for _ in range(times):
        await client.send_request()


def _cpu_seconds(pid: int) -> float:
    used = psutil.Process(pid).cpu_times()
    return float(used.user + used.system)


async def _measure(addresses: dict[str, str], pids: dict[str, int]) -> dict[str, Cost]:
    costs = {kind: Cost() for kind in addresses}
    for address in addresses.values():
        client = await _connect(address)
        await _repeat(client, WARM_REQUESTS)
    for _ in range(ROUNDS):
        for kind, address in addresses.items():
            await _measure_round(address, pids[kind], costs[kind])
    return costs


def measure_cost() -> list[str]:
    """Return the rows of the table in docs/MEASUREMENTS.md."""
    with Processes() as processes:
        upstreams = [
            processes.start_module(f"upstream-{number}", MODULE, "upstream")
            for number in range(UPSTREAMS)
        ]
        targets = [str(each.wait_for_announcement()["control"]) for each in upstreams]
        started = {
            kind: processes.start_module(kind, MODULE, kind, *targets)
            for kind in ("bare", "caller-port")
        }
        addresses = {
            kind: str(process.wait_for_announcement()["control"])
            for kind, process in started.items()
        }
        pids = {kind: process.pid for kind, process in started.items()}
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            costs = runner.run(_measure(addresses, pids))
    bare, port = costs["bare"], costs["caller-port"]
    return [
        _format("p50 of one request (ms)", bare.p50_ms, port.p50_ms),
        _format("p99 of one request (ms)", bare.p99_ms, port.p99_ms),
        _format("requests per second of a core", bare.per_core, port.per_core, True),
    ]


def _format(
    name: str, bare: list[float], port: list[float], inverse: bool = False
) -> str:
    first, second = median(bare), median(port)
    ratio = first / second if inverse else second / first
    return f"| {name} | {first:.3g} | {second:.3g} | {ratio:.2f} | 1.5 or less |"


def main() -> None:
    """Print the table."""
    print("| what | bare forwarder | caller port | ratio | wanted |")
    print("| --- | --- | --- | --- | --- |")
    for row in measure_cost():
        print(row)


if __name__ == "__main__":
    main()
