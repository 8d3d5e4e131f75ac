"""Incarnations of workers, known from entries, VM lists and listings."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from medlarspring_systems.scheduling.late_orders import pop_late_orders
from medlarspring_systems.scheduling.listings import apply_listing
from medlarspring_systems.scheduling.rounds import plan_round
from medlarspring_systems.scheduling.runs import confirm_run
from medlarspring_systems.scheduling.workers import (
    apply_entry,
    apply_vm_list,
    begin_incarnation,
    bound_unknown_lease,
    end_incarnation,
    find_or_create_worker,
    have_recorded_runs_lapsed,
    is_lease_over,
    is_other_incarnation,
    is_overcommitted,
    record_clock,
)
from medlarspring_tables import PoolId, RackId, VMId, ZoneId
from medlarspring_tables.scheduling import (
    EndedRow,
    Resources,
    RunEnd,
    RunningRow,
    RunState,
    VMPhase,
    WorkerCondition,
    WorkerEntry,
    WorkerId,
)

from .conftest import create_step

if TYPE_CHECKING:
    from medlarspring_tables.scheduling import Run, Worker

    from .conftest import Scene

POOL = PoolId("consent")
NOW = 1_000.0
BORN_MS = 1_774_442_565_332
NEXT_MS = BORN_MS + 4_000
LONGEST_LEASE = 10.0

ENTRY = WorkerEntry(
    id=WorkerId("i-1"),
    vm_id=VMId("m-1"),
    pool_id=POOL,
    zone_id=ZoneId("z"),
    address="10.0.0.1:80",
    condition=WorkerCondition.READY,
    resources=Resources(16_000, 32_768, 0),
    labels=("a", "r1-1"),
    rack_id=RackId("r1-1"),
    clock_ms=1_000,
    born_ms=BORN_MS,
)


def end_incarnation_by_vm_list(scene: Scene) -> None:
    """Apply a VM list in which the VM of the entry is down."""
    vm = replace(scene.add_vm(1, POOL), phase=VMPhase.DOWN)
    (worker,) = apply_vm_list(scene.tables, (vm,), NOW + 1.0)
    end_incarnation(scene.tables, worker, NOW + 1.0)


@pytest.mark.parametrize(
    ("phase", "vm_worker_id", "is_over"),
    [
        (VMPhase.UP, None, True),
        (VMPhase.UNKNOWN, WorkerId("i-9"), True),
        (VMPhase.UNKNOWN, None, False),
    ],
)
def test_worker_of_an_unknown_vm_is_not_over_while_a_vm_may_run_it(
    scene: Scene, phase: VMPhase, vm_worker_id: WorkerId | None, is_over: bool
):
    """Guards against runs that count as lost because a VM's row can't be read."""
    vm = replace(scene.add_vm(1, POOL), phase=phase, worker_id=vm_worker_id)
    worker = find_or_create_worker(scene.tables, WorkerId("i-1"), NOW)
    assert (worker in apply_vm_list(scene.tables, (vm,), NOW + 9.0)) is is_over


def apply_resources(scene: Scene, resources: Resources) -> Worker:
    """Apply an entry of the same incarnation with other resources."""
    worker = apply_entry(scene.tables, replace(ENTRY, resources=resources), NOW)
    assert worker is not None
    worker.reconciled = True
    return worker


@pytest.mark.parametrize(
    ("resources", "free", "starts"),
    [
        (Resources(16_000, 32_768, 0), (12_000, 30_768, 0), 1),
        (Resources(6_000, 32_768, 0), (2_000, 30_768, 0), 1),
        (Resources(5_000, 32_768, 0), (1_000, 30_768, 0), 0),
        (Resources(1_000, 32_768, 0), (-3_000, 30_768, 0), 0),
        (Resources(16_000, 2_500, 0), (12_000, 500, 0), 0),
        (Resources(32_000, 65_536, 8), (28_000, 63_536, 8), 1),
    ],
    ids=["the same", "just enough", "too small", "overcommitted", "memory", "larger"],
)
def test_changed_resources_of_a_worker_are_applied(
    scene: Scene, resources: Resources, free: tuple[int, int, int], starts: int
):
    """Guards against starts by the resources in a worker's first entry."""
    apply_resources(scene, ENTRY.resources)
    scene.add_job("first", create_step(count=2))
    for run in plan_round(scene.tables, POOL, NOW):
        confirm_run(run, NOW)
    worker = apply_resources(scene, resources)
    assert (worker.cpu_free, worker.memory_free, worker.accelerators_free) == free
    assert is_overcommitted(worker) == (free[0] < 0)
    scene.add_job("second", create_step())
    assert len(plan_round(scene.tables, POOL, NOW)) == starts


def test_resources_that_shrank_and_grew_again_are_all_free(scene: Scene):
    for resources in (ENTRY.resources, Resources(1_000, 1_000, 0), ENTRY.resources):
        worker = apply_resources(scene, resources)
    assert (worker.cpu_free, worker.memory_free) == (16_000, 32_768)


