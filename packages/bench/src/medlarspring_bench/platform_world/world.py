"""The whole emulated installation: entry VMs, store, workers and customers."""

from __future__ import annotations

import asyncio
import contextvars
import io
import json
import random
from typing import TYPE_CHECKING

from medlarspring_adapters.events import create_event_log
from medlarspring_adapters.metrics import NoMetrics
from medlarspring_bench.key_value_ops import DeleteOp, PutOp, RangeOp, RangeReply
from medlarspring_bench.key_value_state import KeyValueState
from medlarspring_bench.platform_world.adviser_model import AdvicePlan, AdviserModel
from medlarspring_bench.platform_world.calls import SimulatedLifecycle, SimulatedOrders
from medlarspring_bench.platform_world.fault_state import FaultState, StoreMode
from medlarspring_bench.platform_world.fleet_model import FleetModel
from medlarspring_bench.platform_world.history import History
from medlarspring_bench.platform_world.partners import ConfigVersion
from medlarspring_bench.platform_world.plans import (
    STANDBY_POOL,
    WorldPlan,
    add_vms,
    order_wave,
    write_operator_config,
)
from medlarspring_bench.platform_world.processor import ProcessorsByIncarnation
from medlarspring_bench.platform_world.store import SimulatedStore
from medlarspring_bench.platform_world.virtual_time import VirtualEventLoop
from medlarspring_daemon.scheduling.context import SchedulingNode
from medlarspring_daemon.scheduling.service import create_scheduling_service
from medlarspring_platform.operator_records import PlatformCodec
from medlarspring_systems.scheduling.quotas import list_miscounted_partners
from medlarspring_systems.scheduling.waiting import list_unqueued_tasks
from medlarspring_tables import EntryVMId, JobId, PoolId
from medlarspring_tables.scheduling import FleetLimits

if TYPE_CHECKING:
    from collections.abc import Sequence

    from medlarspring_adapters.worker_orders import StartOrder
    from medlarspring_bench.platform_world.virtual_time import VirtualClock
    from medlarspring_bench.platform_world.worker_model import TaskFacts, WorkerModel
    from medlarspring_daemon.scheduling.service import SchedulingService
    from medlarspring_tables import Seconds

LEASE_TICK_SECONDS = 0.05
RUN_TICK_SECONDS = 0.02
WATCH_SECONDS = 0.1
"""Interval of the checks of the controllers' tables."""

_owner: contextvars.ContextVar[int] = contextvars.ContextVar("owner", default=0)


class Node:
    """One process on one entry VM."""

    def __init__(self, name: str, incarnation: int) -> None:
        self.name = name
        self.incarnation = incarnation
        self.service: SchedulingService
        self.health: asyncio.Future[None]
        self.log = io.StringIO()


