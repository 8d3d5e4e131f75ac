"""Scheduling rounds: which tasks start, in which order and on which workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from medlarspring_systems.scheduling import rounds
from medlarspring_systems.scheduling.quarantine import quarantine_worker
from medlarspring_systems.scheduling.rounds import (
    SAME_RACK_WAIT_SECONDS,
    find_preemptible,
    plan_round,
)
from medlarspring_systems.scheduling.runs import (
    allocate_resources,
    confirm_run,
    detach_run,
    end_run,
)
from medlarspring_systems.scheduling.workers import end_incarnation
from medlarspring_tables import PoolId
from medlarspring_tables.scheduling import QuarantineReason, RunEnd

from .conftest import create_step

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_tables.scheduling import StepSpec, Worker

    from .conftest import Scene

POOL = PoolId("consent")
NOW = 1_000.0
LASTING = {"long_running": True, "max_per_worker": 1}


def test_tasks_start_within_the_free_resources_of_the_workers(scene: Scene):
    scene.add_worker(1, cpu=4_000)
    scene.add_worker(2, cpu=2_000)
    scene.add_job("j", create_step(count=5))
    runs = plan_round(scene.tables, POOL, NOW)
    assert [run.worker.id for run in runs] == ["i-2", "i-1", "i-1"]
    assert [worker.cpu_free for worker in scene.tables.workers_by_id.values()] == [0, 0]


def test_steps_wait_for_all_tasks_of_earlier_steps(scene: Scene):
    scene.add_worker(1)
    scene.add_job("j", create_step(count=2), create_step(after=(0,)))
    first = plan_round(scene.tables, POOL, NOW)
    assert [run.task.id for run in first] == ["j.0.0.0", "j.0.0.1"]
    end_run(scene.tables, first[0], RunEnd.DONE, "", NOW)
    assert plan_round(scene.tables, POOL, NOW) == []
    end_run(scene.tables, first[1], RunEnd.DONE, "", NOW)
    assert [run.task.id for run in plan_round(scene.tables, POOL, NOW)] == ["j.0.1.0"]


def make_draining(worker: Worker) -> None:
    worker.draining = True


def make_reserved(worker: Worker) -> None:
    worker.reserved = True


def make_unlisted(worker: Worker) -> None:
    worker.listed = False


def make_unreconciled(worker: Worker) -> None:
    worker.reconciled = False


def make_unresponsive(worker: Worker) -> None:
    worker.unanswered_since = NOW


def make_quarantined(worker: Worker) -> None:
    quarantine_worker(worker, QuarantineReason.FAILING, NOW)


@pytest.mark.parametrize(
    "make_unschedulable",
    [
        make_draining,
        make_reserved,
        make_unlisted,
        make_unreconciled,
        make_unresponsive,
        make_quarantined,
    ],
)
def test_no_task_starts_on_an_unschedulable_worker(
    scene: Scene, make_unschedulable: Callable[[Worker], None]
):
    make_unschedulable(scene.add_worker(1))
    scene.add_job("j", create_step())
    assert plan_round(scene.tables, POOL, NOW) == []


@pytest.mark.parametrize(
    ("rules", "allowed"),
    [
        ({}, ["i-1", "i-1", "i-1", "i-1"]),
        ({"max_per_worker": 2}, ["i-1", "i-1", "i-2", "i-2"]),
        ({"required_label": "r2-1"}, ["i-2", "i-2", "i-2", "i-2"]),
        ({"required_label": "gpu"}, []),
        ({"data_rack": "r2-1"}, ["i-2", "i-2", "i-2", "i-2"]),
    ],
)
def test_placement_constraints_of_a_step(
    scene: Scene, rules: dict[str, object], allowed: list[str]
):
    scene.add_worker(1, cpu=8_000)
    scene.add_worker(2, cpu=9_000, rack="r2-1")
    scene.add_job("j", create_step(count=4, **rules))
    runs = plan_round(scene.tables, POOL, NOW)
    assert sorted(run.worker.id for run in runs) == allowed


def test_tasks_share_a_rack_if_requested(scene: Scene):
    for number, rack in ((1, "r1-1"), (2, "r1-1"), (3, "r2-1")):
        scene.add_worker(number, cpu=4_000, rack=rack)
    scene.add_job("j", create_step(count=5, same_rack=True))
    runs = plan_round(scene.tables, POOL, NOW)
    assert [run.worker.rack_id for run in runs] == ["r1-1"] * 4


def test_gang_starts_completely_or_not_at_all(scene: Scene):
    """
    Guards against starting part of a gang. Its members would hold their resources,
    time out after some seconds, and the whole gang would have to start again.
    """
    scene.add_worker(1, cpu=4_000)
    scene.add_job("j", create_step(count=3, gang=True))
    assert plan_round(scene.tables, POOL, NOW) == []
    assert scene.tables.workers_by_id["i-1"].cpu_free == 4_000  # type: ignore[index]
    scene.add_worker(2, cpu=2_000)
    runs = plan_round(scene.tables, POOL, NOW)
    assert len(runs) == 3
    assert {run.number for run in runs} == {1}


def test_failed_task_goes_to_another_vm(scene: Scene):
    """
    Guards against failing a job for a faulty worker. If the task returned to a
    worker that fails all tasks, it would use up its attempts there.
    """
    scene.add_worker(1, cpu=2_000)
    scene.add_worker(2, cpu=9_000)
    scene.add_job("j", create_step())
    (run,) = plan_round(scene.tables, POOL, NOW)
    assert run.worker.id == "i-1"
    end_run(scene.tables, run, RunEnd.FAILED, "", NOW)
    (again,) = plan_round(scene.tables, POOL, NOW + 0.2)
    assert (again.worker.id, again.number) == ("i-2", 2)


def test_job_fails_with_its_last_attempt_and_starts_no_more_tasks(scene: Scene):
    for number in (1, 2, 3):
        scene.add_worker(number)
    job = scene.add_job("j", create_step(), create_step(after=(0,)), max_attempts=2)
    now = NOW
    for _ in range(2):
        (run,) = plan_round(scene.tables, POOL, now)
        end_run(scene.tables, run, RunEnd.FAILED, "", now)
        now += 0.2
    assert job.outcome is not None
    assert job.outcome.value == "failed"
    assert plan_round(scene.tables, POOL, now) == []


def test_jobs_that_can_meet_their_objective_go_first(scene: Scene):
    """
    Guards against serving late jobs first. At the peak of a queue's burst the oldest
    jobs are late already, and would make all later jobs late as well.
    """
    worker = scene.add_worker(1, cpu=2_000)
    scene.add_job("old", create_step())
    later = NOW + 3.0
    fresh = scene.add_job("new", create_step())
    for each in fresh.occurrences_by_index[0]:
        each.objective_at += 3.0
        each.useful_until += 3.0
    worker.answered_at = later
    (run,) = plan_round(scene.tables, POOL, later)
    assert run.task.step.job.id == "new"


def test_large_task_is_not_starved_by_small_ones(scene: Scene):
    """
    Guards against starving large tasks. Small tasks fill each gap, so that a task as
    large as a worker would wait until the queue is empty. After a while a worker is
    reserved for it.
    """
    scene.add_worker(1, cpu=8_000)
    scene.add_worker(2, cpu=8_000)
    scene.add_job("small", *[create_step(count=8, estimate_ms=800)])
    running = plan_round(scene.tables, POOL, NOW)
    scene.add_job("large", create_step(cpu_millis=8_000, estimate_ms=100))
    scene.add_job("more", create_step(count=8, estimate_ms=2_000))
    on_first = [run for run in running if run.worker.id == "i-1"]
    end_run(scene.tables, on_first[0], RunEnd.DONE, "", NOW + 0.3)
    assert plan_round(scene.tables, POOL, NOW + 0.3) == []


@pytest.mark.parametrize(
    "waiting",
    [
        create_step(cpu_millis=8_000, long_running=True),
        create_step(cpu_millis=8_000, estimate_ms=100),
        create_step(accelerators=1, long_running=True),
    ],
    ids=["lasting task", "batch task", "task that needs an accelerator"],
)
def test_no_worker_is_reserved_where_room_never_comes(scene: Scene, waiting: StepSpec):
    """Guards against small tasks that wait beside idle workers.

    The workers' lasting tasks leave too little room for the large ones that rank first,
    or the workers lack an accelerator. Each worker but one was reserved all the same.
    """
    for number in range(1, 5):
        scene.add_worker(number)
    scene.add_job("occupants", create_step(count=4, cpu_millis=10_000, **LASTING))
    assert len(plan_round(scene.tables, POOL, NOW)) == 4
    for number in range(4):
        scene.add_job(f"large-{number}", waiting)
    scene.add_job("small", create_step(count=12, estimate_ms=2_000))
    assert len(plan_round(scene.tables, POOL, NOW + 0.3)) == 12


def test_long_running_task_preempts_the_batch_run_with_least_progress(scene: Scene):
    worker = scene.add_worker(1, cpu=4_000)
    scene.add_job("batch", create_step(count=2))
    first, second = plan_round(scene.tables, POOL, NOW)
    for run, percent in ((first, 80), (second, 10)):
        confirm_run(run, NOW)
        run.percent = percent
    job = scene.add_job("service", create_step(long_running=True))
    (service_step,) = job.occurrences_by_index[0]
    assert find_preemptible(service_step, [worker], NOW) == [second]


ZONES = ("z-a", "z-b", "z-c", "z-d")


def test_tasks_of_a_job_share_a_zone_while_it_has_capacity(scene: Scene):
    """
    Guards against spreading a job over all zones. When a zone is partitioned for
    seconds, a job with one task there is late, and with random placement nearly
    every job has one.
    """
    for number in range(12):
        worker = scene.add_worker(number)
        worker.zone_id = ZONES[number % len(ZONES)]  # type: ignore[assignment]
        scene.add_job(f"other-{number}", create_step())
        plan_round(scene.tables, POOL, NOW)
    jobs = [scene.add_job(f"j{number}", create_step(count=8)) for number in range(6)]
    plan_round(scene.tables, POOL, NOW)
    zones = [{run.worker.zone_id for run in job.runs} for job in jobs]
    assert all(zones)
    in_one_zone = sum(1 for each in zones if len(each) == 1)
    assert in_one_zone >= len(zones) // 2


def test_job_uses_another_zone_rather_than_wait(scene: Scene):
    for number in range(2):
        worker = scene.add_worker(number, cpu=4_000)
        worker.zone_id = ZONES[number]  # type: ignore[assignment]
    job = scene.add_job("j", create_step(count=4))
    assert len(plan_round(scene.tables, POOL, NOW)) == 4
    assert {run.worker.zone_id for run in job.runs} == {"z-a", "z-b"}


@pytest.mark.parametrize("gone", [True, False], ids=["gone", "full"])
def test_step_changes_racks_if_its_rack_is_gone_or_full(scene: Scene, gone: bool):
    """
    Guards against waiting forever for the rack that the tasks of a step share, after
    it has lost its workers or filled up with long-running tasks.
    """
    first = scene.add_worker(1, rack="r1-1", cpu=8_000)
    for number in (2, 3, 4):
        scene.add_worker(number, rack="r1-2", cpu=6_000)
    step = create_step(count=2, cpu_millis=4_000, same_rack=True)
    job = scene.add_job("j", step)
    job.occurrences_by_index[0][0].rack_id = first.rack_id
    runs = plan_round(scene.tables, POOL, NOW)
    assert [run.worker for run in runs] == [first, first]
    detach_run(scene.tables, runs[0], NOW)
    if gone:
        end_incarnation(scene.tables, first, NOW)
    else:
        allocate_resources(first, runs[0].task.step)
    later = NOW + SAME_RACK_WAIT_SECONDS + 0.1
    assert {run.worker.rack_id for run in plan_round(scene.tables, POOL, later)} == {
        "r1-2"
    }


def test_step_waits_for_its_rack_while_its_pool_is_busy(scene: Scene):
    """On another rack than its siblings, a task takes 1.5 to 2 times as long."""
    first = scene.add_worker(1, rack="r1-1", cpu=4_000)
    other = scene.add_worker(2, rack="r1-2", cpu=16_000)
    other.cpu_free = 5_000
    job = scene.add_job("j", create_step(count=2, cpu_millis=4_000, same_rack=True))
    job.occurrences_by_index[0][0].rack_id = first.rack_id
    (run,) = plan_round(scene.tables, POOL, NOW)
    assert run.worker is first
    assert plan_round(scene.tables, POOL, NOW + 5.0) == []


def test_gang_that_cannot_be_assigned_leaves_the_resources_free(
    scene: Scene, monkeypatch: pytest.MonkeyPatch
):
    """Guards against resources that each failed round takes from a worker for ever."""
    worker = scene.add_worker(1)
    scene.add_job("j", create_step(count=2, gang=True))

    def choose_first(step, member, workers, now):  # type: ignore[no-untyped-def]
        if member is not step.tasks[0]:
            raise RuntimeError("injected")
        return workers[0]

    monkeypatch.setattr(rounds, "choose_worker", choose_first)
    with pytest.raises(ExceptionGroup):
        plan_round(scene.tables, POOL, NOW)
    assert worker.cpu_free == worker.resources.cpu_millis