@pytest.mark.parametrize(
    ("born_ms", "is_accepted"),
    [(BORN_MS, False), (BORN_MS + 1, True), (BORN_MS - 1, True)],
    ids=["the same incarnation", "a later one", "its clock was set back"],
)
def test_ended_worker_is_accepted_in_a_new_incarnation(
    scene: Scene, born_ms: int, is_accepted: bool
):
    """
    Guards against orders to an ended incarnation and against ignoring its successor.
    After the VM list showed the VM as down, an entry of the same incarnation is
    outdated, and one of another incarnation is of a worker that can get tasks.
    """
    apply_entry(scene.tables, ENTRY, NOW)
    end_incarnation_by_vm_list(scene)
    worker = apply_entry(scene.tables, replace(ENTRY, born_ms=born_ms), NOW + 2.0)
    assert (worker is not None) is is_accepted
    if worker is not None:
        worker.reconciled = True
        scene.add_job("j", create_step(), now=NOW + 2.0)
        assert len(plan_round(scene.tables, POOL, NOW + 2.0)) == 1


def test_worker_that_reports_no_start_has_one_incarnation(scene: Scene):
    entry = replace(ENTRY, born_ms=0)
    apply_entry(scene.tables, entry, NOW)
    end_incarnation_by_vm_list(scene)
    assert apply_entry(scene.tables, entry, NOW + 2.0) is None


def start_runs(scene: Scene, *states: RunState) -> tuple[Worker, list[Run]]:
    """Return a worker in its first incarnation, with a run in each state."""
    worker = apply_entry(scene.tables, ENTRY, NOW)
    assert worker is not None
    worker.reconciled = True
    record_clock(worker, 5_000, NOW)
    scene.add_job("j", create_step(count=len(states)))
    runs = plan_round(scene.tables, POOL, NOW)
    for run, state in zip(runs, states, strict=True):
        if state is RunState.RUNNING:
            confirm_run(run, NOW)
        run.state = state
        run.ordered_at = NOW
    return worker, runs


def list_runs(scene: Scene, worker: Worker, runs: list[Run], at: float) -> None:
    rows = [RunningRow(run.task.id, run.number, "", 10) for run in runs]
    apply_listing(scene.tables, worker, rows, [], at, at + 0.01)


def test_runs_listed_by_an_ended_incarnation_are_over(scene: Scene):
    worker, (listed, intended, ordered) = start_runs(
        scene, RunState.RUNNING, RunState.INTENDED, RunState.ORDERED
    )
    list_runs(scene, worker, [listed], NOW + 0.1)
    over = begin_incarnation(scene.tables, worker, NEXT_MS, LONGEST_LEASE, NOW + 1.0)
    assert over == [listed, intended]
    assert list(worker.runs.values()) == [ordered]


def test_order_executed_by_the_next_incarnation_is_found(scene: Scene):
    """
    Guards against running a task twice. An order names its worker by id only and may
    reach the next incarnation before that is known; it is not over with the former.
    """
    worker, (unanswered, refused) = start_runs(
        scene, RunState.UNKNOWN, RunState.UNKNOWN
    )
    refused.stop_confirmed_at = NOW + 0.5
    begin_incarnation(scene.tables, worker, NEXT_MS, LONGEST_LEASE, NOW + 1.0)
    list_runs(scene, worker, [unanswered], NOW + 1.1)
    assert unanswered.state is RunState.RUNNING
    # The former incarnation confirmed the stop; the next one may still start the run.
    assert refused.task.runs == [refused]


def test_ends_of_the_next_incarnation_are_numbered_from_one(scene: Scene):
    worker, (first, second) = start_runs(scene, RunState.RUNNING, RunState.UNKNOWN)
    end = EndedRow(40, first.task.id, 1, RunEnd.DONE, "")
    apply_listing(scene.tables, worker, [], [end], NOW + 0.1, NOW + 0.1)
    begin_incarnation(scene.tables, worker, NEXT_MS, LONGEST_LEASE, NOW + 1.0)
    end = EndedRow(1, second.task.id, 1, RunEnd.DONE, "")
    outcome = apply_listing(scene.tables, worker, [], [end], NOW + 1.1, NOW + 1.1)
    assert [run for run, _ in outcome.ended] == [second]


def test_next_incarnation_gets_tasks_after_its_entry_and_listing(scene: Scene):
    """
    Guards against starts by outdated resources or beside unknown runs. The next
    incarnation may offer other resources, so that it gets no tasks before its entry
    and its first listing were read.
    """
    worker, _ = start_runs(scene, RunState.RUNNING)
    begin_incarnation(scene.tables, worker, NEXT_MS, LONGEST_LEASE, NOW + 1.0)
    scene.add_job("k", create_step(), now=NOW + 1.0)
    assert plan_round(scene.tables, POOL, NOW + 1.0) == []
    entry = replace(ENTRY, born_ms=NEXT_MS, resources=Resources(8_000, 32_768, 0))
    assert apply_entry(scene.tables, entry, NOW + 1.1) is worker
    assert plan_round(scene.tables, POOL, NOW + 1.1) == []
    list_runs(scene, worker, [], NOW + 1.2)
    worker.reconciled = True
    assert len(plan_round(scene.tables, POOL, NOW + 1.3)) == 2
    assert worker.cpu_free == 8_000 - 2 * create_step().cpu_millis


