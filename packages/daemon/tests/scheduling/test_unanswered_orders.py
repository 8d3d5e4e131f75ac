"""Tests of orders and hold calls that get no answer and are repeated."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import TYPE_CHECKING

import pytest
from returns.result import Failure, Success

from medlarspring_adapters.worker_orders import (
    OrderAnswer,
    OrderRefusal,
    WorkerUnresponsive,
)
from medlarspring_bench.platform_world.calls import SimulatedOrders
from medlarspring_tables.scheduling import JobSpec, RunEnd, StepSpec

from .scenarios import run_scenario, wait_for_end

if TYPE_CHECKING:
    from medlarspring_adapters.worker_orders import (
        HoldOrder,
        StartOrder,
        StopOrder,
        WorkerAddress,
    )
    from medlarspring_bench.platform_world.customers import Customers
    from medlarspring_bench.platform_world.world import World
    from medlarspring_tables import JobId

SEED = 5
LATE_SECONDS = 1.0
"""Less than the time for which a worker accepts a start."""
BETWEEN_ATTEMPTS_SECONDS = 0.01
TASKS = 13
JOBS = 60
LOST_FRACTION = 0.08
MAX_WAIT_SECONDS = 0.25
"""From a job's submission to its last start; it may take 0.6 s longer than its work."""
IN_TIME_FRACTION = 0.98
"""Of the jobs, by their task that waits longest."""


class Fate(Enum):
    """What becomes of one attempt of a start order."""

    ANSWERED = "answered"
    LOST_ANSWER = "carried out at once, without an answer"
    LATE = "carried out late, without an answer"
    REFUSED = "refused for want of room"


Interrupt = Callable[["WorkerAddress"], Awaitable[None]]


@pytest.fixture
def script_starts(monkeypatch: pytest.MonkeyPatch):
    """Return a function that sets the fate of each attempt of a first run's start."""
    start = SimulatedOrders.start

    def script(*fates: Fate, interrupt: Interrupt | None = None) -> Counter[str]:
        attempts: Counter[str] = Counter()

        async def start_scripted(
            orders: SimulatedOrders,
            worker: WorkerAddress,
            order: StartOrder,
            timeout: float,
        ):  # type: ignore[no-untyped-def]
            index = attempts[order.task_id]
            attempts[order.task_id] += 1
            if order.run > 1 or index >= len(fates):
                return await start(orders, worker, order, timeout)
            if fates[index] is Fate.REFUSED:
                return Success(OrderAnswer(0, OrderRefusal.ROOM))
            if fates[index] is Fate.LATE:
                orders._fault_state.late_order_seconds = (LATE_SECONDS, LATE_SECONDS)
                orders._fault_state.lost_orders = 1.0
                lost = asyncio.ensure_future(start(orders, worker, order, timeout))
                await asyncio.sleep(BETWEEN_ATTEMPTS_SECONDS)
                orders._fault_state.lost_orders = 0.0
                return await lost
            answer = await start(orders, worker, order, timeout)
            if fates[index] is Fate.ANSWERED:
                return answer
            if interrupt is not None:
                await interrupt(worker)
            await asyncio.sleep(timeout)
            return Failure(WorkerUnresponsive(worker.id, "lost", may_follow=True))

        monkeypatch.setattr(SimulatedOrders, "start", start_scripted)
        return attempts

    return script


async def submit_job(
    world: World, customers: Customers, count: int, seconds: float
) -> JobId:
    """Submit a job of one step whose tasks take some seconds each."""
    step = StepSpec(count=count, cpu_millis=500, memory_mb=64, estimate_ms=500)
    job_id = customers.create_job_id()
    spec = JobSpec(payload=f"payload of {job_id}", steps=(step,))
    customers.add_facts(job_id, spec)
    for index in range(count):
        world.facts_by_task[f"{job_id}.0.0.{index}"].seconds = seconds
    assert await customers.submit("lookup", job_id, spec)
    return job_id


