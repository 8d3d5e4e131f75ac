"""Odd values from customers, workers and the operator must not stop other work."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import pytest

from medlarspring_adapters.events import Event
from medlarspring_bench.key_value_ops import PutOp
from medlarspring_bench.platform_world.plans import write_operator_config
from medlarspring_bench.platform_world.worker_model import WorkerModel
from medlarspring_tables import VMId
from medlarspring_tables.scheduling import (
    EndedRow,
    JobSpec,
    RunEnd,
    RunningRow,
    StepSpec,
)

from .scenarios import run_scenario, submit, wait_for_end

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from medlarspring_adapters.worker_orders import HoldAnswer
    from medlarspring_bench.platform_world.customers import Customers
    from medlarspring_bench.platform_world.world import World

SEED = 29
TASK_FAILED = Event.TASK_FAILED.number
HUGE = 10**310
"""An integer that no float can hold."""


def run_odd_scenario(scenario: Callable[[World, Customers], Awaitable[None]]) -> None:
    """Run a scenario in which no background task and no timer may fail."""
    failed: list[str] = []

    def record_failure(_: object, context: dict[str, Any]) -> None:
        if "handle" in context:
            failed.append(repr(context["exception"]))

    async def recorded(world: World, customers: Customers) -> None:
        asyncio.get_running_loop().set_exception_handler(record_failure)
        await scenario(world, customers)

    world = run_scenario(recorded, SEED)
    lines = [line for _, log in world.logs for line in log.getvalue().splitlines()]
    for line in map(json.loads, lines):
        if line["event"] == TASK_FAILED:
            failed.append(line["trace"].splitlines()[-1])
    assert failed == []


async def replace_controller(world: World) -> None:
    controller = world.find_controller()
    assert controller is not None
    world.kill_node(controller)
    await world.start_node(controller)
    async with asyncio.timeout(10.0):
        while world.find_controller() is None:
            await asyncio.sleep(0.05)


async def check_others(world: World, customers: Customers) -> None:
    """Check that jobs complete, before and after a takeover."""
    await wait_for_end(customers, await submit(customers, 4))
    await replace_controller(world)
    await wait_for_end(customers, await submit(customers, 4))


ODD_STEPS: dict[str, dict[str, Any]] = {
    "estimate": {"estimate_ms": HUGE},
    "cpu": {"cpu_millis": HUGE},
    "cpu-of-long-running": {"cpu_millis": HUGE, "long_running": True},
    "memory": {"memory_mb": HUGE},
    "accelerators": {"accelerators": HUGE},
    "latency-target": {"latency_target_ms": HUGE, "long_running": True},
}
ODD_TIMES: dict[str, dict[str, Any]] = {
    "first": {"first_at_ms": HUGE, "occurrences": 1},
    "long-ago": {"first_at_ms": -HUGE, "occurrences": 2, "interval_ms": 10},
    "interval": {"first_at_ms": 1, "occurrences": 2, "interval_ms": HUGE},
}


@pytest.mark.parametrize("name", [*ODD_STEPS, *ODD_TIMES])
def test_others_are_served_beside_a_job_with_a_number_too_large(name: str):
    """Guards against one customer's job that ends the inbox's follower for all."""
    step = {"count": 1, "cpu_millis": 500, "memory_mb": 64, "estimate_ms": 300}
    step |= ODD_STEPS.get(name, {})
    spec = JobSpec(payload="", steps=(StepSpec(**step),), **ODD_TIMES.get(name, {}))

    async def scenario(world: World, customers: Customers) -> None:
        job_id = customers.create_job_id()
        customers.add_facts(job_id, spec)
        await customers.submit_once("lookup", job_id, spec)
        await check_others(world, customers)

    run_odd_scenario(scenario)


ODD_TASKS = (
    "x.0.0",
    "0.x.0",
    "0.0.x",
    "-1.0.0",
    "0.-1.0",
    "0.0.-1",
    "0.0.-99",
    "0.0.999",
    "\N{SUPERSCRIPT TWO}.0.0",
    "0.0." + "9" * 5_000,
    "0.0",
)


def add_odd_end(worker: WorkerModel, task_id: str) -> None:
    worker.ended.append(EndedRow(worker.next_end, task_id, 1, RunEnd.DONE, ""))
    worker.next_end += 1


def make_odd_answer(name: str, answer: HoldAnswer, task_id: str) -> HoldAnswer:
    if name == "clock":
        return replace(answer, clock_ms=HUGE)
    if name == "run":
        row = RunningRow(task_id, 1, "", 5)
        return replace(answer, running=(*answer.running, row))
    return answer


@pytest.mark.parametrize(
    ("name", "task"),
    [("clock", ""), *((name, each) for name in ("run", "end") for each in ODD_TASKS)],
    ids=lambda value: value[:9],
)
def test_jobs_complete_while_a_worker_answers_oddly(
    name: str, task: str, monkeypatch: pytest.MonkeyPatch
):
    """Guards against an odd row or clock of a worker that ends its hold calls."""
    hold: Callable[..., HoldAnswer] = WorkerModel.hold
    task_ids: list[str] = []

    def answer_oddly(worker: WorkerModel, *args: Any) -> HoldAnswer:
        answer = hold(worker, *args)
        if worker.vm_id != "m-000" or not task_ids:
            return answer
        return make_odd_answer(name, answer, task_ids[0])

    async def scenario(world: World, customers: Customers) -> None:
        job_id, spec = customers.create_long_running(2)
        assert await customers.submit("lookup", job_id, spec)
        await asyncio.sleep(1.0)
        task_ids.append(f"{job_id}.{task}")
        worker = world.fleet.vms_by_id[VMId("m-000")].worker
        if name == "end" and worker is not None:
            add_odd_end(worker, task_ids[0])
        monkeypatch.setattr(WorkerModel, "hold", answer_oddly)
        await check_others(world, customers)

    run_odd_scenario(scenario)


ODD_ROUTES = {
    "allowance": {"targetDurationMs": HUGE},
    "negative-allowance": {"targetDurationMs": -HUGE},
    "stretch": {"stretch": 1.7e308},
    "priority": {"priority": HUGE},
    "attempts": {"maxAttempts": HUGE},
    "hint": {"hint": {"decideMs": HUGE, "periodMs": HUGE, "validMs": HUGE}},
}


@pytest.mark.parametrize("name", ODD_ROUTES)
def test_other_queues_are_served_beside_a_queue_with_a_number_too_large(name: str):
    """Guards against one queue's odd policy that stops the jobs of all queues."""

    async def scenario(world: World, customers: Customers) -> None:
        config = write_operator_config(world.plan, 50)
        config["routes"][1].update(ODD_ROUTES[name])
        world.state.apply(PutOp(b"op/config", json.dumps(config).encode()))
        await asyncio.sleep(1.0)
        await customers.submit_once("check", *customers.create_batch())
        await check_others(world, customers)

    run_odd_scenario(scenario)


