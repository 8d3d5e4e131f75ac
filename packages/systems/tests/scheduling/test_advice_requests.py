from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING

import msgspec
import pytest
from msgspec.structs import replace

from medlarspring_systems.scheduling import advice_requests
from medlarspring_systems.scheduling.advice_needs import AdviceNeed
from medlarspring_systems.scheduling.advice_requests import (
    choose_advice_request,
    list_unadvised_steps,
    record_advice,
    record_advice_call,
    record_advice_failure,
)
from medlarspring_systems.scheduling.attempts import attempt
from medlarspring_systems.scheduling.ordering import rank_step
from medlarspring_systems.scheduling.rounds import plan_round
from medlarspring_systems.scheduling.runs import detach_run
from medlarspring_tables import JobId, PartnerId, PoolId
from medlarspring_tables.scheduling import AdvicePolicy, Resources, StepSpec, WorkerId

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_systems.scheduling.ordering import Rank
    from medlarspring_tables.scheduling import ActiveJob, StepRun, Worker

    from .conftest import Scene

POOL = PoolId("consent")
NOW = 1_000.0
STEP = StepSpec(count=1, cpu_millis=2_000, memory_mb=500, estimate_ms=500)
SECOND = StepSpec(count=1, cpu_millis=2_000, estimate_ms=500, after=(0,))


LASTING = StepSpec(
    count=1,
    cpu_millis=10_000,
    memory_mb=500,
    estimate_ms=500,
    long_running=True,
    max_unavailable=1,
)


def add_restricted_job(
    scene: Scene, name: str, *steps: StepSpec, partner: str = "", now: float = NOW
) -> ActiveJob:
    job = scene.add_job(name, *steps, partner=PartnerId(partner), now=now)
    job.queue = msgspec.structs.replace(job.queue, advice=AdvicePolicy(valid_ms=3_000))
    return job


def answer_request(scene: Scene, *allowed: str, valid_for: float = 3.0) -> str | None:
    request = choose_advice_request(scene.tables, NOW)
    if request is None:
        return None
    tickets = {WorkerId(each): f"ticket-{each}" for each in allowed}
    record_advice(scene.tables, request, tickets, NOW + valid_for, NOW)
    return request.step_id


def ask(
    scene: Scene, now: float, *allowed: str, valid_for: float = 3.0
) -> tuple[str, tuple[str, ...]] | None:
    """Let the next call be sent and answered; returns the step and named workers."""
    request = choose_advice_request(scene.tables, now)
    if request is None:
        return None
    record_advice_call(scene.tables, request, now)
    tickets = {WorkerId(each): f"ticket-{each}" for each in allowed}
    record_advice(scene.tables, request, tickets, now + valid_for, now)
    return request.step_id, request.worker_ids


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


@pytest.mark.parametrize(
    ("first", "other"),
    [
        ((LASTING,), (STEP,)),
        ((LASTING,), (LASTING,)),
        ((LASTING, SECOND), (STEP,)),
        ((STEP,), (STEP, SECOND)),
    ],
    ids=["batch step", "lasting step", "step before an upcoming one", "upcoming step"],
)
def test_step_that_always_needs_advice_leaves_others_their_turn(
    scene: Scene, first: tuple[StepSpec, ...], other: tuple[StepSpec, ...]
):
    """Guards against steps that are never asked about behind one that always is.

    The advice of the first one has expired whenever the next call is chosen.
    """
    scene.add_worker(1)
    add_restricted_job(scene, "a", *first)
    add_restricted_job(scene, "b", *other, now=NOW + 0.1)
    calls = [
        ask(scene, NOW + number, "i-1", valid_for=0.5) for number in range(1, 2 * 4)
    ]
    asked = {call[0] for call in calls if call is not None}
    steps = [f"a.0.{index}" for index in range(len(first))]
    steps += [f"b.0.{index}" for index in range(len(other))]
    assert asked == set(steps)


