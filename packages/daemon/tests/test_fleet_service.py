from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import msgspec
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from medlarspring_adapters.clock import SystemClock
from medlarspring_adapters.fleet_api import PoolsAnswer, StartWave, WaveView
from medlarspring_adapters.vm_control import (
    HttpVMControl,
    VMActionRefused,
    VMControlUnreachable,
)
from medlarspring_bench.control_nodes import ControlNode, create_control_node
from medlarspring_bench.key_value_ops import PutOp
from medlarspring_bench.key_value_state import KeyValueState
from medlarspring_bench.standins.vm_control import VMControlService
from medlarspring_bench.standins.vm_list import LaggingList
from medlarspring_bench.vm_control_state import VMControlState, VMRow
from medlarspring_daemon.fleet import service as fleet_service
from medlarspring_daemon.fleet.service import FleetService
from medlarspring_systems.vm_actions import Action
from medlarspring_tables import (
    ConfigTable,
    FleetRow,
    ListedVM,
    PoolId,
    PoolRow,
    RackId,
    RegionId,
    Revision,
    VMId,
    VMList,
    WaveId,
    ZoneId,
)
from medlarspring_tables.vms import VMCondition

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable
    from pathlib import Path

POOL = PoolId("probes")
VMS = tuple(VMId(f"v{number}") for number in range(4))
WAIT_SECONDS = 20.0


@pytest.fixture
def state() -> KeyValueState:
    state = KeyValueState(SystemClock())
    row = PoolRow(id=POOL, wanted_vms=4, min_available=3)
    table = ConfigTable(revision=Revision(1), fleet=FleetRow(), pools_by_id={POOL: row})
    state.apply(PutOp(b"config/table", msgspec.json.encode(table)))
    return state


@pytest.fixture
async def platform() -> AsyncIterator[tuple[VMControlState, str]]:
    service = VMControlService(LaggingList(0.0, lambda: 0.0))
    for vm_id in VMS:
        service.state.add(VMRow(id=vm_id, pool=POOL, rack="r1", zone="z1"))
    service.state.times.drain_seconds = 0.02
    service.state.times.reboot_seconds = 0.05
    app = web.Application()
    service.add_routes(app)
    async with TestServer(app) as server:
        yield service.state, f"http://127.0.0.1:{server.port}/control"


def list_vms() -> VMList:
    vms = {
        vm_id: ListedVM(
            vm_id, "127.0.0.1:1", POOL, RackId("r1"), ZoneId("z1"), RegionId("x")
        )
        for vm_id in VMS
    }
    return VMList(vms_by_id=vms)


async def start_fleet(
    name: str, state: KeyValueState, folder: Path, url: str
) -> tuple[ControlNode, FleetService]:
    node = create_control_node(name, state, folder)
    await node.start()
    node.node.vm_list = list_vms()
    service = FleetService(node.node, HttpVMControl(url))
    await service.start()
    return node, service


async def wait_until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.01)


async def test_wave_goes_on_under_the_next_holder(
    state, platform, tmp_path, monkeypatch
):
    """
    The entry VM that holds a pool shuts down after the first reboot of a wave.
    The next holder must continue from the records: each VM is rebooted exactly
    once and serves at the end.
    """
    monkeypatch.setattr(fleet_service, "TICK_SECONDS", 0.02)
    vm_state, url = platform
    node, service = await start_fleet("e1", state, tmp_path, url)
    await wait_until(lambda: len(node.node.fleet_tables.vms_by_id) == 4)
    await call(node, "POST", "/waves", StartWave(id=WaveId("w"), operator="asha"))
    await wait_until(lambda: any(row.boot > 1 for row in vm_state.rows_by_id.values()))
    await service.stop()
    await node.stop()
    next_holder, second = await start_fleet("e2", state, tmp_path, url)
    records = next_holder.node
    await wait_until(lambda: records.fleet_tables.waves_by_id)
    await wait_until(lambda: not records.fleet_tables.open_waves_by_id)
    view = msgspec.json.decode(
        await call(next_holder, "GET", "/waves/w"), type=WaveView
    )
    listed = await call(next_holder, "GET", "/pools")
    (pool,) = msgspec.json.decode(listed, type=PoolsAnswer).pools
    await second.stop()
    await next_holder.stop()
    assert view.counts_by_step == {"back": 4}
    assert (pool.available, pool.room) == (4, 1)
    assert [row.boot for row in vm_state.rows_by_id.values()] == [2, 2, 2, 2]


async def test_request_path_is_notified_of_each_vm_that_a_wave_returns(
    state, platform, tmp_path, monkeypatch
):
    monkeypatch.setattr(fleet_service, "TICK_SECONDS", 0.02)
    _, url = platform
    node, service = await start_fleet("e1", state, tmp_path, url)
    returned_vms: list[tuple[VMId, PoolId]] = []
    node.node.record_returned = lambda vm_id, pool_id: returned_vms.append(
        (vm_id, pool_id)
    )
    await wait_until(lambda: len(node.node.fleet_tables.vms_by_id) == 4)
    await call(node, "POST", "/waves", StartWave(id=WaveId("w"), operator="asha"))
    await wait_until(lambda: node.node.fleet_tables.waves_by_id)
    await wait_until(lambda: not node.node.fleet_tables.open_waves_by_id)
    await service.stop()
    await node.stop()
    assert sorted(returned_vms) == [(vm_id, POOL) for vm_id in sorted(VMS)]


async def call(node: ControlNode, method: str, path: str, body: object = None) -> bytes:
    app = web.Application()
    app.add_routes(node.node.operator_routes)
    async with TestServer(app) as server, aiohttp.ClientSession() as http:
        url = f"http://127.0.0.1:{server.port}/v1{path}"
        data = msgspec.json.encode(body) if body is not None else None
        async with http.request(method, url, data=data) as response:
            assert response.status == 200
            return await response.read()


async def test_client_distinguishes_refusals_from_missing_answers(platform):
    vm_state, url = platform
    control = HttpVMControl(url, timeout_seconds=1.0)
    seen = (await control.act(VMS[0], Action.DRAIN, Revision(7))).unwrap()
    assert (seen.condition, seen.revision) == (VMCondition.DRAINING, Revision(7))
    late = await control.act(VMS[0], Action.DRAIN, Revision(6))
    assert isinstance(late.failure(), VMActionRefused)
    assert "stale" in late.failure().message()
    listed = (await control.read_vms([PoolId("none")], [VMS[1]])).unwrap()
    assert [observation.vm_id for observation in listed] == [VMS[1]]
    await control.close()
    nobody = HttpVMControl("http://127.0.0.1:9/control", timeout_seconds=0.5)
    unanswered = await nobody.read_vms([], [])
    assert isinstance(unanswered.failure(), VMControlUnreachable)
    await nobody.close()