def has_logged(world: World, text: str) -> bool:
    return any(text in log.getvalue() for _, log in world.logs)


@pytest.mark.parametrize(
    ("fates", "seconds", "runs"),
    [
        pytest.param([Fate.LOST_ANSWER], 0.3, 1, id="answer lost"),
        pytest.param([Fate.LATE], 0.3, 1, id="late, after the end"),
        pytest.param([Fate.LATE], 3.0, 1, id="late, while it runs"),
        pytest.param([Fate.LATE, Fate.LOST_ANSWER], 0.3, 1, id="repeat's answer lost"),
        pytest.param([Fate.LATE, Fate.REFUSED], 3.0, 2, id="repeat refused"),
        pytest.param([Fate.REFUSED], 0.3, 2, id="refused"),
        pytest.param([Fate.LATE, Fate.LATE], 0.3, 2, id="all late"),
        pytest.param([Fate.LATE, Fate.LATE], 3.0, 2, id="all late, long task"),
    ],
)
def test_task_whose_start_is_unanswered_runs_once(
    script_starts: Callable[..., Counter[str]],
    fates: list[Fate],
    seconds: float,
    runs: int,
):
    """Guards against a second run of a task of which a start was carried out late."""

    async def scenario(world: World, customers: Customers) -> None:
        attempts = script_starts(*fates)
        job_id = await submit_job(world, customers, 1, seconds)
        await wait_for_end(customers, [job_id])
        await asyncio.sleep(LATE_SECONDS)
        task_id = f"{job_id}.0.0.0"
        assert attempts[task_id] > 1 or fates == [Fate.REFUSED]
        (run,) = world.history.runs_by_task[task_id]
        assert run.number == runs
        assert run.end is RunEnd.DONE

    run_scenario(scenario, SEED)


def test_run_that_has_ended_before_the_repeat_is_not_started_again(
    script_starts: Callable[..., Counter[str]],
):
    """Guards against a task started anew as its repeated start is refused as old."""

    async def scenario(world: World, customers: Customers) -> None:
        script_starts(Fate.LOST_ANSWER)
        job_id = await submit_job(world, customers, 1, 0.001)
        await wait_for_end(customers, [job_id])
        assert has_logged(world, '"reason": "old"')
        assert len(world.history.runs_by_task[f"{job_id}.0.0.0"]) == 1

    run_scenario(scenario, SEED)


def test_repeat_starts_nothing_after_its_worker_restarted(
    script_starts: Callable[..., Counter[str]],
):
    """Guards against a run that the next incarnation of its worker starts again."""

    async def scenario(world: World, customers: Customers) -> None:
        async def restart(worker: WorkerAddress) -> None:
            vm_id = world.fleet.workers_by_id[worker.id].vm_id
            world.fleet.restart(vm_id, 0.0)

        script_starts(Fate.LOST_ANSWER, interrupt=restart)
        job_id = await submit_job(world, customers, 1, 0.5)
        await wait_for_end(customers, [job_id])
        runs = world.history.runs_by_task[f"{job_id}.0.0.0"]
        assert [run.number for run in runs] == [1, 2]

    run_scenario(scenario, SEED)


