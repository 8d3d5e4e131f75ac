"""How much the time between a start and a crash of its worker proves."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from medlarspring_systems.scheduling.crash_timing import (
    CRASH_RISK_SECONDS,
    IMMEDIATE_SECONDS,
    MIN_SILENT_CRASHES,
    is_at_crash_risk,
)
from medlarspring_systems.scheduling.crashes import (
    MAX_IMMEDIATE_CRASHES,
    record_worker_end,
)
from medlarspring_systems.scheduling.workers import end_incarnation
from medlarspring_tables import PoolId
from medlarspring_tables.scheduling import CrashTally, CrashTiming, JobOutcome

from .conftest import create_step, get_task, start

if TYPE_CHECKING:
    from medlarspring_systems.scheduling.crashes import CrashAssessment
    from medlarspring_tables.scheduling import Worker

    from .conftest import Scene

POOL = PoolId("consent")
NOW = 1_000.0


def crash(
    scene: Scene, worker: Worker, at: float, noticed_after: float = 0.05
) -> CrashAssessment:
    """End a worker that closed its connections at a time."""
    worker.unanswered_since = at
    now = at + noticed_after
    assessment = record_worker_end(scene.tables, worker, now)
    end_incarnation(scene.tables, worker, now)
    return assessment


def crash_under(
    scene: Scene, number: int, now: float, after: float = 0.01, pause: float = 0.0
) -> CrashAssessment:
    """Start the waiting tasks on a new worker that crashes ``after`` the start."""
    worker = scene.add_worker(number)
    worker.unstable_until = now + pause
    start(scene, now)
    return crash(scene, worker, now + after)


def test_job_fails_after_two_crashes_right_after_its_start(scene: Scene):
    """Guards against crashing three or more workers for one faulty task."""
    job = scene.add_job("j", create_step())
    for number in range(MAX_IMMEDIATE_CRASHES):
        assert job.outcome is None
        crash_under(scene, number, NOW + 10.0 * number)
    assert job.outcome is JobOutcome.FAILED


def test_crash_right_after_a_start_is_attributed_on_an_unstable_vm(scene: Scene):
    """
    Guards against VMs that count as unstable because tasks crash them: no crash there
    was attributed, which made each VM unstable again.
    """
    job = scene.add_job("j", create_step())
    assert crash_under(scene, 1, NOW, pause=30.0).attributed
    assert get_task(job).crashes == CrashTally(1, 1, 1, 1)


def test_only_the_start_right_before_a_crash_is_suspected(scene: Scene):
    worker = scene.add_worker(1)
    earlier = scene.add_job("earlier", create_step())
    start(scene, NOW)
    last = scene.add_job("last", create_step())
    start(scene, NOW + 0.5)
    assessment = crash(scene, worker, NOW + 0.5 + IMMEDIATE_SECONDS / 2)
    assert [run.task.step.job for run in assessment.suspects] == [last]
    assert assessment.attributed
    assert get_task(earlier).crashes == CrashTally(total=1)


def test_start_beside_a_task_with_several_crashes_is_not_the_cause(scene: Scene):
    """Guards against failing sound jobs beside a task that crashes its workers late."""
    worker = scene.add_worker(1)
    late = scene.add_job("late", create_step())
    start(scene, NOW - 5.0)
    get_task(late).crashes = CrashTally(total=3)
    fresh = scene.add_job("fresh", create_step())
    start(scene, NOW)
    assert not crash(scene, worker, NOW + 0.01).attributed
    assert get_task(fresh).crashes == CrashTally(total=1, suspected=1)


def test_zone_outage_right_after_starts_is_not_attributed(scene: Scene):
    """Guards against failing jobs whose starts an outage of a zone follows."""
    workers = [scene.add_worker(number, cpu=2_000) for number in range(5)]
    jobs = [scene.add_job(f"j{number}", create_step()) for number in range(5)]
    assert len(start(scene)) == len(jobs)
    assessments = [crash(scene, worker, NOW + 0.01) for worker in workers]
    assert not assessments[-1].attributed


def test_crashes_one_after_the_other_are_no_outage(scene: Scene):
    """Guards against taking many tasks that crash their workers for an outage."""
    for number in range(6):
        job = scene.add_job(f"j{number}", create_step())
        assessment = crash_under(scene, number, NOW + 0.15 * number)
        assert assessment.attributed
        job.outcome = JobOutcome.CANCELLED


def add_timings(scene: Scene, immediate: int, others: int) -> None:
    scene.tables.crash_timings_by_pool[POOL] = [
        CrashTiming(NOW - 1.0, immediate=number < immediate)
        for number in range(immediate + others)
    ]


@pytest.mark.parametrize(
    ("immediate", "others", "decisive"),
    [(0, 0, True), (8, 1, True), (3, 1, True), (3, 3, False), (0, 9, False)],
)
def test_start_is_decisive_where_crashes_mostly_come_right_after_one(
    scene: Scene, immediate: int, others: int, decisive: bool
):
    """Guards against failing a sound job for two crashes that follow by chance."""
    add_timings(scene, immediate, others)
    job = scene.add_job("j", create_step())
    crash_under(scene, 1, NOW)
    assert get_task(job).crashes == CrashTally(1, 1, 1, int(decisive))


@pytest.mark.parametrize(
    ("known", "decisive"), [(0, False), (MIN_SILENT_CRASHES - 1, True)]
)
def test_silent_crash_is_decisive_only_after_several(
    scene: Scene, known: int, decisive: bool
):
    """Guards against failing sound jobs for workers that fall silent at any time."""
    add_timings(scene, known, 0)
    worker = scene.add_worker(1)
    worker.crash_risk_until = NOW + CRASH_RISK_SECONDS
    job = scene.add_job("j", create_step())
    start(scene)
    worker.answered_at = NOW
    assert crash(scene, worker, NOW + 0.5).attributed
    assert get_task(job).crashes.immediate == int(decisive)


def test_order_without_an_answer_is_not_decisive(scene: Scene):
    """Guards against counting an order to a worker that was down already."""
    worker = scene.add_worker(1)
    job = scene.add_job("j", create_step())
    (run,) = start(scene)
    run.confirmed_at, run.ordered_at = 0.0, NOW
    crash(scene, worker, NOW + 0.01)
    assert get_task(job).crashes.immediate == 0


def test_pool_is_at_risk_for_a_while_after_a_crash_under_a_start(scene: Scene):
    scene.add_job("j", create_step())
    sound = scene.add_worker(2, cpu=1_000)
    crash_under(scene, 1, NOW)
    new = scene.add_worker(3)
    for worker in (sound, new):
        assert is_at_crash_risk(worker, NOW + CRASH_RISK_SECONDS)
        assert not is_at_crash_risk(worker, NOW + CRASH_RISK_SECONDS + 1.0)


@pytest.mark.parametrize(("pause", "at_risk"), [(0.5, False), (2.0, True)])
def test_starts_are_not_staggered_for_workers_that_crashed_together(
    scene: Scene, pause: float, at_risk: bool
):
    """Guards against slowing a pool down for a failure of some of its VMs."""
    sound = scene.add_worker(9, cpu=1_000)
    for number in range(2):
        scene.add_job(f"j{number}", create_step())
        crash_under(scene, number, NOW + pause * number, after=0.2)
    assert is_at_crash_risk(sound, NOW + 3.0) is at_risk


def test_late_reset_is_not_taken_for_a_silent_crash(scene: Scene):
    """
    Guards against failing a sound job for crashes some time after its starts. Where
    the pool came to be at risk after the start, no poll followed it, so that the last
    answer may be much older than the crash.
    """
    worker = scene.add_worker(1)
    worker.unstable_until = NOW + 30.0
    job = scene.add_job("j", create_step())
    start(scene)
    worker.answered_at = NOW + 0.03
    worker.crash_risk_since, worker.crash_risk_until = NOW + 0.2, NOW + 20.0
    assert not crash(scene, worker, NOW + 0.45).attributed
    assert get_task(job).crashes == CrashTally(1, 1)


def test_run_without_an_answer_is_not_counted_as_immediate(scene: Scene):
    """Guards against counting a crash in full for a task that may not have begun."""
    worker = scene.add_worker(1)
    job = scene.add_job("j", create_step(count=2))
    confirmed, ordered = start(scene)
    ordered.confirmed_at, ordered.ordered_at = 0.0, NOW
    assert crash(scene, worker, NOW + 0.01).attributed
    assert confirmed.task.crashes.immediate == 1
    assert ordered.task.crashes.immediate == 0
    assert job.outcome is None


def test_silent_outage_of_a_zone_at_risk_is_not_attributed(scene: Scene):
    """Guards against failing jobs for an outage that calls notice one by one."""
    workers = [scene.add_worker(number, cpu=2_000) for number in range(6)]
    for number, worker in enumerate(workers):
        worker.crash_risk_until = NOW + 20.0
        scene.add_job(f"j{number}", create_step())
    start(scene)
    for worker in workers:
        worker.answered_at = NOW
    ends = [crash(scene, w, NOW + 0.4 + 0.1 * i, 0.0) for i, w in enumerate(workers)]
    assert [end.attributed for end in ends[4:]] == [False, False]
