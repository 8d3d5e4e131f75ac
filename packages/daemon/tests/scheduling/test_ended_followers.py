"""A follower, a takeover or a round that raises must not end the work of a cell."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

import pytest

from medlarspring_bench.key_value_ops import PutOp
from medlarspring_bench.platform_world.store import SimulatedStore
from medlarspring_bench.platform_world.worker_model import WorkerBehavior
from medlarspring_daemon.scheduling.controller import CellController
from medlarspring_daemon.scheduling.election import Election
from medlarspring_daemon.scheduling.job_feed import JobFeed
from medlarspring_daemon.scheduling.operator_records import OperatorRecords
from medlarspring_daemon.scheduling.worker_feed import WorkerFeed
from medlarspring_daemon.scheduling.worker_liveness import WorkerLivenessMonitor
from medlarspring_tables import PoolId
from medlarspring_tables.scheduling import StepSpec

from .scenarios import run_scenario, submit, wait_for_end

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_bench.platform_world.customers import Customers
    from medlarspring_bench.platform_world.world import World
    from medlarspring_tables import JobId, VMId

SEED = 17
LEAVE_SECONDS = 6.0
"""Time from a worker's drain notice until it ends."""
NOTICE_SECONDS = 2.5
"""Time from a drain notice until no start may reach the worker any more."""
CONFIG_SECONDS = 2.5
"""Time in which a new configuration has to be in force."""
COMPLETION_SECONDS = 3.0
"""Time in which a job completes once its controller knows it."""
TAKEOVER_SECONDS = 12.0
FAILED_SECONDS = 0.18
"""Time in which a started task has failed, but is not due again yet."""
QUEUES = {"consent": "lookup", "survey": "check"}
"""A queue of each pool."""


class InjectedError(Exception):
    """The fault that these tests inject."""


class Fault:
    """Raises in a method of the services, at chosen calls, once it is armed."""

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        owner: type,
        method: str,
        is_hit: Callable[..., bool],
    ) -> None:
        self.armed = False
        self.hits = 0
        original = getattr(owner, method)

        def call(instance: Any, *args: Any) -> Any:
            if self.armed and is_hit(instance, *args):
                self.hits += 1
                raise InjectedError
            return original(instance, *args)

        monkeypatch.setattr(owner, method, call)


def hit_once(number: int, *, each_node: bool) -> Callable[..., bool]:
    """Return a condition for the Nth call, of each node or of all together."""
    calls_by_node: dict[str, int] = {}

    def is_hit(instance: Any, *_: object) -> bool:
        node = instance._node.id if each_node else ""
        calls_by_node[node] = calls_by_node.get(node, 0) + 1
        return calls_by_node[node] == number

    return is_hit


def list_pool(world: World, pool: str) -> list[VMId]:
    return [vm.id for vm in world.fleet.vms_by_id.values() if vm.pool_id == pool]


async def replace_workers(world: World, customers: Customers) -> None:
    """Drain all workers of a pool under load while new ones join it."""
    leaving = list_pool(world, "consent")
    for number in range(len(leaving)):
        resources = world.plan.resources
        world.fleet.add_vm(f"n-{number:03d}", "zone-0", "r9", "consent", resources)
    await asyncio.sleep(1.0)
    for vm_id in leaving:
        world.fleet.drain(vm_id, LEAVE_SECONDS)
    for _ in range(3):
        await asyncio.sleep(NOTICE_SECONDS)
        await submit(customers, 4)


async def check_config(
    world: World, customers: Customers, dropped: tuple[str, ...], answer: str
) -> list[JobId]:
    """Check that all processes follow a new configuration; returns the jobs sent."""
    world.write_config(dropped)
    await asyncio.sleep(CONFIG_SECONDS)
    jobs = []
    for node in list(world.nodes_by_name):
        job_id, spec = customers.create_batch()
        assert await customers.submit_once("check", job_id, spec, node) == answer
        jobs.append(job_id)
    return jobs


