"""Workers that start again under the ids that they had."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from .stories import play, submit, wait_for_end

if TYPE_CHECKING:
    from medlarspring_bench.platform_world.customers import Customers
    from medlarspring_bench.platform_world.world import World

SEED = 5
AWAY_SECONDS = 2.0
REGISTERED_SECONDS = 1.0
"""A worker that is up is in the registry and called by the controller by then."""
WORKER_LEASE_SECONDS = 9.5
"""How long the tasks of a worker that is only silent are waited for."""


def restart_all(world: World, seconds: float) -> None:
    for vm_id in list(world.fleet.vms_by_id):
        world.fleet.restart(vm_id, seconds)


@pytest.mark.parametrize("seconds", [0.0, AWAY_SECONDS], ids=["unseen", "away"])
def test_pool_runs_jobs_after_all_its_workers_restarted(seconds: float):
    """
    Two accepted jobs waited to the end of a day with most of their pool's room free.
    By then 50 workers had started again under their ids, and of the runs that the
    workers' side showed, 28 were on them before that and none after it.
    """

    async def scenario(world: World, customers: Customers) -> None:
        for _ in range(3):
            restart_all(world, seconds)
            await asyncio.sleep(seconds + REGISTERED_SECONDS)
        await wait_for_end(customers, await submit(customers))

    play(scenario, SEED)


def test_ends_after_unnoticed_restart_are_recorded():
    """
    A worker starts again so quickly that no list shows it away. It counts its ends
    from 1 again; taken for ends known long ago they were passed over and
    acknowledged, and tasks that were done ran a second time.
    """

    async def scenario(world: World, customers: Customers) -> None:
        await wait_for_end(customers, await submit(customers))
        restart_all(world, 0.0)
        await wait_for_end(customers, await submit(customers))

    play(scenario, SEED)


def test_tasks_of_an_ended_incarnation_rerun_at_once():
    """
    Workers start again while they run tasks, and hold and know nothing of them.
    Their tasks go elsewhere or there again, without waiting for a lease to end.
    """

    async def scenario(world: World, customers: Customers) -> None:
        jobs = await submit(customers)
        await asyncio.sleep(0.3)
        restart_all(world, 0.0)
        async with asyncio.timeout(WORKER_LEASE_SECONDS):
            await wait_for_end(customers, jobs)

    play(scenario, SEED)


@pytest.mark.parametrize("seconds", [0.0, AWAY_SECONDS], ids=["unseen", "away"])
def test_restarted_worker_refuses_former_unanswered_orders(seconds: float):
    """
    A start gets no answer; a stop settles it, and the task runs elsewhere. Then the
    worker starts again and knows nothing of that stop. An order that is carried out
    seconds late would run the task a second time, so the next life is told too.
    """

    async def scenario(world: World, customers: Customers) -> None:
        world.weather.lost_orders = 1.0
        jobs = await submit(customers, 2)
        await asyncio.sleep(0.3)
        world.weather.lost_orders = 0.0
        await asyncio.sleep(1.0)
        settled = {
            (worker.id, task_id)
            for worker in world.fleet.workers_by_id.values()
            for task_id in worker.refused_up_to
        }
        assert settled
        restart_all(world, seconds)
        await asyncio.sleep(seconds + REGISTERED_SECONDS)
        for worker_id, task_id in settled:
            worker = world.fleet.workers_by_id[worker_id]
            assert task_id in worker.refused_up_to
        await wait_for_end(customers, jobs)

    play(scenario, SEED)
