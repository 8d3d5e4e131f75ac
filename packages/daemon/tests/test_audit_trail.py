from __future__ import annotations

import io
import random
from types import SimpleNamespace

import msgspec
import pytest

from medlarspring_adapters.clock import ManualClock
from medlarspring_adapters.events import create_event_log
from medlarspring_adapters.store import Put, Transaction
from medlarspring_adapters.store_meter import create_metered_store
from medlarspring_bench.memory_store import create_memory_store
from medlarspring_bench.silent_faults import create_unreadable_records
from medlarspring_daemon.operators import audit_trimmer
from medlarspring_daemon.operators.audit_reader import MAX_PAGES_PER_CALL, read_audit
from medlarspring_daemon.operators.audit_trimmer import create_audit_trimmer
from medlarspring_systems.audit import KEPT_SECONDS, AuditFilter
from medlarspring_tables import ConfigTable, EditId, EntryVMId, Revision
from medlarspring_tables.audit import AuditRecord, format_audit_key

NEWEST = Revision(5_000)


@pytest.fixture
def node(monkeypatch):
    monkeypatch.setattr(audit_trimmer, "STEP_SECONDS", 0.0)
    clock = ManualClock(start=KEPT_SECONDS * 2)
    return SimpleNamespace(
        clock=clock,
        rng=random.Random(1),
        log=create_event_log(EntryVMId("entry-1"), "INFO", io.StringIO()),
        store=create_metered_store(create_memory_store(clock), clock),
        config=ConfigTable(revision=NEWEST),
    )


async def write_records(store, revisions, at: float) -> None:
    for revision in revisions:
        record = AuditRecord(
            revision=Revision(revision),
            edit_id=EditId(f"edit-{revision}"),
            at=at,
            operator="asha",
            origin="test",
            action="table set",
        )
        put = Put(format_audit_key(record), msgspec.json.encode(record))
        inner = store._inner
        (await inner.commit(Transaction(expects=(), writes=(put,)))).unwrap()


async def read_revisions(store) -> list[int]:
    listing = (await store._inner.read_prefix("audit/")).unwrap()
    return [int(entry.key.partition("/")[2]) for entry in listing.entries]


async def test_concurrent_trims_keep_unexpired_records(node):
    """
    Two entry VMs run a trim round concurrently. Each step expects the revision of
    the mark that it read, so only one of two concurrent steps is written and no
    record within its retention is removed.
    """
    await write_records(node.store, range(130), at=0.0)
    await write_records(node.store, range(130, 150), at=node.clock.wall())
    first, second = create_audit_trimmer(node), create_audit_trimmer(node)
    await first.trim()
    await second.trim()
    while await first.trim() + await second.trim():
        pass
    assert await read_revisions(node.store) == list(range(130, 150))
    assert '"event": 8005' in node.log._logger.handlers[0].stream.getvalue()


@pytest.mark.parametrize("fault", ["down", "lose_replies", "lose_requests"])
async def test_trim_round_is_aborted_on_store_failure_and_repeated_later(node, fault):
    await write_records(node.store, range(10), at=0.0)
    faults = node.store._inner.faults
    setattr(faults, fault, True if fault == "down" else 1)
    await create_audit_trimmer(node).trim()
    faults.down = False
    node.clock.advance(60)
    await create_audit_trimmer(node).trim()
    assert await read_revisions(node.store) == []


async def test_search_goes_back_page_by_page_and_is_bounded(node):
    await write_records(node.store, [3, 250, 4_990], at=node.clock.wall())
    found = (
        await read_audit(
            node.store, NEWEST, AuditFilter(), 10, create_unreadable_records()
        )
    ).unwrap()
    assert [record.revision for record in found.records] == [4_990]
    assert node.store.calls.calls_by_mechanism.popitem()[1] == MAX_PAGES_PER_CALL
    assert found.next_before == NEWEST - 19 * 100

    node.clock.advance(60)
    older = (
        await read_audit(
            node.store, Revision(299), AuditFilter(), 10, create_unreadable_records()
        )
    ).unwrap()
    assert [record.revision for record in older.records] == [3, 250]
    assert older.next_before is None
