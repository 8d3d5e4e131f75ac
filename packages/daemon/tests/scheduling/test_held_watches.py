"""A watch that delivers nothing, while renewals pass, must not leave its view old."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from medlarspring_platform.operator_records import PlatformCodec

from .scenarios import run_scenario, submit, wait_for_end

if TYPE_CHECKING:
    from medlarspring_bench.platform_world.customers import Customers
    from medlarspring_bench.platform_world.world import World

SEED = 23
LEAVE_SECONDS = 8.0
"""Time from a worker's drain notice until it ends."""
ROUNDS = 12
ROUND_SECONDS = 0.5
COMPLETION_SECONDS = 10.0
INBOX_PREFIX = "inbox/0/"


def hold_watch(world: World, prefix: str) -> None:
    controller = world.find_controller()
    assert controller is not None
    world.fault_state.held_watches.add((controller, prefix))


@pytest.mark.parametrize("workers", [1, 3])
def test_leaving_workers_get_no_starts_while_the_registry_watch_is_held(workers: int):
    """Guards against starts on workers whose drain notice the controller didn't see."""

    async def scenario(world: World, customers: Customers) -> None:
        hold_watch(world, PlatformCodec.worker_prefix)
        for vm in list(world.fleet.vms_by_id.values())[:workers]:
            world.fleet.drain(vm.id, LEAVE_SECONDS)
        jobs = []
        for _ in range(ROUNDS):
            jobs += await submit(customers, 2)
            await asyncio.sleep(ROUND_SECONDS)
        await wait_for_end(customers, jobs)

    run_scenario(scenario, SEED)


def test_new_workers_get_tasks_while_the_registry_watch_is_held():
    """Guards against jobs that wait beside new workers the controller didn't see."""

    async def scenario(world: World, customers: Customers) -> None:
        hold_watch(world, PlatformCodec.worker_prefix)
        leaving = [
            vm.id for vm in world.fleet.vms_by_id.values() if vm.pool_id == "consent"
        ]
        for number, vm_id in enumerate(leaving):
            resources = world.plan.resources
            world.fleet.add_vm(f"n-{number}", "zone-0", "r9", "consent", resources)
            world.fleet.remove(vm_id)
        await asyncio.sleep(2.0)
        async with asyncio.timeout(COMPLETION_SECONDS):
            await wait_for_end(customers, await submit(customers))

    run_scenario(scenario, SEED)


def test_jobs_run_while_the_inbox_watch_is_held():
    """Guards against accepted jobs that wait for a watch that delivers nothing."""

    async def scenario(world: World, customers: Customers) -> None:
        hold_watch(world, INBOX_PREFIX)
        async with asyncio.timeout(COMPLETION_SECONDS):
            await wait_for_end(customers, await submit(customers))

    run_scenario(scenario, SEED)
