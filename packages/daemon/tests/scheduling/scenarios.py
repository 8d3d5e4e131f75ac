"""Helpers to run test scenarios in an emulated installation."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

from medlarspring_bench.platform_world.checks import check_history
from medlarspring_bench.platform_world.customers import Customers
from medlarspring_bench.platform_world.plans import WorldPlan
from medlarspring_bench.platform_world.virtual_time import run_virtual
from medlarspring_bench.platform_world.world import World

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from medlarspring_adapters.events import Event
    from medlarspring_bench.platform_world.virtual_time import VirtualClock
    from medlarspring_tables import JobId

STARTUP_SECONDS = 3.0
COMPLETION_TIMEOUT_SECONDS = 60.0


def run_scenario(
    scenario: Callable[[World, Customers], Awaitable[None]],
    seed: int,
    *,
    checked: bool = True,
    plan: WorldPlan | None = None,
) -> World:
    """Run a scenario in an installation after its start-up.

    All checks of the history must pass, unless ``checked`` is false because the
    scenario itself injects data that violates one.
    """

    async def main(clock: VirtualClock) -> World:
        world = World(plan or WorldPlan(), clock, seed)
        await world.start()
        await asyncio.sleep(STARTUP_SECONDS)
        await scenario(world, Customers(world, world.rng))
        await world.stop()
        return world

    world = run_virtual(main)
    assert not checked or check_history(world.history) == []
    return world


async def submit(customers: Customers, count: int = 8) -> list[JobId]:
    """Submit jobs to one queue and assert that all are accepted."""
    jobs = []
    for _ in range(count):
        job_id, spec = customers.create_batch()
        assert await customers.submit("lookup", job_id, spec)
        jobs.append(job_id)
    return jobs


async def wait_for_end(customers: Customers, jobs: list[JobId]) -> None:
    """Wait until every job is reported as complete."""
    async with asyncio.timeout(COMPLETION_TIMEOUT_SECONDS):
        for job_id in jobs:
            while await customers.ask(job_id) != "complete":
                await asyncio.sleep(0.2)


def list_events(world: World, event: Event) -> list[dict[str, Any]]:
    """Return all lines of an event from the logs of all processes."""
    lines = (
        json.loads(line)
        for _, log in world.logs
        for line in log.getvalue().splitlines()
    )
    return [line for line in lines if line["event"] == event.number]
