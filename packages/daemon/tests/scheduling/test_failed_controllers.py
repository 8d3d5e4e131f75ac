"""Tests of controllers that fail while they hold a cell."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from medlarspring_adapters.events import Event
from medlarspring_adapters.prefix_follower import PrefixFollower
from medlarspring_daemon.scheduling import controller as controller_module
from medlarspring_daemon.scheduling.controller import CellController
from medlarspring_daemon.scheduling.job_feed import JobFeed
from medlarspring_daemon.scheduling.stall_detector import (
    TAKEOVER_STALL_SECONDS,
    StallDetector,
)
from medlarspring_daemon.scheduling.worker_links import WorkerLinks

from .faults import Fault
from .scenarios import list_events, run_scenario, submit, wait_for_end

if TYPE_CHECKING:
    from medlarspring_bench.platform_world.customers import Customers
    from medlarspring_bench.platform_world.world import World

SEED = 17
HOT_LOOP_SECONDS = 30.0
MOST_TERMS = 20
"""Terms of three processes within that time, with the backoff."""


@pytest.mark.parametrize("failures", [1, 4])
@pytest.mark.parametrize(
    ("owner", "name"),
    [
        (controller_module, "WorkerFeed"),
        (controller_module, "LoadReporter"),
        (JobFeed, "__init__"),
        (WorkerLinks, "connect"),
        (CellController, "__init__"),
        (CellController, "_apply_config"),
    ],
)
def test_cell_is_given_up_when_a_takeover_fails(
    monkeypatch: pytest.MonkeyPatch, owner: Any, name: str, failures: int
):
    """Guards against a holder that renews its lease and does nothing."""
    fault = Fault(monkeypatch, owner, name)

    async def scenario(world: World, customers: Customers) -> None:
        jobs = await submit(customers)
        fault.calls_left = failures
        world.revoke_controller()
        await wait_for_end(customers, jobs)
        await wait_for_end(customers, await submit(customers))

    world = run_scenario(scenario, SEED)
    given_up = list_events(world, Event.CELL_GIVEN_UP)
    assert len(given_up) == failures


def test_processes_that_all_fail_do_not_hand_the_cell_on_without_pause(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against a cell that changes hands many times a second."""
    fault = Fault(monkeypatch, controller_module, "LoadReporter")

    async def scenario(world: World, customers: Customers) -> None:
        jobs = await submit(customers)
        fault.calls_left = float("inf")
        world.revoke_controller()
        await asyncio.sleep(HOT_LOOP_SECONDS)
        assert 3 < len(list_events(world, Event.CELL_HELD)) < MOST_TERMS
        fault.calls_left = 0
        await wait_for_end(customers, jobs)

    run_scenario(scenario, SEED)


def test_follower_that_fails_to_stop_does_not_keep_the_rest_of_its_controller(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against a release that ends halfway, with records and links left open."""
    stop = PrefixFollower.stop

    async def stop_and_fail(follower: PrefixFollower) -> None:
        await stop(follower)
        raise RuntimeError("injected")

    async def scenario(world: World, customers: Customers) -> None:
        jobs = await submit(customers)
        monkeypatch.setattr(PrefixFollower, "stop", stop_and_fail)
        world.revoke_controller()
        await asyncio.sleep(0.8)
        assert len(list_events(world, Event.CELL_LOST)) == 1
        await wait_for_end(customers, jobs)
        monkeypatch.undo()

    run_scenario(scenario, SEED)


def test_cell_is_given_up_when_its_records_are_never_loaded(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against a takeover that waits for ever for a feed that always raises."""
    fault = Fault(monkeypatch, JobFeed, "apply_listing")

    async def scenario(world: World, customers: Customers) -> None:
        jobs = await submit(customers)
        fault.calls_left = float("inf")
        world.revoke_controller()
        await asyncio.sleep(TAKEOVER_STALL_SECONDS + 2.0)
        (given_up,) = list_events(world, Event.CELL_GIVEN_UP)
        assert given_up["failure"] == "stalled"
        fault.calls_left = 0
        await wait_for_end(customers, jobs)

    run_scenario(scenario, SEED)


@pytest.mark.parametrize(
    ("check_seconds", "progress_seconds", "is_active", "is_stalled"),
    [
        (0.1, 0.1, True, False),
        (0.1, 9.0, True, False),
        (0.1, 11.0, True, True),
        (0.1, 60.0, False, False),
        (0.4, 11.0, True, True),
        (30.0, 60.0, True, False),
    ],
    ids=["ticks", "slow load", "stalled", "store lost", "slow renewals", "paused"],
)
def test_only_time_in_which_work_could_go_on_counts_as_stalled(
    check_seconds: float, progress_seconds: float, is_active: bool, is_stalled: bool
):
    now = 1_000.0
    detector = StallDetector(now)
    seen = False
    for number in range(1, round(progress_seconds / check_seconds) + 1):
        at = now + number * check_seconds
        seen = seen or detector.check(at, is_active=is_active)
    detector.record_progress()
    assert seen == is_stalled
    assert not detector.check(now + progress_seconds, is_active=is_active)


def test_process_can_stop_during_a_takeover():
    """Guards against followers and listeners that outlive a takeover cut short."""

    async def scenario(world: World, customers: Customers) -> None:
        jobs = await submit(customers)
        for _ in range(6):
            name = world.find_controller()
            if name is not None:
                records = world.nodes_by_name[name].service.operator_records
                await world.stop_node(name)
                assert records.listeners == []
                await world.start_node(name)
            await asyncio.sleep(0.11)
        await wait_for_end(customers, jobs)

    run_scenario(scenario, SEED)
