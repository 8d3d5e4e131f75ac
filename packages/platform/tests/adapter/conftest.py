from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

import pytest

from medlarspring_adapters.clock import SystemClock
from medlarspring_adapters.metrics import NoMetrics
from medlarspring_bench.key_value_state import KeyValueState
from medlarspring_bench.platform_world.fault_state import FaultState
from medlarspring_bench.platform_world.fleet_model import FleetModel
from medlarspring_bench.platform_world.history import History
from medlarspring_bench.platform_world.http_fleet import HttpFleet
from medlarspring_bench.platform_world.http_store import HttpStore
from medlarspring_bench.standins.server import GatedApp
from medlarspring_platform.machines import PlatformMachines
from medlarspring_platform.store import PlatformStore
from medlarspring_platform.workers import PlatformWorkers
from medlarspring_tables import PoolId, VMId
from medlarspring_tables.scheduling import Resources, StepSpec

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from medlarspring_bench.platform_world.worker_model import TaskFacts

HOST = "127.0.0.1"
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
    found = Platform(
        state=state,
        fault_state=fault_state,
        fleet=fleet,
        facts_by_task=facts,
        store=PlatformStore(store_address, clock, NoMetrics()),
        machines=PlatformMachines(control_app.gates_by_name["entry-0"].address),
        workers=PlatformWorkers(),
        store_address=store_address,
    )
    yield found
    await found.store.close()
    await found.machines.close()
    await found.workers.close()
    for app in apps:
        await app.close()
