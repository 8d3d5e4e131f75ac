"""Odd records under the product's own prefixes don't end what reads them."""

from __future__ import annotations

import io
import json
from typing import TYPE_CHECKING

import msgspec
import pytest
from returns.pipeline import is_successful
from returns.result import Success

from medlarspring_adapters.clock import ManualClock
from medlarspring_adapters.events import Event, create_event_log
from medlarspring_adapters.fleet_records import encode_record
from medlarspring_adapters.job_store import JobStore, pool_prefix
from medlarspring_adapters.store import Entry, Listing, Put, Transaction, WatchBatch
from medlarspring_adapters.unreadable_records import UnreadableRecords
from medlarspring_adapters.vm_list import parse_vm_list
from medlarspring_bench.job_histories import FakePool
from medlarspring_bench.key_value_state import KeyValueState
from medlarspring_bench.memory_store import MemoryStore
from medlarspring_daemon.configuration.editor_errors import TableUnreadable
from medlarspring_daemon.configuration.stored_table import decode_stored
from medlarspring_daemon.fleet.feed import WATCHED_PREFIXES, RecordListener
from medlarspring_daemon.jobs.request_handler import JobRequestHandler
from medlarspring_daemon.operators.audit_reader import read_audit
from medlarspring_systems.audit import AuditFilter, page_prefix
from medlarspring_systems.table_edit import RowAction, RowEdit, TableEdit, apply_edit
from medlarspring_tables import (
    ConfigTable,
    EditId,
    EntryVMId,
    Job,
    JobId,
    JobTables,
    PartnerId,
    PoolId,
    RackId,
    Revision,
    RowKind,
    Size,
    VMId,
    ZoneId,
)
from medlarspring_tables.audit import AuditRecord
from medlarspring_tables.fleet_tables import FleetTables
from medlarspring_tables.vms import VMRecord

if TYPE_CHECKING:
    from collections.abc import Callable

POOL = PoolId("survey")
JOB = Job(
    id=JobId("good"),
    partner_id=PartnerId("north"),
    pool_id=POOL,
    kind="kind",
    declared=Size(1.0, 1.0),
    declared_seconds=1.0,
    submitted_at=1.0,
)
VM = VMRecord(id=VMId("good"), pool_id=POOL, rack_id=RackId("r"), zone_id=ZoneId("z"))
CHANGES: dict[str, Callable[[bytes, bytes], bytes]] = {
    "nested-1500": lambda good, _: _append(good, b"[" * 1_500 + b"]" * 1_500),
    "nested-100000": lambda good, _: _append(good, b"[" * 100_000 + b"]" * 100_000),
    "311-digits": lambda good, field: _append(good, b"9" * 311, field),
    "5000-digits": lambda good, field: _append(good, b"9" * 5_000, field),
    "1e400": lambda good, field: _append(good, b"1e400", field),
    "2**63": lambda good, field: _append(good, b"9223372036854775808", field),
    "bytes": lambda *_: b"\xff\xfe",
    "empty": lambda *_: b"",
}
each_change = pytest.mark.parametrize("change", CHANGES.values(), ids=CHANGES)


def _append(good: bytes, value: bytes, field: bytes = b'"odd"') -> bytes:
    return good[:-1] + b", " + field + b": " + value + b"}"


def create_entry(key: str, value: bytes, revision: int = 5) -> Entry:
    return Entry(key, value, Revision(revision), Revision(revision))


def create_records() -> tuple[UnreadableRecords, io.StringIO]:
    output = io.StringIO()
    log = create_event_log(EntryVMId("entry-1"), "INFO", output)
    return UnreadableRecords(log), output


def list_reported_keys(output: io.StringIO) -> list[str]:
    lines = [json.loads(line) for line in output.getvalue().splitlines()]
    return [
        line["key"] for line in lines if line["event"] == Event.RECORD_UNREADABLE.number
    ]


@each_change
@pytest.mark.parametrize("prefix", WATCHED_PREFIXES)
def test_odd_fleet_record_is_reported_once_and_the_others_are_applied(prefix, change):
    """Guards against a feed of fleet records that ends on one of them."""
    unreadable, output = create_records()
    tables = FleetTables()
    listener = RecordListener(tables, prefix, unreadable)
    odd = create_entry(f"{prefix}odd", change(encode_record(VM), b'"boot"'))
    good = create_entry("fleet/vms/good", encode_record(VM))
    listener.apply_listing(Listing((odd, good), Revision(5)))
    listener.apply_batch(WatchBatch(Revision(6), (odd, good), ()))
    assert list(tables.vms_by_id) == ["good"]
    assert list_reported_keys(output) == [odd.key]


