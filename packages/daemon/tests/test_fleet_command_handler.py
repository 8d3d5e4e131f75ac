from __future__ import annotations

import msgspec
import pytest

from medlarspring_adapters.clock import ManualClock
from medlarspring_adapters.fleet_api import ChangeWave, StartMoves, StartWave
from medlarspring_adapters.fleet_records import encode_record
from medlarspring_adapters.store import Put, Transaction
from medlarspring_bench.fleet_world import FleetProcess, FleetShape, FleetWorld
from medlarspring_bench.key_value_state import KeyValueState
from medlarspring_bench.memory_store import MemoryStore
from medlarspring_bench.silent_faults import create_unreadable_records
from medlarspring_daemon.fleet.command_handler import FleetCommandHandler
from medlarspring_tables import (
    ConfigTable,
    PoolId,
    PoolRow,
    RackId,
    VMId,
    WaveId,
    ZoneId,
)
from medlarspring_tables.audit import AuditRecord
from medlarspring_tables.fleet_tables import FleetTables, key_of
from medlarspring_tables.vms import VMRecord
from medlarspring_tables.waves import WaveState

POOLS = {
    pool_id: PoolRow(id=pool_id, wanted_vms=2, min_available=1)
    for pool_id in (PoolId("a"), PoolId("b"))
}
CONFIG = ConfigTable(pools_by_id=POOLS)
WAVE = WaveId("spring")


@pytest.fixture
async def store() -> MemoryStore:
    store = MemoryStore(KeyValueState(ManualClock()))
    for pool_id in POOLS:
        for number in range(2):
            record = VMRecord(
                id=VMId(f"{pool_id}{number}"),
                pool_id=pool_id,
                rack_id=RackId("r"),
                zone_id=ZoneId("z"),
            )
            put = Put(key_of(record), encode_record(record))
            await store.commit(Transaction((), (put,)))
    return store


@pytest.fixture
def handler(store) -> FleetCommandHandler:
    return FleetCommandHandler(store, ManualClock(), "e1", create_unreadable_records())


async def change(handler, action, reason=""):
    wanted = ChangeWave(operator="asha", reason=reason)
    return await handler.change_wave(WAVE, action, wanted, CONFIG, "10.0.0.9")


async def test_wave_is_started_paused_resumed_and_aborted_with_audit(handler, store):
    start = StartWave(id=WAVE, operator="asha", pool_ids=(PoolId("a"),))
    wave = (await handler.start_wave(start, CONFIG, "10.0.0.9")).unwrap()
    assert wave.vm_ids == {"a0", "a1"}
    assert (await change(handler, "pause", "storm")).unwrap().reason == "storm"
    assert (await change(handler, "resume")).unwrap().state is WaveState.RUNNING
    assert (await change(handler, "abort")).unwrap().state is WaveState.ABORTED
    assert "aborted" in (await change(handler, "pause")).failure().message()
    audit = (await store.read_prefix("audit/")).unwrap().entries
    records = [msgspec.json.decode(entry.value, type=AuditRecord) for entry in audit]
    actions = {record.action for record in records}
    assert actions == {"wave start", "wave pause", "wave resume", "wave abort"}
    assert {record.operator for record in records} == {"asha"}


async def test_command_repeated_after_a_lost_reply_is_applied_once(handler, store):
    """
    The reply to "wave start" is lost after the write took effect. The operator
    is told that the outcome is unknown and repeats the command with the same
    id: it must return the existing wave and write no second audit record.
    """
    start = StartWave(id=WAVE, operator="asha")
    store.faults.lose_replies = 1
    lost = await handler.start_wave(start, CONFIG, "10.0.0.9")
    assert "same id" in lost.failure().message()
    again = await handler.start_wave(start, CONFIG, "10.0.0.9")
    assert len(again.unwrap().vm_ids) == 4
    assert len((await store.read_prefix("audit/")).unwrap().entries) == 1


async def test_moves_are_requested_once(handler):
    request = StartMoves(
        id="m", operator="asha", from_pool_id=PoolId("a"), to_pool_id=PoolId("b")
    )
    first = (await handler.start_moves(request, CONFIG, "10.0.0.9")).unwrap()
    assert (await handler.start_moves(request, CONFIG, "10.0.0.9")).unwrap() == first


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"to_pool_id": PoolId("x")}, "there is no pool x"),
        ({"to_pool_id": PoolId("a")}, "both pools are the same"),
        ({"count": 0}, "0 VMs"),
        ({"count": 33}, "33 VMs"),
    ],
)
async def test_impossible_moves_are_refused_with_the_reason(handler, changes, reason):
    request = StartMoves(
        id="m", operator="asha", from_pool_id=PoolId("a"), to_pool_id=PoolId("b")
    )
    request = msgspec.structs.replace(request, **changes)
    refused = await handler.start_moves(request, CONFIG, "10.0.0.9")
    assert reason in refused.failure().message()


async def test_record_that_cannot_be_applied_does_not_stop_the_others(
    handler, store, monkeypatch: pytest.MonkeyPatch
):
    """Guards against commands and rounds that all fail for one record."""
    put = FleetTables.put

    def put_or_fail(tables: FleetTables, record, revision) -> None:
        if getattr(record, "id", "") == "a0":
            raise RuntimeError("odd")
        put(tables, record, revision)

    monkeypatch.setattr(FleetTables, "put", put_or_fail)
    start = StartWave(id=WAVE, operator="asha", pool_ids=(PoolId("a"),))
    wave = (await handler.start_wave(start, CONFIG, "10.0.0.9")).unwrap()
    assert wave.vm_ids == {"a1"}
    controller = FleetProcess(1, FleetWorld(FleetShape(), 1)).controller
    controller._store = store
    assert await controller.load()
    assert controller.tables.vms_by_id.keys() == {"a1", "b0", "b1"}
    assert WAVE in controller.tables.waves_by_id
