"""Runs that were given up after their lease expired, and what ends them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from medlarspring_tables.scheduling import JobSpec, RunEnd, StepSpec

from .scenarios import run_scenario, submit, wait_for_end

if TYPE_CHECKING:
    from medlarspring_bench.platform_world.customers import Customers
    from medlarspring_bench.platform_world.history import RunHistory
    from medlarspring_bench.platform_world.world import World

SEED = 5
TASK_SECONDS = 4.0
UNTIL_EXTENDED_SECONDS = 1.0
"""A started run holds a full lease by then."""
UNTIL_STOPPED_SECONDS = 2.0
POLL_SECONDS = 0.01


async def wait_for_start(world: World, task_id: str, number: int) -> RunHistory:
    """Wait until a run of a task has started."""
    while True:
        for run in world.history.runs_by_task.get(task_id, ()):
            if run.number == number:
                return run
        await asyncio.sleep(POLL_SECONDS)


@pytest.mark.parametrize("late_seconds", [0.2, 0.5, 1.0])
def test_tasks_run_once_while_answers_reach_the_controller_late(late_seconds: float):
    """Guards against workers that are given up because of the controller's own link."""

    async def scenario(world: World, customers: Customers) -> None:
        controller = world.find_controller()
        assert controller is not None
        world.fault_state.answer_seconds_by_node[controller] = late_seconds
        jobs = await submit(customers, 4)
        await wait_for_end(customers, jobs)
        assert world.find_controller() == controller
        for task_id, runs in world.history.runs_by_task.items():
            step = world.history.find_step(task_id)
            assert step is not None
            assert step.speculative or len(runs) == 1

    run_scenario(scenario, SEED)


async def let_run_end_behind_cut(
    world: World, task_id: str
) -> tuple[RunHistory, RunHistory]:
    """Cut off a task's first worker until its second run has started; return both."""
    first = await wait_for_start(world, task_id, 1)
    await asyncio.sleep(UNTIL_EXTENDED_SECONDS)
    vm_id = world.fleet.workers_by_id[first.worker_id].vm_id
    world.fault_state.cut_links |= {(name, vm_id) for name in world.nodes_by_name}
    second = await wait_for_start(world, task_id, 2)
    world.fault_state.cut_links.clear()
    return first, second


def test_second_run_is_stopped_when_the_first_one_turns_out_to_be_done():
    """Guards against a task that runs on after a run that was given up completed it."""

    async def scenario(world: World, customers: Customers) -> None:
        job_id, spec = customers.create_batch()
        for facts in world.facts_by_task.values():
            facts.seconds = TASK_SECONDS
        assert await customers.submit("lookup", job_id, spec)
        first, second = await let_run_end_behind_cut(world, f"{job_id}.0.0.0")
        await wait_for_end(customers, [job_id])
        assert first.end is RunEnd.DONE
        assert second.end is RunEnd.STOPPED

    run_scenario(scenario, SEED)


def test_second_run_is_stopped_when_the_first_one_completes_its_occurrence():
    """Guards against a run that is not found once its occurrence is complete."""

    async def scenario(world: World, customers: Customers) -> None:
        job_id = customers.create_job_id()
        step = StepSpec(count=1, cpu_millis=500, memory_mb=256, estimate_ms=500)
        spec = JobSpec(
            payload=f"payload of {job_id}",
            steps=(step,),
            occurrences=2,
            first_at_ms=round(world.clock.wall() * 1_000),
            interval_ms=20_000,
        )
        customers.add_facts(job_id, spec)
        for facts in world.facts_by_task.values():
            facts.seconds = TASK_SECONDS
        assert await customers.submit("lookup", job_id, spec)
        first, second = await let_run_end_behind_cut(world, f"{job_id}.0.0.0")
        await asyncio.sleep(UNTIL_STOPPED_SECONDS)
        assert first.end is RunEnd.DONE
        assert second.end is RunEnd.STOPPED

    run_scenario(scenario, SEED)