def test_partner_with_many_steps_leaves_others_their_turn(scene: Scene):
    """Guards against a partner whose steps wait behind those of one with many."""
    scene.add_worker(1)
    for number in range(20):
        add_restricted_job(scene, f"a{number}", LASTING, partner="many")
    for name in ("b", "c"):
        add_restricted_job(scene, name, STEP, partner=name, now=NOW + 0.1)
    calls = [ask(scene, NOW + number, "i-1", valid_for=0.5) for number in range(1, 9)]
    asked = {call[0] for call in calls if call is not None}
    assert asked >= {"b.0.0", "c.0.0"}


def test_worker_that_may_not_run_a_step_is_not_asked_about_again(scene: Scene):
    """Guards against calls whose answer is known, while others wait for theirs."""
    for number in (1, 2):
        scene.add_worker(number)
    add_restricted_job(scene, "j", STEP)
    assert ask(scene, NOW, "i-2") == ("j.0.0", ("i-1", "i-2"))
    assert ask(scene, NOW + 4.0, "i-2") == ("j.0.0", ("i-2",))


def test_advice_is_requested_where_batch_runs_hold_the_accelerator(scene: Scene):
    """Guards against a lasting task that stays down, as nothing is preempted for it.

    Without a ticket no batch run may be stopped for it, and none was asked for.
    """
    worker = scene.add_worker(1)
    worker.resources = Resources(16_000, 32_768, 1)
    worker.accelerators_free = 1
    scene.add_job("batch", replace(STEP, accelerators=1))
    assert len(plan_round(scene.tables, POOL, NOW)) == 1
    add_restricted_job(scene, "j", replace(LASTING, accelerators=1))
    assert ask(scene, NOW, "i-1") == ("j.0.0", ("i-1",))
    request = choose_advice_request(scene.tables, NOW + 3.0)
    assert request is not None
    assert request.need is AdviceNeed.START


def test_advice_is_requested_for_tasks_that_use_what_others_leave(scene: Scene):
    """Guards against filling tasks that never start on workers without free CPU."""
    scene.add_worker(1, cpu=2_000)
    scene.add_job("batch", STEP)
    assert len(plan_round(scene.tables, POOL, NOW)) == 1
    add_restricted_job(scene, "j", replace(STEP, uses_leftover=True))
    ask(scene, NOW, "i-1", valid_for=0.5)
    request = choose_advice_request(scene.tables, NOW + 1.0)
    assert request is not None
    assert request.need is AdviceNeed.START


def make_due(worker: Worker) -> None:
    worker.due = True


def make_draining(worker: Worker) -> None:
    worker.draining = True


@pytest.mark.parametrize("make_leave", [make_due, make_draining])
def test_advice_is_kept_for_tasks_at_work_that_are_to_move(
    scene: Scene, make_leave: Callable[[Worker], None]
):
    """Guards against tasks that can't leave a VM, as tickets are for waiting ones only.

    Nothing is asked while they stay, nor about VMs that are due themselves.
    """
    worker = scene.add_worker(1)
    add_restricted_job(scene, "j", LASTING)
    assert ask(scene, NOW, "i-1") == ("j.0.0", ("i-1",))
    assert len(plan_round(scene.tables, POOL, NOW)) == 1
    scene.add_worker(2)
    scene.add_worker(3).due = True
    assert ask(scene, NOW + 1.0) is None
    make_leave(worker)
    assert ask(scene, NOW + 1.0, "i-2") == ("j.0.0", ("i-2",))
    assert ask(scene, NOW + 2.0, "i-2") is None
    assert ask(scene, NOW + 4.0, "i-2") == ("j.0.0", ("i-2",))


def test_refusal_is_checked_again_after_a_while(scene: Scene):
    """Guards against an adviser that did not know a new worker yet.

    Without the check, a step would wait forever beside a worker that may run it.
    """
    scene.add_worker(1)
    add_restricted_job(scene, "j", STEP)
    assert ask(scene, NOW) == ("j.0.0", ("i-1",))
    assert ask(scene, NOW + 20.0) is None
    assert ask(scene, NOW + 40.0, "i-1") == ("j.0.0", ("i-1",))


