"""Tests of how often the controller calls its workers."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

import pytest

from medlarspring_bench.platform_world.calls import SimulatedOrders
from medlarspring_bench.platform_world.fault_state import StoreMode

from .scenarios import run_scenario, submit, wait_for_end

if TYPE_CHECKING:
    from medlarspring_adapters.worker_orders import HoldOrder, WorkerAddress
    from medlarspring_bench.platform_world.customers import Customers
    from medlarspring_bench.platform_world.world import World

SEED = 5
OUTAGE_SECONDS = 0.8
"""Shorter than the controller's lease."""
CALLS_PER_SECOND = 30
"""Limit during a store outage, in which a worker's ends are seen within 50 ms."""
CALLS_PER_END = 2
"""While the store answers, one call lists an end and one acknowledges it."""


@pytest.fixture
def calls_by_worker(monkeypatch: pytest.MonkeyPatch) -> Counter[str]:
    """Count the hold calls to each worker."""
    calls: Counter[str] = Counter()
    hold = SimulatedOrders.hold

    async def count(
        orders: SimulatedOrders,
        worker: WorkerAddress,
        order: HoldOrder,
        timeout: float,
    ):  # type: ignore[no-untyped-def]
        calls[worker.id] += 1
        return await hold(orders, worker, order, timeout)

    monkeypatch.setattr(SimulatedOrders, "hold", count)
    return calls


def test_worker_with_unrecorded_ends_is_not_polled_without_pause(
    calls_by_worker: Counter[str],
):
    """
    Guards against hold calls without a pause while tasks end during a store outage.

    A worker with an unacknowledged end answers each call at once. Calls every 10 ms
    returned nothing new and took time from a controller that was busiest then.
    """

    async def scenario(world: World, customers: Customers) -> None:
        world.fault_state.leases_pause = True
        jobs = await submit(customers, 12)
        await asyncio.sleep(0.1)
        world.fault_state.store_mode = StoreMode.BUSY
        before = Counter(calls_by_worker)
        await asyncio.sleep(OUTAGE_SECONDS)
        most = max((calls_by_worker - before).values())
        world.fault_state.store_mode = StoreMode.WELL
        assert most <= CALLS_PER_SECOND * OUTAGE_SECONDS
        await wait_for_end(customers, jobs)

    run_scenario(scenario, SEED)


def test_ends_take_few_calls(calls_by_worker: Counter[str]):
    """
    Guards against calls between the one that lists an end and the one that
    acknowledges it, while the store answers in 8 ms; they return nothing new.
    """

    async def scenario(world: World, customers: Customers) -> None:
        world.fault_state.store_seconds = 0.008
        before = Counter(calls_by_worker)
        jobs = await submit(customers, 20)
        await wait_for_end(customers, jobs)
        calls = sum((calls_by_worker - before).values())
        ends = sum(1 for run in world.history.runs if run.end is not None)
        assert ends > 0
        assert calls <= CALLS_PER_END * ends

    run_scenario(scenario, SEED)
