"""Tests of starts while the view of the worker registry is old."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from medlarspring_adapters.events import Event
from medlarspring_bench.key_value_ops import PutOp
from medlarspring_bench.platform_world.fault_state import StoreMode
from medlarspring_daemon.scheduling.controller import CellController

from .faults import Fault
from .scenarios import list_events, run_scenario, submit, wait_for_end

if TYPE_CHECKING:
    from medlarspring_bench.platform_world.customers import Customers
    from medlarspring_bench.platform_world.world import World

SEED = 41
LEAVING_SECONDS = 20.0
STALL_SECONDS = 4.0
JOBS = 100
"""Enough to keep the pool full for longer."""


@pytest.mark.parametrize("seed", range(SEED, SEED + 3))
def test_no_task_starts_from_a_view_that_is_too_old(seed: int):
    """Guards against starts on workers that began to leave while a watch hung.

    The check of the history finds any start 2 s after its worker's announcement.
    """

    async def scenario(world: World, customers: Customers) -> None:
        controller = world.find_controller()
        assert controller is not None
        jobs = await submit(customers, JOBS)
        world.fault_state.stalled_watches.add(controller)
        for worker in list(world.fleet.workers_by_id.values())[::2]:
            world.fleet.drain(worker.vm_id, LEAVING_SECONDS)
        await asyncio.sleep(STALL_SECONDS)
        assert world.find_controller() == controller
        started = len(world.history.runs)
        world.fault_state.stalled_watches.clear()
        await asyncio.sleep(1.2)
        assert len(world.history.runs) > started
        await wait_for_end(customers, jobs)

    world = run_scenario(scenario, seed)
    # A listing beside the watch makes the view current for a while.
    held = len(list_events(world, Event.STARTS_HELD))
    assert held >= 1
    assert len(list_events(world, Event.STARTS_RESUMED)) == held


def test_runs_that_go_on_are_stopped_and_acknowledged_from_an_old_view():
    """Guards against ends that wait, and cancelled jobs that go on, with the starts."""

    async def scenario(world: World, customers: Customers) -> None:
        (ending,) = await submit(customers, 1)
        long_id, spec = customers.create_long_running()
        assert await customers.submit("archive", long_id, spec)
        await asyncio.sleep(0.5)
        controller = world.find_controller()
        assert controller is not None
        (tables,) = world.nodes_by_name[controller].service.list_tables()
        world.fault_state.stalled_watches.add(controller)
        await asyncio.sleep(4.0)
        assert list_events(world, Event.STARTS_HELD)
        job = tables.jobs_by_id[long_id]
        service = world.nodes_by_name[controller].service
        service._elections[0].controller.stop_cancelled_job(job)  # noqa: SLF001
        await asyncio.sleep(1.0)
        assert all(
            each.ended_at
            for each in world.history.runs
            if each.task_id.startswith(long_id)
        )
        world.fault_state.stalled_watches.clear()
        await wait_for_end(customers, [ending])

    run_scenario(scenario, SEED, checked=False)


@pytest.mark.parametrize("leave", ["drains", "is unlisted"])
def test_recorded_run_is_not_sent_to_a_worker_that_left_meanwhile(
    monkeypatch: pytest.MonkeyPatch, leave: str
):
    """Guards against a start that was recorded before the worker's entry changed."""
    fault = Fault(monkeypatch, CellController, "_send_if_recorded")

    async def scenario(world: World, customers: Customers) -> None:
        fault.calls_left = float("inf")
        jobs = await submit(customers, 4)
        await asyncio.sleep(0.2)
        controller = world.find_controller()
        assert controller is not None
        (tables,) = world.nodes_by_name[controller].service.list_tables()
        chosen = {worker.id for worker in tables.workers_by_id.values() if worker.runs}
        assert chosen
        for worker in list(world.fleet.workers_by_id.values()):
            if worker.id not in chosen:
                continue
            if leave == "drains":
                world.fleet.drain(worker.vm_id, LEAVING_SECONDS)
            else:
                world.state.apply(PutOp(f"servers/{worker.id}".encode(), b"{}"))
        await asyncio.sleep(0.2)
        fault.calls_left = 0
        await asyncio.sleep(0.5)
        assert not chosen & {run.worker_id for run in world.history.runs}
        await wait_for_end(customers, jobs)

    run_scenario(scenario, SEED)


def test_starts_are_not_held_back_while_all_is_well():
    """Guards against a bound within the usual age of a view without changes."""

    async def scenario(world: World, customers: Customers) -> None:
        for _ in range(10):
            await submit(customers, 1)
            await asyncio.sleep(2.9)

    world = run_scenario(scenario, SEED)
    assert list_events(world, Event.STARTS_HELD) == []


@pytest.mark.parametrize("mode", [StoreMode.BUSY, StoreMode.SILENT])
def test_starts_go_on_soon_after_an_outage_of_the_store(mode: StoreMode):
    """Guards against a hold that outlasts the outage which made the view old."""

    async def scenario(world: World, customers: Customers) -> None:
        jobs = await submit(customers, 20)
        world.fault_state.leases_pause = True
        world.fault_state.store_mode = mode
        await asyncio.sleep(4.0)
        started = len(world.history.runs)
        world.fault_state.store_mode = StoreMode.WELL
        world.fault_state.leases_pause = False
        await asyncio.sleep(1.2)
        assert len(world.history.runs) > started
        await wait_for_end(customers, jobs)

    run_scenario(scenario, SEED)
