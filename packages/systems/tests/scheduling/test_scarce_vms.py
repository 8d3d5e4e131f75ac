"""Scarce VMs: bursts that follow one another, each larger than the fleet."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest
from hypothesis import given, strategies as st

from medlarspring_systems.scheduling.fleet import FleetTables, MoveVM, PoolNeed
from medlarspring_systems.scheduling.fleet_plan import plan_operations
from medlarspring_systems.scheduling.vm_division import divide_vms
from medlarspring_systems.scheduling.yields import (
    MAX_YIELD_SECONDS,
    MIN_STAY_SECONDS,
    plan_yields,
)
from medlarspring_tables import PartnerId, PoolId
from medlarspring_tables.scheduling import FleetLimits, PartnerPolicy, PoolPolicy

from .conftest import NOW, POOL, create_step, start

if TYPE_CHECKING:
    from .conftest import Scene

OTHER = PoolId("survey")
VM_COUNT = 10


def create_need(timely: int, late: int = 0) -> PoolNeed:
    return PoolNeed(vms=timely + late, busy_vms=timely + late, timely_vms=timely)


@pytest.mark.parametrize(
    ("needs", "divided"),
    [
        pytest.param([(3, 0), (4, 2)], [3, 6], id="enough-for-all"),
        pytest.param([(1, 9), (8, 0)], [2, 8], id="late-work-gets-the-rest"),
        pytest.param([(2, 0), (30, 0)], [2, 8], id="small-needs-are-met-whole"),
        pytest.param([(20, 0), (30, 5)], [5, 5], id="equal-parts"),
        pytest.param([(1, 40), (1, 40)], [5, 5], id="late-work-in-equal-parts"),
    ],
)
def test_division(needs: list[tuple[int, int]], divided: list[int]):
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
    return fleet


def test_pool_with_late_work_yields_to_a_burst_that_can_be_on_time(
    scene: Scene, fleet: FleetTables
):
    """
    A burst keeps its pool's VMs busy after its jobs became late. Guards against the
    next queue's burst waiting for them until its own jobs are late.
    """
    plan_yields(scene.tables, fleet, {POOL: 2, OTHER: 8}, {POOL: VM_COUNT}, NOW)
    assert len(fleet.yielding_since_by_vm) == 8


def test_pool_keeps_the_vms_that_its_own_timely_work_needs(
    scene: Scene, fleet: FleetTables
):
    fleet.needs_by_pool[POOL] = create_need(7, 20)
    plan_yields(scene.tables, fleet, {POOL: 2, OTHER: 8}, {POOL: VM_COUNT}, NOW)
    assert len(fleet.yielding_since_by_vm) == VM_COUNT - 7


def test_yielding_vm_gets_no_new_tasks(scene: Scene, fleet: FleetTables):
    plan_operations(scene.tables, fleet, FleetLimits(), NOW)
    yielding = [each for each in scene.tables.workers_by_id.values() if each.reserved]
    assert [each.vm_id for each in yielding] == list(fleet.yielding_since_by_vm)
    assert len(yielding) == 1


def test_yielding_vm_is_moved_once_it_is_idle(scene: Scene, fleet: FleetTables):
    tables = scene.tables
    for job in list(tables.jobs_by_id.values()):
        scene.drop_job(job)
    for worker in tables.workers_by_id.values():
        worker.runs.clear()
    plan = plan_operations(tables, fleet, FleetLimits(), NOW)
    moves = [each for each in plan.operations if isinstance(each, MoveVM)]
    assert any(each.pool_id == OTHER for each in moves)


def test_vm_serves_again_if_it_is_not_taken(scene: Scene, fleet: FleetTables):
    """Guards against tasks waiting beside idle VMs while VM control refuses moves."""
    allotted, has = {POOL: 2, OTHER: 8}, {POOL: VM_COUNT}
    plan_yields(scene.tables, fleet, allotted, has, NOW)
    yielding = set(fleet.yielding_since_by_vm)
    for late in (0.1, MIN_STAY_SECONDS - 0.1):
        now = NOW + MAX_YIELD_SECONDS + late
        plan_yields(scene.tables, fleet, allotted, has, now)
        assert not yielding & set(fleet.yielding_since_by_vm)


def test_vm_that_has_just_moved_does_not_yield(scene: Scene, fleet: FleetTables):
    """Guards against VMs that change their pool back and forth and serve nobody."""
    fleet.moved_at_by_vm = dict.fromkeys(scene.tables.vms_by_id, NOW - 1.0)
    plan_yields(scene.tables, fleet, {POOL: 2, OTHER: 8}, {POOL: VM_COUNT}, NOW)
    assert not fleet.yielding_since_by_vm


def test_vms_with_long_running_tasks_do_not_yield(scene: Scene, fleet: FleetTables):
    worker = next(iter(scene.tables.workers_by_id.values()))
    worker.long_runs = 1
    plan_yields(scene.tables, fleet, {POOL: 0, OTHER: 10}, {POOL: VM_COUNT}, NOW)
    assert worker.vm_id not in fleet.yielding_since_by_vm
    assert len(fleet.yielding_since_by_vm) == VM_COUNT - 1


def test_no_vm_yields_without_competing_partners(scene: Scene, fleet: FleetTables):
    scene.tables.config = replace(scene.tables.config, partners_by_id={})
    plan_operations(scene.tables, fleet, FleetLimits(), NOW)
    assert not fleet.yielding_since_by_vm
