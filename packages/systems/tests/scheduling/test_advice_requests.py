from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from medlarspring_systems.scheduling.advice_requests import (
    choose_advice_request,
    list_unadvised_steps,
    record_advice,
)
from medlarspring_systems.scheduling.rounds import plan_round
from medlarspring_tables import PoolId
from medlarspring_tables.scheduling import AdvicePolicy, StepSpec, WorkerId

if TYPE_CHECKING:
    from medlarspring_tables.scheduling import ActiveJob

    from .conftest import Scene

POOL = PoolId("consent")
NOW = 1_000.0
STEP = StepSpec(count=1, cpu_millis=2_000, memory_mb=500, estimate_ms=500)
SECOND = StepSpec(count=1, cpu_millis=2_000, estimate_ms=500, after=(0,))


def add_restricted_job(scene: Scene, name: str, *steps: StepSpec) -> ActiveJob:
    job = scene.add_job(name, *steps)
    job.queue = msgspec.structs.replace(job.queue, advice=AdvicePolicy(valid_ms=3_000))
    return job


def answer_request(scene: Scene, *allowed: str, valid_for: float = 3.0) -> str | None:
    request = choose_advice_request(scene.tables, NOW)
    if request is None:
        return None
    tickets = {WorkerId(each): f"ticket-{each}" for each in allowed}
    record_advice(request, tickets, NOW + valid_for)
    return request.step_id


def test_step_starts_only_where_the_adviser_allows_it(scene: Scene):
    for number in (1, 2, 3):
        scene.add_worker(number)
    add_restricted_job(scene, "j", STEP)
    assert plan_round(scene.tables, POOL, NOW) == []
    assert answer_request(scene, "i-2") == "j.0.0"
    (run,) = plan_round(scene.tables, POOL, NOW)
    assert run.worker.id == "i-2"


def test_expired_ticket_is_not_used_and_is_requested_again(scene: Scene):
    scene.add_worker(1)
    add_restricted_job(scene, "j", STEP)
    answer_request(scene, "i-1", valid_for=0.5)
    assert plan_round(scene.tables, POOL, NOW + 1.0) == []
    request = choose_advice_request(scene.tables, NOW + 1.0)
    assert request is not None
    assert request.worker_ids == ("i-1",)


def test_advice_is_requested_once_per_worker(scene: Scene):
    scene.add_worker(1)
    add_restricted_job(scene, "j", STEP)
    assert answer_request(scene) == "j.0.0"
    assert choose_advice_request(scene.tables, NOW) is None
    scene.add_worker(2)
    request = choose_advice_request(scene.tables, NOW)
    assert request is not None
    assert request.worker_ids == ("i-2",)


def test_advice_for_waiting_steps_is_requested_before_upcoming_steps(scene: Scene):
    scene.add_worker(1)
    add_restricted_job(scene, "j", STEP, SECOND)
    add_restricted_job(scene, "k", STEP)
    asked = [answer_request(scene, "i-1") for _ in range(4)]
    assert asked == ["k.0.0", "j.0.0", "j.0.1", None]


def test_steps_without_advice_are_listed_with_their_waits(scene: Scene):
    """Guards against reports that don't show which step the adviser is not asked about.

    The wait counts from the step's turn, or from the end of its last advice.
    """
    scene.add_worker(1)
    first = add_restricted_job(scene, "j", STEP)
    second = add_restricted_job(scene, "k", STEP)
    assert answer_request(scene, "i-1", valid_for=0.5) == "j.0.0"
    (listed,) = list_unadvised_steps(scene.tables, NOW + 0.1)
    assert listed == (second.occurrences_by_index[0][0], pytest.approx(0.1))
    listed_later = list_unadvised_steps(scene.tables, NOW + 2.0)
    assert [step.job for step, _ in listed_later] == [second, first]
    assert [wait for _, wait in listed_later] == pytest.approx([2.0, 1.5])


def test_unrestricted_queue_requests_no_advice(scene: Scene):
    scene.add_worker(1)
    scene.add_job("j", STEP)
    assert choose_advice_request(scene.tables, NOW) is None


def test_ticket_for_a_previous_incarnation_is_not_used(scene: Scene):
    """
    A ticket is valid for one incarnation of its worker. After a restart under the same
    id, the worker refuses starts with the old ticket, and the step would not run.
    """
    worker = scene.add_worker(1)
    add_restricted_job(scene, "j", STEP)
    answer_request(scene, "i-1")
    worker.born_ms += 1
    assert plan_round(scene.tables, POOL, NOW) == []
    assert answer_request(scene, "i-1") == "j.0.0"
    assert len(plan_round(scene.tables, POOL, NOW)) == 1


def test_advice_requested_before_a_restart_is_not_used_after_it(scene: Scene):
    worker = scene.add_worker(1)
    add_restricted_job(scene, "j", STEP)
    request = choose_advice_request(scene.tables, NOW)
    assert request is not None
    worker.born_ms += 1
    record_advice(request, {worker.id: "ticket"}, NOW + 3.0)
    assert plan_round(scene.tables, POOL, NOW) == []
