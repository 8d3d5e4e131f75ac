"""Runs and ends of jobs that a controller could not load at its takeover."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from medlarspring_daemon.scheduling import job_feed

from .faults import Fault
from .scenarios import run_scenario, submit, wait_for_end

if TYPE_CHECKING:
    import pytest

    from medlarspring_bench.platform_world.customers import Customers
    from medlarspring_bench.platform_world.world import World


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

    run_scenario(scenario, 5, checked=False)
