"""Tests that an exception in one step of the work does not cost the others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from medlarspring_adapters.events import Event
from medlarspring_bench.platform_world.calls import SimulatedOrders
from medlarspring_bench.platform_world.store import SimulatedStore
from medlarspring_daemon.scheduling import (
    controller as controller_module,
    job_record_writer,
    vm_manager,
    worker_answers,
    worker_liveness,
)
from medlarspring_daemon.scheduling.controller import CellController
from medlarspring_daemon.scheduling.load_reporter import LoadReporter
from medlarspring_daemon.scheduling.pool_log import PoolLog
from medlarspring_daemon.scheduling.start_orders import StartOrders
from medlarspring_daemon.scheduling.stop_orders import StopOrders
from medlarspring_daemon.scheduling.vm_manager import VMManager
from medlarspring_daemon.scheduling.worker_answers import WorkerAnswers
from medlarspring_daemon.scheduling.worker_link import WorkerLink
from medlarspring_systems.scheduling import fleet_plan, listings, maintenance, rounds

from .faults import Fault, count_calls
from .scenarios import list_events, run_scenario, submit, wait_for_end

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_bench.platform_world.customers import Customers
    from medlarspring_bench.platform_world.world import World
    from medlarspring_tables import JobId

SEED = 29
FOREVER = float("inf")
FAULT_SECONDS = 5.0


@pytest.mark.parametrize(
    ("failing", "owner", "name"),
    [
        (
            (worker_liveness, "have_recorded_runs_lapsed"),
            controller_module,
            "plan_repairs",
        ),
        ((controller_module, "plan_repairs"), CellController, "plan_all"),
        ((LoadReporter, "_update_metrics"), LoadReporter, "_publish"),
        ((PoolLog, "record"), VMManager, "_report_forecasts"),
        ((maintenance, "prepare_moves"), fleet_plan, "plan_moves"),
    ],
)
def test_steps_after_one_that_fails_are_still_done(
    monkeypatch: pytest.MonkeyPatch, failing: tuple[Any, str], owner: Any, name: str
):
    """Guards against steps that are never reached behind one that always raises."""
    calls = count_calls(monkeypatch, owner, name)
    fault = Fault(monkeypatch, *failing)

    async def scenario(world: World, customers: Customers) -> None:
        await submit(customers)
        fault.calls_left = FOREVER
        await asyncio.sleep(0.3)
        calls.clear()
        await asyncio.sleep(FAULT_SECONDS)
        assert len(calls) > FAULT_SECONDS / 1.5
        assert len(list_events(world, Event.STEP_FAILED)) == 1

    run_scenario(scenario, SEED)


@pytest.mark.parametrize(
    ("owner", "name", "concerns"),
    [
        (vm_manager, "record_wave_order", lambda _, order, __: order.id == "1"),
        (maintenance, "_take_down", lambda _, __, wave, *___: wave.id == "1"),
    ],
)
def test_wave_that_fails_does_not_stop_the_others(
    monkeypatch: pytest.MonkeyPatch, owner: Any, name: str, concerns: Any
):
    """Guards against maintenance that stops for all waves because of one."""
    fault = Fault(monkeypatch, owner, name, concerns=concerns)

    async def scenario(world: World, customers: Customers) -> None:
        fault.calls_left = FOREVER
        ids = list(world.fleet.vms_by_id)[:2]
        for number, vm_id in enumerate(ids, 1):
            world.order_wave(number, [vm_id], 1, 25)
        await asyncio.sleep(FAULT_SECONDS)
        vms = [world.fleet.vms_by_id[vm_id] for vm_id in ids]
        assert [set(vm.maintained_for) for vm in vms] == [set(), {"2"}]
        fault.calls_left = 0
        await asyncio.sleep(FAULT_SECONDS)
        assert set(vms[0].maintained_for) == {"1"}

    run_scenario(scenario, SEED)


def test_round_that_fails_does_not_keep_other_pools_waiting(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against pools that wait behind one whose rounds always raise."""
    rounds = count_calls(monkeypatch, controller_module, "plan_round")
    fault = Fault(
        monkeypatch,
        controller_module,
        "plan_round",
        concerns=lambda _, pool_id, __: pool_id == "survey",
    )

    async def scenario(world: World, customers: Customers) -> None:
        fault.calls_left = FOREVER
        late_id, spec = customers.create_batch()
        assert await customers.submit("check", late_id, spec)
        await wait_for_end(customers, await submit(customers))
        assert await customers.ask(late_id) == "queued"
        rounds.clear()
        await asyncio.sleep(1.0)
        assert {pool_id for _, pool_id, _ in rounds} == {"consent"}
        fault.calls_left = 0
        await wait_for_end(customers, [late_id])

    run_scenario(scenario, SEED)


