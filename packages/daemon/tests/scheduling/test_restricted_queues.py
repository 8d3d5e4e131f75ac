"""Tests that each step of a restricted queue gets its turn at the adviser."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from msgspec.structs import replace

from medlarspring_bench.platform_world.restricted_days import PLAN
from medlarspring_daemon.scheduling.advice_fetcher import choose_idle_pause
from medlarspring_tables.scheduling import StepSpec

from .scenarios import run_scenario

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from medlarspring_bench.platform_world.adviser_model import AdviserModel
    from medlarspring_bench.platform_world.customers import Customers
    from medlarspring_bench.platform_world.world import World
    from medlarspring_tables import JobId, Seconds, VMId

SEED = 68
FULL_VM = "m-000"
WAITING_JOBS = 14
"""Asking about all of them takes longer than a ticket is valid, also with few VMs."""
FIRST_CALLS_SECONDS = 12.0
"""Time in which the adviser is asked about each of them once."""
URGENT_START_SECONDS = 2.0
"""Time in which urgent work starts, according to the target."""
WAVE_SECONDS = 25
STARVED_SECONDS = 3.0
"""Time beside free room after which a job counts as lost."""
LASTING = StepSpec(
    count=1,
    cpu_millis=10_000,
    memory_mb=64,
    estimate_ms=500,
    long_running=True,
    max_unavailable=1,
)
LARGE = StepSpec(count=1, cpu_millis=8_000, memory_mb=64, estimate_ms=500)
SMALL_LASTING = replace(LASTING, cpu_millis=1_000)
SMALL = StepSpec(count=2, cpu_millis=500, memory_mb=64, estimate_ms=500)


async def submit_restricted(
    world: World,
    customers: Customers,
    step: StepSpec,
    vm_ids: set[str] | None = None,
    queue: str = "hinted",
) -> JobId:
    """Submit a job of one step that only some VMs may run."""
    job_id, spec = customers.create_job(step)
    if vm_ids is not None:
        world.adviser.allowed_by_job[job_id] = vm_ids
    assert await customers.submit(queue, job_id, spec)
    return job_id


async def measure_start(world: World, job_id: JobId, longest: Seconds) -> Seconds:
    """Return the time until a job's first start; infinite if it takes ``longest``."""
    began_at = world.clock.now()
    while world.clock.now() < began_at + longest:
        if any(run.task_id.startswith(job_id) for run in world.history.runs):
            return world.clock.now() - began_at
        await asyncio.sleep(0.02)
    return float("inf")


@pytest.mark.parametrize(
    ("queue", "waiting"),
    [("hinted", LASTING), ("first", LARGE)],
    ids=["lasting tasks", "tasks of a queue with a higher priority"],
)
def test_steps_that_wait_for_room_do_not_keep_others_from_their_turn(
    queue: str, waiting: StepSpec
):
    """Guards against jobs that never begin, as the adviser is asked about others only.

    The adviser allows the waiting jobs one VM, which has no room for them.
    """

    async def scenario(world: World, customers: Customers) -> None:
        await submit_restricted(world, customers, LASTING, {FULL_VM})
        await asyncio.sleep(1.0)
        for _ in range(WAITING_JOBS):
            await submit_restricted(world, customers, waiting, {FULL_VM}, queue)
        await asyncio.sleep(FIRST_CALLS_SECONDS)
        small = await submit_restricted(world, customers, SMALL)
        assert await measure_start(world, small, 20.0) < URGENT_START_SECONDS

    run_scenario(scenario, SEED, plan=PLAN)


def refuse_calls(adviser: AdviserModel, job_ids: Collection[str]) -> None:
    adviser.refused_jobs.update(job_ids)


def leave_calls_open(adviser: AdviserModel, job_ids: Collection[str]) -> None:
    adviser.hanging_jobs.update(job_ids)


