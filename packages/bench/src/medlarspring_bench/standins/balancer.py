"""Stand-in for the platform's load balancer: weighted TCP with health checks."""

from __future__ import annotations

import argparse
import asyncio
import random
from collections import Counter

import aiohttp
import msgspec
from aiohttp import web
from msgspec import Struct

from medlarspring_bench.standins.faults import Gate
from medlarspring_bench.standins.server import (
    announce,
    create_control_app,
    json_response,
    open_control,
    run,
    split_address,
    wait_for_end,
)
from medlarspring_bench.standins.tcp_proxy import ClientConnection

CHECK_SECONDS = 0.25
CHECK_TIMEOUT_SECONDS = 1.0


class Backend(Struct):
    """A daemon's caller port and its weight among the backends."""

    address: str
    weight: float = 1.0


class Balancer:
    """Forwards each new connection to a ready daemon."""

    def __init__(self, rng: random.Random) -> None:
        self.connections_by_address: Counter[str] = Counter()
        self._rng = rng
        self._backends: list[Backend] = []
        self._ready: set[str] = set()

    def set_backends(self, backends: list[Backend]) -> None:
        """Replace all backends; new ones get connections after a health check."""
        self._backends = backends
        self._ready &= {backend.address for backend in backends}

    def choose(self) -> str | None:
        """Choose a ready backend at random by weight; None if none is ready."""
        ready = [
            backend for backend in self._backends if backend.address in self._ready
        ]
        if not ready:
            return None
        weights = [backend.weight for backend in ready]
        return self._rng.choices(ready, weights)[0].address

    def ready(self) -> list[str]:
        """Return the sorted addresses of the backends that are ready."""
        return sorted(self._ready)

    def count_open(self, address: str) -> None:
        """Count a connection that is forwarded to a backend."""
        self.connections_by_address[address] += 1

    async def check_health(self) -> None:
        """Poll ``/readyz`` of every backend until cancelled."""
        timeout = aiohttp.ClientTimeout(total=CHECK_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.gather(
                    *(self._check(session, backend) for backend in self._backends)
                )
                await asyncio.sleep(CHECK_SECONDS)

    async def _check(self, session: aiohttp.ClientSession, backend: Backend) -> None:
        try:
            async with session.get(f"http://{backend.address}/readyz") as response:
                ready = response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            ready = False
        if ready:
            self._ready.add(backend.address)
        else:
            self._ready.discard(backend.address)


async def serve(options: argparse.Namespace) -> None:
    """Serve until SIGTERM."""
    balancer = Balancer(random.Random(options.seed))
    gate = Gate("all", lambda: ClientConnection(balancer.choose, balancer.count_open))
    host, port = split_address(options.listen)
    await gate.open(host, port)
    control = create_control_app(gate.change)

    async def put_backends(request: web.Request) -> web.Response:
        body = await request.read()
        balancer.set_backends(msgspec.json.decode(body, type=list[Backend]))
        return json_response({})

    async def get_backends(request: web.Request) -> web.Response:
        connections = balancer.connections_by_address
        return json_response({"ready": balancer.ready(), "connections": connections})

    control.router.add_put("/control/backends", put_backends)
    control.router.add_get("/control/backends", get_backends)
    announce(
        name="balancer",
        address=gate.address,
        control=await open_control(control, host),
    )
    checking = asyncio.create_task(balancer.check_health())
    await wait_for_end()
    checking.cancel()
    gate.close()


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--seed", type=int, default=1)
    run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
