"""Stand-in for the network between zones: TCP proxies with faults."""

from __future__ import annotations

import argparse
from typing import TYPE_CHECKING

import msgspec
from msgspec import Struct

from medlarspring_bench.standins.faults import FaultsChange, Gate
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

if TYPE_CHECKING:
    import asyncio

    from aiohttp import web


class Link(Struct):
    """A proxied port and its target; faults are set by name or by group."""

    name: str
    target: str
    group: str


class Links:
    """All links by name."""

    def __init__(self, host: str) -> None:
        self._host = host
        self._gates_by_name: dict[str, Gate] = {}
        self._groups_by_name: dict[str, str] = {}

    async def open(self, link: Link) -> str:
        """Open a link unless it is open, and return its address."""
        gate = self._gates_by_name.get(link.name)
        if gate is None:

            def make_protocol() -> asyncio.Protocol:
                return ClientConnection(lambda: link.target)

            gate = Gate(link.name, make_protocol)
            await gate.open(self._host, 0)
            self._gates_by_name[link.name] = gate
            self._groups_by_name[link.name] = link.group
        return gate.address

    async def change_faults(self, change: FaultsChange) -> None:
        """Set faults of the links whose name or group is ``gate``, or of all."""
        for name, gate in self._gates_by_name.items():
            if change.gate in (None, name, self._groups_by_name[name]):
                await gate.change(change)

    def close(self) -> None:
        """Close all links."""
        for gate in self._gates_by_name.values():
            gate.close()


async def serve(options: argparse.Namespace) -> None:
    """Serve until SIGTERM."""
    host, _ = split_address(options.listen)
    links = Links(host)
    control = create_control_app(links.change_faults)

    async def post_links(request: web.Request) -> web.Response:
        requested_links = msgspec.json.decode(await request.read(), type=list[Link])
        return json_response(
            {link.name: await links.open(link) for link in requested_links}
        )

    control.router.add_post("/control/links", post_links)
    announce(name="links", control=await open_control(control, host))
    await wait_for_end()
    links.close()


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0")
    run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
