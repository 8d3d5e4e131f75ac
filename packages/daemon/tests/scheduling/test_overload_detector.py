"""Tests that an overloaded controller is detected and releases its cell."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from medlarspring_daemon.scheduling.overload_detector import OverloadDetector

from .scenarios import run_scenario, submit, wait_for_end

if TYPE_CHECKING:
    from medlarspring_bench.platform_world.customers import Customers
    from medlarspring_bench.platform_world.world import World

SEED = 5
FEW_CORES = 0.5


@pytest.mark.parametrize(
    ("orders", "unanswered", "is_overloaded"),
    [(200, 0, False), (200, 50, False), (60, 60, True), (200, 100, True)],
    ids=["all answered", "a quarter lost", "none answered", "half lost"],
)
def test_unanswered_orders_mean_overload(
    orders: int, unanswered: int, is_overloaded: bool
):
    detector = OverloadDetector()
    for number in range(orders):
        lost = number * unanswered // orders != (number + 1) * unanswered // orders
        detector.record_order(answered=not lost)
    assert detector.is_overloaded() == is_overloaded


@pytest.mark.parametrize(
    ("late", "is_overloaded"), [(0.05, False), (0.2, True)], ids=["usual", "late"]
)
def test_late_timers_mean_overload(late: float, is_overloaded: bool):
    detector = OverloadDetector()
    for _ in range(100):
        detector.record_timer_delay(late)
    assert detector.is_overloaded() == is_overloaded


def test_slow_controller_with_unanswered_orders_releases_the_cell():
    """Guards against a slow entry VM that keeps a cell although its orders get lost.

    It treated its workers as unresponsive, gave up their tasks when the leases expired,
    and restarted tasks that had already completed.
    """

    async def scenario(world: World, customers: Customers) -> None:
        controller = world.find_controller()
        assert controller is not None
        world.nodes_by_name[controller].service._node.cores = FEW_CORES  # noqa: SLF001
        world.fault_state.lost_orders = 0.8
        jobs = await submit(customers, 40)
        async with asyncio.timeout(5.0):
            while world.find_controller() in (None, controller):
                await asyncio.sleep(0.05)
        world.fault_state.lost_orders = 0.0
        await wait_for_end(customers, jobs)

    run_scenario(scenario, SEED)
