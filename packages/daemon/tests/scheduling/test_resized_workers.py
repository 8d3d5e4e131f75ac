"""Tests of workers whose resources shrink and grow while they run."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from medlarspring_bench.platform_world.plans import WorldPlan
from medlarspring_tables.scheduling import Resources

from .scenarios import run_scenario, submit, wait_for_end

if TYPE_CHECKING:
    from medlarspring_bench.platform_world.customers import Customers
    from medlarspring_bench.platform_world.world import World

SEED = 5
SLOW_STORE_SECONDS = 0.2
UNGUARDED = WorldPlan(unenforced_pools=WorldPlan().pools)
TINY = Resources(100, 100, 0)


def resize_all(world: World, resources: Resources) -> None:
    for vm_id in list(world.fleet.vms_by_id):
        world.fleet.resize(vm_id, resources)


def test_planned_start_is_not_ordered_after_resources_shrank():
    """Guards against starts on a worker that shrank while the intent was recorded."""

    async def scenario(world: World, customers: Customers) -> None:
        world.fault_state.store_seconds = SLOW_STORE_SECONDS
        jobs = await submit(customers, 1)
        while not any(
            run
            for node in world.nodes_by_name.values()
            for tables in node.service.list_tables()
            for job in tables.jobs_by_id.values()
            for run in job.runs
        ):
            await asyncio.sleep(0.01)
        resize_all(world, TINY)
        world.fault_state.store_seconds = 0.004
        await asyncio.sleep(3.0)
        assert world.history.runs == []
        resize_all(world, world.plan.resources)
        await wait_for_end(customers, jobs)

    run_scenario(scenario, SEED, plan=UNGUARDED)


def test_waiting_tasks_start_once_resources_grow_again():
    """Guards against tasks that keep waiting after a worker's resources have grown."""

    async def scenario(world: World, customers: Customers) -> None:
        resize_all(world, TINY)
        await asyncio.sleep(0.5)
        jobs = await submit(customers, 4)
        await asyncio.sleep(2.0)
        assert world.history.runs == []
        resize_all(world, world.plan.resources)
        async with asyncio.timeout(0.5):
            while not world.history.runs:
                await asyncio.sleep(0.01)
        await wait_for_end(customers, jobs)

    run_scenario(scenario, SEED, plan=UNGUARDED)


def test_takeover_logs_no_resized_workers():
    """Guards against a resize logged for workers that were known from records only."""

    async def scenario(world: World, customers: Customers) -> None:
        jobs = await submit(customers, 8)
        controller = world.find_controller()
        assert controller is not None
        world.kill_node(controller)
        await wait_for_end(customers, jobs)
        assert not any("worker_resized" in log.getvalue() for _, log in world.logs)

    run_scenario(scenario, SEED)
