"""The controller's work per event must not grow with the size of the fleet."""

from __future__ import annotations

import asyncio
import sys
from statistics import mean
from typing import TYPE_CHECKING, Any

import pytest

from medlarspring_bench.platform_world.customers import Customers
from medlarspring_bench.platform_world.plans import WorldPlan
from medlarspring_bench.platform_world.virtual_time import run_virtual
from medlarspring_bench.platform_world.world import World
from medlarspring_daemon.scheduling.controller import CellController

from .scenarios import submit, wait_for_end

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import FrameType

    from medlarspring_bench.platform_world.virtual_time import VirtualClock

SEED = 5
JOBS = 10
SMALL, LARGE = 18, 134
"""VMs in each of two pools; 40 and 272 in total with the standby VMs."""
STANDBY_VMS = 4
ALLOWED_GROWTH = 1.1
EVENTS = (
    "handle_listing",
    "_handle_record_written",
    "_record_job",
    "_acknowledge_recorded_ends",
)


class LineCounter:
    """Counts the executed lines of this project within a function call."""

    def __init__(self) -> None:
        self.lines = 0

    def _trace(self, frame: FrameType, event: str, _: object) -> Any:
        if "medlarspring" not in frame.f_code.co_filename:
            return None
        if event == "line":
            self.lines += 1
        return self._trace

    def count(self, function: Callable[..., None], *args: object) -> int:
        """Return how many lines one call executes."""
        self.lines = 0
        previous_trace = sys.gettrace()
        sys.settrace(self._trace)
        try:
            function(*args)
        finally:
            sys.settrace(previous_trace)
        return self.lines


def run_jobs(vms_per_pool: int) -> None:
    """Run some jobs on a fleet of this size."""

    async def main(clock: VirtualClock) -> None:
        plan = WorldPlan(vms_per_pool=vms_per_pool, standby_vms=STANDBY_VMS)
        world = World(plan, clock, SEED)
        await world.start()
        await asyncio.sleep(3.0)
        customers = Customers(world, world.rng)
        await wait_for_end(customers, await submit(customers, JOBS))
        await world.stop()

    run_virtual(main)


def measure(monkeypatch: pytest.MonkeyPatch, name: str, vms_per_pool: int) -> float:
    """Return the mean number of executed lines per event."""
    original = getattr(CellController, name)
    counted: list[int] = []

    def wrapper(controller: CellController, *args: object) -> None:
        counted.append(LineCounter().count(original, controller, *args))

    with monkeypatch.context() as patch:
        patch.setattr(CellController, name, wrapper)
        run_jobs(vms_per_pool)
    assert counted
    return mean(counted)


@pytest.mark.parametrize("name", EVENTS)
def test_event_takes_as_much_work_with_40_vms_as_with_272(
    monkeypatch: pytest.MonkeyPatch, name: str
):
    """
    Guards against handlers that scan all workers when a worker lists ends, a record is
    written or a job ends. With 272 workers, orders waited in the process, and jobs were
    late although their pools had free capacity.
    """
    small = measure(monkeypatch, name, SMALL)
    large = measure(monkeypatch, name, LARGE)
    assert large <= ALLOWED_GROWTH * small
