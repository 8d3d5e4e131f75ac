"""Stand-in for the metrics collector: aggregates what statsd clients send."""

from __future__ import annotations

import argparse
import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from medlarspring_bench.standins.server import (
    announce,
    create_control_app,
    json_response,
    open_control,
    run,
    split_address,
    wait_for_end,
)

if TYPE_CHECKING:
    from aiohttp import web

    from medlarspring_bench.standins.faults import FaultsChange


class MetricsReceiver(asyncio.DatagramProtocol):
    """Adds up counters and keeps the last value of every other metric."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.values: dict[str, float] = {}

    def datagram_received(self, data: bytes, addr: tuple[str | object, int]) -> None:
        """Record the lines of one datagram; skips lines without a number."""
        for line in data.decode(errors="replace").splitlines():
            name, _, rest = line.partition(":")
            number, _, kind = rest.partition("|")
            try:
                value = float(number)
            except ValueError:
                continue
            if kind.startswith("c"):
                self.counters[name] += int(value)
            else:
                self.values[name] = value


async def _ignore_faults(change: FaultsChange) -> None:
    """Do nothing: connection faults do not apply to datagrams."""


async def serve(options: argparse.Namespace) -> None:
    """Serve until SIGTERM."""
    sink = MetricsReceiver()
    host, port = split_address(options.listen)
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: sink, local_addr=(host, port)
    )
    bound_host, bound_port = transport.get_extra_info("sockname")[:2]
    control = create_control_app(_ignore_faults)

    async def get_metrics(request: web.Request) -> web.Response:
        return json_response({"counters": sink.counters, "values": sink.values})

    control.router.add_get("/control/metrics", get_metrics)
    announce(
        name="statsd",
        address=f"{bound_host}:{bound_port}",
        control=await open_control(control, host),
    )
    await wait_for_end()
    transport.close()


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0")
    run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
