"""Faults of the emulated platform; each driver defines the faults of entry VMs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from medlarspring_bench.platform_world.fault_state import StoreMode
from medlarspring_bench.platform_world.worker_model import WorkerBehavior
from medlarspring_tables.scheduling import Resources

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from medlarspring_bench.platform_world.customers import Customers
    from medlarspring_bench.platform_world.fault_state import FaultState
    from medlarspring_bench.platform_world.fleet_model import FleetModel
    from medlarspring_tables import VMId

MIN_VMS = 8
"""Minimum number of VMs that remain."""
CRASH_SECONDS = 0.01
"""Time from the start of a crashing task to the crash of its worker."""
LATE_CRASH_SECONDS = (0.5, 2.5)
"""Range of that time for tasks that crash their workers late."""
FLAPPING_VMS = 3
FLAPS = 8
FLAP_DOWN_SECONDS = 0.6
FLAP_UP_SECONDS = (1.2, 3.0)


class FaultTarget(Protocol):
    """The platform into which faults are injected."""

    @property
    def fault_state(self) -> FaultState:
        """The faults that are currently active."""
        ...

    @property
    def fleet(self) -> FleetModel:
        """The VMs and workers."""
        ...

    def order_wave(
        self, number: int, vms: Sequence[str], most: int, seconds: int
    ) -> None:
        """Order a maintenance wave."""
        ...

    def forget_history(self) -> None:
        """Compact the store's history and end all watches."""
        ...


class FaultContext(Protocol):
    """What a fault needs from the scenario in which it is injected."""

    @property
    def world(self) -> FaultTarget:
        """The platform."""
        ...

    @property
    def rng(self) -> random.Random:
        """Source of all random choices."""
        ...

    @property
    def customers(self) -> Customers:
        """The customers who submit jobs."""
        ...

    def choose_vm(self) -> VMId:
        """Return a randomly chosen VM."""
        ...


async def take_store_down(context: FaultContext) -> None:
    """Make the store unavailable to all nodes for a while."""
    mode = context.rng.choice((StoreMode.BUSY, StoreMode.SILENT))
    context.world.fault_state.store_mode = mode
    await asyncio.sleep(context.rng.uniform(1.0, 5.0))
    context.world.fault_state.store_mode = StoreMode.WELL


async def pause_store(context: FaultContext) -> None:
    """Make the store unavailable to all nodes; its leases don't expire meanwhile."""
    context.world.fault_state.leases_pause = True
    await take_store_down(context)
    context.world.fault_state.leases_pause = False


async def slow_store(context: FaultContext) -> None:
    """Make the store respond slowly for a while."""
    context.world.fault_state.store_seconds = 0.2
    await asyncio.sleep(context.rng.uniform(1.0, 5.0))
    context.world.fault_state.store_seconds = 0.004


async def lose_replies(context: FaultContext) -> None:
    """Lose the replies to some writes, and apply some of these writes late."""
    context.world.fault_state.lost_replies = 0.35
    context.world.fault_state.late_writes = context.rng.choice((0.0, 0.5))
    await asyncio.sleep(context.rng.uniform(1.0, 5.0))
    context.world.fault_state.lost_replies = 0.0


async def forget_history(context: FaultContext) -> None:
    """Compact the store's history, which ends all watches."""
    context.world.forget_history()


async def crash_worker(context: FaultContext) -> None:
    """Crash a worker; its VM boots again later."""
    context.world.fleet.crash(context.choose_vm(), context.rng.uniform(1.0, 6.0))


async def restart_worker(context: FaultContext) -> None:
    """Restart a worker under its id, either unnoticed by listings or after a delay."""
    seconds = context.rng.choice((0.0, context.rng.uniform(0.2, 3.0)))
    context.world.fleet.restart(context.choose_vm(), seconds)