async def check_service(world: World, customers: Customers) -> None:
    """Check that workers, jobs, cancellations and configurations are followed."""
    jobs = await submit(customers, 4)
    await replace_workers(world, customers)
    await wait_for_end(customers, [*jobs, *await submit(customers)])
    await check_config(world, customers, ("check",), "no-such-queue")
    await wait_for_end(customers, await check_config(world, customers, (), "ok"))
    lasting, spec = customers.create_long_running()
    assert await customers.submit("lookup", lasting, spec)
    assert await customers.cancel(lasting)
    async with asyncio.timeout(TAKEOVER_SECONDS):
        while await customers.ask(lasting) != "cancelled":
            await asyncio.sleep(0.2)


async def wait_for_controller(world: World) -> None:
    async with asyncio.timeout(TAKEOVER_SECONDS):
        while world.find_controller() is None:
            await asyncio.sleep(0.05)


def kill_controller(world: World) -> None:
    controller = world.find_controller()
    assert controller is not None
    world.kill_node(controller)


FOLLOWERS = {
    "registry": (WorkerFeed, False),
    "inbox": (JobFeed, False),
    "controller-key": (Election, True),
    "operator-records": (OperatorRecords, True),
}


@pytest.mark.parametrize("number", [1, 4])
@pytest.mark.parametrize("follower", FOLLOWERS)
def test_follower_goes_on_after_its_listener_raised(
    follower: str, number: int, monkeypatch: pytest.MonkeyPatch
):
    """Guards against a follower that ends in silence after one exception."""
    listener, each_node = FOLLOWERS[follower]
    is_hit = hit_once(number, each_node=each_node)
    fault = Fault(monkeypatch, listener, "apply_batch", is_hit)

    async def scenario(world: World, customers: Customers) -> None:
        fault.armed = True
        for _ in range(number):
            if listener is OperatorRecords:
                world.write_config()
            elif listener is Election:
                world.revoke_controller()
                await asyncio.sleep(CONFIG_SECONDS)
            await asyncio.sleep(1.0)
        await check_service(world, customers)
        assert fault.hits
        kill_controller(world)
        await wait_for_controller(world)
        await wait_for_end(customers, await submit(customers))

    run_scenario(scenario, SEED)


