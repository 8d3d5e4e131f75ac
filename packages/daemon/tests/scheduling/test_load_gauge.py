"""Controllers that can't keep up with their cell give it to others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from medlarspring_daemon.scheduling.load_gauge import LoadGauge

from .scenarios import run_scenario, submit, wait_for_end

if TYPE_CHECKING:
    from medlarspring_bench.platform_world.customers import Customers
    from medlarspring_bench.platform_world.world import World

SEED = 5
WEAK_CORES = 0.5


@pytest.mark.parametrize(
    ("orders", "unanswered", "is_overloaded"),
    [(200, 0, False), (200, 50, False), (60, 60, True), (200, 100, True)],
    ids=["all answered", "a quarter lost", "none answered", "half lost"],
)
def test_orders_without_answers_show_a_process_that_can_not_keep_up(
    orders: int, unanswered: int, is_overloaded: bool
):
    gauge = LoadGauge()
    for number in range(orders):
        lost = number * unanswered // orders != (number + 1) * unanswered // orders
        gauge.note_order(answered=not lost)
    assert gauge.is_overloaded() == is_overloaded


@pytest.mark.parametrize(
    ("late", "is_overloaded"), [(0.05, False), (0.2, True)], ids=["usual", "late"]
)
def test_late_timers_show_a_process_that_can_not_keep_up(
    late: float, is_overloaded: bool
):
    gauge = LoadGauge()
    for _ in range(100):
        gauge.note_tick(late)
    assert gauge.is_overloaded() == is_overloaded


def test_weak_controller_whose_orders_stay_unanswered_gives_the_cell_up():
    """Guards against a slow entry VM that keeps a cell whose orders it can't deliver.

    It took its workers for silent, gave their tasks up with their leases, and started
    again what had been done long since.
    """

    async def story(world: World, customers: Customers) -> None:
        controller = world.find_controller()
        assert controller is not None
        world.nodes_by_name[controller].service._node.cores = WEAK_CORES  # noqa: SLF001
        world.weather.lost_orders = 0.8
        jobs = await submit(customers, 40)
        async with asyncio.timeout(5.0):
            while world.find_controller() in (None, controller):
                await asyncio.sleep(0.05)
        world.weather.lost_orders = 0.0
        await wait_for_end(customers, jobs)

    run_scenario(story, SEED)
