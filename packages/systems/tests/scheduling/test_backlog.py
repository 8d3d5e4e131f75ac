"""Summary of what waits in a pool, and why."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.backlog import (
    LONG_WAIT_SECONDS,
    describe_backlog,
)
from medlarspring_systems.scheduling.rounds import plan_round
from medlarspring_systems.scheduling.waiting import WaitCause
from medlarspring_tables import PoolId
from medlarspring_tables.scheduling import CrashTally

from .conftest import create_step, get_task, start

if TYPE_CHECKING:
    from .conftest import Scene

POOL = PoolId("consent")
NOW = 1_000.0


def test_short_waits_are_not_described(scene: Scene):
    scene.add_job("j", create_step())
    assert describe_backlog(scene.tables, POOL, NOW + 0.9 * LONG_WAIT_SECONDS) is None


def test_backlog_names_the_longest_wait_and_what_limits_the_workers(scene: Scene):
    """Guards against a task whose wait no log line explains."""
    scene.add_worker(1)
    suspect = scene.add_job("suspect", create_step())
    get_task(suspect).crashes = CrashTally(total=3, suspected=2)
    suspect.suspected = True
    start(scene)
    sound = scene.add_job("sound", create_step())
    now = NOW + 1.2
    scene.add_job("later", create_step(), now=now)
    assert start(scene, now) == []
    scene.add_worker(2).unstable_until = NOW + 30.0
    backlog = describe_backlog(scene.tables, POOL, now)
    assert backlog is not None
    assert backlog.longest is not None
    assert backlog.longest.task is get_task(sound)
    assert backlog.longest.cause is WaitCause.NEXT_ROUND
    assert backlog.longest_suspected is None
    assert (backlog.waiting, backlog.suspected) == (2, 0)
    assert (backlog.workers, backlog.isolated, backlog.unstable) == (2, 1, 1)
    assert (backlog.idle, backlog.cpu_millis, backlog.cpu_free) == (1, 32_000, 30_000)


def test_worker_kept_free_for_a_suspect_is_the_cause_of_a_sound_tasks_wait(
    scene: Scene,
):
    worker = scene.add_worker(1)
    suspect = scene.add_job("suspect", create_step(cpu_millis=9_000))
    sound = scene.add_job("sound", create_step())
    now = NOW + 1.2
    scene.add_job("recent", create_step(), now=now)
    scene.tables.ready_by_pool[POOL].pop(get_task(suspect).step)
    scene.tables.ready_by_pool[POOL].pop(get_task(sound).step)
    assert len(start(scene, now)) == 1
    for job in (suspect, sound):
        scene.tables.ready_by_pool[POOL][get_task(job).step] = None
    get_task(suspect).crashes = CrashTally(total=1, suspected=1)
    suspect.suspected = True
    assert plan_round(scene.tables, POOL, now + 0.2) == []
    backlog = describe_backlog(scene.tables, POOL, now + 0.2)
    assert backlog is not None
    assert backlog.longest is not None
    assert backlog.longest.task is get_task(sound)
    assert backlog.longest.cause is WaitCause.KEPT_FREE
    assert backlog.longest_suspected is not None
    assert backlog.longest_suspected.cause is WaitCause.ISOLATION
    assert (backlog.kept_free, backlog.cpu_free) == (1, worker.cpu_free)