@pytest.mark.parametrize(
    ("disturb", "jobs"),
    [(refuse_calls, 16), (leave_calls_open, 2), (leave_calls_open, 6)],
    ids=["failing calls", "two open calls", "six open calls"],
)
def test_calls_without_answer_do_not_keep_others_from_their_turn(
    disturb: Callable[[AdviserModel, Collection[str]], None], jobs: int
):
    """Guards against jobs that wait while calls about others fail, or stay open."""

    async def scenario(world: World, customers: Customers) -> None:
        created = [customers.create_job(SMALL_LASTING) for _ in range(jobs)]
        disturb(world.adviser, [job_id for job_id, _ in created])
        for job_id, spec in created:
            assert await customers.submit("hinted", job_id, spec)
        await asyncio.sleep(FIRST_CALLS_SECONDS + 1.5)
        small = await submit_restricted(world, customers, SMALL)
        assert await measure_start(world, small, 20.0) < STARVED_SECONDS
        world.adviser.refused_jobs.clear()
        world.adviser.hanging_jobs.clear()
        waits = [measure_start(world, job_id, 20.0) for job_id, _ in created]
        assert max(await asyncio.gather(*waits)) < float("inf")

    run_scenario(scenario, SEED, plan=PLAN)


@pytest.mark.parametrize("slowness", [3.0, 7.0, 12.0])
def test_slow_adviser_still_gets_jobs_started(slowness: float):
    """Guards against jobs that never begin as all advice is stale or comes too late.

    At 7 times the usual time, each ticket has expired when it comes if its validity
    is counted from the call. At 12, no call about all workers is answered in time.
    """

    async def scenario(world: World, customers: Customers) -> None:
        world.adviser.slowness = slowness
        jobs = [await submit_restricted(world, customers, SMALL) for _ in range(4)]
        waits = [measure_start(world, job_id, 60.0) for job_id in jobs]
        assert max(await asyncio.gather(*waits)) < float("inf")

    run_scenario(scenario, SEED, plan=PLAN)


def test_jobs_start_once_the_adviser_answers_again():
    """Guards against pauses that grow with an outage and last beyond its end."""

    async def scenario(world: World, customers: Customers) -> None:
        world.adviser.is_down = True
        jobs = [await submit_restricted(world, customers, SMALL) for _ in range(3)]
        await asyncio.sleep(30.0)
        world.adviser.is_down = False
        waits = [measure_start(world, job_id, 20.0) for job_id in jobs]
        assert max(await asyncio.gather(*waits)) < STARVED_SECONDS

    run_scenario(scenario, SEED, plan=PLAN)


async def find_vm(world: World, job_id: JobId) -> VMId:
    """Return the VM on which a job's only task is at work."""
    (run,) = [
        run
        for run in world.history.runs
        if run.task_id.startswith(job_id) and run.ended_at is None
    ]
    return world.fleet.workers_by_id[run.worker_id].vm_id


@pytest.mark.parametrize("allowed", [None, {"m-002", "m-003"}], ids=["all", "two"])
def test_wave_moves_lasting_tasks_of_restricted_queues(allowed: set[str] | None):
    """Guards against waves that never end, as no advice is requested for tasks at work.

    A task may only move to a worker for which it has a ticket.
    """

    async def scenario(world: World, customers: Customers) -> None:
        job_id = await submit_restricted(world, customers, SMALL_LASTING, allowed)
        await asyncio.sleep(4.0)
        vm_id = await find_vm(world, job_id)
        world.order_wave(1, [vm_id], 1, WAVE_SECONDS)
        await asyncio.sleep(WAVE_SECONDS)
        assert world.read_wave_state(1) == "complete"
        assert await find_vm(world, job_id) != vm_id

    run_scenario(scenario, SEED, plan=PLAN)


@pytest.mark.parametrize(
    ("jobs", "pause"), [(0, 0.02), (100, 0.04), (1_000, 0.22), (100_000, 0.3)]
)
def test_idle_pause_grows_with_the_jobs_to_look_at(jobs: int, pause: float):
    """Guards against a controller that spends its processor time on looking for work.

    With a fixed pause of 20 ms, 1,000 waiting jobs took 16 of each 36 ms.
    """
    assert choose_idle_pause(jobs) == pytest.approx(pause)