def test_old_entry_does_not_restore_an_ended_incarnation(scene: Scene):
    worker, _ = start_runs(scene, RunState.RUNNING)
    begin_incarnation(scene.tables, worker, NEXT_MS, LONGEST_LEASE, NOW + 1.0)
    assert apply_entry(scene.tables, ENTRY, NOW + 1.1) is None
    assert worker.born_ms == NEXT_MS


def test_orders_to_an_unresponsive_next_incarnation_lapse(scene: Scene):
    """
    A worker restarts behind a partition, as its entry shows, and does not answer. An
    order that it may have executed has one lease at most, on a clock that is not
    known. Guards against starting its task elsewhere before that time, or never.
    """
    worker, _ = start_runs(scene, RunState.ORDERED)
    begin_incarnation(scene.tables, worker, NEXT_MS, LONGEST_LEASE, NOW + 1.0)
    assert not is_lease_over(worker, NOW + 1.0 + LONGEST_LEASE)
    assert is_lease_over(worker, NOW + 1.5 + LONGEST_LEASE)


def test_runs_lapse_on_a_worker_that_answered_nothing_but_a_stop(scene: Scene):
    """Guards against tasks that wait forever because only the clock is known."""
    worker, _ = start_runs(scene, RunState.UNKNOWN)
    worker.reconciled = False
    worker.lease_ms = 0
    record_clock(worker, 5_000, NOW + 0.1)
    later = NOW + 0.5 + LONGEST_LEASE
    assert have_recorded_runs_lapsed(scene.tables, worker, LONGEST_LEASE, later)


@pytest.mark.parametrize("clock_ms", [700, 9_000_000])
def test_lease_of_the_next_incarnation_is_counted_on_its_own_clock(
    scene: Scene, clock_ms: int
):
    """Guards against leases that seem over at once, or never, on another clock."""
    worker, _ = start_runs(scene, RunState.ORDERED)
    begin_incarnation(scene.tables, worker, NEXT_MS, LONGEST_LEASE, NOW + 1.0)
    record_clock(worker, clock_ms, NOW + 2.0)
    bound_unknown_lease(worker, LONGEST_LEASE)
    assert not is_lease_over(worker, NOW + 2.0 + LONGEST_LEASE)
    assert is_lease_over(worker, NOW + 2.5 + LONGEST_LEASE)


def test_worker_that_answered_one_call_of_a_new_controller_lapses(scene: Scene):
    """Guards against tasks that wait forever for a worker that fell silent again."""
    worker, _ = start_runs(scene, RunState.UNKNOWN)
    worker.lease_ms = 0
    bound_unknown_lease(worker, LONGEST_LEASE)
    assert not is_lease_over(worker, NOW + LONGEST_LEASE)
    assert is_lease_over(worker, NOW + 0.5 + LONGEST_LEASE)


@pytest.mark.parametrize(
    ("state", "late_orders"),
    [(RunState.UNKNOWN, [("j.0.0.0", 1)]), (RunState.RUNNING, [])],
)
def test_next_incarnation_refuses_orders_that_were_never_confirmed(
    scene: Scene, state: RunState, late_orders: list[tuple[str, int]]
):
    """Guards against a late order of an earlier controller that starts a task twice."""
    worker, _ = start_runs(scene, state)
    end_incarnation(scene.tables, worker, NOW + 1.0)
    following = apply_entry(scene.tables, replace(ENTRY, born_ms=NEXT_MS), NOW + 2.0)
    assert following is not None
    assert pop_late_orders(scene.tables, following, NOW + 3.0) == late_orders


@pytest.mark.parametrize(
    ("predecessors_until", "after", "lapsed"),
    [
        (NOW - 5.0, 10.1, False),
        (NOW - 5.0, 10.3, True),
        (NOW + 1.0, 11.1, False),
        (NOW + 1.0, 11.3, True),
    ],
)
def test_recorded_runs_lapse_one_lease_after_the_last_possible_extension(
    scene: Scene, predecessors_until: float, after: float, lapsed: bool
):
    worker, _ = start_runs(scene, RunState.UNKNOWN)
    worker.reconciled = False
    scene.tables.predecessors_until = predecessors_until
    found = have_recorded_runs_lapsed(scene.tables, worker, LONGEST_LEASE, NOW + after)
    assert found is lapsed


@pytest.mark.parametrize(
    ("known_ms", "reported_ms", "is_other"),
    [
        (BORN_MS, BORN_MS, False),
        (BORN_MS, NEXT_MS, True),
        (NEXT_MS, BORN_MS, True),
        (0, BORN_MS, False),
        (BORN_MS, 0, False),
    ],
)
def test_incarnations_are_distinguished_by_their_starts(
    scene: Scene, known_ms: int, reported_ms: int, is_other: bool
):
    worker = apply_entry(scene.tables, replace(ENTRY, born_ms=known_ms), NOW)
    assert worker is not None
    assert is_other_incarnation(worker, reported_ms) is is_other
