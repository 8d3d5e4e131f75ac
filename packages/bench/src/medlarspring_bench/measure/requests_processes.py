"""Runs an upstream, a bare forwarder or a caller port for the measurements.

``python -m medlarspring_bench.measure.requests_processes KIND [UPSTREAM ...]``
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import random
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web
from multidict import CIMultiDict
from yarl import URL

from medlarspring_adapters.clock import SystemClock
from medlarspring_adapters.events import create_event_log
from medlarspring_adapters.metrics import NoMetrics
from medlarspring_adapters.upstream_http import HOP_HEADERS
from medlarspring_bench.memory_store import create_memory_store
from medlarspring_bench.standins.server import announce, run, wait_for_end
from medlarspring_daemon.callers.service import create_caller_service
from medlarspring_daemon.node import create_node
from medlarspring_daemon.settings import (
    CallerSection,
    EntryVMSection,
    OperatorSection,
    PeerSection,
    Settings,
    StoreSection,
    VMListSection,
)
from medlarspring_tables import (
    ConfigTable,
    EntryVMId,
    ListedVM,
    PartnerId,
    PartnerRow,
    PoolId,
    RackId,
    RegionId,
    ServiceId,
    ServiceRow,
    VMId,
    VMList,
    ZoneId,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from multidict import CIMultiDictProxy

    Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

RESPONSE_BODY = b"x" * 512
CREDENTIAL = "measure"
SERVICE = "consent"
UPSTREAM_SLOTS = 64
"""High enough that slots do not limit the cost measurement."""


async def _open(handler: Handler) -> str:
    loop = asyncio.get_running_loop()
    server = web.Server(handler, access_log=None)
    listener = await loop.create_server(server, "127.0.0.1", 0, backlog=512)
    return "{}:{}".format(*listener.sockets[0].getsockname())


async def serve_upstream() -> None:
    """Serve an upstream that answers every request immediately."""

    async def handle(request: web.BaseRequest) -> web.Response:
        await request.read()
        return web.Response(body=RESPONSE_BODY, headers={"Content-Type": "text/plain"})

    announce(control=await _open(handle))
    await wait_for_end()


async def serve_bare(upstreams: list[str]) -> None:
    """Serve a forwarder without policy that uses the upstreams in rotation."""
    connector = aiohttp.TCPConnector(limit=0, use_dns_cache=False)
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
    )
    request_count = 0

    async def handle(request: web.BaseRequest) -> web.Response:
        nonlocal request_count
        request_count += 1
        body = await request.read()
        upstream = upstreams[request_count % len(upstreams)]
        async with session.request(
            request.method,
            URL(f"http://{upstream}{request.raw_path}", encoded=True),
            headers=_copy_end_to_end_headers(request.headers),
            data=body or None,
            allow_redirects=False,
        ) as response:
            content = await response.read()
            headers = _copy_end_to_end_headers(response.headers)
            headers.popall("Content-Length", None)
            return web.Response(status=response.status, headers=headers, body=content)

    announce(control=await _open(handle))
    await wait_for_end()
    await session.close()


def _copy_end_to_end_headers(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    copied: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        if name.lower() not in HOP_HEADERS and name.lower() != "host":
            copied.add(name, value)
    return copied


async def serve_caller_port(upstreams: list[str], slots: int) -> None:
    """Serve the caller port of one entry VM with all its policies."""
    clock = SystemClock()
    node = create_node(
        create_settings(),
        clock,
        random.Random(1),
        create_event_log(EntryVMId("e1"), "WARNING"),
        NoMetrics(),
        create_memory_store(clock),
    )
    digest = hashlib.sha256(CREDENTIAL.encode()).hexdigest()
    partner = PartnerRow(id=PartnerId("p1"), weight=1.0, credential_sha256=digest)
    pool_id = PoolId(SERVICE)
    node.config = ConfigTable(
        partners_by_id={partner.id: partner},
        services_by_id={
            ServiceId(SERVICE): ServiceRow(id=ServiceId(SERVICE), pool_id=pool_id)
        },
    )
    node.vm_list = VMList()
    for number, address in enumerate(upstreams):
        vm_id = VMId(f"vm-{number}")
        node.vm_list.vms_by_id[vm_id] = ListedVM(
            id=vm_id,
            address=address,
            pool_id=pool_id,
            rack_id=RackId("r1"),
            zone_id=ZoneId("a"),
            region_id=RegionId("c"),
            slots=slots,
            connections=8 * slots,
        )
    part = create_caller_service(node)
    await part.start()
    announce(control=node.addresses["caller"])
    await wait_for_end()
    await part.stop()


def create_settings(entry_vm: str = "e1", zone: str = "a") -> Settings:
    """Return settings with ports that the kernel assigns."""
    local = "127.0.0.1:0"
    nowhere = "127.0.0.1:1"
    token_file = Path("unused")
    return Settings(
        entry_vm=EntryVMSection(id=entry_vm, zone=zone, region="c"),
        caller=CallerSection(listen=local),
        operator=OperatorSection(listen=local, token_file=token_file),
        peer=PeerSection(listen=local, token_file=token_file),
        store=StoreSection(endpoints=(nowhere,)),
        vm_list=VMListSection(url=f"http://{nowhere}/targets"),
    )


def main() -> None:
    """Run one process until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", choices=["upstream", "bare", "caller-port"])
    parser.add_argument("upstreams", nargs="*")
    parser.add_argument("--slots", type=int, default=UPSTREAM_SLOTS)
    options = parser.parse_args()
    if options.kind == "upstream":
        run(serve_upstream())
    elif options.kind == "bare":
        run(serve_bare(options.upstreams))
    else:
        run(serve_caller_port(options.upstreams, options.slots))


if __name__ == "__main__":
    main()
