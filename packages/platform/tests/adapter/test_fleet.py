"""Tests the clients for workers and machines against the platform stand-ins."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any
from unittest.mock import AsyncMock

import pytest
from returns.pipeline import is_successful

from medlarspring_adapters.http_channel import HttpAnswer
from medlarspring_adapters.vm_lifecycle import Authority, VMRefusal
from medlarspring_adapters.worker_orders import (
    HoldOrder,
    OrderRefusal,
    StartOrder,
    StopOrder,
    WorkerAddress,
)
from medlarspring_bench.platform_world.worker_model import TaskFacts
from medlarspring_tables import PoolId, VMId, WaveId
from medlarspring_tables.scheduling import Fence, RunEnd, VMPhase, WorkerId

from .conftest import STEP

if TYPE_CHECKING:
    from .conftest import Platform

TASK = "00000000000000aa.0.0.0"
FENCE = Fence(7)
HOLDER = Authority("entry-0", FENCE)
TIMEOUT = 1.0


async def find_address(platform: Platform, vm: str = "m-0") -> WorkerAddress:
    worker = await platform.wait_for_worker(vm)
    return WorkerAddress(worker.id, worker.address)


def order(platform: Platform, worker_id: str, **changes) -> StartOrder:  # type: ignore[no-untyped-def]
    platform.facts_by_task[TASK] = TaskFacts(spec=STEP, seconds=60.0)
    worker = platform.fleet.workers_by_id[WorkerId(worker_id)]
    values = {
        "task_id": TASK,
        "run": 1,
        "payload": "p",
        "not_after_ms": worker.clock_ms(0.0) + 10**9,
        "fence": FENCE,
    }
    return StartOrder(**{**values, **changes})


async def test_run_is_started_listed_and_stopped(platform: Platform):
    address = await find_address(platform)
    start = order(platform, address.id)
    started = await platform.workers.start(address, start, TIMEOUT)
    assert started.unwrap().refusal is None
    held = (
        await platform.workers.hold(address, HoldOrder(FENCE, 0, 0), TIMEOUT)
    ).unwrap()
    assert [(row.task_id, row.run) for row in held.running] == [(TASK, 1)]
    await platform.workers.stop(address, StopOrder(TASK, 1, FENCE), TIMEOUT)
    waiting = HoldOrder(FENCE, 0, 0, wait_ms=900)
    held = (await platform.workers.hold(address, waiting, 2.0)).unwrap()
    assert [row.end for row in held.ended] == [RunEnd.STOPPED]


@pytest.mark.parametrize(
    ("changes", "refusal"),
    [
        ({"fence": Fence(3)}, OrderRefusal.FENCE),
        ({"not_after_ms": 1}, OrderRefusal.LATE),
        ({"task_id": "unknown"}, OrderRefusal.INVALID),
    ],
    ids=["older-fence", "late", "invalid"],
)
async def test_worker_refuses_an_order(
    platform: Platform, changes: dict[str, object], refusal: OrderRefusal
):
    address = await find_address(platform)
    await platform.workers.hold(address, HoldOrder(FENCE, 0, 0), TIMEOUT)
    start = order(platform, address.id, **changes)
    answer = await platform.workers.start(address, start, TIMEOUT)
    assert answer.unwrap().refusal is refusal


async def test_order_for_previous_worker_is_refused(platform: Platform):
    """
    A VM returns under its old address as another worker. An order for the previous
    worker must not start a run there, since its record names a terminated worker.
    """
    address = await find_address(platform)
    former = WorkerAddress(WorkerId("i-gone"), address.address)
    start = order(platform, address.id)
    answer = await platform.workers.start(former, start, TIMEOUT)
    assert answer.unwrap().refusal is OrderRefusal.OTHER_WORKER
    assert not platform.fleet.workers_by_id[address.id].runs


async def test_listing_identifies_the_incarnation(platform: Platform):
    """
    A worker restarts under its id. Its next listing is empty and numbers ends from 1
    again; only the start time shows that this is another incarnation.
    """
    address = await find_address(platform)
    hold = HoldOrder(FENCE, 0, 0)
    first = (await platform.workers.hold(address, hold, TIMEOUT)).unwrap()
    platform.fleet.restart(VMId("m-0"), 0.0)
    await platform.wait_for_worker("m-0")
    over = await platform.workers.hold(address, hold, TIMEOUT)
    assert over.failure().may_follow is True
    second = (await platform.workers.hold(address, hold, TIMEOUT)).unwrap()
    assert 0 < first.born_ms < second.born_ms


async def create_listed_end(platform: Platform, address: WorkerAddress) -> int:
    """Start and stop a run; return the number of its end in the next hold answer."""
    await platform.workers.start(address, order(platform, address.id), TIMEOUT)
    await platform.workers.stop(address, StopOrder(TASK, 1, FENCE), TIMEOUT)
    waiting = HoldOrder(FENCE, 0, 0, wait_ms=900)
    held = (await platform.workers.hold(address, waiting, 2.0)).unwrap()
    return held.ended[-1].number


@pytest.mark.parametrize(
    ("is_concurrent", "left"), [(False, 0), (True, 1)], ids=["in-line", "aside"]
)
async def test_end_is_acknowledged_by_the_next_hold_in_line(
    platform: Platform, is_concurrent: bool, left: int
):
    address = await find_address(platform)
    number = await create_listed_end(platform, address)
    hold = HoldOrder(FENCE, number, 0, is_concurrent=is_concurrent)
    held = (await platform.workers.hold(address, hold, TIMEOUT)).unwrap()
    assert held.acknowledged == (0 if is_concurrent else number)
    assert len(held.ended) == left


async def test_acknowledgement_does_not_reach_next_incarnation(platform: Platform):
    """
    Guards against a restarted worker that drops its ends because of an
    acknowledgement of the previous incarnation's numbers.
    """
    address = await find_address(platform)
    number = await create_listed_end(platform, address)
    platform.fleet.restart(VMId("m-0"), 0.0)
    await platform.wait_for_worker("m-0")
    hold = HoldOrder(FENCE, number, 0)
    first = await platform.workers.hold(address, hold, TIMEOUT)
    again = (await platform.workers.hold(address, hold, TIMEOUT)).unwrap()
    assert first.failure().may_follow is True
    assert again.acknowledged == 0
    assert platform.fleet.workers_by_id[address.id].acknowledged == 0


async def test_order_without_connection_had_no_effect(platform: Platform):
    address = await find_address(platform)
    start = order(platform, address.id)
    closed_address = WorkerAddress(address.id, "127.0.0.1:1")
    answer = await platform.workers.start(closed_address, start, TIMEOUT)
    assert answer.failure().may_follow is False


async def test_vms_are_listed_moved_and_maintained(platform: Platform):
    listed = (await platform.machines.list_vms()).unwrap()
    assert {vm.id: vm.phase for vm in listed} == {
        VMId("m-0"): VMPhase.UP,
        VMId("m-1"): VMPhase.UP,
    }
    platform.fleet.waves["4"] = ({"m-1"}, 1)
    moved = await platform.machines.move(VMId("m-0"), PoolId("survey"), HOLDER)
    maintained = await platform.machines.maintain(VMId("m-1"), WaveId("4"), HOLDER)
    assert (moved.unwrap(), maintained.unwrap()) == (None, None)
    listed = (await platform.machines.list_vms()).unwrap()
    assert [vm.phase for vm in listed] == [VMPhase.MOVING, VMPhase.MAINTENANCE]


async def test_list_of_vms_without_an_end_is_not_taken_for_complete(
    platform: Platform, monkeypatch: pytest.MonkeyPatch
):
    """Guards against VMs that count as removed because they are on a later page."""
    page = HttpAnswer(200, b'{"machines": [], "nextToken": "next"}')
    channel = platform.machines._channel
    monkeypatch.setattr(channel, "call", AsyncMock(return_value=page))
    listed = await platform.machines.list_vms()
    assert "pages" in listed.failure().message()


@pytest.mark.parametrize(
    "odd",
    [
        {"capacity": {"cpu": 10**400}},
        {"state": 5},
        {"zone": None},
        {"labels": [[]]},
    ],
    ids=lambda odd: next(iter(odd)),
)
async def test_odd_row_of_a_vm_costs_that_vm_only(
    platform: Platform, monkeypatch: pytest.MonkeyPatch, odd: dict[str, Any]
):
    """Guards against a list that is of no use, or lacks a VM, for one odd row."""
    good = {"machineId": "m-0", "pool": "p", "state": "up", "id": "i-0"}
    rows = [good | {"machineId": "m-1", "id": "i-1"} | odd, good]
    page = HttpAnswer(200, json.dumps({"machines": rows}).encode())
    channel = platform.machines._channel
    monkeypatch.setattr(channel, "call", AsyncMock(return_value=page))
    for _ in range(2):
        vms = (await platform.machines.list_vms()).unwrap()
    found = [(vm.id, vm.pool_id, vm.worker_id, vm.phase) for vm in vms]
    assert found == [
        ("m-1", "p", "i-1", VMPhase.UNKNOWN),
        ("m-0", "p", "i-0", VMPhase.UP),
    ]
    assert platform.log_lines.getvalue().count("#m-1") == 1


@pytest.mark.parametrize("odd", [{"machineId": 1}, {"pool": None}, {"id": []}])
async def test_list_with_a_vm_that_cannot_be_identified_is_incomplete(
    platform: Platform, monkeypatch: pytest.MonkeyPatch, odd: dict[str, Any]
):
    """Guards against a VM that counts as removed because its row can't be read."""
    row = {"machineId": "m-0", "pool": "p", "state": "up"} | odd
    page = HttpAnswer(200, json.dumps({"machines": [row]}).encode())
    channel = platform.machines._channel
    monkeypatch.setattr(channel, "call", AsyncMock(return_value=page))
    assert not is_successful(await platform.machines.list_vms())


@pytest.mark.parametrize(
    ("vm", "wave", "refusal"),
    [
        ("m-9", "4", VMRefusal.INVALID),
        ("m-0", "4", VMRefusal.NOT_IN_WAVE),
    ],
    ids=["no-such-vm", "not-in-wave"],
)
async def test_vm_control_refuses_an_operation(
    platform: Platform, vm: str, wave: str, refusal: VMRefusal
):
    platform.fleet.waves["4"] = ({"m-1"}, 1)
    answer = await platform.machines.maintain(VMId(vm), WaveId(wave), HOLDER)
    assert answer.unwrap() is refusal
