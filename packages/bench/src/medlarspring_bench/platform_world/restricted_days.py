"""Drawn days of restricted queues: policies, and troubles of the adviser and nodes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from medlarspring_bench.platform_world.adviser_model import AdvicePlan
from medlarspring_bench.platform_world.checks import check_history
from medlarspring_bench.platform_world.customers import Customers
from medlarspring_bench.platform_world.plans import QueuePlan, WorldPlan
from medlarspring_bench.platform_world.virtual_time import run_virtual
from medlarspring_bench.platform_world.world import World

if TYPE_CHECKING:
    from medlarspring_bench.platform_world.virtual_time import VirtualClock
    from medlarspring_tables import JobId

PLAN = WorldPlan(
    pools=("consent",),
    vms_per_pool=8,
    standby_vms=0,
    queues=(
        QueuePlan("hinted", "consent", priority=1, advice=AdvicePlan()),
        QueuePlan("first", "consent", stretch=100.0, advice=AdvicePlan()),
        QueuePlan("lookup", "consent"),
    ),
)
QUEUES = ("hinted", "hinted", "first", "lookup")
STARTUP_SECONDS = 3.0
JOBS = 30
TROUBLES = 4
LASTING_RATIO = 0.1
"""Fraction of the jobs that run until the end of the day."""
POLICY_RATIO = 0.6
"""Fraction of the jobs of restricted queues that only some VMs may run."""
SETTLING_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class RestrictedDay:
    """What was wrong at the end of a day."""

    broken: list[str]
    """Promises that the history breaks."""
    waiting: list[JobId]
    """Jobs that are not complete, or have no task at work if they last."""


def play_restricted_day(seed: int) -> RestrictedDay:
    """Play a day under virtual time."""

    async def main(clock: VirtualClock) -> RestrictedDay:
        world = World(PLAN, clock, seed)
        await world.start()
        await asyncio.sleep(STARTUP_SECONDS)
        customers = Customers(world, world.rng)
        troubles = asyncio.ensure_future(_trouble(world))
        jobs = await _submit_jobs(world, customers)
        await troubles
        await asyncio.sleep(SETTLING_SECONDS)
        waiting = [job for job in jobs if not await _has_run(world, customers, job)]
        await world.stop()
        broken = [str(each) for each in check_history(world.history)]
        return RestrictedDay(broken, waiting)

    return run_virtual(main)


async def _submit_jobs(world: World, customers: Customers) -> list[JobId]:
    rng, vm_ids = world.rng, PLAN.list_vm_ids()
    accepted: list[JobId] = []
    for _ in range(JOBS):
        await asyncio.sleep(rng.uniform(0.1, 1.5))
        queue = rng.choice(QUEUES)
        if rng.random() < LASTING_RATIO:
            job_id, spec = customers.create_long_running(count=1)
        else:
            job_id, spec = customers.create_batch()
        if queue != "lookup" and rng.random() < POLICY_RATIO:
            allowed = set(rng.sample(vm_ids, rng.randint(2, 6)))
            world.adviser.allowed_by_job[job_id] = allowed
        if await customers.submit(queue, job_id, spec):
            accepted.append(job_id)
    return accepted


async def _trouble(world: World) -> None:
    for _ in range(TROUBLES):
        await asyncio.sleep(world.rng.uniform(2.0, 6.0))
        await world.rng.choice((_kill_controller, _slow_adviser, _fail_adviser))(world)


async def _kill_controller(world: World) -> None:
    name = world.find_controller()
    if name is not None:
        await world.replace_nodes([name], 1.0)


async def _slow_adviser(world: World) -> None:
    world.adviser.slowness = world.rng.choice((2.0, 5.0))
    await asyncio.sleep(4.0)
    world.adviser.slowness = 1.0


async def _fail_adviser(world: World) -> None:
    world.adviser.is_down = True
    await asyncio.sleep(3.0)
    world.adviser.is_down = False


async def _has_run(world: World, customers: Customers, job_id: JobId) -> bool:
    """Return whether a job is complete, or at work if it lasts."""
    (first, *_) = world.history.specs_by_id[job_id].steps
    if not first.long_running:
        return await customers.ask(job_id) == "complete"
    return any(
        run.task_id.startswith(job_id) and run.end is None for run in world.history.runs
    )


__all__ = ["RestrictedDay", "play_restricted_day"]
