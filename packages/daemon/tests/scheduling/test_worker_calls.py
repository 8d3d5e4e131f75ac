"""How often the controller calls its workers."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

import pytest

from medlarspring_bench.platform_world.calls import SimulatedOrders
from medlarspring_bench.platform_world.weather import StoreMood

from .stories import play, submit, wait_for_end

if TYPE_CHECKING:
    from medlarspring_adapters.worker_orders import HoldOrder, WorkerAddress
    from medlarspring_bench.platform_world.customers import Customers
    from medlarspring_bench.platform_world.world import World

SEED = 5
OUTAGE_SECONDS = 0.8
"""Within the controller's lease."""
CALLS_PER_SECOND = 30
"""A worker's ends are seen within 50 ms when the store is away, and an end in two
calls when it answers: one that lists it and one that has it forgotten."""
CALLS_PER_END = 2


@pytest.fixture
def calls_by_worker(monkeypatch: pytest.MonkeyPatch) -> Counter[str]:
    """Count the looks at each worker."""
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
    Tasks end while the store answers nobody. A worker lists an end at each call until
    it may forget it, so that it answers at once; asked again each 10 ms, workers took
    the controller's time for nothing while it had most to do.
    """

    async def scenario(world: World, customers: Customers) -> None:
        world.weather.leases_pause = True
        jobs = await submit(customers, 12)
        await asyncio.sleep(0.1)
        world.weather.store_mood = StoreMood.BUSY
        before = Counter(calls_by_worker)
        await asyncio.sleep(OUTAGE_SECONDS)
        most = max((calls_by_worker - before).values())
        world.weather.store_mood = StoreMood.WELL
        assert most <= CALLS_PER_SECOND * OUTAGE_SECONDS
        await wait_for_end(customers, jobs)

    play(scenario, SEED)


def test_ends_take_few_calls(calls_by_worker: Counter[str]):
    """
    Tasks end one by one while the store answers in 8 ms. Each end is listed by one
    call and forgotten with another one; calls between the two tell nothing.
    """

    async def scenario(world: World, customers: Customers) -> None:
        world.weather.store_seconds = 0.008
        before = Counter(calls_by_worker)
        jobs = await submit(customers, 20)
        await wait_for_end(customers, jobs)
        calls = sum((calls_by_worker - before).values())
        ends = sum(1 for run in world.history.runs if run.end is not None)
        assert ends > 0
        assert calls <= CALLS_PER_END * ends

    play(scenario, SEED)
