"""Scarce VMs: bursts that follow one another, each larger than the fleet."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest
from hypothesis import given, strategies as st

from medlarspring_systems.scheduling.fleet import (
    FleetTables,
    MoveVM,
    PoolNeed,
    find_vm_worker,
)
from medlarspring_systems.scheduling.fleet_plan import plan_operations
from medlarspring_systems.scheduling.vm_division import divide_vms
from medlarspring_systems.scheduling.yields import (
    MAX_YIELD_SECONDS,
    MIN_STAY_SECONDS,
    plan_yields,
)
from medlarspring_tables import PartnerId, PoolId, VMId
from medlarspring_tables.scheduling import (
    FleetLimits,
    PartnerPolicy,
    PoolPolicy,
    QuarantineReason,
)

from .conftest import NOW, POOL, create_step, start

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_tables.scheduling import Worker

    from .conftest import Scene

OTHER = PoolId("survey")
VM_COUNT = 10


def create_need(timely: int, late: int = 0, lasting: int = 0) -> PoolNeed:
    busy = timely + late
    return PoolNeed(busy, busy, lasting_vms=lasting, timely_vms=timely)


def yield_vms(scene: Scene, fleet: FleetTables, now: float = NOW) -> set[VMId]:
    """Plan the yields of one pass; returns the VMs that yield."""
    former = fleet.yielding_since_by_vm
    plan_yields(scene.tables, fleet, former, {POOL: VM_COUNT}, now)
    return set(fleet.yielding_since_by_vm)


@pytest.mark.parametrize(
    ("needs", "divided"),
    [
        pytest.param([(3, 0), (4, 2)], [3, 6], id="enough-for-all"),
        pytest.param([(1, 9), (8, 0)], [2, 8], id="late-work-gets-the-rest"),
        pytest.param([(2, 0), (30, 0)], [2, 8], id="small-needs-are-met-whole"),
        pytest.param([(20, 0), (30, 5)], [5, 5], id="equal-parts"),
        pytest.param([(1, 40), (1, 40)], [5, 5], id="late-work-in-equal-parts"),
        pytest.param([(6, 0, 6), (30, 0)], [6, 4], id="long-running-tasks-first"),
    ],
)
def test_division(needs: list[tuple[int, ...]], divided: list[int]):
    by_pool = {PoolId(str(n)): create_need(*each) for n, each in enumerate(needs)}
    assert list(divide_vms(by_pool, VM_COUNT).values()) == divided


@given(
    st.lists(st.tuples(st.integers(0, 50), st.integers(0, 50)), max_size=6),
    st.integers(0, 100),
)
def test_division_uses_every_vm_that_is_needed(needs, vm_count: int):
    by_pool = {PoolId(str(n)): create_need(*each) for n, each in enumerate(needs)}
    divided = divide_vms(by_pool, vm_count)
    assert sum(divided.values()) == min(vm_count, sum(map(sum, needs)))
    assert all(divided[pool] <= need.busy_vms for pool, need in by_pool.items())


@pytest.fixture
def fleet(scene: Scene) -> FleetTables:
    """A pool with all VMs, at work on jobs that are late; another pool has none."""
    tables = scene.tables
    pools = tables.config.pools_by_id | {OTHER: PoolPolicy(OTHER)}
    partners = {PartnerId(name): PartnerPolicy(PartnerId(name)) for name in "ab"}
    tables.config = replace(tables.config, pools_by_id=pools, partners_by_id=partners)
    queue = scene.create_queue()
    tables.config.queues_by_id[queue.id] = queue
    for number in range(VM_COUNT):
        scene.add_worker(number)
    for number in range(40):
        step = create_step(count=8, estimate_ms=1_000)
        scene.add_job(f"{number:016x}", step, age=4.0)
    start(scene)
    fleet = FleetTables(initial_sizes_known=True, initial_sizes={POOL: 1, OTHER: 1})
    fleet.needs_by_pool = {POOL: create_need(0, 20), OTHER: create_need(20)}
    fleet.allotted_by_pool = {POOL: 2, OTHER: 8}
    return fleet


def test_pool_with_late_work_yields_to_a_burst_that_can_be_on_time(
    scene: Scene, fleet: FleetTables
):
    """
    A burst keeps its pool's VMs busy after its jobs became late. Guards against the
    next queue's burst waiting for them until its own jobs are late.
    """
    assert len(yield_vms(scene, fleet)) == 8


def test_pool_keeps_the_vms_that_its_own_timely_work_needs(
    scene: Scene, fleet: FleetTables
):
    fleet.needs_by_pool[POOL] = create_need(7, 20)
    assert len(yield_vms(scene, fleet)) == VM_COUNT - 7


@pytest.mark.parametrize("lacking", [1, 3])
def test_no_more_vms_yield_than_are_lacking(
    scene: Scene, fleet: FleetTables, lacking: int
):
    fleet.allotted_by_pool = {POOL: 0, OTHER: lacking}
    assert len(yield_vms(scene, fleet)) == lacking


def test_vms_that_are_idle_soonest_yield_first(scene: Scene, fleet: FleetTables):
    """Guards against nearly empty VMs that wait for a task that outlived its time."""
    workers = list(scene.tables.workers_by_id.values())
    overdue, idle = workers[0], workers[-1]
    for run in overdue.runs.values():
        run.confirmed_at = NOW - 2.5
    idle.runs.clear()
    fleet.allotted_by_pool = {POOL: 0, OTHER: 1}
    assert yield_vms(scene, fleet) == {idle.vm_id}


def test_vms_that_yield_go_on_to_yield(scene: Scene, fleet: FleetTables):
    fleet.allotted_by_pool = {POOL: 0, OTHER: 1}
    former = yield_vms(scene, fleet)
    for vm_id in former:
        worker = find_vm_worker(scene.tables, scene.tables.vms_by_id[vm_id])
        assert worker is not None
        for run in worker.runs.values():
            run.confirmed_at = NOW + 0.2
    assert yield_vms(scene, fleet, NOW + 0.2) == former


def test_yielding_vm_gets_no_new_tasks(scene: Scene, fleet: FleetTables):
    plan_operations(scene.tables, fleet, FleetLimits(), NOW)
    yielding = [each for each in scene.tables.workers_by_id.values() if each.reserved]
    assert [each.vm_id for each in yielding] == list(fleet.yielding_since_by_vm)
    assert len(yielding) == 1


def test_yielding_vm_is_moved_once_it_is_idle(scene: Scene, fleet: FleetTables):
    tables = scene.tables
    plan_operations(tables, fleet, FleetLimits(), NOW)
    (vm_id,) = fleet.yielding_since_by_vm
    worker = find_vm_worker(tables, tables.vms_by_id[vm_id])
    assert worker is not None
    worker.runs.clear()
    plan = plan_operations(tables, fleet, FleetLimits(), NOW + 0.2)
    moves = [each for each in plan.operations if isinstance(each, MoveVM)]
    assert [(each.vm_id, each.pool_id) for each in moves] == [(vm_id, OTHER)]


def test_vm_serves_again_if_it_is_not_taken(scene: Scene, fleet: FleetTables):
    """Guards against tasks waiting beside idle VMs while VM control refuses moves."""
    fleet.allotted_by_pool = {POOL: 2, OTHER: 4}
    former = yield_vms(scene, fleet)
    assert len(former) == 4
    for late in (0.1, MIN_STAY_SECONDS - 0.1):
        now = NOW + MAX_YIELD_SECONDS + late
        assert not former & yield_vms(scene, fleet, now)


def test_vm_that_ceased_to_yield_serves_for_its_stay(scene: Scene, fleet: FleetTables):
    """Guards against VMs that serve for a moment between two yields without end."""
    former = yield_vms(scene, fleet)
    lacking, fleet.allotted_by_pool = fleet.allotted_by_pool, {POOL: VM_COUNT, OTHER: 0}
    assert not yield_vms(scene, fleet, NOW + 0.2)
    fleet.allotted_by_pool = lacking
    assert not former & yield_vms(scene, fleet, NOW + 0.4)


def test_all_vms_serve_while_the_vm_list_is_old(scene: Scene, fleet: FleetTables):
    """Guards against VMs that yield without end while VM control is down."""
    plan_operations(scene.tables, fleet, FleetLimits(), NOW)
    assert fleet.yielding_since_by_vm
    plan_operations(scene.tables, fleet, FleetLimits(), NOW + 5.0)
    assert not any(each.reserved for each in scene.tables.workers_by_id.values())


def test_vm_that_has_just_moved_does_not_yield(scene: Scene, fleet: FleetTables):
    """Guards against VMs that change their pool back and forth and serve nobody."""
    just_before_end = NOW - fleet.move_seconds - MIN_STAY_SECONDS + 0.1
    fleet.moved_at_by_vm = dict.fromkeys(scene.tables.vms_by_id, just_before_end)
    assert not yield_vms(scene, fleet)
    assert yield_vms(scene, fleet, NOW + 0.2)


def set_long_running(worker: Worker) -> None:
    worker.long_runs = 1


def set_kept(worker: Worker) -> None:
    worker.kept_cpu_millis = 1_000


def set_not_reconciled(worker: Worker) -> None:
    worker.reconciled = False


def set_unresponsive(worker: Worker) -> None:
    worker.unanswered_since = NOW - 0.1


def set_draining(worker: Worker) -> None:
    worker.draining = True


@pytest.mark.parametrize(
    "change",
    [set_long_running, set_kept, set_not_reconciled, set_unresponsive, set_draining],
)
def test_vm_that_can_not_be_emptied_does_not_yield(
    scene: Scene, fleet: FleetTables, change: Callable[[Worker], None]
):
    worker = next(iter(scene.tables.workers_by_id.values()))
    change(worker)
    fleet.allotted_by_pool = {POOL: 0, OTHER: VM_COUNT}
    yielding = yield_vms(scene, fleet)
    assert yielding
    assert worker.vm_id not in yielding


def test_vm_with_a_required_label_does_not_yield(scene: Scene, fleet: FleetTables):
    """Guards against a task that waits for a label that no VM of its pool has left."""
    worker = next(iter(scene.tables.workers_by_id.values()))
    worker.labels |= {"gpu"}
    scene.add_job("f" * 16, create_step(required_label="gpu", cpu_millis=16_000))
    fleet.allotted_by_pool = {POOL: 0, OTHER: VM_COUNT}
    assert worker.vm_id not in yield_vms(scene, fleet)


def test_vms_that_do_not_serve_do_not_replace_those_that_do(
    scene: Scene, fleet: FleetTables
):
    """Guards against a pool that yields its last sound VM beside quarantined ones."""
    for worker in list(scene.tables.workers_by_id.values())[1:]:
        worker.quarantine_reason = QuarantineReason.FAILING
    fleet.allotted_by_pool = {POOL: 1, OTHER: VM_COUNT}
    assert not yield_vms(scene, fleet)


def test_no_vm_yields_without_competing_partners(scene: Scene, fleet: FleetTables):
    plan_operations(scene.tables, fleet, FleetLimits(), NOW)
    assert fleet.yielding_since_by_vm
    scene.tables.config = replace(scene.tables.config, partners_by_id={})
    plan_operations(scene.tables, fleet, FleetLimits(), NOW + 0.2)
    assert not fleet.yielding_since_by_vm
