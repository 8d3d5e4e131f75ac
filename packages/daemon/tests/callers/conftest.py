"""Fixtures: an in-process caller port in front of scripted upstream VMs."""

from __future__ import annotations

import asyncio
import hashlib
import random
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp
import pytest
from aiohttp import web
from yarl import URL

from medlarspring_adapters.clock import SystemClock
from medlarspring_adapters.events import create_event_log
from medlarspring_adapters.metrics import NoMetrics
from medlarspring_bench.memory_store import MemoryStore, create_memory_store
from medlarspring_bench.streams import connect_streams, serve_streams
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
    from collections.abc import AsyncIterator, Awaitable, Callable

    from multidict import CIMultiDict

    from medlarspring_daemon.node import Component, Node

    Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
    Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

WAIT_SECONDS = 10.0
CREDENTIALS = {"njia": "njia-secret", "mto": "mto-secret"}


@dataclass
class ScriptedUpstream:
    """An upstream VM whose handler a test sets."""

    handler: Handler | None = None
    address: str = ""
    runs: list[str] = field(default_factory=list)
    """Request ids in the order in which their runs began."""
    running: int = 0
    most_running: int = 0

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        self.runs.append(request.headers["Request-Id"])
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            if self.handler is not None:
                return await self.handler(request)
            body = await request.read()
            return web.Response(
                body=b"%b %b %b"
                % (request.method.encode(), request.path_qs.encode(), body)
            )
        finally:
            self.running -= 1


@dataclass
class EntryVM:
    """One daemon's caller port, with an HTTP session that sends requests to it."""

    node: Node
    component: Component
    session: aiohttp.ClientSession

    @property
    def url(self) -> str:
        return f"http://{self.node.addresses['caller']}"

    async def ask(
        self,
        path: str = "/consent/parcels/7",
        *,
        method: str = "GET",
        partner: str = "njia",
        data: bytes | None = None,
        **headers: str,
    ) -> Answer:
        stated = {name.replace("_", "-"): value for name, value in headers.items()}
        stated.setdefault("Authorization", f"Bearer {CREDENTIALS[partner]}")
        async with self.session.request(
            method, URL(self.url + path, encoded=True), headers=stated, data=data
        ) as response:
            body = await response.read()
            return Answer(response.status, response.headers.copy(), body)


@dataclass
class Answer:
    """The complete response that a caller received."""

    status: int
    headers: CIMultiDict[str]
    body: bytes


class CallerTestBed:
    """Starts upstream VMs and entry VMs, and stops them all."""

    def __init__(self, stack: AsyncExitStack) -> None:
        self._stack = stack
        self.upstreams: list[ScriptedUpstream] = []
        self.vm_list = VMList()
        self.config = create_config()
        self.store = create_memory_store(SystemClock())

    async def add_upstream(
        self, handler: Handler | None = None, zone: str = "a"
    ) -> ScriptedUpstream:
        upstream = ScriptedUpstream(handler)
        server = web.Server(upstream.answer, handler_cancellation=False)
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server, "127.0.0.1", 0)
        self._stack.push_async_callback(server.shutdown, 0.1)
        self._stack.callback(listener.close)
        upstream.address = "{}:{}".format(*listener.sockets[0].getsockname())
        self.list_vm(upstream.address, zone)
        self.upstreams.append(upstream)
        return upstream

    async def add_raw_upstream(self, script: Script, zone: str = "a") -> VMId:
        """Add an upstream VM whose ``script`` handles each connection's raw bytes."""
        address = await self._stack.enter_async_context(serve_streams(script))
        return self.list_vm(address, zone)

    async def connect(
        self, entry_vm: EntryVM
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a raw connection to the caller port; it is closed with the bench."""
        address = entry_vm.node.addresses["caller"]
        return await self._stack.enter_async_context(connect_streams(address))

    def list_vm(self, address: str, zone: str = "a", **fields: object) -> VMId:
        vm_id = VMId(f"vm-{len(self.vm_list.vms_by_id)}")
        self.vm_list.vms_by_id[vm_id] = ListedVM(
            id=vm_id,
            address=address,
            pool_id=PoolId("consent"),
            rack_id=RackId("r1"),
            zone_id=ZoneId(zone),
            region_id=RegionId("coast"),
            **fields,  # type: ignore[arg-type]
        )
        return vm_id

    async def start_entry_vm(
        self, name: str = "e1", store: MemoryStore | None = None, **caller: object
    ) -> EntryVM:
        node = create_node(
            create_settings(name, **caller),
            SystemClock(),
            random.Random(7),
            create_event_log(EntryVMId(name), "ERROR"),
            NoMetrics(),
            store or self.store,
        )
        node.config = self.config
        node.vm_list = self.vm_list
        component = create_caller_service(node)
        await component.start()
        self._stack.push_async_callback(component.stop)
        session = await self._stack.enter_async_context(aiohttp.ClientSession())
        return EntryVM(node, component, session)


def create_settings(name: str, **caller: object) -> Settings:
    return Settings(
        entry_vm=EntryVMSection(id=name, zone="a", region="coast"),
        caller=CallerSection(listen="127.0.0.1:0", drain_seconds=5.0, **caller),  # type: ignore[arg-type]
        operator=OperatorSection(listen="127.0.0.1:0", token_file=Path("token")),
        peer=PeerSection(listen="127.0.0.1:0", token_file=Path("token")),
        store=StoreSection(endpoints=("127.0.0.1:1",)),
        vm_list=VMListSection(url="http://127.0.0.1:1/vms"),
    )


def create_config() -> ConfigTable:
    return ConfigTable(
        partners_by_id={
            PartnerId(name): PartnerRow(
                id=PartnerId(name),
                weight=1.0,
                credential_sha256=hashlib.sha256(credential.encode()).hexdigest(),
            )
            for name, credential in CREDENTIALS.items()
        },
        services_by_id={
            ServiceId("consent"): ServiceRow(
                id=ServiceId("consent"), pool_id=PoolId("consent"), timeout_ms=3000
            )
        },
    )


def encode_answer(body: bytes, *, length: int | None = None, extra: str = "") -> bytes:
    """Return the bytes of an answer; ``length`` overrides its Content-Length."""
    stated = len(body) if length is None else length
    return (
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%b\r\n" % (stated, extra.encode())
    ) + body


@pytest.fixture
async def bench() -> AsyncIterator[CallerTestBed]:
    async with AsyncExitStack() as stack:
        yield CallerTestBed(stack)


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.005)