@pytest.mark.parametrize("call", ["read_prefix", "watch"])
@pytest.mark.parametrize("error", [InjectedError, asyncio.CancelledError])
@pytest.mark.parametrize("prefix", ["servers/", "inbox/0/", "op/"])
def test_follower_goes_on_after_its_store_call_raised(
    prefix: str,
    error: type[BaseException],
    call: str,
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against a follower that ends with an exception of the store's client.

    An HTTP client may raise a cancellation although nobody cancelled the task.
    """
    failed: set[str] = set()
    read_prefix, watch = SimulatedStore.read_prefix, SimulatedStore.watch

    def raise_once(store: Any, of: str, name: str) -> None:
        if of == prefix and name == call and store._node_id not in failed:
            failed.add(store._node_id)
            raise error

    async def read_or_raise(store: Any, of: str) -> Any:
        raise_once(store, of, "read_prefix")
        return await read_prefix(store, of)

    async def watch_or_raise(store: Any, of: str, start: Any) -> Any:
        raise_once(store, of, "watch")
        async for batch in watch(store, of, start):
            yield batch

    async def scenario(world: World, customers: Customers) -> None:
        monkeypatch.setattr(SimulatedStore, "read_prefix", read_or_raise)
        monkeypatch.setattr(SimulatedStore, "watch", watch_or_raise)
        world.forget_history()
        await asyncio.sleep(3.0)
        assert failed
        await check_service(world, customers)

    run_scenario(scenario, SEED)


@pytest.mark.parametrize("follower", FOLLOWERS)
def test_cell_is_served_while_a_listener_raises_at_each_batch(
    follower: str, monkeypatch: pytest.MonkeyPatch
):
    """Guards against a view that gets old while listings are all that is applied."""
    listener, _ = FOLLOWERS[follower]
    fault = Fault(monkeypatch, listener, "apply_batch", lambda *_: True)

    async def scenario(world: World, customers: Customers) -> None:
        fault.armed = True
        # Long enough for the pauses between listings to have grown.
        for _ in range(24):
            world.write_config()
            await submit(customers, 1)
            await asyncio.sleep(0.5)
        for _ in range(4):
            async with asyncio.timeout(CONFIG_SECONDS + COMPLETION_SECONDS):
                await wait_for_end(customers, await submit(customers, 1))
        await check_service(world, customers)

    run_scenario(scenario, SEED)


ENTRY_FAULTS = {
    "worker": (WorkerFeed, "_apply_entry"),
    "worker-unlisted": (WorkerFeed, "_unlist_worker"),
    "job": (JobFeed, "_load_job"),
    "cancellation": (JobFeed, "_cancel_job"),
    "wave": (OperatorRecords, "_apply_wave"),
}


@pytest.mark.parametrize("taken_over", [False, True], ids=["running", "taken-over"])
@pytest.mark.parametrize("kind", ENTRY_FAULTS)
def test_others_are_served_while_one_entry_always_raises(
    kind: str, taken_over: bool, monkeypatch: pytest.MonkeyPatch
):
    """Guards against one entry that keeps all others of its prefix from being read."""
    poisoned: set[str] = set()

    def is_hit(_: object, subject: Any, *__: object) -> bool:
        name = str(getattr(subject, "key", subject))
        return name.rpartition("/")[2] in poisoned

    fault = Fault(monkeypatch, *ENTRY_FAULTS[kind], is_hit)
    fault.armed = True

    async def poison(world: World, customers: Customers) -> None:
        vm = world.fleet.vms_by_id[world.fleet.list_vms()[0].id]
        job_id, spec = customers.create_long_running(1)
        assert vm.worker is not None
        poisoned.update({vm.worker.id, job_id, "1"})
        if kind == "wave":
            world.order_wave(1, [vm.id], 1, 25)
        elif kind == "worker":
            world.fleet.resize(vm.id, vm.resources)
        elif kind == "worker-unlisted":
            world.fleet.drop_entry(vm.id, 5.0)
        else:
            assert await customers.submit("lookup", job_id, spec)
        if kind == "cancellation":
            # Not sent as the customer: this cancellation can't take effect.
            world.state.apply(PutOp(f"inbox/0/cancel/{job_id}".encode(), b"{}"))

    async def scenario(world: World, customers: Customers) -> None:
        await poison(world, customers)
        await asyncio.sleep(0.5)
        if taken_over:
            kill_controller(world)
            await wait_for_controller(world)
        # The worker whose entry can't be applied is not told to leave.
        world.fleet.remove(world.fleet.list_vms()[0].id)
        await check_service(world, customers)
        assert fault.hits

    run_scenario(scenario, SEED)


LARGE_NUMBER = 10**310
"""An integer that no float can hold."""
ODD_VALUES = {
    "deeply-nested": b'{"extra":' + b"[" * 3_000 + b"]" * 3_000 + b"}",
    "large-number": json.dumps(
        {
            # A worker's entry
            "service": "consent",
            "address": "10.0.0.1:80",
            "zone": "zone-0",
            "state": "ready",
            "capacity": {"cpu": LARGE_NUMBER, "memMb": LARGE_NUMBER},
            "machineId": "m-900",
            "warmupLeftMs": LARGE_NUMBER,
            "born": LARGE_NUMBER,
            # The order of a wave
            "wave": 9,
            "machines": ["m-001"],
            "deadlineS": LARGE_NUMBER,
            "maxCount": LARGE_NUMBER,
        }
    ).encode(),
}
ODD_KEYS = (
    "servers/i-odd",
    "inbox/0/job/00000000000000aa",
    "progress/0/00000000000000aa",
    "op/wave/9",
)


@pytest.mark.parametrize("taken_over", [False, True], ids=["running", "taken-over"])
@pytest.mark.parametrize("key", ODD_KEYS)
@pytest.mark.parametrize("value", ODD_VALUES)
def test_others_are_served_beside_an_odd_entry(value: str, key: str, taken_over: bool):
    """Guards against a stored entry of another program that ends a follower."""

    async def scenario(world: World, customers: Customers) -> None:
        world.state.apply(PutOp(key.encode(), ODD_VALUES[value]))
        await asyncio.sleep(0.5)
        if taken_over:
            kill_controller(world)
            await wait_for_controller(world)
        await check_service(world, customers)

    run_scenario(scenario, SEED)


LOADS = {
    "progress": (CellController, "_read_with_retries"),
    "inbox": (JobFeed, "apply_listing"),
    "registry": (WorkerFeed, "apply_listing"),
    "config": (CellController, "_apply_config"),
}


@pytest.mark.parametrize("always", [False, True], ids=["once", "always"])
@pytest.mark.parametrize("load", LOADS)
def test_cell_is_served_after_a_takeover_failed(
    load: str, always: bool, monkeypatch: pytest.MonkeyPatch
):
    """Guards against a process that holds a cell which it could not load."""
    failing: list[str] = []

    def is_hit(instance: Any, *_: object) -> bool:
        if not failing:
            failing.append(instance._node.id)
            return True
        return always and instance._node.id == failing[0]

    fault = Fault(monkeypatch, *LOADS[load], is_hit)

    async def scenario(world: World, customers: Customers) -> None:
        jobs = await submit(customers)
        fault.armed = True
        kill_controller(world)
        await wait_for_controller(world)
        await wait_for_end(customers, [*jobs, *await submit(customers)])
        await complete_after_crashes(world, customers)
        assert fault.hits

    run_scenario(scenario, SEED)


async def complete_after_crashes(world: World, customers: Customers) -> None:
    """Crash workers under their tasks, which must then run on others."""
    step = StepSpec(count=8, cpu_millis=4_000, memory_mb=256, estimate_ms=2_000)
    job_id, spec = customers.create_job(step)
    for number in range(step.count):
        world.facts_by_task[f"{job_id}.0.0.{number}"].seconds = 4.0
    assert await customers.submit("lookup", job_id, spec)
    await asyncio.sleep(2.5)
    for vm_id in list_pool(world, "consent")[:-1]:
        world.fleet.remove(vm_id)
    await wait_for_end(customers, [job_id])


async def complete_after_failures(
    world: World, customers: Customers, queue: str, pool: str
) -> None:
    """Let a pool's tasks fail at first; their retries are due without an event."""
    workers = [world.fleet.vms_by_id[vm_id].worker for vm_id in list_pool(world, pool)]
    jobs = []
    for behavior in (WorkerBehavior.FAILING, WorkerBehavior.SOUND):
        for worker in workers:
            assert worker is not None
            worker.behavior = behavior
        if behavior is WorkerBehavior.FAILING:
            step = StepSpec(count=1, cpu_millis=500, memory_mb=256, estimate_ms=300)
            job_id, spec = customers.create_job(step)
            assert await customers.submit(queue, job_id, spec)
            jobs.append(job_id)
            await asyncio.sleep(FAILED_SECONDS)
    await wait_for_end(customers, jobs)


@pytest.mark.parametrize("failing", ["consent", "survey"])
def test_other_pools_are_served_while_one_pools_round_raises(
    failing: str, monkeypatch: pytest.MonkeyPatch
):
    """Guards against a pool whose failing round keeps other pools' tasks waiting."""
    fault = Fault(
        monkeypatch,
        CellController,
        "_run_round",
        lambda _, pool_id: pool_id == PoolId(failing),
    )
    fault.armed = True
    served = next(pool for pool in QUEUES if pool != failing)

    async def scenario(world: World, customers: Customers) -> None:
        await customers.submit(QUEUES[failing], *customers.create_batch())
        await asyncio.sleep(0.5)
        await complete_after_failures(world, customers, QUEUES[served], served)
        assert fault.hits

    run_scenario(scenario, SEED)


TICK_PARTS = {
    "repairs": (CellController, "_repair"),
    "leases": (WorkerLivenessMonitor, "expire_leases"),
}


@pytest.mark.parametrize("part", TICK_PARTS)
def test_retries_start_while_a_part_of_the_tick_raises(
    part: str, monkeypatch: pytest.MonkeyPatch
):
    """Guards against periodic work that ends at the first part that raises."""
    fault = Fault(monkeypatch, *TICK_PARTS[part], lambda *_: True)
    fault.armed = True

    async def scenario(world: World, customers: Customers) -> None:
        await complete_after_failures(world, customers, "lookup", "consent")
        assert fault.hits

    run_scenario(scenario, SEED)
