"""Reasons for which tasks wait, and waiting tasks that are not queued."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from medlarspring_systems.scheduling.rounds import plan_round
from medlarspring_systems.scheduling.runs import detach_run, end_run
from medlarspring_systems.scheduling.waiting import (
    WaitCause,
    count_waiting,
    find_wait_cause,
    list_unqueued_tasks,
)
from medlarspring_tables import PoolId
from medlarspring_tables.scheduling import RunEnd

from .conftest import create_step

if TYPE_CHECKING:
    from .conftest import Scene

POOL = PoolId("consent")
NOW = 1_000.0


@pytest.mark.parametrize(
    ("cpu", "rules", "cause"),
    [
        (0, {}, WaitCause.NO_SCHEDULABLE_WORKER),
        (1_000, {}, WaitCause.RESOURCES),
        (4_000, {}, WaitCause.NEXT_ROUND),
        (4_000, {"required_label": "gpu"}, WaitCause.NOT_ALLOWED),
        (4_000, {"count": 3, "gang": True}, WaitCause.OTHER_MEMBERS),
    ],
)
def test_what_a_task_waits_for(
    scene: Scene, cpu: int, rules: dict[str, object], cause: WaitCause
):
    if cpu:
        scene.add_worker(1, cpu=cpu)
    job = scene.add_job("j", create_step(**rules))
    task = job.occurrences_by_index[0][0].tasks[0]
    assert find_wait_cause(scene.tables, task, NOW) is cause


def test_what_a_task_waits_for_over_its_lifetime(scene: Scene):
    scene.add_worker(1)
    job = scene.add_job("j", create_step(), create_step(after=(0,)))
    first, second = (each.tasks[0] for each in job.occurrences_by_index[0])
    assert find_wait_cause(scene.tables, second, NOW) is WaitCause.EARLIER_STEPS
    (run,) = plan_round(scene.tables, POOL, NOW)
    assert find_wait_cause(scene.tables, first, NOW) is None
    end_run(scene.tables, run, RunEnd.FAILED, "", NOW)
    assert find_wait_cause(scene.tables, first, NOW) is WaitCause.RETRY_PAUSE
    (run,) = plan_round(scene.tables, POOL, NOW + 1.0)
    end_run(scene.tables, run, RunEnd.DONE, "", NOW + 1.0)
    assert find_wait_cause(scene.tables, second, NOW + 1.0) is WaitCause.NEXT_ROUND


@pytest.mark.parametrize(
    ("cpu", "counts"), [(0, (3, 3)), (1_000, (3, 0)), (4_000, (1, 0))]
)
def test_waiting_tasks_are_counted_by_whether_their_pool_has_a_worker(
    scene: Scene, cpu: int, counts: tuple[int, int]
):
    if cpu:
        scene.add_worker(1, cpu=cpu)
    scene.add_job("j", create_step(count=3))
    plan_round(scene.tables, POOL, NOW)
    assert count_waiting(scene.tables, NOW) == counts


def test_task_missing_from_its_queue_is_found(scene: Scene):
    """
    Guards against a task that waits forever while its pool is idle, because it is
    missing from the queue. A lost run puts its task back into the queue; the test
    then clears the queue.
    """
    scene.add_worker(1)
    scene.add_job("j", create_step())
    (run,) = plan_round(scene.tables, POOL, NOW)
    detach_run(scene.tables, run, NOW)
    assert list_unqueued_tasks(scene.tables) == []
    scene.tables.ready_by_pool[POOL].clear()
    assert list_unqueued_tasks(scene.tables) == [run.task]
    assert find_wait_cause(scene.tables, run.task, NOW) is WaitCause.NOT_QUEUED