def test_runs_placed_by_a_round_that_fails_are_started(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against intended runs whose intent nobody records."""
    plan_round = controller_module.plan_round
    left = 3

    def fail_afterwards(*args: Any) -> Any:
        nonlocal left
        runs = plan_round(*args)
        if runs and left:
            left -= 1
            raise RuntimeError("injected")
        return runs

    monkeypatch.setattr(controller_module, "plan_round", fail_afterwards)

    async def scenario(world: World, customers: Customers) -> None:
        await wait_for_end(customers, await submit(customers, 2))
        assert not left

    run_scenario(scenario, SEED)


@pytest.mark.parametrize(
    ("name", "concerns"),
    [
        ("fits_quota", lambda step, *_: step.job.id),
        ("measure_size_weight", lambda steps, _: {step.job.id for step in steps}),
        ("rank_step", lambda step, *_: step.job.id),
        ("count_most_crashes", lambda step: step.job.id),
        ("_place_step", lambda step, *_: step.job.id),
    ],
)
def test_steps_that_fail_do_not_keep_their_pool_waiting(
    monkeypatch: pytest.MonkeyPatch, name: str, concerns: Callable[..., Any]
):
    """Guards against a whole pool that waits behind steps that always raise."""
    failing_ids: set[JobId] = set()

    def is_failing(*args: Any) -> bool:
        ids = concerns(*args)
        return not failing_ids.isdisjoint(ids if isinstance(ids, set) else {ids})

    fault = Fault(monkeypatch, rounds, name, concerns=is_failing)
    monkeypatch.setattr(rounds.plan_round, "__defaults__", (rounds.rank_step,))
    fault.calls_left = FOREVER

    async def scenario(world: World, customers: Customers) -> None:
        jobs = [customers.create_batch() for _ in range(5)]
        failing_ids.update(job_id for job_id, _ in jobs)
        for job_id, spec in jobs:
            assert await customers.submit("lookup", job_id, spec)
        await wait_for_end(customers, await submit(customers, 20))
        assert len(list_events(world, Event.STEP_FAILED)) >= 1
        fault.calls_left = 0
        await wait_for_end(customers, [job_id for job_id, _ in jobs])

    run_scenario(scenario, SEED)


def test_job_that_cannot_be_encoded_does_not_block_other_records(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against a job at which all writes stop, and that is not tried again."""
    failing_ids: set[str] = set()
    fault = Fault(
        monkeypatch,
        job_record_writer,
        "encode_progress",
        concerns=lambda job: job.id in failing_ids,
    )
    fault.calls_left = FOREVER

    async def scenario(world: World, customers: Customers) -> None:
        job_id, spec = customers.create_batch()
        failing_ids.add(job_id)
        assert await customers.submit("lookup", job_id, spec)
        await wait_for_end(customers, await submit(customers))
        fault.calls_left = 0
        await wait_for_end(customers, [job_id])

    run_scenario(scenario, SEED)


@pytest.mark.parametrize(
    ("owner", "name", "failures"),
    [
        (CellController, "_send_if_recorded", 5),
        (SimulatedStore, "commit", 5),
        (SimulatedOrders, "start", 30),
        (StartOrders, "_create_order", 5),
    ],
)
def test_jobs_survive_calls_that_raise(
    monkeypatch: pytest.MonkeyPatch, owner: Any, name: str, failures: int
):
    """Guards against runs and records that an exception leaves in between."""

    def writes_progress(_: Any, first: Any, *__: Any) -> bool:
        writes = getattr(first, "writes", ())
        return name != "commit" or any("progress/" in each.key for each in writes)

    fault = Fault(monkeypatch, owner, name, concerns=writes_progress)

    async def scenario(world: World, customers: Customers) -> None:
        fault.calls_left = failures
        await wait_for_end(customers, await submit(customers))
        assert not fault.calls_left

    run_scenario(scenario, SEED)


def test_tasks_of_a_worker_whose_listings_fail_run_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against leases that go on for runs whose ends are never applied."""
    failing_ids: set[str] = set()
    fault = Fault(
        monkeypatch,
        WorkerAnswers,
        "_apply_listing",
        concerns=lambda self, *_: self._worker.id in failing_ids,
    )
    fault.calls_left = FOREVER

    async def scenario(world: World, customers: Customers) -> None:
        job_id, spec = customers.create_batch()
        assert await customers.submit("lookup", job_id, spec)
        await asyncio.sleep(0.3)
        busy = next(each for each in world.fleet.workers_by_id.values() if each.runs)
        failing_ids.add(busy.id)
        await wait_for_end(customers, [job_id])
        await wait_for_end(customers, await submit(customers))

    run_scenario(scenario, SEED)


@pytest.mark.parametrize(
    ("owner", "name"),
    [
        (listings, "_find_absent"),
        (listings, "_apply_running"),
        (listings, "_apply_end"),
        (worker_answers, "log_run_started"),
        (StopOrders, "send_due"),
    ],
)
@pytest.mark.parametrize("seed", [5, 6])
@pytest.mark.parametrize("is_killed", [False, True])
def test_ends_of_listings_that_fail_halfway_are_recorded(
    monkeypatch: pytest.MonkeyPatch, owner: Any, name: str, seed: int, is_killed: bool
):
    """Guards against applied ends that are acknowledged without being recorded."""
    fault = Fault(monkeypatch, owner, name)

    async def scenario(world: World, customers: Customers) -> None:
        jobs = await submit(customers)
        for _ in range(10):
            fault.calls_left = 2
            await asyncio.sleep(0.2)
        fault.calls_left = 0
        if is_killed:
            world.kill_node(world.find_controller())
        await wait_for_end(customers, jobs)

    run_scenario(scenario, seed)


@pytest.mark.parametrize("seed", [5, 6, 7])
def test_records_are_written_although_nothing_called_for_it(
    monkeypatch: pytest.MonkeyPatch, seed: int
):
    """Guards against jobs whose last end is never recorded."""
    fault = Fault(monkeypatch, CellController, "_record_job")

    async def scenario(world: World, customers: Customers) -> None:
        fault.calls_left = FOREVER
        await wait_for_end(customers, await submit(customers))

    run_scenario(scenario, seed)


def test_end_of_a_worker_that_fails_does_not_hide_the_others(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against workers that stay listed behind one whose end always raises."""
    failing_ids: set[str] = set()
    fault = Fault(
        monkeypatch,
        worker_liveness,
        "record_worker_end",
        concerns=lambda _, worker, __: worker.id in failing_ids,
    )
    fault.calls_left = FOREVER

    async def scenario(world: World, customers: Customers) -> None:
        controller = world.find_controller()
        assert controller is not None
        (tables,) = world.nodes_by_name[controller].service.list_tables()
        first, second = list(tables.workers_by_id.values())[:2]
        failing_ids.add(first.id)
        for worker in (first, second):
            world.fleet.crash(worker.vm_id, 0.5)
        await asyncio.sleep(4.0)
        gone = {line["worker"] for line in list_events(world, Event.WORKER_GONE)}
        assert second.id in gone

    run_scenario(scenario, SEED)


@pytest.mark.parametrize(
    "name", ["record_worker_end", "log_worker_gone", "log_run_lost"]
)
def test_worker_ends_although_its_end_cannot_be_counted_or_logged(
    monkeypatch: pytest.MonkeyPatch, name: str
):
    """Guards against workers that stay in the tables, and runs never taken for lost."""
    fault = Fault(monkeypatch, worker_liveness, name)
    ends = count_calls(monkeypatch, CellController, "handle_lost_runs")
    closed = count_calls(monkeypatch, CellController, "close_link")

    async def scenario(world: World, customers: Customers) -> None:
        fault.calls_left = FOREVER
        jobs = await submit(customers)
        await asyncio.sleep(0.3)
        busy = next(each for each in world.fleet.workers_by_id.values() if each.runs)
        world.fleet.crash(busy.vm_id, 0.5)
        await wait_for_end(customers, jobs)
        assert ends
        assert busy.id in {worker.id for _, worker in closed}

    run_scenario(scenario, SEED)


def test_link_that_fails_to_close_does_not_keep_the_rest_of_its_controller(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against a release that ends halfway, with followers left running."""
    close = WorkerLink.close

    async def close_and_fail(link: WorkerLink) -> None:
        await close(link)
        raise RuntimeError("injected")

    async def scenario(world: World, customers: Customers) -> None:
        jobs = await submit(customers)
        monkeypatch.setattr(WorkerLink, "close", close_and_fail)
        world.revoke_controller()
        await asyncio.sleep(0.8)
        assert len(list_events(world, Event.CELL_LOST)) == 1
        await wait_for_end(customers, jobs)
        monkeypatch.undo()

    run_scenario(scenario, SEED)
