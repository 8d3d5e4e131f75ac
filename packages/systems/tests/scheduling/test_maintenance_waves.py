from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from medlarspring_systems.scheduling.availability import may_stop_long_run
from medlarspring_systems.scheduling.fleet import (
    FleetTables,
    MaintainVM,
    MoveVM,
    record_operation_done,
    record_operation_sent,
    record_wave_order,
)
from medlarspring_systems.scheduling.fleet_plan import plan_operations
from medlarspring_systems.scheduling.rounds import plan_round
from medlarspring_systems.scheduling.runs import confirm_run, end_run
from medlarspring_tables import PoolId, VMId, WaveId
from medlarspring_tables.scheduling import FleetLimits, RunEnd, StepSpec, WaveOrder

from .conftest import create_step

if TYPE_CHECKING:
    from medlarspring_systems.scheduling.fleet import FleetPlan
    from medlarspring_tables.scheduling import Run

    from .conftest import Scene

POOL = PoolId("consent")
NOW = 1_000.0
LIMITS = FleetLimits()
LONG_RUNNING = StepSpec(
    count=2, cpu_millis=2_000, memory_mb=1_000, long_running=True, max_unavailable=1
)


def order_wave(fleet: FleetTables, *numbers: int, max_at_once: int = 2) -> None:
    vm_ids = tuple(VMId(f"m-{number}") for number in numbers)
    record_wave_order(fleet, WaveOrder(WaveId("1"), vm_ids, 25.0, max_at_once), NOW)


def plan(scene: Scene, fleet: FleetTables, now: float = NOW) -> FleetPlan:
    scene.tables.vms_read_at = now
    return plan_operations(scene.tables, fleet, LIMITS, now)


def list_maintained(found: FleetPlan) -> list[str]:
    return [each.vm_id for each in found.operations if isinstance(each, MaintainVM)]


def start_long_running(
    scene: Scene, spec: StepSpec = LONG_RUNNING, since: float = NOW - 5
) -> list[Run]:
    scene.add_job("long-running", spec)
    runs = plan_round(scene.tables, POOL, NOW)
    for run in runs:
        confirm_run(run, since)
        run.percent = 100
    return runs


def test_wave_takes_down_at_most_max_at_once_vms(scene: Scene):
    fleet = FleetTables(initial_sizes_known=True)
    for number in range(1, 5):
        scene.add_vm(number)
    order_wave(fleet, 1, 2, 3, 4, max_at_once=2)
    first = plan(scene, fleet)
    assert list_maintained(first) == ["m-1", "m-2"]
    for operation in first.operations:
        record_operation_sent(scene.tables, fleet, operation, NOW)
        record_operation_done(fleet, operation)
    assert list_maintained(plan(scene, fleet, NOW + 1.0)) == []
    assert list_maintained(plan(scene, fleet, NOW + 2.5)) == ["m-3", "m-4"]


def test_vm_that_is_due_in_two_waves_goes_down_once_at_a_time(scene: Scene):
    fleet = FleetTables(initial_sizes_known=True)
    scene.add_vm(1)
    order_wave(fleet, 1)
    other = WaveOrder(WaveId("2"), (VMId("m-1"),), 25.0, 1)
    record_wave_order(fleet, other, NOW)
    assert list_maintained(plan(scene, fleet)) == ["m-1"]


def test_wave_is_complete_only_when_each_vm_had_its_maintenance(scene: Scene):
    fleet = FleetTables(initial_sizes_known=True)
    scene.add_vm(1)
    order_wave(fleet, 1)
    (wave,) = fleet.waves_by_id.values()
    (operation,) = plan(scene, fleet).operations
    record_operation_sent(scene.tables, fleet, operation, NOW)
    plan(scene, fleet, NOW + 1.0)
    assert not wave.complete
    record_operation_done(fleet, operation)
    plan(scene, fleet, NOW + 1.0)
    assert wave.complete


def test_long_running_tasks_of_a_step_are_stopped_one_at_a_time(scene: Scene):
    """
    Both tasks of a step run on a VM that is due for maintenance. If they were stopped
    together, the step would be down for a second, although it allows only one of its
    tasks to be unavailable.
    """
    scene.add_worker(1)
    runs = start_long_running(scene)
    scene.add_worker(2)
    fleet = FleetTables(initial_sizes_known=True)
    order_wave(fleet, 1)
    found = plan(scene, fleet)
    assert [run for run, _ in found.stops] == runs[:1]
    assert plan(scene, fleet).stops == []


