"""How many writes the records of running jobs take."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from medlarspring_bench.platform_world.checks import check_history
from medlarspring_bench.platform_world.customers import Customers
from medlarspring_bench.platform_world.plans import WorldPlan
from medlarspring_bench.platform_world.virtual_time import run_virtual
from medlarspring_bench.platform_world.world import World

if TYPE_CHECKING:
    from medlarspring_bench.key_value_ops import Commit
    from medlarspring_bench.platform_world.virtual_time import VirtualClock

SEED = 21
JOBS = 60
MOST_WRITES_PER_RUN = 1.0


def test_ends_are_recorded_with_the_starts_that_take_their_room():
    """
    Sixty jobs come in a second and keep a pool full, so that each end makes room
    for a start. Written by themselves, ends took a third of the controller's writes;
    nothing but their acknowledgement waits for them.
    """
    writes = 0

    def count(commit: Commit) -> None:
        nonlocal writes
        writes += any(
            change.kv.key.startswith(b"progress/") for change in commit.changes
        )

    async def main(clock: VirtualClock) -> World:
        world = World(WorldPlan(), clock, SEED)
        await world.start()
        await asyncio.sleep(3.0)
        customers = Customers(world, world.rng)
        world.state.listeners.append(count)
        for _ in range(JOBS):
            job_id, spec = customers.create_batch()
            customers.send("lookup", job_id, spec)
            await asyncio.sleep(1.0 / JOBS)
        await asyncio.sleep(30.0)
        await world.stop()
        return world

    world = run_virtual(main)
    assert check_history(world.history) == []
    runs = len(world.history.runs)
    assert runs > 5 * JOBS
    assert writes < MOST_WRITES_PER_RUN * runs
