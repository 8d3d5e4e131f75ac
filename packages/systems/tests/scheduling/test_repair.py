"""Repairs of runs that stall or whose worker is unresponsive or draining."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from medlarspring_systems.scheduling import repair
from medlarspring_systems.scheduling.listings import apply_listing
from medlarspring_systems.scheduling.poll_rates import LONGEST_REGULAR_WAIT_MS
from medlarspring_systems.scheduling.repair import plan_repairs
from medlarspring_systems.scheduling.rounds import plan_round
from medlarspring_systems.scheduling.runs import confirm_run
from medlarspring_tables import PoolId
from medlarspring_tables.scheduling import (
    QuarantineReason,
    RunningRow,
    RunState,
    StepSpec,
)

from .conftest import create_step

if TYPE_CHECKING:
    from medlarspring_tables.scheduling import Run, WorkTables

    from .conftest import Scene

POOL = PoolId("consent")
NOW = 1_000.0
STEP = StepSpec(count=2, cpu_millis=2_000, memory_mb=1_000, estimate_ms=500)


def run_all(scene: Scene) -> list[Run]:
    runs = plan_round(scene.tables, POOL, NOW)
    for run in runs:
        confirm_run(run, NOW)
    return runs


def test_stalled_runs_are_stopped_and_their_worker_is_quarantined(scene: Scene):
    """
    Guards against a worker that answers every call while its runs make no progress.
    Its tasks would wait forever, and it would get new ones.
    """
    worker = scene.add_worker(1)
    scene.add_job("j", STEP)
    runs = run_all(scene)
    worker.answered_at = worker.reported_at = NOW + 2.0
    repairs = plan_repairs(scene.tables, NOW + 2.0)
    assert [run for run, _ in repairs.stops] == runs
    assert worker.quarantine_reason is QuarantineReason.STALLED


def test_pause_of_this_process_is_not_taken_for_a_stall(scene: Scene):
    """
    Guards against stopping sound runs after this process was paused for seconds.
    The last known progress is then as old as the last answer.
    """
    worker = scene.add_worker(1)
    scene.add_job("j", STEP)
    run_all(scene)
    worker.answered_at = worker.reported_at = NOW + 0.3
    assert plan_repairs(scene.tables, NOW + 6.0).stops == []


def test_answer_to_a_start_is_not_taken_for_a_report_of_progress(scene: Scene):
    """
    Guards against stopping sound runs, and quarantining their worker, because a start
    was accepted shortly before the next hold call tells their progress.
    """
    worker = scene.add_worker(1)
    scene.add_job("j", STEP)
    run_all(scene)
    worker.reported_at = NOW + 0.1
    worker.answered_at = NOW + 1.5
    assert plan_repairs(scene.tables, NOW + 1.5).stops == []
    assert worker.quarantine_reason is QuarantineReason.NONE


@pytest.mark.parametrize(
    ("rises", "stops"), [(True, 0), (False, 2)], ids=["progress", "stall"]
)
def test_stall_is_told_from_progress_at_the_longest_wait(
    scene: Scene, rises: bool, stops: int
):
    """Guards against reports so rare that sound runs seem stalled, or stalls last."""
    worker = scene.add_worker(1)
    scene.add_job("j", STEP)
    runs = run_all(scene)
    now = NOW + LONGEST_REGULAR_WAIT_MS / 1_000.0
    rows = [RunningRow(run.task.id, run.number, "", 40 * rises) for run in runs]
    apply_listing(scene.tables, worker, rows, [], NOW, now)
    assert len(plan_repairs(scene.tables, now + 0.4).stops) == stops


def test_speculative_task_on_an_unresponsive_worker_gets_a_copy(scene: Scene):
    unresponsive = scene.add_worker(1, cpu=4_000)
    scene.add_job("j", StepSpec(count=1, cpu_millis=2_000, speculative=True))
    (run,) = run_all(scene)
    scene.add_worker(2)
    unresponsive.unanswered_since = NOW
    repairs = plan_repairs(scene.tables, NOW + 1.0)
    (copy,) = repairs.copies
    assert (copy.task, copy.worker.id, copy.number) == (run.task, "i-2", 2)


def test_long_running_tasks_are_evicted_from_a_draining_worker(scene: Scene):
    draining_worker = scene.add_worker(1, cpu=4_000)
    scene.add_job("j", StepSpec(count=1, cpu_millis=2_000, long_running=True))
    (run,) = run_all(scene)
    draining_worker.draining = True
    assert plan_repairs(scene.tables, NOW).stops == []
    scene.add_worker(2)
    assert [each for each, _ in plan_repairs(scene.tables, NOW).stops] == [run]


def test_long_running_step_that_fits_nowhere_does_not_block_preemption(scene: Scene):
    """Guards against a long-running task that stays down behind one without any room.

    No batch run can make room for the step that has waited longest.
    """
    scene.add_worker(1, cpu=8_000)
    scene.add_job("batch", create_step(count=4))
    batch_runs = run_all(scene)
    scene.add_job("large", create_step(cpu_millis=16_000, long_running=True))
    scene.add_job("small", create_step(cpu_millis=2_000, long_running=True))
    (stop,) = plan_repairs(scene.tables, NOW + 0.6).stops
    assert stop[0] in batch_runs


def advance_at_random(scene: Scene, rng: random.Random, now: float) -> None:
    """Let workers answer and runs advance, start anew or be restored by chance."""
    for worker in scene.tables.workers_by_id.values():
        if rng.random() < 0.6:
            worker.answered_at = now
        for run in worker.runs.values():
            if rng.random() < 0.1:
                run.percent += 1
                run.advanced_at = now
            if rng.random() < 0.03:
                run.state = RunState.UNKNOWN
            elif rng.random() < 0.2:
                confirm_run(run, now)


@pytest.mark.parametrize("seed", range(20))
def test_stalls_are_noticed_as_if_each_run_was_measured_each_time(
    scene: Scene, seed: int
):
    """Guards against a stall that is missed until its worker is looked at again."""
    rng = random.Random(seed)
    for number in range(3):
        scene.add_worker(number)
    scene.add_job("j", STEP)
    run_all(scene)
    for tick in range(1, 80):
        now = NOW + 0.1 * tick
        if tick % 20 == 0:
            scene.add_job(f"j{tick}", STEP)
            for run in plan_round(scene.tables, POOL, now):
                confirm_run(run, now)
        advance_at_random(scene, rng, now)
        workers = list(scene.tables.workers_by_id.values())
        stops = plan_repairs(scene.tables, now).stops
        for worker in workers:
            worker.stall_due_at = 0.0
        assert plan_repairs(scene.tables, now).stops == stops


def test_runs_that_advance_are_rarely_measured(
    scene: Scene, monkeypatch: pytest.MonkeyPatch
):
    """Guards against a tick that measures each run of each worker."""
    worker = scene.add_worker(1)
    scene.add_job("j", STEP)
    runs = run_all(scene)
    measured: list[Run] = []

    def measure(_tables: WorkTables, run: Run, _now: float) -> float:
        measured.append(run)
        return 0.0

    monkeypatch.setattr(repair, "_measure_stall", measure)
    for tick in range(100):
        now = NOW + 0.1 * tick
        worker.answered_at = now
        for run in runs:
            run.advanced_at = now
        plan_repairs(scene.tables, now)
    assert 0 < len(measured) <= 0.1 * 100 * len(runs)
