"""Lives of workers, as entries, VM lists and listings tell of them."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from medlarspring_systems.scheduling.listings import apply_listing
from medlarspring_systems.scheduling.rounds import plan_round
from medlarspring_systems.scheduling.runs import confirm_run
from medlarspring_systems.scheduling.workers import (
    begin_life,
    end_life,
    is_lease_over,
    is_other_life,
    is_overfull,
    note_clock,
    take_entry,
    take_vms,
)
from medlarspring_tables import PoolId, RackId, VMId, ZoneId
from medlarspring_tables.scheduling import (
    EndedRow,
    Room,
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
    room=Room(16_000, 32_768, 0),
    labels=("a", "r1-1"),
    rack_id=RackId("r1-1"),
    clock_ms=1_000,
    born_ms=BORN_MS,
)


def end_life_by_vm_list(scene: Scene) -> None:
    """Let the VM list show the VM of the entry as down."""
    vm = replace(scene.add_vm(1, POOL), phase=VMPhase.DOWN)
    (worker,) = take_vms(scene.tables, (vm,), NOW + 1.0)
    end_life(scene.tables, worker, NOW + 1.0)


def shrink(scene: Scene, room: Room) -> Worker:
    """Let the worker of the entry tell another room, in the same life."""
    worker = take_entry(scene.tables, replace(ENTRY, room=room), NOW)
    assert worker is not None
    worker.settled = True
    return worker


@pytest.mark.parametrize(
    ("room", "free", "starts"),
    [
        (Room(16_000, 32_768, 0), (12_000, 30_768, 0), 1),
        (Room(6_000, 32_768, 0), (2_000, 30_768, 0), 1),
        (Room(5_000, 32_768, 0), (1_000, 30_768, 0), 0),
        (Room(1_000, 32_768, 0), (-3_000, 30_768, 0), 0),
        (Room(16_000, 2_500, 0), (12_000, 500, 0), 0),
        (Room(32_000, 65_536, 8), (28_000, 63_536, 8), 1),
    ],
    ids=["the same", "just enough", "too small", "overfull", "memory", "larger"],
)
def test_room_that_a_worker_tells_later_counts(
    scene: Scene, room: Room, free: tuple[int, int, int], starts: int
):
    """Guards against starts by the room that a worker had when it was first listed."""
    shrink(scene, ENTRY.room)
    scene.add_job("first", create_step(count=2))
    for run in plan_round(scene.tables, POOL, NOW):
        confirm_run(run, NOW)
    worker = shrink(scene, room)
    assert (worker.cpu_free, worker.memory_free, worker.accelerators_free) == free
    assert is_overfull(worker) == (free[0] < 0)
    scene.add_job("second", create_step())
    assert len(plan_round(scene.tables, POOL, NOW)) == starts


def test_room_that_shrank_and_grew_again_is_whole(scene: Scene):
    for room in (ENTRY.room, Room(1_000, 1_000, 0), ENTRY.room):
        worker = shrink(scene, room)
    assert (worker.cpu_free, worker.memory_free) == (16_000, 32_768)


@pytest.mark.parametrize(
    ("born_ms", "is_taken"),
    [(BORN_MS, False), (BORN_MS + 1, True), (BORN_MS - 1, True)],
    ids=["the same life", "a later one", "its clock was set back"],
)
def test_worker_whose_life_was_over_is_taken_again_in_another_life(
    scene: Scene, born_ms: int, is_taken: bool
):
    """
    The VM list shows a VM down, then its worker's entry comes again. The same life
    is an old entry, and an order sent there would wait for nothing; another life
    is empty and takes tasks.
    """
    take_entry(scene.tables, ENTRY, NOW)
    end_life_by_vm_list(scene)
    worker = take_entry(scene.tables, replace(ENTRY, born_ms=born_ms), NOW + 2.0)
    assert (worker is not None) is is_taken
    if worker is not None:
        worker.settled = True
        scene.add_job("j", create_step(), now=NOW + 2.0)
        assert len(plan_round(scene.tables, POOL, NOW + 2.0)) == 1


def test_worker_that_tells_no_start_has_one_life(scene: Scene):
    entry = replace(ENTRY, born_ms=0)
    take_entry(scene.tables, entry, NOW)
    end_life_by_vm_list(scene)
    assert take_entry(scene.tables, entry, NOW + 2.0) is None


def start_runs(scene: Scene, *states: RunState) -> tuple[Worker, list[Run]]:
    """Return a worker with a run in each state, as its first life knows them."""
    worker = take_entry(scene.tables, ENTRY, NOW)
    assert worker is not None
    worker.settled = True
    note_clock(worker, 5_000, NOW)
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


def test_what_a_former_life_listed_is_over_with_it(scene: Scene):
    worker, (listed, intended, ordered) = start_runs(
        scene, RunState.RUNNING, RunState.INTENDED, RunState.ORDERED
    )
    list_runs(scene, worker, [listed], NOW + 0.1)
    over = begin_life(scene.tables, worker, NEXT_MS, LONGEST_LEASE, NOW + 1.0)
    assert over == [listed, intended]
    assert list(worker.runs.values()) == [ordered]


def test_order_that_the_next_life_carried_out_is_found_there(scene: Scene):
    """
    An order names its worker by id only. It reached the next life before its entry
    did; counted as over with the former life, its task would run twice.
    """
    worker, (unanswered, refused) = start_runs(
        scene, RunState.UNKNOWN, RunState.UNKNOWN
    )
    refused.stop_confirmed_at = NOW + 0.5
    begin_life(scene.tables, worker, NEXT_MS, LONGEST_LEASE, NOW + 1.0)
    list_runs(scene, worker, [unanswered], NOW + 1.1)
    assert unanswered.state is RunState.RUNNING
    # The stop was confirmed by the former life; the next one may begin it yet.
    assert refused.task.runs == [refused]


def test_ends_of_the_next_life_are_counted_from_one(scene: Scene):
    worker, (first, second) = start_runs(scene, RunState.RUNNING, RunState.UNKNOWN)
    end = EndedRow(40, first.task.id, 1, RunEnd.DONE, "")
    apply_listing(scene.tables, worker, [], [end], NOW + 0.1, NOW + 0.1)
    begin_life(scene.tables, worker, NEXT_MS, LONGEST_LEASE, NOW + 1.0)
    end = EndedRow(1, second.task.id, 1, RunEnd.DONE, "")
    outcome = apply_listing(scene.tables, worker, [], [end], NOW + 1.1, NOW + 1.1)
    assert [run for run, _ in outcome.ended] == [second]


def test_next_life_takes_tasks_once_its_entry_and_its_listing_are_there(scene: Scene):
    """
    The next life of a VM may be of another kind. Until its entry tells, and until
    it has listed what runs there, it gets nothing.
    """
    worker, _ = start_runs(scene, RunState.RUNNING)
    begin_life(scene.tables, worker, NEXT_MS, LONGEST_LEASE, NOW + 1.0)
    scene.add_job("k", create_step(), now=NOW + 1.0)
    assert plan_round(scene.tables, POOL, NOW + 1.0) == []
    entry = replace(ENTRY, born_ms=NEXT_MS, room=Room(8_000, 32_768, 0))
    assert take_entry(scene.tables, entry, NOW + 1.1) is worker
    assert plan_round(scene.tables, POOL, NOW + 1.1) == []
    list_runs(scene, worker, [], NOW + 1.2)
    worker.settled = True
    assert len(plan_round(scene.tables, POOL, NOW + 1.3)) == 2
    assert worker.cpu_free == 8_000 - 2 * create_step().cpu_millis


def test_old_entry_does_not_bring_a_former_life_back(scene: Scene):
    worker, _ = start_runs(scene, RunState.RUNNING)
    begin_life(scene.tables, worker, NEXT_MS, LONGEST_LEASE, NOW + 1.0)
    assert take_entry(scene.tables, ENTRY, NOW + 1.1) is None
    assert worker.born_ms == NEXT_MS


def test_orders_to_a_next_life_that_stays_silent_lapse(scene: Scene):
    """
    A worker starts again behind a cut, as its entry tells, and answers nobody. An
    order that it may have taken runs for one lease at most, on a clock that is not
    known; its task is free once that is over, and not before.
    """
    worker, _ = start_runs(scene, RunState.ORDERED)
    begin_life(scene.tables, worker, NEXT_MS, LONGEST_LEASE, NOW + 1.0)
    assert not is_lease_over(worker, NOW + 1.0 + LONGEST_LEASE)
    assert is_lease_over(worker, NOW + 1.5 + LONGEST_LEASE)


@pytest.mark.parametrize(
    ("known_ms", "told_ms", "is_other"),
    [
        (BORN_MS, BORN_MS, False),
        (BORN_MS, NEXT_MS, True),
        (NEXT_MS, BORN_MS, True),
        (0, BORN_MS, False),
        (BORN_MS, 0, False),
    ],
)
def test_lives_are_told_apart_by_their_starts(
    scene: Scene, known_ms: int, told_ms: int, is_other: bool
):
    worker = take_entry(scene.tables, replace(ENTRY, born_ms=known_ms), NOW)
    assert worker is not None
    assert is_other_life(worker, told_ms) is is_other
