"""Quarantine of workers, and the probes that end it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from medlarspring_systems.scheduling.quarantine import (
    QUARANTINE_SECONDS,
    quarantine_worker,
    record_acceptance,
    record_refusal,
)
from medlarspring_systems.scheduling.repair import plan_repairs
from medlarspring_systems.scheduling.rounds import plan_round
from medlarspring_systems.scheduling.runs import confirm_run, detach_run, end_run
from medlarspring_tables import PoolId
from medlarspring_tables.scheduling import QuarantineReason, RunEnd, StepSpec

if TYPE_CHECKING:
    from medlarspring_tables.scheduling import Run, Worker

    from .conftest import Scene

POOL = PoolId("consent")
NOW = 1_000.0
LONG_RUNNING = StepSpec(count=1, cpu_millis=1_000, memory_mb=1_000, long_running=True)
BATCH = StepSpec(count=4, cpu_millis=1_000, memory_mb=1_000, estimate_ms=500)


def start_long_running(scene: Scene, name: str, now: float = NOW) -> Run:
    scene.add_job(name, LONG_RUNNING, now=now)
    (run,) = plan_round(scene.tables, POOL, now)
    confirm_run(run, now)
    run.percent = 100
    return run


def refuse(worker: Worker, now: float) -> None:
    record_refusal(worker, now)


def fail(worker: Worker, now: float) -> None:
    quarantine_worker(worker, QuarantineReason.FAILING, now)


def stall(worker: Worker, now: float) -> None:
    quarantine_worker(worker, QuarantineReason.STALLED, now)


@pytest.mark.parametrize("make_unavailable", [refuse, fail, stall])
def test_worker_with_a_long_running_task_gets_a_probe(scene: Scene, make_unavailable):  # type: ignore[no-untyped-def]
    """
    Guards against a quarantine without end. If a worker got a probe only when it had
    no run, the only worker of a pool that runs a long-running task would never get
    one, and a second task would wait forever beside free resources.
    """
    worker = scene.add_worker(1)
    start_long_running(scene, "first")
    make_unavailable(worker, NOW)
    scene.add_job("second", LONG_RUNNING)
    assert plan_round(scene.tables, POOL, NOW + 0.5) == []
    (run,) = plan_round(scene.tables, POOL, worker.quarantined_until + 0.1)
    assert run.worker is worker


def test_quarantined_worker_gets_one_probe_at_a_time(scene: Scene):
    """
    Guards against wasted attempts: a worker that fails all tasks would cost each
    waiting task an attempt if all of them started as probes.
    """
    worker = scene.add_worker(1)
    fail(worker, NOW)
    scene.add_job("j", BATCH)
    later = worker.quarantined_until + 0.1
    (run,) = plan_round(scene.tables, POOL, later)
    assert plan_round(scene.tables, POOL, later + 0.1) == []
    end_run(scene.tables, run, RunEnd.FAILED, "", later + 0.2)
    assert len(plan_round(scene.tables, POOL, later + 0.5)) == 1


def test_healthy_long_running_probe_ends_the_quarantine(scene: Scene):
    """
    Guards against a quarantine without end when the probe is a long-running task,
    which never ends successfully. It ends the quarantine after it has served a while.
    """
    worker = scene.add_worker(1)
    stall(worker, NOW)
    later = worker.quarantined_until + 0.1
    start_long_running(scene, "j", later)
    worker.answered_at = later + 1.0
    plan_repairs(scene.tables, later + 1.0)
    assert worker.quarantine_reason is QuarantineReason.STALLED
    plan_repairs(scene.tables, later + 2.1)
    assert worker.quarantine_reason is QuarantineReason.NONE


def test_long_running_task_from_before_the_quarantine_does_not_end_it(scene: Scene):
    worker = scene.add_worker(1)
    start_long_running(scene, "j")
    stall(worker, NOW + 1.0)
    plan_repairs(scene.tables, worker.quarantined_until + 5.0)
    assert worker.quarantine_reason is QuarantineReason.STALLED


def test_worker_that_accepts_an_order_is_schedulable_again(scene: Scene):
    worker = scene.add_worker(1)
    refuse(worker, NOW)
    scene.add_job("j", BATCH)
    (run,) = plan_round(scene.tables, POOL, NOW + 1.1)
    record_acceptance(run.worker)
    assert (
        len(plan_round(scene.tables, POOL, NOW + 1.2)) == len(run.task.step.tasks) - 1
    )


def test_repeated_refusal_renews_the_backoff(scene: Scene):
    """
    Guards against frequent orders to a worker that refuses all of them for seconds.
    Without a new backoff after each refusal it got one every 0.15 s.
    """
    worker = scene.add_worker(1)
    refuse(worker, NOW)
    scene.add_job("j", BATCH)
    (run,) = plan_round(scene.tables, POOL, NOW + 1.1)
    refuse(worker, NOW + 1.1)
    detach_run(scene.tables, run, NOW + 1.1)
    assert plan_round(scene.tables, POOL, NOW + 1.6) == []
    assert len(plan_round(scene.tables, POOL, NOW + 2.2)) == 1


def test_simultaneous_failures_count_as_one_quarantine(scene: Scene):
    """
    Guards against a longer quarantine for several failures in one listing. If each
    of them doubled it, three would quarantine the only worker of an idle pool for
    16 s instead of 4 s, and a failed long-running task would wait as long.
    """
    worker = scene.add_worker(1)
    for _ in range(4):
        fail(worker, NOW)
    assert worker.quarantined_until == pytest.approx(NOW + QUARANTINE_SECONDS)
    again = worker.quarantined_until + 0.5
    fail(worker, again)
    assert worker.quarantined_until == pytest.approx(again + 2 * QUARANTINE_SECONDS)