def test_lasting_step_without_room_is_asked_about_once_there_is_some(scene: Scene):
    """Guards against calls for a step that no call can help, and against none after."""
    scene.add_worker(1)
    add_restricted_job(scene, "a", LASTING)
    assert ask(scene, NOW, "i-1") == ("a.0.0", ("i-1",))
    (run,) = plan_round(scene.tables, POOL, NOW)
    add_restricted_job(scene, "b", LASTING)
    assert ask(scene, NOW, "i-1") == ("b.0.0", ("i-1",))
    assert ask(scene, NOW + 4.0, "i-1") is None
    detach_run(scene.tables, run, NOW + 4.0)
    scene.drop_job(run.task.step.job)
    assert ask(scene, NOW + 4.0, "i-1") == ("b.0.0", ("i-1",))


@pytest.mark.parametrize(
    ("policy", "named"),
    [
        (AdvicePolicy(decide_ms=200, per_worker_ms=50, valid_ms=3_000), 26),
        (AdvicePolicy(decide_ms=200, per_worker_ms=10, valid_ms=3_000), 30),
        (AdvicePolicy(decide_ms=2_000, per_worker_ms=50, valid_ms=3_000), 1),
        (AdvicePolicy(valid_ms=3_000), 30),
    ],
)
def test_call_leaves_time_to_use_its_tickets(
    scene: Scene, policy: AdvicePolicy, named: int
):
    """Guards against tickets that have expired when the answer comes.

    Nothing would ever start with them, and the same would be asked again.
    """
    for number in range(1, 41):
        scene.add_worker(number)
    job = add_restricted_job(scene, "j", StepSpec(count=100, cpu_millis=2_000))
    job.queue = msgspec.structs.replace(job.queue, advice=policy)
    request = choose_advice_request(scene.tables, NOW)
    assert request is not None
    assert len(request.worker_ids) == named


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
    record_advice(scene.tables, request, {worker.id: "ticket"}, NOW + 3.0, NOW)
    assert plan_round(scene.tables, POOL, NOW) == []


def fail_call(scene: Scene, now: float) -> str | None:
    """Let the next call be sent and fail; returns its step."""
    request = choose_advice_request(scene.tables, now)
    if request is None:
        return None
    record_advice_call(scene.tables, request, now)
    record_advice_failure(scene.tables, request, now)
    return request.step_id


def test_step_is_not_asked_about_while_its_call_is_open(scene: Scene):
    """Guards against a second call about a step instead of one about the next."""
    scene.add_worker(1)
    for name in ("a", "b"):
        add_restricted_job(scene, name, STEP)
    for step_id in ("a.0.0", "b.0.0"):
        request = choose_advice_request(scene.tables, NOW)
        assert request is not None
        assert request.step_id == step_id
        record_advice_call(scene.tables, request, NOW)
    assert choose_advice_request(scene.tables, NOW) is None


def test_step_whose_calls_fail_comes_after_the_others(scene: Scene):
    """Guards against steps that wait while calls about others fail again and again."""
    scene.add_worker(1)
    add_restricted_job(scene, "a", LASTING)
    assert fail_call(scene, NOW) == "a.0.0"
    add_restricted_job(scene, "b", STEP, now=NOW + 0.5)
    assert scene.tables.advice_calls_made == 1
    # The second call goes to the step whose last turn is the longest ago.
    assert fail_call(scene, NOW + 0.5) == "a.0.0"
    assert ask(scene, NOW + 1.0, "i-1", valid_for=0.5) == ("b.0.0", ("i-1",))


def test_steps_whose_calls_failed_are_retried_one_at_a_time(scene: Scene):
    """Guards against calls that all come too late, as each waits for the others."""
    scene.add_worker(1)
    for name in ("a", "b"):
        add_restricted_job(scene, name, STEP)
        fail_call(scene, NOW)
    request = choose_advice_request(scene.tables, NOW + 1.0)
    assert request is not None
    record_advice_call(scene.tables, request, NOW + 1.0)
    assert choose_advice_request(scene.tables, NOW + 1.0) is None


