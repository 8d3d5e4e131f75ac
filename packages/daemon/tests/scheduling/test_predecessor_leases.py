"""Leases that a former controller granted, as its successor counts them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from medlarspring_bench.key_value_ops import RangeOp, RangeReply
from medlarspring_bench.platform_world.fault_state import StoreMode
from medlarspring_bench.platform_world.plans import QueuePlan, WorldPlan
from medlarspring_tables.scheduling import StepSpec

from .scenarios import run_scenario

if TYPE_CHECKING:
    from medlarspring_bench.platform_world.customers import Customers
    from medlarspring_bench.platform_world.worker_model import WorkerModel
    from medlarspring_bench.platform_world.world import World
    from medlarspring_tables import Seconds

SEEDS = range(3)
PLAN = WorldPlan(
    pools=("consent",),
    vms_per_pool=3,
    standby_vms=0,
    queues=(QueuePlan("lookup", "consent"),),
    worker_lease=6.0,
)
SLOW_CLOCK_RATE = 0.981
"""Rate of a worker's clock, which may be 2% slow."""
IDLE_SECONDS = 40.0
LONG_IDLE_SECONDS = 300.0
TASK_SECONDS = 9.0
LEASES_OVER_SECONDS = 12.0


async def submit_long_job(world: World, customers: Customers) -> None:
    """Submit a job of tasks that outlast a lease."""
    step = StepSpec(count=3, cpu_millis=2_000, memory_mb=256, estimate_ms=9_000)
    job_id, spec = customers.create_job(step)
    for number in range(step.count):
        world.facts_by_task[f"{job_id}.0.0.{number}"].seconds = TASK_SECONDS
    assert await customers.submit("lookup", job_id, spec)


def find_controller(world: World) -> str:
    controller = world.find_controller()
    assert controller is not None
    return controller


def cut(world: World, worker: WorkerModel, nodes: list[str]) -> None:
    world.fault_state.cut_links |= {(name, worker.vm_id) for name in nodes}


def slow_clocks_down(world: World) -> None:
    for worker in world.fleet.workers_by_id.values():
        worker.clock_rate = SLOW_CLOCK_RATE


def list_recorded_workers(world: World) -> list[WorkerModel]:
    """Return the workers that the records of the jobs' progress name."""
    reply = world.state.apply(RangeOp(b"progress/", b"progress0"))
    assert isinstance(reply, RangeReply)
    records = b"".join(kv.value for kv in reply.kvs).decode()
    workers = world.fleet.workers_by_id.values()
    return [each for each in workers if f'"{each.id}"' in records]


def list_busy_workers(world: World) -> list[WorkerModel]:
    return [each for each in world.fleet.workers_by_id.values() if each.runs]


@pytest.mark.parametrize("stall", [0.0, 1.1], ids=["at once", "after a stalled watch"])
def test_lease_extended_after_the_takeover_is_waited_for(stall: Seconds):
    """
    A controller's key is deleted and the store does not answer it. Until its own time
    is over it extends the leases of workers that only it reaches. With a watch that
    delivers nothing it first goes on renewing a lease whose key is gone.
    """

    async def scenario(world: World, customers: Customers) -> None:
        await submit_long_job(world, customers)
        await asyncio.sleep(0.3)
        controller = find_controller(world)
        others = [name for name in world.nodes_by_name if name != controller]
        for worker in list_busy_workers(world):
            cut(world, worker, others)
        world.fault_state.stalled_watches.add(controller)
        world.revoke_controller()
        await asyncio.sleep(stall)
        world.fault_state.store_modes_by_node[controller] = StoreMode.SILENT
        await asyncio.sleep(LEASES_OVER_SECONDS)

    for seed in SEEDS:
        run_scenario(scenario, seed, plan=PLAN)


def test_lease_of_a_worker_that_the_successor_reached_once_is_waited_for():
    """
    A controller has not called an idle worker for a while, so that its estimate of the
    worker's clock is ahead. A start gets no answer, and the next call extends the lease
    by more than was planned, up to the maximum. The controller hands over, and its
    successor reaches the worker once before it falls silent.
    """

    async def scenario(world: World, customers: Customers) -> None:
        slow_clocks_down(world)
        await asyncio.sleep(IDLE_SECONDS)
        world.fault_state.lost_orders = 1.0
        world.fault_state.late_order_seconds = (0.01, 0.05)
        await submit_long_job(world, customers)
        await asyncio.sleep(0.1)
        world.fault_state.lost_orders = 0.0
        await asyncio.sleep(0.35)
        controller = find_controller(world)
        await world.stop_node(controller)
        while world.find_controller() in (None, controller):
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.05)
        for worker in list_busy_workers(world):
            cut(world, worker, list(world.nodes_by_name))
        await asyncio.sleep(LEASES_OVER_SECONDS)

    for seed in SEEDS:
        run_scenario(scenario, seed, plan=PLAN)


def test_late_start_on_a_worker_that_was_long_idle_is_refused():
    """
    A controller has not called an idle worker for minutes, so that its estimate of the
    worker's clock is seconds ahead, and a start is valid for as much longer. It is
    carried out late, after the successor has counted the worker's lease as over.
    """

    async def scenario(world: World, customers: Customers) -> None:
        slow_clocks_down(world)
        await asyncio.sleep(LONG_IDLE_SECONDS)
        world.fault_state.lost_orders = 1.0
        world.fault_state.late_order_seconds = (6.4, 6.6)
        await submit_long_job(world, customers)
        await asyncio.sleep(0.05)
        controller = find_controller(world)
        world.kill_node(controller)
        world.revoke_controller()
        world.fault_state.lost_orders = 0.0
        for worker in list_recorded_workers(world):
            cut(world, worker, list(world.nodes_by_name))
        await asyncio.sleep(LEASES_OVER_SECONDS)

    for seed in SEEDS:
        run_scenario(scenario, seed, plan=PLAN)
