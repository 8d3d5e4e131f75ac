"""Counting crashes of workers against the tasks that may have caused them."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec
import pytest

from medlarspring_systems.scheduling.crashes import (
    MAX_ATTRIBUTABLE_CRASHES,
    MAX_CRASHES,
    record_worker_end,
)
from medlarspring_systems.scheduling.jobs import admit_job
from medlarspring_systems.scheduling.listings import apply_listing
from medlarspring_systems.scheduling.progress_records import (
    encode_progress,
    restore_progress,
)
from medlarspring_systems.scheduling.rounds import plan_round
from medlarspring_systems.scheduling.runs import confirm_run
from medlarspring_systems.scheduling.workers import (
    begin_incarnation,
    end_incarnation,
    find_or_create_worker,
)
from medlarspring_tables import JobId, PoolId, Revision
from medlarspring_tables.scheduling import (
    CrashTally,
    JobOutcome,
    JobRecord,
    ProgressRecord,
    RunState,
    VMPhase,
    WorkerId,
)

from .conftest import create_step, get_task, start

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_systems.scheduling.crashes import CrashAssessment
    from medlarspring_tables.scheduling import Worker

    from .conftest import Scene

POOL = PoolId("consent")
NOW = 1_000.0
BORN_MS = 1_774_442_565_332


def crash(scene: Scene, worker: Worker, now: float) -> CrashAssessment:
    assessment = record_worker_end(scene.tables, worker, now)
    end_incarnation(scene.tables, worker, now)
    return assessment


def crash_once(scene: Scene, number: int, now: float) -> CrashAssessment:
    """Start the waiting tasks on a new worker that crashes at once."""
    worker = scene.add_worker(number)
    start(scene, now)
    return crash(scene, worker, now + 0.1)


def test_job_fails_after_repeated_attributable_crashes(scene: Scene):
    job = scene.add_job("j", create_step())
    for number in range(1, MAX_ATTRIBUTABLE_CRASHES):
        crash_once(scene, number, NOW + 10.0 * number)
        assert job.outcome is None
    crash_once(scene, MAX_ATTRIBUTABLE_CRASHES, NOW + 10.0 * MAX_ATTRIBUTABLE_CRASHES)
    assert job.outcome is JobOutcome.FAILED
    assert "3 workers crashed under task j.0.0.0" in job.reason


def test_crash_after_simultaneous_starts_is_not_attributed(
    scene: Scene,
):
    """Guards against failing a job whose task only ran beside the faulty one."""
    first, second = (scene.add_job(name, create_step()) for name in "ab")
    assessment = crash_once(scene, 1, NOW)
    assert assessment.jobs == [first, second]
    for job in (first, second):
        assert get_task(job).crashes == CrashTally(total=1, suspected=1)


@pytest.mark.parametrize(
    ("ages", "suspected"),
    [
        ((0.1, 5.0), (True, False)),
        ((0.1, 0.9), (True, True)),
        ((0.1, 1.5), (True, False)),
        ((3.0, 9.0), (True, True)),
    ],
    ids=["one recent", "two recent", "the more recent", "none recent"],
)
def test_latest_starts_are_suspected(
    scene: Scene, ages: tuple[float, ...], suspected: tuple[bool, ...]
):
    worker = scene.add_worker(1)
    jobs = [scene.add_job(f"j{age}", create_step()) for age in ages]
    for run in start(scene):
        run.confirmed_at = NOW - ages[jobs.index(run.task.step.job)]
    crash(scene, worker, NOW)
    assert tuple(get_task(job).crashes.suspected > 0 for job in jobs) == suspected
    assert [get_task(job).crashes.total for job in jobs] == [1, 1]


@pytest.mark.parametrize(
    ("percent", "worked_seconds", "expected"),
    [
        (100, 5.0, CrashTally()),
        (0, 5.0, CrashTally(total=2, suspected=2)),
        (100, 0.5, CrashTally(total=2, suspected=2, alone=1)),
    ],
    ids=["served long", "never served", "served briefly"],
)
def test_healthy_long_running_task_has_its_crash_counts_reset(
    scene: Scene, percent: int, worked_seconds: float, expected: CrashTally
):
    worker = scene.add_worker(1)
    job = scene.add_job("j", create_step(long_running=True))
    task = get_task(job)
    task.crashes = CrashTally(total=1, suspected=1)
    (run,) = start(scene)
    run.percent = percent
    crash(scene, worker, NOW + worked_seconds)
    assert task.crashes == expected


def drain_worker(scene: Scene, worker: Worker) -> None:
    worker.draining = True


def operate_on_vm(scene: Scene, worker: Worker) -> None:
    worker.leaving = True


def maintain_vm(scene: Scene, worker: Worker) -> None:
    vm = scene.tables.vms_by_id[worker.vm_id]
    maintained = replace(vm, phase=VMPhase.MAINTENANCE, worker_id=None)
    scene.tables.vms_by_id[vm.id] = maintained


def move_vm(scene: Scene, worker: Worker) -> None:
    vm = scene.tables.vms_by_id[worker.vm_id]
    scene.tables.vms_by_id[vm.id] = replace(vm, pool_id=PoolId("survey"))


@pytest.mark.parametrize("end", [drain_worker, operate_on_vm, maintain_vm, move_vm])
def test_planned_end_of_a_worker_is_not_counted_as_a_crash(
    scene: Scene, end: Callable[[Scene, Worker], None]
):
    worker = scene.add_worker(1)
    job = scene.add_job("j", create_step())
    start(scene)
    end(scene, worker)
    assert crash(scene, worker, NOW + 0.1).planned
    assert get_task(job).crashes == CrashTally()


def test_zone_outage_is_not_attributed_to_tasks(scene: Scene):
    """Guards against failing jobs because their zone had repeated outages."""
    idle = scene.add_worker(1)
    busy = scene.add_worker(2)
    job = scene.add_job("j", create_step())
    (run,) = start(scene)
    if run.worker is idle:
        idle, busy = busy, idle
    crash(scene, idle, NOW + 0.1)
    assert crash(scene, busy, NOW + 0.2).suspects == []
    assert get_task(job).crashes == CrashTally(total=1)


def test_crash_of_an_unstable_vm_is_not_attributed(scene: Scene):
    """Guards against failing jobs whose tasks start on VMs that keep restarting."""
    worker = scene.add_worker(1)
    record_worker_end(scene.tables, worker, NOW)
    assert scene.tables.unstable_until_by_vm[worker.vm_id] > NOW + 5.0
    job = scene.add_job("j", create_step())
    start(scene, NOW + 5.0)
    crash(scene, worker, NOW + 5.1)
    assert get_task(job).crashes == CrashTally(total=1, suspected=1)


def test_crashes_that_are_not_attributed_fail_a_task_at_the_limit(scene: Scene):
    """Guards against endless restarts of a task whose crashes are not attributable."""
    job = scene.add_job("j", create_step())
    task = get_task(job)
    task.crashes = CrashTally(total=MAX_CRASHES - 1)
    crash_once(scene, 1, NOW)
    assert job.outcome is JobOutcome.FAILED


def test_task_that_crashes_its_workers_late_fails(scene: Scene):
    """Guards against endless restarts of a task that crashes its workers late.

    Each time, only a recent start of another job is suspected.
    """
    late = scene.add_job("late", create_step(cpu_millis=1_000))
    for number in range(1, MAX_CRASHES + 1):
        assert late.outcome is None
        now = NOW + 10.0 * number
        worker = scene.add_worker(number)
        start(scene, now)
        other = scene.add_job(f"other-{number}", create_step(cpu_millis=1_000))
        for run in plan_round(scene.tables, POOL, now + 5.0):
            confirm_run(run, now + 5.0)
        crash(scene, worker, now + 5.2)
        assert other.outcome is None
        other.outcome = JobOutcome.CANCELLED
    assert late.outcome is JobOutcome.FAILED


def test_crash_beside_a_task_with_earlier_crashes_is_not_attributed(scene: Scene):
    """Guards against attributing crashes to recent starts.

    The cause may be a task beside them that crashes its workers late.
    """
    worker = scene.add_worker(1)
    earlier = scene.add_job("earlier", create_step(cpu_millis=1_000))
    start(scene)
    get_task(earlier).crashes = CrashTally(total=1)
    fresh = scene.add_job("fresh", create_step(cpu_millis=1_000))
    start(scene, NOW + 5.0)
    crash(scene, worker, NOW + 5.1)
    assert get_task(fresh).crashes == CrashTally(total=1, suspected=1)
    assert get_task(earlier).crashes == CrashTally(total=2)


def test_second_crash_of_one_vm_is_not_attributed(scene: Scene):
    """Guards against failing a job whose task returns to a VM that keeps restarting."""
    job = scene.add_job("j", create_step())
    worker = scene.add_worker(1)
    get_task(job).failed_on.add(worker.vm_id)
    start(scene)
    crash(scene, worker, NOW + 0.1)
    assert get_task(job).crashes == CrashTally(total=1, suspected=1)


def test_crash_under_an_unanswered_start_is_counted_once(scene: Scene):
    """
    Guards against counting one crash twice. The answer to a start is lost, and the
    worker restarts under its id. The next incarnation may still execute the order, so
    that the run stays attached until a listing shows otherwise.
    """
    worker = scene.add_worker(1)
    worker.born_ms = BORN_MS
    job = scene.add_job("j", create_step())
    (run,) = plan_round(scene.tables, POOL, NOW)
    run.state, run.ordered_at = RunState.UNKNOWN, NOW
    record_worker_end(scene.tables, worker, NOW + 0.1)
    begin_incarnation(scene.tables, worker, BORN_MS + 1, 10.0, NOW + 0.1)
    assert get_task(job).crashes.total == 1
    run.stop_confirmed_at = NOW + 0.2
    apply_listing(scene.tables, worker, [], [], NOW + 0.3, NOW + 0.3)
    assert get_task(job).crashes.total == 1
    assert get_task(job).runs == []


def test_crash_under_a_restored_start_is_not_attributed(scene: Scene):
    """Guards against failing jobs for workers that ended without a controller."""
    worker = scene.add_worker(1)
    job = scene.add_job("j", create_step())
    (run,) = plan_round(scene.tables, POOL, NOW)
    run.state, run.ordered_at, run.version = RunState.UNKNOWN, NOW, 0
    crash(scene, worker, NOW + 0.5)
    assert get_task(job).crashes == CrashTally(total=1, suspected=1)


@pytest.mark.parametrize(
    ("life_ms", "total"), [(BORN_MS, 1), (BORN_MS + 1, 0)], ids=["former", "present"]
)
def test_next_controller_counts_a_run_of_an_ended_incarnation(
    scene: Scene, life_ms: int, total: int
):
    worker = scene.add_worker(1)
    job = scene.add_job("j", create_step())
    (run,) = plan_round(scene.tables, POOL, NOW)
    run.life_ms, worker.born_ms = life_ms, BORN_MS + 1
    run.state, run.stop_confirmed_at = RunState.UNKNOWN, NOW + 0.2
    apply_listing(scene.tables, worker, [], [], NOW + 0.3, NOW + 0.3)
    assert get_task(job).crashes.total == total


def test_crash_counts_and_incarnations_are_recorded_and_restored(scene: Scene):
    """Guards against crash counts that are lost at a takeover."""
    worker = scene.add_worker(1)
    worker.born_ms = BORN_MS
    job = scene.add_job("j", create_step(count=2))
    get_task(job).crashes = CrashTally(total=2, suspected=2, alone=1)
    start(scene)
    written = msgspec.json.encode(encode_progress(job))
    record = JobRecord(queue=job.queue, accepted_at_ms=0, spec=job.spec)
    restored = admit_job(scene.tables, JobId("j"), record, Revision(1), NOW)
    restore_progress(
        scene.tables,
        restored,
        msgspec.json.decode(written, type=ProgressRecord),
        lambda worker_id: find_or_create_worker(scene.tables, worker_id, NOW),
        NOW,
        0.0,
    )
    task = get_task(restored)
    assert task.crashes == CrashTally(total=2, suspected=2, alone=1)
    assert restored.suspected
    assert [run.life_ms for run in task.runs] == [BORN_MS]


def test_record_of_an_earlier_version_is_read():
    step = b'{"steps":{"0.0":{"runs":{"0":[[3,"i-7"]]}}}}'
    record = msgspec.json.decode(step, type=ProgressRecord)
    (run,) = record.steps["0.0"].runs[0]
    assert (run.number, run.worker_id, run.life_ms) == (3, WorkerId("i-7"), 0)


def test_crashes_of_a_completed_task_do_not_fail_its_job(scene: Scene):
    """Guards against failing a job for a leftover run of a completed task.

    This may be a copy or a run of a gang's member.
    """
    worker = scene.add_worker(1)
    job = scene.add_job("j", create_step(count=2))
    start(scene)
    task = get_task(job)
    task.done = True
    task.crashes = CrashTally(total=MAX_CRASHES - 1)
    crash(scene, worker, NOW + 0.1)
    assert job.outcome is None
