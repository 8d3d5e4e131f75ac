from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from medlarspring_systems.scheduling.lease_plan import (
    extend_lease,
    limit_start,
    plan_wait,
)
from medlarspring_systems.scheduling.rounds import plan_round
from medlarspring_systems.scheduling.workers import record_clock
from medlarspring_tables import PoolId
from medlarspring_tables.scheduling import RunState

from .conftest import create_step

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_tables.scheduling import Run, Worker

    from .conftest import Scene

POOL = PoolId("consent")
NOW = 1_000.0
LONGEST = 10.0
CLOCK_MS = 480_000


def leave(worker: Worker, run: Run) -> None:
    pass


def stop(worker: Worker, run: Run) -> None:
    run.stopping = True


def lose_answer(worker: Worker, run: Run) -> None:
    run.state = RunState.UNKNOWN


def fall_silent(worker: Worker, run: Run) -> None:
    worker.unanswered_since = NOW


def unsettle(worker: Worker, run: Run) -> None:
    worker.reconciled = False


@pytest.mark.parametrize(
    ("change", "look_now", "wait_ms"),
    [
        (leave, False, 500),
        (leave, True, 0),
        (stop, False, 50),
        (lose_answer, False, 50),
        (fall_silent, False, 0),
        (unsettle, False, 0),
    ],
)
def test_how_long_a_worker_may_hold_its_answer_back(
    scene: Scene, change: Callable[[Worker, Run], None], look_now: bool, wait_ms: int
):
    worker = scene.add_worker(1)
    scene.add_job("j", create_step())
    (run,) = plan_round(scene.tables, POOL, NOW)
    change(worker, run)
    assert plan_wait(worker, look_now=look_now) == wait_ms


def test_idle_worker_is_not_waited_for(scene: Scene):
    assert plan_wait(scene.add_worker(1), look_now=False) == 0


def test_leases_are_asked_for_below_the_longest(scene: Scene):
    worker = scene.add_worker(1)
    record_clock(worker, CLOCK_MS, NOW)
    assert extend_lease(worker, LONGEST, NOW + 1.0) == CLOCK_MS + 10_500
    assert worker.lease_ms == CLOCK_MS + 10_500


def test_start_extends_no_lease_that_is_longer(scene: Scene):
    worker = scene.add_worker(1)
    record_clock(worker, CLOCK_MS, NOW)
    extend_lease(worker, LONGEST, NOW)
    assert limit_start(worker, NOW) == CLOCK_MS + 1_500
    assert worker.lease_ms == CLOCK_MS + 9_500


def test_silent_worker_gets_no_longer_lease(scene: Scene):
    """
    A worker answers nothing and runs on. An extension that reached it unheard would
    keep its runs alive for longer than this controller knows.
    """
    worker = scene.add_worker(1)
    record_clock(worker, CLOCK_MS, NOW)
    worker.unanswered_since = NOW
    assert extend_lease(worker, LONGEST, NOW) == 0
    assert worker.lease_ms == 0
