"""Tests of workers that restart under the same id."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from .scenarios import run_scenario, submit, wait_for_end

if TYPE_CHECKING:
    from medlarspring_bench.platform_world.customers import Customers
    from medlarspring_bench.platform_world.world import World

SEED = 5
AWAY_SECONDS = 2.0
REGISTERED_SECONDS = 1.0
"""A worker that is up is registered and called by the controller by then."""
WORKER_LEASE_SECONDS = 9.5
"""How long the controller waits for the tasks of an unresponsive worker."""


def restart_all(world: World, seconds: float) -> None:
    for vm_id in list(world.fleet.vms_by_id):
        world.fleet.restart(vm_id, seconds)


@pytest.mark.parametrize("seconds", [0.0, AWAY_SECONDS], ids=["unseen", "away"])
def test_pool_runs_jobs_after_all_its_workers_restarted(seconds: float):
    """
    Guards against restarted workers that get no more tasks.

    In a day's run, two accepted jobs waited to its end while most of their pool's
    resources were free: 50 workers had restarted under their ids, and none of them
    got a run after that, against 28 before.
    """

    async def scenario(world: World, customers: Customers) -> None:
        for _ in range(3):
            restart_all(world, seconds)
            await asyncio.sleep(seconds + REGISTERED_SECONDS)
        await wait_for_end(customers, await submit(customers))

    run_scenario(scenario, SEED)


def test_ends_after_unnoticed_restart_are_recorded():
    """
    Guards against ends that are lost when a worker restarts unnoticed by any listing.

    The worker numbers its ends from 1 again. The controller took them for ends that it
    knew, skipped and acknowledged them, and completed tasks ran a second time.
    """

    async def scenario(world: World, customers: Customers) -> None:
        await wait_for_end(customers, await submit(customers))
        restart_all(world, 0.0)
        await wait_for_end(customers, await submit(customers))

    run_scenario(scenario, SEED)


def test_tasks_of_an_ended_incarnation_rerun_at_once():
    """
    Guards against waiting for a lease to expire after workers restart while they run
    tasks. The new incarnations know nothing of those, so they must run again at once.
    """

    async def scenario(world: World, customers: Customers) -> None:
        jobs = await submit(customers)
        await asyncio.sleep(0.3)
        restart_all(world, 0.0)
        async with asyncio.timeout(WORKER_LEASE_SECONDS):
            await wait_for_end(customers, jobs)

    run_scenario(scenario, SEED)


@pytest.mark.parametrize("seconds", [0.0, AWAY_SECONDS], ids=["unseen", "away"])
def test_restarted_worker_refuses_former_unanswered_orders(seconds: float):
    """
    Guards against a late start order that a restarted worker executes.

    A start gets no answer, a stop makes the worker refuse it, and the task runs
    elsewhere. After a restart the worker does not know of the stop, and the start
    order, arriving seconds late, would run the task a second time. The stop must
    therefore be sent to the new incarnation too.
    """

    async def scenario(world: World, customers: Customers) -> None:
        world.fault_state.lost_orders = 1.0
        jobs = await submit(customers, 2)
        await asyncio.sleep(0.3)
        world.fault_state.lost_orders = 0.0
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

    run_scenario(scenario, SEED)
