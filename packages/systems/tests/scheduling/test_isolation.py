"""Placement of tasks that are suspected of crashing their workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from medlarspring_systems.scheduling.crashes import MAX_CRASHES
from medlarspring_systems.scheduling.isolation import find_isolated_run
from medlarspring_systems.scheduling.repair import plan_repairs
from medlarspring_systems.scheduling.waiting import WaitCause, find_wait_cause
from medlarspring_tables import PoolId
from medlarspring_tables.scheduling import CrashTally

from .conftest import create_step, get_task, start

if TYPE_CHECKING:
    from medlarspring_tables.scheduling import ActiveJob

    from .conftest import Scene

POOL = PoolId("consent")
NOW = 1_000.0


def add_suspect_job(scene: Scene, name: str = "s", **changes: object) -> ActiveJob:
    """Add a job whose first task is suspected of one crash."""
    job = scene.add_job(name, create_step(**changes))
    get_task(job).crashes = CrashTally(total=1, suspected=1)
    job.suspected = True
    return job


def test_suspected_task_starts_apart_from_recent_starts_of_other_jobs(scene: Scene):
    """
    Guards against restarting tasks together that lost their worker together. Each
    crash would hit the same tasks, and the faulty one could not be identified.
    """
    scene.add_worker(1)
    other = scene.add_job("other", create_step())
    start(scene)
    task = get_task(add_suspect_job(scene))
    assert start(scene, NOW + 0.2) == []
    assert find_wait_cause(scene.tables, task, NOW + 0.2) is WaitCause.ISOLATION
    (run,) = start(scene, NOW + 1.1)
    assert run.task is task
    assert other.outcome is None


def test_nothing_starts_beside_an_isolated_run(scene: Scene):
    scene.add_worker(1)
    add_suspect_job(scene)
    start(scene)
    waiting = scene.add_job("other", create_step())
    assert start(scene, NOW + 0.5) == []
    (run,) = start(scene, NOW + 1.1)
    assert run.task is get_task(waiting)


def test_suspected_task_finds_a_worker_in_a_full_pool(scene: Scene):
    """Guards against starving a suspected task while other starts fill each gap."""
    for number in (1, 2):
        scene.add_worker(number)
    task = get_task(add_suspect_job(scene))
    step = task.step
    now = NOW
    scene.tables.ready_by_pool[POOL].pop(step)
    for each in range(4):
        scene.add_job(f"first-{each}", create_step())
    start(scene, now)
    scene.tables.ready_by_pool[POOL][step] = None
    while not task.runs:
        now += 0.1
        assert now < NOW + 1.5
        scene.add_job(f"other-{now}", create_step(cpu_millis=100), now=now)
        start(scene, now)


def test_worker_is_kept_free_for_another_isolated_run(scene: Scene):
    """Guards against waiting for long runs of tasks whose isolation is over."""
    worker = scene.add_worker(1)
    add_suspect_job(scene, "first", long_running=True)
    start(scene)
    now = NOW + 1.5
    task = get_task(add_suspect_job(scene, "second"))
    task.crashes = CrashTally(total=2, suspected=2)
    scene.tables.ready_by_pool[POOL].pop(task.step)
    scene.add_job("other", create_step(), now=now)
    start(scene, now)
    scene.tables.ready_by_pool[POOL][task.step] = None
    waiting = scene.add_job("later", create_step(), now=now)
    assert start(scene, now + 0.5) == []
    assert {run.task for run in start(scene, now + 1.1)} == {task}
    assert get_task(waiting).runs == []
    assert task.runs[0].worker is worker


def test_suspected_task_waits_for_isolation_for_a_limited_time(scene: Scene):
    worker = scene.add_worker(1)
    task = get_task(add_suspect_job(scene))
    other = scene.add_job("other", create_step())
    step = task.step
    scene.tables.ready_by_pool[POOL].pop(step)
    (run,) = start(scene)
    assert run.task is get_task(other)
    run.confirmed_at = NOW + 2.0
    scene.tables.ready_by_pool[POOL][step] = None
    assert start(scene, NOW + 1.9) == []
    (run,) = start(scene, NOW + 2.1)
    assert run.task is task
    assert run.worker is worker


def test_suspected_task_prefers_a_stable_and_idle_vm(scene: Scene):
    unstable, busy, best = (scene.add_worker(number) for number in (1, 2, 3))
    unstable.unstable_until = NOW + 30.0
    for worker in (unstable, best):
        worker.reserved = True
    scene.add_job("other", create_step())
    start(scene, NOW - 5.0)
    for worker in (unstable, best):
        worker.reserved = False
    add_suspect_job(scene)
    (run,) = start(scene)
    assert run.worker is best
    assert busy.runs


@pytest.mark.parametrize(
    ("total", "wait", "starts"),
    [(1, 0.0, True), (3, 0.0, False), (3, 8.1, True)],
    ids=["first crash", "several", "several, after the longest wait"],
)
def test_task_with_several_crashes_waits_for_a_stable_vm(
    scene: Scene, total: int, wait: float, starts: bool
):
    """Guards against failing sound tasks for crashes of VMs that keep restarting."""
    scene.add_worker(1).unstable_until = NOW + 30.0
    get_task(add_suspect_job(scene)).crashes = CrashTally(total=total, suspected=1)
    assert bool(start(scene, NOW + wait)) is starts


@pytest.mark.parametrize(("seconds", "starts"), [(3.9, 0), (4.1, 1)])
def test_task_with_several_crashes_is_isolated_for_longer(
    scene: Scene, seconds: float, starts: int
):
    """Guards against a faulty task beside it that crashes a sound task once more."""
    scene.add_worker(1)
    get_task(add_suspect_job(scene)).crashes = CrashTally(total=3, suspected=1)
    start(scene)
    scene.add_job("other", create_step())
    assert len(start(scene, NOW + seconds)) == starts


def test_task_with_several_crashes_avoids_other_suspects(scene: Scene):
    scene.add_worker(1)
    add_suspect_job(scene, "other")
    start(scene, NOW - 5.0)
    get_task(add_suspect_job(scene)).crashes = CrashTally(total=3, suspected=1)
    assert start(scene) == []


def test_suspected_task_gets_no_copy(scene: Scene):
    """Guards against crashing two workers at once by a task and its copy."""
    for number in (1, 2):
        scene.add_worker(number)
    job = add_suspect_job(scene, speculative=True)
    (run,) = start(scene)
    run.worker.unanswered_since = NOW
    assert plan_repairs(scene.tables, NOW + 1.0).copies == []
    get_task(job).crashes = CrashTally()
    assert len(plan_repairs(scene.tables, NOW + 1.0).copies) == 1


def add_suspects(scene: Scene, count: int, crashes: CrashTally) -> list[ActiveJob]:
    """Add jobs whose first tasks have the same crash counts."""
    jobs = [add_suspect_job(scene, f"s{number}") for number in range(count)]
    for job in jobs:
        get_task(job).crashes = crashes
    return jobs


@pytest.mark.parametrize(
    "crashes",
    [CrashTally(1, 1), CrashTally(3, 2), CrashTally(3)],
    ids=["suspected", "suspected twice", "several crashes"],
)
def test_other_tasks_start_while_many_are_suspected(scene: Scene, crashes: CrashTally):
    """
    Guards against withholding a whole pool for suspected tasks. Each of them has a
    worker to itself, and other tasks would wait for all of them.
    """
    workers = [scene.add_worker(number) for number in range(8)]
    for worker in workers:
        worker.unstable_until = NOW + 30.0
    add_suspects(scene, 40, crashes)
    now, sound = NOW, scene.add_job("sound", create_step())
    while not get_task(sound).runs:
        now += 0.1
        assert now < NOW + 2.5
        start(scene, now)
        isolated = sum(find_isolated_run(each, now) is not None for each in workers)
    assert isolated < len(workers)


def test_no_suspected_task_waits_for_isolation_for_long(scene: Scene):
    """Guards against suspected tasks that wait for each other beside free workers."""
    for number in range(4):
        scene.add_worker(number)
    jobs = add_suspects(scene, 24, CrashTally(2, 2))
    for tick in range(1, 28):
        start(scene, NOW + 0.1 * tick)
    assert all(get_task(job).runs for job in jobs)


def test_isolations_take_a_quarter_of_a_pool_while_others_wait(scene: Scene):
    workers = [scene.add_worker(number) for number in range(8)]
    add_suspects(scene, 8, CrashTally(1, 1))
    scene.add_job("sound", create_step(cpu_millis=20_000), age=2.0)
    runs = start(scene, NOW + 1.6)
    assert len(runs) == len(workers) // 4


def test_task_with_its_last_chance_is_always_isolated(scene: Scene):
    """Guards against failing a sound job for a last crash that another task caused."""
    for number in range(4):
        scene.add_worker(number)
    add_suspects(scene, 4, CrashTally(1, 1))
    scene.add_job("sound", create_step(cpu_millis=20_000), age=2.0)
    last = add_suspect_job(scene, "last")
    get_task(last).crashes = CrashTally(total=MAX_CRASHES - 1)
    runs = start(scene, NOW + 9.0)
    (run,) = get_task(last).runs
    assert run.isolated
    assert [each for each in runs if each.worker is run.worker] == [run]


def test_suspected_task_does_not_return_to_a_vm_that_crashed_under_it(scene: Scene):
    """Guards against failing a sound job on a VM that keeps crashing."""
    first, other = scene.add_worker(1), scene.add_worker(2)
    job = add_suspect_job(scene)
    get_task(job).failed_on.add(first.vm_id)
    other.unstable_until = NOW + 30.0
    (run,) = start(scene)
    assert run.worker is other


def test_task_with_its_last_chance_finds_a_worker_on_unstable_vms(scene: Scene):
    """
    Guards against starving a task that must be isolated: sound starts on the only VM,
    which is unstable, would never leave it a moment without one.
    """
    scene.add_worker(1).unstable_until = NOW + 60.0
    last = add_suspect_job(scene, "last")
    get_task(last).crashes = CrashTally(total=MAX_CRASHES - 1)
    now = NOW
    while not get_task(last).runs:
        now += 0.2
        assert now < NOW + 5.0
        scene.add_job(f"sound-{now}", create_step(cpu_millis=100), now=now)
        start(scene, now)


def test_gang_that_waits_for_long_limits_isolations(scene: Scene):
    """Guards against suspected tasks that always hold a worker which a gang needs."""
    for number in range(4):
        scene.add_worker(number)
    gang = scene.add_job("gang", create_step(count=5, cpu_millis=9_000, gang=True))
    add_suspects(scene, 6, CrashTally(1, 1))
    runs = start(scene, NOW + 1.6)
    assert len(runs) == 1
    assert get_task(gang).runs == []