def test_unresponsive_workers_block_stops_of_long_running_tasks(scene: Scene):
    """
    A worker misses one call while its zone is busy, although its long-running task
    still runs. If such a task could be stopped, it would be down in addition to
    another task of its step that may be unavailable.
    """
    first, second = scene.add_worker(1, cpu=2_000), scene.add_worker(2, cpu=2_000)
    runs = start_long_running(scene)
    scene.add_worker(3)
    first.unanswered_since = second.unanswered_since = NOW
    assert not any(may_stop_long_run(scene.tables, run, NOW) for run in runs)


def test_last_open_vm_of_a_pool_is_replaced_before_it_is_drained(scene: Scene):
    """
    Every VM of a pool is due at once. When all of them were drained, the long-running
    tasks could not be placed anywhere else, and the wave never finished.
    """
    scene.add_worker(1)
    start_long_running(scene)
    scene.add_vm(9)
    fleet = FleetTables(initial_sizes_known=True)
    order_wave(fleet, 1)
    found = plan(scene, fleet)
    assert found.stops == []
    assert not scene.tables.workers_by_id["i-1"].reserved  # type: ignore[index]
    (move,) = found.operations
    assert isinstance(move, MoveVM)
    assert (move.vm_id, move.pool_id) == ("m-9", POOL)
    scene.add_worker(9)
    assert plan(scene, fleet).stops


def test_vms_that_cannot_be_drained_yet_do_not_keep_others_from_it(scene: Scene):
    """Guards against a wave that waits for its deadline beside VMs that could go down.

    The least busy VMs are each the last one of their pool, and no VM can replace them.
    """
    for number in (1, 2, 3, 4):
        pool = PoolId(f"single-{number}")
        scene.add_worker(number, pool=pool)
        scene.add_job(f"j{number}", create_step(), pool=pool)
        assert len(plan_round(scene.tables, pool, NOW)) == 1
    for number in (5, 6):
        scene.add_worker(number)
    scene.add_job("j", create_step(count=8, cpu_millis=4_000))
    assert len(plan_round(scene.tables, POOL, NOW)) == 8
    fleet = FleetTables(initial_sizes_known=True)
    order_wave(fleet, 1, 2, 3, 4, 5, 6, max_at_once=1)
    plan(scene, fleet)
    assert len(fleet.drained_for_wave) == 1
    assert fleet.drained_for_wave <= {"m-5", "m-6"}


@pytest.mark.parametrize(
    ("end", "stopping", "seconds", "moves"),
    [
        pytest.param(RunEnd.FAILED, False, 1.0, 1, id="failed by itself"),
        pytest.param(RunEnd.FAILED, False, 3.0, 0, id="down for long"),
        pytest.param(RunEnd.FAILED, True, 1.0, 0, id="failed while it was stopped"),
        pytest.param(RunEnd.STOPPED, True, 1.0, 0, id="stopped"),
        pytest.param(RunEnd.LAPSED, False, 1.0, 0, id="lease expired"),
    ],
)
def test_task_that_failed_by_itself_does_not_hold_others(
    scene: Scene, end: RunEnd, stopping: bool, seconds: float, moves: int
):
    """
    A task that fails is back within two seconds. Each failure held the moves of its
    step for that long, although only what is ordered counts against the limit.
    """
    scene.add_worker(1)
    runs = start_long_running(scene)
    scene.add_worker(2)
    fleet = FleetTables(initial_sizes_known=True)
    order_wave(fleet, 1)
    runs[1].stopping = stopping
    end_run(scene.tables, runs[1], end, "", NOW)
    found = plan(scene, fleet, NOW + seconds)
    assert len(found.stops) + len(list_maintained(found)) == moves


def test_new_controller_waits_before_stopping_long_running_tasks(scene: Scene):
    """
    A controller orders the stop of a long-running task and then loses the cell. The
    worker still lists the task as running, so the next controller stopped another task
    of the step: two were unavailable although only one may be.
    """
    fleet = FleetTables(initial_sizes_known=True)
    for number in range(1, 4):
        scene.add_worker(number)
    for run in start_long_running(scene, since=NOW):
        run.taken_over = True
    order_wave(fleet, 1)
    assert plan(scene, fleet, NOW + 0.1).stops == []
    assert plan(scene, fleet, NOW + 0.5).stops == []
    assert len(plan(scene, fleet, NOW + 1.0).stops) == 1
