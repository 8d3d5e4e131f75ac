"""Runs and ends of jobs that a controller could not load at its takeover."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from medlarspring_daemon.scheduling import job_feed
from medlarspring_daemon.scheduling.job_feed import JobFeed

from .faults import Fault, count_calls
from .scenarios import run_scenario, submit, wait_for_end

if TYPE_CHECKING:
    from medlarspring_bench.platform_world.customers import Customers
    from medlarspring_bench.platform_world.world import World


@pytest.mark.parametrize("seed", [5, 6, 7])
@pytest.mark.parametrize("calls", [3, 12, 60])
def test_no_task_runs_twice_after_loads_failed(
    calls: int, seed: int, monkeypatch: pytest.MonkeyPatch
):
    """Guards against acknowledged ends of jobs that are loaded only later."""
    fault = Fault(monkeypatch, job_feed, "restore_progress")

    async def scenario(world: World, customers: Customers) -> None:
        jobs = await submit(customers)
        await asyncio.sleep(0.3)
        fault.calls_left = calls
        world.kill_node(world.find_controller())
        await wait_for_end(customers, jobs)
        assert fault.calls_left == 0

    run_scenario(scenario, seed)


def test_no_task_runs_twice_after_its_job_was_withheld(monkeypatch: pytest.MonkeyPatch):
    """Guards against acknowledged ends of jobs whose progress a later term can read."""
    read_progress = JobFeed._read_progress
    odd = False

    def read(feed: JobFeed, entry: Any, spec: Any) -> Any:
        return None if odd and entry else read_progress(feed, entry, spec)

    monkeypatch.setattr(JobFeed, "_read_progress", read)

    async def scenario(world: World, customers: Customers) -> None:
        nonlocal odd
        jobs = await submit(customers)
        await asyncio.sleep(0.3)
        odd = True
        world.kill_node(world.find_controller())
        await wait_for_end(customers, await submit(customers))
        odd = False
        world.revoke_controller()
        await wait_for_end(customers, jobs)

    run_scenario(scenario, 5)


def test_job_is_loaded_after_its_withdrawal_failed(monkeypatch: pytest.MonkeyPatch):
    """Guards against a job loaded in part that later listings take as loaded."""
    load = Fault(monkeypatch, job_feed, "restore_progress")
    withdrawal = Fault(monkeypatch, job_feed, "withdraw_job")

    async def scenario(world: World, customers: Customers) -> None:
        jobs = await submit(customers)
        await asyncio.sleep(0.3)
        load.calls_left = withdrawal.calls_left = 1
        world.kill_node(world.find_controller())
        await wait_for_end(customers, jobs)
        assert load.calls_left == withdrawal.calls_left == 0

    run_scenario(scenario, 5)


@pytest.mark.parametrize("calls", [0, 60])
def test_job_keeps_its_arrival_time_if_it_is_loaded_later(
    calls: int, monkeypatch: pytest.MonkeyPatch
):
    """Guards against jobs that lose the time they have waited to a failed load."""
    fault = Fault(monkeypatch, job_feed, "restore_progress")
    loads = count_calls(monkeypatch, job_feed, "admit_job")

    async def scenario(world: World, customers: Customers) -> None:
        jobs = await submit(customers)
        await asyncio.sleep(0.3)
        loads.clear()
        fault.calls_left = calls
        world.kill_node(world.find_controller())
        await wait_for_end(customers, jobs)

    run_scenario(scenario, 5)
    arrivals: dict[str, list[float]] = {}
    for _, job_id, _, _, arrived_at in loads:
        arrivals.setdefault(job_id, []).append(arrived_at)
    assert len(loads) > calls
    assert all(max(each) - min(each) < 0.01 for each in arrivals.values())