@each_change
async def test_odd_job_record_is_reported_once_and_the_others_are_applied(change):
    """Guards against a pool whose jobs are not followed because of one of them."""
    unreadable, output = create_records()
    pool = FakePool(seed=1, workers=1)
    controller = pool.holder.controller
    controller._jobs = JobStore(pool.holder.store, unreadable)
    good = msgspec.json.encode(JOB)
    odd = create_entry(f"{pool_prefix(POOL)}odd", change(good, b'"attempts_made"'))
    listing = Listing((odd, create_entry(f"{pool_prefix(POOL)}good", good)), 5)
    controller.apply_listing(listing)
    controller.apply_batch(WatchBatch(Revision(6), (odd,), ()))
    assert list(controller.tables.jobs_by_id) == ["good"]
    assert list_reported_keys(output) == [odd.key]


@each_change
async def test_last_readable_job_record_stays_in_force(change):
    """Guards against a job that is forgotten while its record is unreadable."""
    controller = FakePool(seed=1, workers=1).holder.controller
    key = f"{pool_prefix(POOL)}good"
    good = msgspec.json.encode(JOB)
    controller.apply_listing(Listing((create_entry(key, good),), Revision(5)))
    odd = create_entry(key, change(good, b'"attempts_made"'), 6)
    controller.apply_listing(Listing((odd,), Revision(6)))
    assert controller.tables.jobs_by_id == {JOB.id: JOB}


@each_change
async def test_operator_sees_the_other_jobs_of_a_pool_with_an_odd_record(change):
    """Guards against an operator's listing that fails because of one record."""
    unreadable, output = create_records()
    pool = FakePool(seed=1, workers=1)
    good = msgspec.json.encode(JOB)
    odd = create_entry(f"{pool_prefix(POOL)}odd", change(good, b'"attempts_made"'))
    jobs = JobStore(pool.holder.store, unreadable)

    async def read_pool(pool_id):
        key = f"{pool_prefix(pool_id)}good"
        return Success(Listing((odd, create_entry(key, good)), Revision(5)))

    jobs.read_pool = read_pool
    handler = JobRequestHandler(
        jobs, ManualClock(), lambda _: JobTables(), lambda: Revision(7)
    )
    answer = (await handler.list_jobs(POOL, None, None)).unwrap()
    assert [view.job.id for view in answer.jobs] == ["good"]
    assert list_reported_keys(output) == [odd.key]


@each_change
async def test_search_of_the_audit_trail_passes_over_an_odd_record(change):
    """Guards against an audit trail that can't be read because of one record."""
    unreadable, output = create_records()
    good = AuditRecord(
        revision=Revision(1),
        edit_id=EditId("e"),
        at=1.0,
        operator="asha",
        origin="here",
        action="table set",
    )
    encoded = msgspec.json.encode(good)
    prefix = page_prefix(Revision(0))
    store = MemoryStore(KeyValueState(ManualClock()))
    await store.commit(Transaction((), (Put(f"{prefix}01", encoded),)))
    odd = Put(f"{prefix}02", change(encoded, b'"at"'))
    await store.commit(Transaction((), (odd,)))
    answer = await read_audit(store, Revision(1), AuditFilter(), 10, unreadable)
    assert answer.unwrap().records == (good,)
    assert list_reported_keys(output) == [odd.key]


@each_change
def test_odd_table_is_a_typed_fault(change):
    """Guards against an edit or a status that raises on the stored table."""
    value = change(msgspec.json.encode(ConfigTable()), b'"revision"')
    stored = decode_stored(create_entry("table", value), None)
    assert isinstance(stored.failure(), TableUnreadable)


@each_change
def test_odd_rows_of_the_vm_list_are_passed_over(change):
    """Guards against a list of VMs that raises on one row."""
    good = msgspec.json.encode({"targets": ["10.0.0.1:80"], "labels": {"id": "good"}})
    content = b"[" + good + b", " + change(good, b'"targets"') + b"]"
    read = parse_vm_list(content, 0.0)
    assert not is_successful(read) or list(read.unwrap().vms_by_id) == ["good"]


@pytest.mark.parametrize("size", ["9" * 311, "9" * 5_000, "1e400", "nan", "-inf"])
@pytest.mark.parametrize("label", ["slots", "cpus", "memory_gb", "accelerators"])
def test_vm_with_a_size_out_of_bounds_is_passed_over(label: str, size: str):
    """Guards against a capacity that no division takes."""
    group = {"targets": ["10.0.0.1:80"], "labels": {"id": "odd", label: size}}
    read = parse_vm_list(msgspec.json.encode([group]), 0.0)
    assert read.unwrap().vms_by_id == {}


@pytest.mark.parametrize("number", [10**310, 2**63, -(10**310)])
def test_edit_with_a_number_out_of_bounds_is_refused(number: int):
    """Guards against an accepted row that makes the whole table unreadable."""
    row = RowEdit(
        kind=RowKind.POOL,
        id="a",
        action=RowAction.ADD,
        fields={"wanted_vms": number, "min_available": 1},
    )
    edit = TableEdit(id=EditId("e"), operator="asha", rows=(row,))
    assert not is_successful(apply_edit(ConfigTable(), edit, 1.0, ""))
