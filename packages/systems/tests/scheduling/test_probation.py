"""Staggered starts on workers at risk, and of tasks of suspected jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.probation import PROBATION_SECONDS
from medlarspring_tables.scheduling import CrashTally

from .conftest import create_step, get_task, start

if TYPE_CHECKING:
    from medlarspring_tables.scheduling import Worker

    from .conftest import Scene

NOW = 1_000.0


def add_job_with_suspects(scene: Scene, count: int) -> None:
    """Add a job all of whose tasks were suspected when their worker crashed."""
    job = scene.add_job("s", create_step(count=count))
    for task in job.occurrences_by_index[0][0].tasks:
        task.crashes = CrashTally(1, 1, 1)
    job.suspected = True


def answer(worker: Worker, now: float) -> None:
    worker.answered_at = now


def test_starts_of_two_jobs_are_staggered_on_a_worker_at_risk(scene: Scene):
    """Guards against suspecting several jobs for a crash that one of them caused."""
    worker = scene.add_worker(1)
    worker.crash_risk_until = NOW + 20.0
    first, second = (
        scene.add_job(name, create_step(count=2, cpu_millis=3_000)) for name in "ab"
    )
    assert {run.task.step.job for run in start(scene)} == {first}
    answer(worker, NOW + 0.5 * PROBATION_SECONDS)
    assert start(scene, NOW + 2 * PROBATION_SECONDS) == []
    answer(worker, NOW + PROBATION_SECONDS)
    runs = start(scene, NOW + 2 * PROBATION_SECONDS)
    assert {run.task.step.job for run in runs} == {second}


def test_suspected_tasks_of_a_job_start_one_after_the_other(scene: Scene):
    """Guards against crashing several workers at once by the tasks of one job."""
    workers = [scene.add_worker(number) for number in range(3)]
    add_job_with_suspects(scene, count=3)
    assert len(start(scene)) == 1
    assert start(scene, NOW + 0.5) == []
    for worker in workers:
        answer(worker, NOW + 0.6)
    assert len(start(scene, NOW + 0.7)) == 1


def test_small_jobs_start_together_on_a_worker_at_risk(scene: Scene):
    """Guards against small jobs that wait for each other beside an idle worker."""
    worker = scene.add_worker(1)
    worker.crash_risk_until = NOW + 20.0
    for number in range(8):
        scene.add_job(f"j{number}", create_step(cpu_millis=500))
    assert len(start(scene)) == 4


def test_suspected_tasks_do_not_wait_for_a_sibling_on_a_silent_worker(scene: Scene):
    """Guards against tasks that wait until the lease of another one has ended."""
    silent = scene.add_worker(1)
    add_job_with_suspects(scene, count=2)
    assert len(start(scene)) == 1
    silent.unanswered_since = NOW + 0.5
    scene.add_worker(2)
    assert len(start(scene, NOW + 0.6)) == 1


def test_wide_step_starts_soon_after_one_of_its_tasks_was_suspected(scene: Scene):
    """Guards against starting the tasks of a wide step one by one to its end."""
    workers = [scene.add_worker(number) for number in range(8)]
    job = scene.add_job("j", create_step(count=40))
    get_task(job).crashes = CrashTally(1, 1, 1)
    job.suspected = True
    starts = []
    for tick in range(6):
        now = NOW + 2 * PROBATION_SECONDS * tick
        for worker in workers:
            answer(worker, now)
        starts.append(len(start(scene, now)))
    assert starts[:2] == [1, 2]
    assert sum(starts) == 40