class World:
    """An emulated installation; everything in it runs in one event loop."""

    def __init__(self, plan: WorldPlan, clock: VirtualClock, seed: int) -> None:
        self.plan = plan
        self.clock = clock
        self.rng = random.Random(seed)
        self.history = History()
        self.fault_state = FaultState(
            random.Random(seed + 1), resets_connections=plan.resets_connections
        )
        self.state = KeyValueState(clock)
        self.facts_by_task: dict[str, TaskFacts] = {}
        self.fleet = FleetModel(
            self.state,
            clock,
            random.Random(seed + 2),
            self.history,
            {PoolId(STANDBY_POOL)},
            self.facts_by_task.get,
            unenforced_pools=frozenset(map(PoolId, plan.unenforced_pools)),
            worker_lease=plan.worker_lease,
            accepts_ticket=self._accepts_ticket,
        )
        plans = {queue.name: queue.advice for queue in plan.queues if queue.advice}
        self._restricted_queues = plans.keys()
        advice_plan = next(iter(plans.values()), AdvicePlan())
        self.adviser = AdviserModel(advice_plan, clock, self.fleet.workers_by_id.get)
        self.nodes_by_name: dict[str, Node] = {}
        self.logs: list[tuple[str, io.StringIO]] = []
        self._tasks_by_owner: dict[int, dict[asyncio.Task[object], None]] = {}
        self.partners_by_name = {each.name: each for each in plan.partners}
        """Partners of the next configuration that is written."""
        self._config_version = 1
        self.processors = ProcessorsByIncarnation(plan.processor, clock, _owner.get)
        self._stores: list[SimulatedStore] = []
        self._background: list[asyncio.Task[None]] = []

    # Lifecycle

    async def start(self) -> None:
        """Write the configuration, boot the VMs and start all nodes."""
        loop = asyncio.get_running_loop()
        loop.set_task_factory(self._create_task)
        if self.plan.processor is not None:
            assert isinstance(loop, VirtualEventLoop)
            loop.delay_timers(self.processors.find_timer_delay)
        self.write_config()
        add_vms(self.plan, self.fleet)
        self._background = [
            asyncio.ensure_future(self._expire_leases()),
            asyncio.ensure_future(self._advance_workers()),
            asyncio.ensure_future(self._watch_tables()),
        ]
        for number in range(self.plan.nodes):
            await self.start_node(f"entry-{number}")

    async def stop(self) -> None:
        """Kill all nodes and stop the platform."""
        for name in list(self.nodes_by_name):
            self.kill_node(name)
        for task in self._background:
            task.cancel()

    def write_config(self, dropped: tuple[str, ...] = ()) -> None:
        """Write a new version of the configuration, as the operator does."""
        self._config_version += 1
        config = write_operator_config(
            self.plan, self._config_version, dropped, self.partners_by_name.values()
        )
        self.state.apply(PutOp(b"op/config", json.dumps(config).encode()))
        if self.plan.partners:
            version = ConfigVersion(self.clock.now(), dict(self.partners_by_name))
            self.history.configs.append(version)

    def order_wave(
        self, number: int, vms: Sequence[str], most: int, seconds: int
    ) -> None:
        """Order maintenance, as the operator does."""
        order_wave(self.state, self.fleet, number, vms, most, seconds)

    def read_wave_state(self, number: int) -> str:
        """Return the reported state of a wave, or an empty string if there is none."""
        reply = self.state.apply(RangeOp(f"status/wave/{number}".encode()))
        assert isinstance(reply, RangeReply)
        if not reply.kvs:
            return ""
        return str(json.loads(reply.kvs[0].value)["state"])

    def forget_history(self) -> None:
        """Compact the store's history and end all watches."""
        self.state.compact(self.state.revision)
        for store in self._stores:
            store.cut_watches()

    def revoke_controller(self) -> None:
        """Delete the controllers' keys from the store."""
        reply = self.state.apply(RangeOp(b"controllers/", b"controllers0"))
        assert isinstance(reply, RangeReply)
        for kv in reply.kvs:
            self.state.apply(DeleteOp(kv.key))

    # Nodes

    async def start_node(self, name: str) -> Node:
        """Start a process; none of that name may be running."""
        incarnation = self.rng.getrandbits(60)
        node = Node(name, incarnation)
        token = _owner.set(incarnation)
        try:
            context = self._create_context(node)
            node.health = asyncio.ensure_future(self._stores[-1].watch_health())
            node.service = create_scheduling_service(context)
            await node.service.start()
        finally:
            _owner.reset(token)
        self.nodes_by_name[name] = node
        self.logs.append((name, node.log))
        return node

    def kill_node(self, name: str) -> None:
        """Kill a process; its pending calls have no effect."""
        node = self.nodes_by_name.pop(name, None)
        if node is None:
            return
        self.fault_state.dead_incarnations.add(node.incarnation)
        for task in list(self._tasks_by_owner.pop(node.incarnation, ())):
            task.cancel()

    async def stop_node(self, name: str) -> None:
        """Stop a process gracefully."""
        node = self.nodes_by_name.pop(name, None)
        if node is None:
            return
        token = _owner.set(node.incarnation)
        try:
            await node.service.stop()
        finally:
            _owner.reset(token)
        self.fault_state.dead_incarnations.add(node.incarnation)
        for task in list(self._tasks_by_owner.pop(node.incarnation, ())):
            task.cancel()

    async def replace_nodes(self, names: Sequence[str], pause: Seconds) -> None:
        """Kill processes, and start new ones of the same names after a pause."""
        for name in names:
            self.kill_node(name)
        await asyncio.sleep(pause)
        for name in names:
            if name not in self.nodes_by_name:
                await self.start_node(name)

    def find_controller(self) -> str | None:
        """Return the first node that considers itself the controller, or None."""
        for name, node in self.nodes_by_name.items():
            if node.service.is_controlling():
                return name
        return None

    def _create_context(self, node: Node) -> SchedulingNode:
        processor = self.processors.create(node.incarnation)
        parts = (
            self.fault_state,
            self.clock,
            node.name,
            node.incarnation,
            processor,
        )
        store = SimulatedStore(self.state, *parts)
        self._stores.append(store)
        return SchedulingNode(
            id=EntryVMId(node.name),
            incarnation=node.incarnation,
            clock=self.clock,
            rng=random.Random(node.incarnation),
            log=create_event_log(EntryVMId(node.name), "INFO", node.log),
            metrics=NoMetrics(),
            store=store,
            store_health=store,
            codec=PlatformCodec(),
            orders=SimulatedOrders(self.fleet, *parts),
            lifecycle=SimulatedLifecycle(self.fleet, *parts),
            limits=FleetLimits(worker_lease=self.plan.worker_lease),
            adviser=self.adviser.create_client() if self._restricted_queues else None,
        )

    def _accepts_ticket(self, worker: WorkerModel, order: StartOrder) -> bool:
        job_id = JobId(order.task_id.partition(".")[0])
        if self.history.queues_by_job.get(job_id) not in self._restricted_queues:
            return True
        return self.adviser.accepts(worker, order)

    def _create_task(self, loop, coroutine, **options):  # type: ignore[no-untyped-def]
        task = asyncio.Task(coroutine, loop=loop, **options)
        context = options.get("context")
        owner = _owner.get() if context is None else context.get(_owner, 0)
        if owner:
            tasks = self._tasks_by_owner.setdefault(owner, {})
            tasks[task] = None
            task.add_done_callback(lambda done: tasks.pop(done, None))
        return task

    # Background tasks of the platform

    async def _expire_leases(self) -> None:
        while True:
            fault_state = self.fault_state
            if (
                fault_state.leases_pause
                and fault_state.store_mode is not StoreMode.WELL
            ):
                for lease in self.state.leases_by_id.values():
                    lease.expires_at += LEASE_TICK_SECONDS
            self.state.expire_leases()
            await asyncio.sleep(LEASE_TICK_SECONDS)

    async def _advance_workers(self) -> None:
        while True:
            now = self.clock.now()
            for worker in list(self.fleet.workers_by_id.values()):
                if worker.alive:
                    worker.advance(now)
            await asyncio.sleep(RUN_TICK_SECONDS)

    async def _watch_tables(self) -> None:
        """Record what is wrong in the controllers' tables or in states of waves."""
        while True:
            now = self.clock.now()
            self._watch_waves(now)
            for node in self.nodes_by_name.values():
                for tables in node.service.list_tables():
                    for task in list_unqueued_tasks(tables):
                        self.history.unqueued_at.setdefault(task.id, now)
                    for partner_id in list_miscounted_partners(tables):
                        self.history.miscounted_at.setdefault(partner_id, now)
            await asyncio.sleep(WATCH_SECONDS)

    def _watch_waves(self, now: Seconds) -> None:
        """Record waves shown as complete while a VM has not begun its maintenance."""
        for wave_id in self.fleet.list_open_waves():
            if self.read_wave_state(int(wave_id)) == "complete":
                self.history.early_waves.setdefault(wave_id, now)


__all__ = ["Node", "World"]
