"""Tests of tasks that crash their workers, and of other tasks during crashes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from medlarspring_bench.platform_world import fleet_model
from medlarspring_bench.platform_world.faults import CRASH_SECONDS
from medlarspring_tables.scheduling import JobSpec, StepSpec

from .scenarios import run_scenario, submit, wait_for_end

if TYPE_CHECKING:
    from medlarspring_bench.platform_world.customers import Customers
    from medlarspring_bench.platform_world.world import World
    from medlarspring_tables import JobId

SEED = 5
END_SECONDS = 60.0
OUTAGES = 4
OUTAGE_SECONDS = 2.0
BETWEEN_OUTAGES_SECONDS = 3.5
SMALL = StepSpec(count=5, cpu_millis=1_500, memory_mb=256, estimate_ms=600)
GANG = StepSpec(count=3, cpu_millis=1_500, memory_mb=256, estimate_ms=600, gang=True)
LONG_RUNNING = StepSpec(count=3, cpu_millis=1_500, memory_mb=256, long_running=True)


async def submit_crashing(
    customers: Customers, step: StepSpec = SMALL, after: float = CRASH_SECONDS
) -> JobId:
    """Submit a job of one step whose first task crashes its workers."""
    job_id = customers.create_job_id()
    spec = JobSpec(payload="p", steps=(step,))
    customers.add_facts(job_id, spec)
    customers.make_task_crash(f"{job_id}.0.0.0", after)
    assert await customers.submit("lookup", job_id, spec)
    return job_id


async def wait_until_failed(customers: Customers, job_id: JobId) -> None:
    async with asyncio.timeout(END_SECONDS):
        while await customers.ask(job_id) != "failed":
            await asyncio.sleep(0.2)


async def force_takeovers(world: World) -> None:
    """Replace each controller 0.3 s to 1.2 s after it takes the cell over."""
    while True:
        controller = world.find_controller()
        if controller is None:
            await asyncio.sleep(0.05)
            continue
        await asyncio.sleep(world.rng.uniform(0.3, 1.2))
        await world.replace_nodes([controller], 0.3)


@pytest.mark.parametrize("after", [CRASH_SECONDS, 1.5], ids=["at once", "late"])
def test_crashing_task_fails_while_other_jobs_complete(
    after: float,
):
    """Guards against a task that crashes one worker after another without limit.

    Its job must fail, and other jobs that lose workers to it must complete.
    """

    async def scenario(world: World, customers: Customers) -> None:
        crashing = await submit_crashing(customers, after=after)
        others = await submit(customers, 6)
        await wait_until_failed(customers, crashing)
        await wait_for_end(customers, others)

    run_scenario(scenario, SEED)


@pytest.mark.parametrize("step", [GANG, LONG_RUNNING], ids=["gang", "long-running"])
def test_crashing_tasks_of_other_kinds_fail(step: StepSpec):
    """Guards against kinds of tasks whose crashes are not counted."""

    async def scenario(world: World, customers: Customers) -> None:
        crashing = await submit_crashing(customers, step)
        others = await submit(customers, 6)
        await wait_until_failed(customers, crashing)
        await wait_for_end(customers, others)

    run_scenario(scenario, SEED)


@pytest.mark.parametrize(
    ("same_id_part", "away_seconds", "lost_answers", "takeovers"),
    [
        pytest.param(0.0, 2.0, 0.0, True, id="takeovers"),
        pytest.param(0.0, 2.0, 1.0, False, id="lost answers"),
        pytest.param(1.0, 2.0, 0.0, False, id="back under its id"),
        pytest.param(1.0, 0.0, 0.0, False, id="back unseen"),
        pytest.param(1.0, 0.0, 0.5, False, id="back unseen, lost answers"),
        pytest.param(1.0, 0.0, 0.5, True, id="all of them"),
    ],
)
def test_crash_counts_survive_disruptions(
    same_id_part: float,
    away_seconds: float,
    lost_answers: float,
    takeovers: bool,
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against crash counts that a disruption resets.

    Disruptions are takeovers, lost answers, and workers that return under their id,
    with or without being seen as down.
    """
    monkeypatch.setattr(fleet_model, "SAME_ID_PART", same_id_part)
    monkeypatch.setattr(fleet_model, "CRASHED_SECONDS", (away_seconds, away_seconds))

    async def scenario(world: World, customers: Customers) -> None:
        crashing = await submit_crashing(customers)
        world.fault_state.lost_answers = lost_answers
        takeover_loop = asyncio.ensure_future(force_takeovers(world))
        if not takeovers:
            takeover_loop.cancel()
        await wait_until_failed(customers, crashing)
        takeover_loop.cancel()
        world.fault_state.lost_answers = 0.0

    for seed in range(SEED, SEED + 5):
        run_scenario(scenario, seed)


def test_zone_outages_fail_no_tasks():
    """Guards against jobs that fail because their zones had several outages."""

    async def scenario(world: World, customers: Customers) -> None:
        long_job, long_spec = customers.create_long_running()
        assert await customers.submit("archive", long_job, long_spec)
        jobs: list[JobId] = []
        for number in range(OUTAGES):
            jobs += await submit(customers, 12)
            await asyncio.sleep(0.2)
            zone = f"zone-{number % world.plan.zones}"
            for vm in list(world.fleet.vms_by_id.values()):
                if vm.zone == zone:
                    world.fleet.crash(vm.id, OUTAGE_SECONDS)
            await asyncio.sleep(BETWEEN_OUTAGES_SECONDS)
        await wait_for_end(customers, jobs)
        assert await customers.ask(long_job) == "active"

    for seed in range(SEED, SEED + 5):
        run_scenario(scenario, seed)
