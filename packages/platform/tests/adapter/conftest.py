from __future__ import annotations

import asyncio
import io
import json
import random
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import aiohttp
import pytest
from aiohttp import web

from medlarspring_adapters.clock import SystemClock
from medlarspring_adapters.events import create_event_log
from medlarspring_adapters.metrics import NoMetrics
from medlarspring_bench.key_value_ops import PutOp
from medlarspring_bench.key_value_state import KeyValueState
from medlarspring_bench.platform_world.fault_state import FaultState
from medlarspring_bench.platform_world.fleet_model import FleetModel
from medlarspring_bench.platform_world.history import History
from medlarspring_bench.platform_world.http_fleet import HttpFleet
from medlarspring_bench.platform_world.http_store import HttpStore
from medlarspring_bench.platform_world.plans import (
    HOST as JOBS_HOST,
    WorldPlan,
    write_operator_config,
)
from medlarspring_bench.standins.server import GatedApp
from medlarspring_daemon.scheduling.context import SchedulingNode
from medlarspring_daemon.scheduling.service import create_scheduling_service
from medlarspring_platform.jobs_frontend import JobsFrontend
from medlarspring_platform.machines import PlatformMachines
from medlarspring_platform.operator_records import PlatformCodec
from medlarspring_platform.store import PlatformStore
from medlarspring_platform.workers import PlatformWorkers
from medlarspring_tables import EntryVMId, PoolId, VMId
from medlarspring_tables.scheduling import FleetLimits, Resources, StepSpec

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from medlarspring_adapters.events import EventLog
    from medlarspring_bench.platform_world.worker_model import TaskFacts

HOST = "127.0.0.1"
JOB = "5c0e7a21d94b36f8"
BODY: dict[str, Any] = {"spec": "text", "steps": [{"count": 1, "cpu": 500}]}
RESOURCES = Resources(4_000, 8_192, 0)
STEP = StepSpec(count=1, cpu_millis=1_000, memory_mb=512)


@dataclass
class Platform:
    """Stand-ins for the platform on loopback, and the adapter's clients for them."""

    state: KeyValueState
    fault_state: FaultState
    fleet: FleetModel
    facts_by_task: dict[str, TaskFacts]
    store: PlatformStore
    machines: PlatformMachines
    workers: PlatformWorkers
    store_address: str
    log: EventLog
    log_lines: io.StringIO

    async def wait_for_worker(self, vm: str):  # type: ignore[no-untyped-def]
        while self.fleet.vms_by_id[VMId(vm)].worker is None:
            await asyncio.sleep(0.01)
        return self.fleet.vms_by_id[VMId(vm)].worker


@pytest.fixture
async def platform() -> AsyncIterator[Platform]:
    clock = SystemClock()
    state = KeyValueState(clock)
    fault_state = FaultState(random.Random(1), store_seconds=0.0)
    facts: dict[str, TaskFacts] = {}
    addresses: dict[str, str] = {}
    fleet = FleetModel(
        state,
        clock,
        random.Random(2),
        History(),
        {PoolId("spare")},
        facts.get,
        lambda vm_id: addresses[vm_id],
    )
    handlers = HttpFleet(fleet, clock)
    store_app = GatedApp(HttpStore(state, fault_state).create_app(), ["entry-0"])
    control_app = GatedApp(handlers.create_control_app(), ["entry-0"])
    worker_app = GatedApp(handlers.create_worker_app(), ["m-0", "m-1"])
    apps = (store_app, control_app, worker_app)
    for app in apps:
        await app.open(HOST, 0)
    for name, gate in worker_app.gates_by_name.items():
        addresses[name] = gate.address
        fleet.add_vm(name, "zone-0", "r0-0", "consent", RESOURCES)
    store_address = store_app.gates_by_name["entry-0"].address
    log_lines = io.StringIO()
    log = create_event_log(EntryVMId("entry-0"), "INFO", log_lines)
    found = Platform(
        state=state,
        fault_state=fault_state,
        fleet=fleet,
        facts_by_task=facts,
        store=PlatformStore(store_address, clock, NoMetrics(), log),
        machines=PlatformMachines(control_app.gates_by_name["entry-0"].address, log),
        workers=PlatformWorkers(),
        store_address=store_address,
        log=log,
        log_lines=log_lines,
    )
    yield found
    await found.store.close()
    await found.machines.close()
    await found.workers.close()
    for app in apps:
        await app.close()


@dataclass
class Frontend:
    """The customers' port of one entry VM."""

    address: str
    session: aiohttp.ClientSession
    platform: Platform

    async def call(
        self,
        method: str,
        path: str = f"/lookup/{JOB}",
        body: bytes | None = None,
        authorization: str = "",
    ) -> tuple[int, dict[str, Any], str]:
        headers = {"Host": JOBS_HOST, "X-Medlarspring-Deadline-Ms": "1500"}
        if authorization:
            headers["Authorization"] = authorization
        async with self.session.request(
            method, f"http://{self.address}{path}", data=body, headers=headers
        ) as response:
            text = await response.text()
            return (
                response.status,
                json.loads(text) if text else {},
                response.headers.get("Retry-After", ""),
            )

    async def submit(self, **changes: object) -> tuple[int, dict[str, Any], str]:
        body = json.dumps({**BODY, **changes}).encode()
        return await self.call("POST", body=body)


@asynccontextmanager
async def open_frontend(platform: Platform, plan: WorldPlan) -> AsyncIterator[Frontend]:
    config = json.dumps(write_operator_config(plan, 2)).encode()
    platform.state.apply(PutOp(b"op/config", config))
    node = SchedulingNode(
        id=EntryVMId("entry-0"),
        incarnation=1,
        clock=SystemClock(),
        rng=random.Random(1),
        log=platform.log,
        metrics=NoMetrics(),
        store=platform.store,
        store_health=platform.store,
        codec=PlatformCodec(),
        orders=platform.workers,
        lifecycle=platform.machines,
        limits=FleetLimits(),
    )
    service = create_scheduling_service(node)
    await service.start()
    while service.operator_records.config is None:
        await asyncio.sleep(0.01)
    runner = web.ServerRunner(web.Server(JobsFrontend(service).handle))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    async with aiohttp.ClientSession() as session:
        yield Frontend(f"{host}:{port}", session, platform)
    await runner.cleanup()
    await service.stop()


@pytest.fixture
async def frontend(platform: Platform) -> AsyncIterator[Frontend]:
    async with open_frontend(platform, WorldPlan()) as opened:
        yield opened