async def restart_pool(context: FaultContext) -> None:
    """Restart all workers of a pool under their ids."""
    fleet = context.world.fleet
    pool_id = fleet.vms_by_id[context.choose_vm()].pool_id
    seconds = context.rng.choice((0.0, context.rng.uniform(0.2, 3.0)))
    for vm in list(fleet.vms_by_id.values()):
        if vm.pool_id == pool_id:
            fleet.restart(vm.id, seconds)


async def drain_worker(context: FaultContext) -> None:
    """Drain a worker and end it some seconds later."""
    context.world.fleet.drain(context.choose_vm(), context.rng.uniform(2.0, 6.0))


async def resize_worker(context: FaultContext) -> None:
    """Reduce a worker's resources for a while, then restore them."""
    vm = context.world.fleet.vms_by_id[context.choose_vm()]
    part = context.rng.uniform(0.1, 0.7)
    smaller = Resources(
        round(vm.resources.cpu_millis * part), round(vm.resources.memory_mb * part)
    )
    context.world.fleet.resize(vm.id, smaller)
    await asyncio.sleep(context.rng.uniform(2.0, 8.0))
    if vm.id in context.world.fleet.vms_by_id:
        context.world.fleet.resize(vm.id, vm.resources)


async def spoil_worker(context: FaultContext) -> None:
    """Make a worker fail or hang all its tasks for a while."""
    vm = context.world.fleet.vms_by_id[context.choose_vm()]
    worker = vm.worker
    if worker is None:
        return
    worker.behavior = context.rng.choice(
        (WorkerBehavior.FAILING, WorkerBehavior.HANGING)
    )
    await asyncio.sleep(context.rng.uniform(2.0, 6.0))
    worker.behavior = WorkerBehavior.SOUND


async def order_wave(context: FaultContext) -> None:
    """Order maintenance of about half of the VMs."""
    vms = [vm for vm in context.world.fleet.vms_by_id if context.rng.random() < 0.5]  # noqa: PLR2004
    if vms:
        number = len(context.world.fleet.waves) + 1
        context.world.order_wave(number, vms, context.rng.randint(1, 4), 25)


async def flap_workers(context: FaultContext) -> None:
    """Make a few VMs go down and up repeatedly."""
    vms = [context.choose_vm() for _ in range(FLAPPING_VMS)]
    up_seconds = context.rng.uniform(*FLAP_UP_SECONDS)
    for _ in range(FLAPS):
        for vm_id in vms:
            if vm_id in context.world.fleet.vms_by_id:
                context.world.fleet.crash(vm_id, FLAP_DOWN_SECONDS)
            await asyncio.sleep(context.rng.uniform(0.0, 0.3))
        await asyncio.sleep(up_seconds)


async def remove_worker(context: FaultContext) -> None:
    """Remove a VM permanently, without notice."""
    if len(context.world.fleet.vms_by_id) > MIN_VMS:
        context.world.fleet.remove(context.choose_vm())


async def send_crashing_job(context: FaultContext) -> None:
    """Submit a job with one task that crashes each worker that starts it."""
    queue = context.rng.choice(("lookup", "check"))
    context.customers.send(queue, *context.customers.create_crashing(CRASH_SECONDS))


async def send_late_crashing_job(context: FaultContext) -> None:
    """Submit a job with one task that crashes each worker some time after starting."""
    queue = context.rng.choice(("lookup", "check"))
    after = context.rng.uniform(*LATE_CRASH_SECONDS)
    context.customers.send(queue, *context.customers.create_crashing(after))


__all__ = [
    "CRASH_SECONDS",
    "MIN_VMS",
    "FaultContext",
    "FaultTarget",
    "crash_worker",
    "drain_worker",
    "flap_workers",
    "forget_history",
    "lose_replies",
    "order_wave",
    "pause_store",
    "remove_worker",
    "resize_worker",
    "restart_pool",
    "restart_worker",
    "send_crashing_job",
    "send_late_crashing_job",
    "slow_store",
    "spoil_worker",
    "take_store_down",
]
