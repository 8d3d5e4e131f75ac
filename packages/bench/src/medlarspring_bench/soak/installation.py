"""The platform of a soak: store, VM control and workers behind proxies."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from medlarspring_adapters.clock import SystemClock
from medlarspring_bench.key_value_ops import PutOp
from medlarspring_bench.key_value_state import KeyValueState
from medlarspring_bench.platform_world.fault_state import FaultState, StoreMode
from medlarspring_bench.platform_world.fleet_model import FleetModel
from medlarspring_bench.platform_world.history import History
from medlarspring_bench.platform_world.http_fleet import HttpFleet
from medlarspring_bench.platform_world.http_store import HttpStore
from medlarspring_bench.platform_world.plans import (
    STANDBY_POOL,
    WorldPlan,
    add_vms,
    order_wave,
    write_operator_config,
)
from medlarspring_bench.soak.proxy import Link
from medlarspring_bench.standins.server import GatedApp
from medlarspring_tables import PoolId, VMId

if TYPE_CHECKING:
    from collections.abc import Sequence

    from medlarspring_bench.platform_world.worker_model import TaskFacts
    from medlarspring_bench.soak.entry_vms import EntryVM
    from medlarspring_tables import Seconds

HOST = "127.0.0.1"
TICK_SECONDS = 0.02
"""Interval at which workers advance and leases expire."""


@dataclass(slots=True)
class NodeLinks:
    """The proxies around one entry VM."""

    store: Link
    vm_control: Link
    customers: Link

    def list_all(self) -> tuple[Link, ...]:
        """Return all proxies of the entry VM."""
        return (self.store, self.vm_control, self.customers)


class Installation:
    """Implements the customers' ``Installation`` in real time on real ports."""

    def __init__(self, plan: WorldPlan, seed: int, node_names: Sequence[str]) -> None:
        self.plan = plan
        self.clock = SystemClock()
        self.rng = random.Random(seed)
        self.history = History()
        self.fault_state = FaultState(random.Random(seed + 1))
        self.state = KeyValueState(self.clock)
        self.facts_by_task: dict[str, TaskFacts] = {}
        self.nodes_by_name: dict[str, EntryVM] = {}
        """Entry VMs that run, by name."""
        self.links_by_node = {
            name: NodeLinks(Link(), Link(), Link()) for name in node_names
        }
        self.links_by_vm: dict[VMId, Link] = {}
        self.fleet = FleetModel(
            self.state,
            self.clock,
            random.Random(seed + 2),
            self.history,
            {PoolId(STANDBY_POOL)},
            self.facts_by_task.get,
            lambda vm_id: self.links_by_vm[vm_id].address,
            frozenset(map(PoolId, plan.unenforced_pools)),
        )
        self._apps: list[GatedApp] = []
        self.partners_by_name = {each.name: each for each in plan.partners}
        self._config_version = 1
        self._ticking: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open all ports, add the VMs and start to advance workers and leases."""
        self.write_config()
        handlers = HttpFleet(self.fleet, self.clock)
        store = GatedApp(
            HttpStore(self.state, self.fault_state).create_app(), self.links_by_node
        )
        control = GatedApp(handlers.create_control_app(), self.links_by_node)
        await self._open(store)
        await self._open(control)
        for name, links in self.links_by_node.items():
            links.store.target = store.gates_by_name[name].address
            links.vm_control.target = control.gates_by_name[name].address
            for link in links.list_all():
                await link.open()
        await self._open_workers(handlers)
        add_vms(self.plan, self.fleet)
        self._ticking = asyncio.create_task(self._tick_forever())

    async def _open_workers(self, handlers: HttpFleet) -> None:
        vm_ids = self.plan.list_vm_ids()
        workers = GatedApp(handlers.create_worker_app(), vm_ids)
        await self._open(workers)
        for vm_id in vm_ids:
            link = Link(workers.gates_by_name[vm_id].address)
            await link.open()
            self.links_by_vm[VMId(vm_id)] = link

    async def _open(self, app: GatedApp) -> None:
        await app.open(HOST, 0)
        self._apps.append(app)

    async def stop(self) -> None:
        """Close all ports."""
        if self._ticking is not None:
            self._ticking.cancel()
        for link in self.list_links():
            await link.close()
        for app in self._apps:
            await app.close()

    def list_links(self) -> list[Link]:
        """Return all proxies."""
        links = [
            link for node in self.links_by_node.values() for link in node.list_all()
        ]
        return links + list(self.links_by_vm.values())

    def write_config(self, dropped: tuple[str, ...] = ()) -> None:
        """Write the operator's configuration under the next version."""
        self._config_version += 1
        config = write_operator_config(self.plan, self._config_version, dropped)
        self.state.apply(PutOp(b"op/config", json.dumps(config).encode()))

    def order_wave(
        self, number: int, vms: Sequence[str], most: int, seconds: int
    ) -> None:
        """Order a maintenance wave, as the operator does."""
        order_wave(self.state, self.fleet, number, vms, most, seconds)

    def forget_history(self) -> None:
        """Compact the store's history and reset all connections to the store."""
        self.state.compact(self.state.revision)
        for links in self.links_by_node.values():
            links.store.reset()

    async def _tick_forever(self) -> None:
        last = self.clock.now()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = self.clock.now()
            self._expire_leases(now - last)
            for worker in list(self.fleet.workers_by_id.values()):
                if worker.alive:
                    worker.advance(now)
            last = now

    def _expire_leases(self, elapsed: Seconds) -> None:
        fault_state = self.fault_state
        if fault_state.leases_pause and fault_state.store_mode is not StoreMode.WELL:
            for lease in self.state.leases_by_id.values():
                lease.expires_at += elapsed
        self.state.expire_leases()


__all__ = ["Installation", "NodeLinks"]