ODD_ENTRIES: dict[str, dict[str, Any]] = {
    "cpu": {"capacity": {"cpu": HUGE, "memMb": 32_768}},
    "memory": {"capacity": {"cpu": 16_000, "memMb": HUGE}},
    "warmup": {"warmupLeftMs": HUGE},
    "born": {"born": HUGE},
}


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_jobs_complete_while_a_workers_entry_has_a_number_too_large(name: str):
    """Guards against a worker's entry that stops the rounds of its pool."""

    async def scenario(world: World, customers: Customers) -> None:
        vm = world.fleet.vms_by_id[world.fleet.list_vms()[0].id]
        assert vm.worker is not None
        entry = {
            "service": vm.pool_id,
            "address": vm.worker.address,
            "zone": vm.zone,
            "state": "ready",
            "capacity": {"cpu": 16_000, "memMb": 32_768},
            "machineId": vm.id,
            "born": vm.worker.born_ms,
        } | ODD_ENTRIES[name]
        key = f"servers/{vm.worker.id}".encode()
        world.state.apply(PutOp(key, json.dumps(entry).encode()))
        await asyncio.sleep(0.5)
        await check_others(world, customers)
        for vm_id in [each.id for each in world.fleet.vms_by_id.values()][1:3]:
            world.fleet.drain(vm_id, 4.0)
        await asyncio.sleep(2.5)
        await wait_for_end(customers, await submit(customers, 4))

    run_odd_scenario(scenario)


@pytest.mark.parametrize("deadline", [20.0, 1.7e308, -1.7e308])
@pytest.mark.parametrize("most", [1, HUGE], ids=["one", "huge"])
def test_wave_with_odd_numbers_does_not_stop_the_vm_manager(most: int, deadline: float):
    """Guards against a wave's order that ends the planning of moves and waves."""

    async def scenario(world: World, customers: Customers) -> None:
        world.fleet.waves["9"] = ({"m-000"}, most)
        order = {
            "wave": 9,
            "machines": ["m-000"],
            "deadlineS": deadline,
            "maxCount": most,
        }
        world.state.apply(PutOp(b"op/wave/9", json.dumps(order).encode()))
        await check_others(world, customers)

    run_odd_scenario(scenario)


ODD_STEP_KEYS = ("9" * 5_000 + ".0", "0." + "9" * 5_000, "-1.0", "0", "")


@pytest.mark.parametrize("key", ODD_STEP_KEYS, ids=lambda key: key[:5])
def test_others_are_served_beside_an_odd_progress_record(key: str):
    """Guards against a record of another version that aborts each takeover's load."""

    async def scenario(world: World, customers: Customers) -> None:
        job_id, spec = customers.create_long_running(1)
        assert await customers.submit("lookup", job_id, spec)
        await asyncio.sleep(1.0)
        controller = world.find_controller()
        assert controller is not None
        world.kill_node(controller)
        value = json.dumps({"steps": {key: {}}}).encode()
        world.state.apply(PutOp(f"progress/0/{job_id}".encode(), value))
        await world.start_node(controller)
        await asyncio.sleep(4.0)
        await check_others(world, customers)

    run_odd_scenario(scenario)