@pytest.mark.parametrize(
    ("others_answered", "pauses"),
    [(False, [0.2, 0.2, 0.2, 0.2]), (True, [0.2, 0.4, 0.8, 1.6, 3.2, 5.0, 5.0])],
    ids=["outage", "fault of one step"],
)
def test_pause_grows_only_while_other_calls_are_answered(
    scene: Scene, others_answered: bool, pauses: list[float]
):
    """Guards against calls that fail for ever, and against waits beyond an outage."""
    scene.add_worker(1)
    add_restricted_job(scene, "a", LASTING)
    now, measured = NOW, []
    for _ in pauses:
        assert fail_call(scene, now) == "a.0.0"
        step = scene.tables.jobs_by_id[JobId("a")].occurrences_by_index[0][0]
        measured.append(step.advice_calls.not_before - now)
        now = step.advice_calls.not_before
        if others_answered:
            scene.tables.advice_answered_at = now
    assert measured == pytest.approx(pauses)


def test_call_that_failed_is_repeated_with_fewer_workers(scene: Scene):
    """Guards against calls that name so many workers that none is answered in time."""
    for number in range(1, 9):
        scene.add_worker(number)
    add_restricted_job(scene, "a", STEP)
    named = []
    for number in range(5):
        request = choose_advice_request(scene.tables, NOW + number)
        assert request is not None
        named.append(len(request.worker_ids))
        assert fail_call(scene, NOW + number) == "a.0.0"
    assert named == [8, 8, 7, 3, 1]


@pytest.mark.parametrize("seed", range(12))
def test_each_step_gets_its_turn_whatever_the_others_do(scene: Scene, seed: int):
    """Guards against any mix of steps that keeps one from the adviser.

    Steps of several partners rank, fail and expire at random; none ever starts.
    """
    rng = random.Random(seed)
    scene.add_worker(1)
    specs = [STEP, LASTING]
    names = [f"j{number}" for number in range(rng.randint(2, 12))]
    for name in names:
        partner = f"p{rng.randrange(3)}"
        add_restricted_job(scene, name, rng.choice(specs), partner=partner)
    failing = set(rng.sample(names, len(names) // 3))
    now, calls_since = NOW, dict.fromkeys(names, 0)
    partners = 3
    for _ in range(300):
        now += rng.uniform(0.05, 2.0)
        request = choose_advice_request(scene.tables, now)
        if request is None:
            continue
        record_advice_call(scene.tables, request, now)
        name = str(request.step.job.id)
        if name in failing:
            record_advice_failure(scene.tables, request, now)
        else:
            tickets = {WorkerId("i-1"): "ticket"}
            valid_until = now + rng.uniform(0.0, 3.0)
            record_advice(scene.tables, request, tickets, valid_until, now)
        calls_since = {each: count + 1 for each, count in calls_since.items()}
        calls_since[name] = 0
        # A step that pauses or has tickets needs no call, so only longer gaps count.
        assert max(calls_since.values()) <= 2 * (partners * len(names) + len(names))


def test_step_that_raises_does_not_keep_others_from_the_adviser(
    scene: Scene, monkeypatch: pytest.MonkeyPatch
):
    """Guards against steps that are never asked about beside one that can't be ranked.

    The fault is reported, and the others are asked about as if it was not there.
    """
    scene.add_worker(1)
    odd = add_restricted_job(scene, "odd", STEP)
    add_restricted_job(scene, "sound", STEP)

    def rank_or_raise(step: StepRun, now: float) -> Rank:
        if step.job is odd:
            raise OverflowError
        return rank_step(step, now)

    monkeypatch.setattr(advice_requests, "rank_step", rank_or_raise)
    failures: list[Exception] = []
    request = choose_advice_request(scene.tables, NOW, partial(attempt, failures))
    assert request is not None
    assert request.step_id == "sound.0.0"
    assert [type(each) for each in failures] == [OverflowError]