@pytest.mark.parametrize("lost_stops", [0, 4], ids=["", "stops lost"])
@pytest.mark.parametrize("seconds", [0.3, 3.0], ids=["ended", "at work"])
def test_restarted_worker_refuses_the_attempt_that_a_repeat_overtook(
    script_starts: Callable[..., Counter[str]],
    monkeypatch: pytest.MonkeyPatch,
    seconds: float,
    lost_stops: int,
):
    """Guards against a late start in an incarnation that knows nothing of its run."""
    stop = SimulatedOrders.stop
    sent: list[str] = []

    async def lose_first_stops(
        orders: SimulatedOrders,
        worker: WorkerAddress,
        order: StopOrder,
        timeout: float,
    ):  # type: ignore[no-untyped-def]
        sent.append(worker.id)
        if len(sent) > lost_stops:
            return await stop(orders, worker, order, timeout)
        await asyncio.sleep(timeout)
        return Failure(WorkerUnresponsive(worker.id, "lost", may_follow=True))

    monkeypatch.setattr(SimulatedOrders, "stop", lose_first_stops)

    async def scenario(world: World, customers: Customers) -> None:
        world.fault_state.late_orders_outlive_workers = True
        script_starts(Fate.LATE)
        job_id = await submit_job(world, customers, 1, seconds)
        await asyncio.sleep(0.4)
        task_id = f"{job_id}.0.0.0"
        (run,) = world.history.runs_by_task[task_id]
        world.fleet.restart(world.fleet.workers_by_id[run.worker_id].vm_id, 0.0)
        await asyncio.sleep(2 * LATE_SECONDS)
        restarted = world.fleet.workers_by_id[run.worker_id]
        assert restarted.refused_up_to[task_id] >= run.number
        await wait_for_end(customers, [job_id])
        numbers = [run.number for run in world.history.runs_by_task[task_id]]
        assert numbers == sorted(set(numbers))

    run_scenario(scenario, SEED)


def test_run_is_kept_when_the_controller_is_killed_before_the_repeat(
    script_starts: Callable[..., Counter[str]],
):
    """Guards against a second run by a successor that knows of no repeat."""

    async def scenario(world: World, customers: Customers) -> None:
        async def kill(worker: WorkerAddress) -> None:
            controller = world.find_controller()
            assert controller is not None
            asyncio.get_running_loop().call_soon(world.kill_node, controller)

        script_starts(Fate.LOST_ANSWER, interrupt=kill)
        job_id = await submit_job(world, customers, 1, 6.0)
        await wait_for_end(customers, [job_id])
        assert len(world.history.runs_by_task[f"{job_id}.0.0.0"]) == 1

    run_scenario(scenario, SEED)


def test_worker_whose_hold_answers_are_lost_stays_responsive(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against a worker without new tasks because of one lost answer."""
    hold = SimulatedOrders.hold
    waited_on: set[str] = set()

    async def lose_first_wait(
        orders: SimulatedOrders,
        worker: WorkerAddress,
        order: HoldOrder,
        timeout: float,
    ):  # type: ignore[no-untyped-def]
        if not order.wait_ms or worker.id in waited_on:
            return await hold(orders, worker, order, timeout)
        waited_on.add(worker.id)
        await asyncio.sleep(timeout)
        return Failure(WorkerUnresponsive(worker.id, "lost", may_follow=True))

    async def scenario(world: World, customers: Customers) -> None:
        monkeypatch.setattr(SimulatedOrders, "hold", lose_first_wait)
        began_at = world.clock.now()
        job_id = await submit_job(world, customers, 4, 0.5)
        await wait_for_end(customers, [job_id])
        assert world.clock.now() - began_at < 1.0
        assert waited_on
        assert not has_logged(world, "worker_silent")

    run_scenario(scenario, SEED)


def test_tasks_start_in_time_while_orders_are_unanswered():
    """Guards against jobs that are late as each of their tasks needs several orders."""
    waits: list[float] = []

    async def play(world: World, customers: Customers) -> None:
        submitted_at = world.clock.now()
        job_id = await submit_job(world, customers, TASKS, 0.5)
        await wait_for_end(customers, [job_id])
        starts = [
            world.history.runs_by_task[f"{job_id}.0.0.{index}"][0].started_at
            for index in range(TASKS)
        ]
        waits.append(max(starts) - submitted_at)

    async def scenario(world: World, customers: Customers) -> None:
        world.fault_state.lost_orders = LOST_FRACTION
        world.fault_state.lost_holds = LOST_FRACTION
        for _ in range(JOBS):
            await play(world, customers)

    run_scenario(scenario, SEED)
    in_time = sum(wait <= MAX_WAIT_SECONDS for wait in waits)
    assert in_time >= IN_TIME_FRACTION * JOBS
