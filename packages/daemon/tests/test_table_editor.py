from __future__ import annotations

import asyncio
import random

import msgspec
import pytest
from returns.result import Failure

from medlarspring_adapters.clock import ManualClock
from medlarspring_adapters.store import Put, StoreOutcomeUnknown, Transaction
from medlarspring_bench.memory_store import MemoryStore, create_memory_store
from medlarspring_bench.silent_faults import create_unreadable_records
from medlarspring_daemon.configuration.table_editor import TABLE_KEY, TableEditor
from medlarspring_daemon.operators.audit_reader import read_audit
from medlarspring_systems.audit import AuditFilter
from medlarspring_systems.table_edit import RowAction, RowEdit, TableEdit
from medlarspring_systems.table_republish import RepublishRequest
from medlarspring_tables import ConfigTable, EditId, Revision, RowKind


class EditorNode:
    """The table editor of one entry VM, and the table in force there."""

    def __init__(self, store: MemoryStore, seed: int) -> None:
        self.in_force: ConfigTable | None = None
        self.editor = TableEditor(
            store,
            ManualClock(),
            random.Random(seed),
            table_in_force=lambda: self.in_force,
            on_accepted=self._set_in_force,
            retry_seconds=0.0,
        )

    def _set_in_force(self, table: ConfigTable) -> None:
        self.in_force = table

    async def accept(self, edit: TableEdit):
        return await self.editor.accept(edit, "test")


@pytest.fixture
def store() -> MemoryStore:
    return create_memory_store(ManualClock())


@pytest.fixture
def editor_node(store) -> EditorNode:
    return EditorNode(store, 1)


def add_pool(name: str, wanted: int = 8) -> TableEdit:
    row = RowEdit(
        kind=RowKind.POOL,
        id=name,
        action=RowAction.ADD,
        fields={"wanted_vms": wanted, "min_available": 0},
    )
    return TableEdit(id=EditId(f"add-{name}"), operator="asha", rows=(row,))


def set_pool(name: str, wanted: int, read_at: int, id: str) -> TableEdit:  # noqa: A002
    row = RowEdit(
        kind=RowKind.POOL,
        id=name,
        action=RowAction.SET,
        fields={"wanted_vms": wanted},
        row_revision=Revision(read_at),
    )
    return TableEdit(id=EditId(id), operator="asha", rows=(row,))


async def read_table(store: MemoryStore) -> ConfigTable:
    entry = (await store.read(TABLE_KEY)).unwrap()
    return msgspec.json.decode(entry.value, type=ConfigTable)


async def read_trail(store: MemoryStore) -> list[str]:
    newest = (await read_table(store)).revision
    answer = (
        await read_audit(
            store, newest, AuditFilter(), 1_000, create_unreadable_records()
        )
    ).unwrap()
    return [str(record.edit_id) for record in answer.records]


async def test_edit_and_its_audit_record_are_written_together(store, editor_node):
    accepted = (await editor_node.accept(add_pool("consent"))).unwrap()
    table = await read_table(store)
    assert table == accepted.table == editor_node.in_force
    assert await read_trail(store) == ["add-consent"]
    assert store.calls_by_kind["txn"] == 1


async def test_concurrent_edits_of_different_rows_are_all_accepted(store):
    """
    Eight entry VMs handle 48 concurrent edits of different rows. Each write replaces
    the whole table, so only one succeeds at a time; the others conflict, apply their
    edit to the new table and retry. No edit may be lost or refused.
    """
    editor_nodes = [EditorNode(store, seed) for seed in range(8)]
    edits = [add_pool(f"pool-{number}") for number in range(48)]
    results = await asyncio.gather(
        *(editor_nodes[number % 8].accept(edit) for number, edit in enumerate(edits))
    )
    assert all(result.unwrap().record for result in results)
    table = await read_table(store)
    assert table.revision == 48
    assert set(table.pools_by_id) == {f"pool-{number}" for number in range(48)}
    assert sorted(await read_trail(store)) == sorted(edit.id for edit in edits)


async def test_edits_of_one_row_through_two_entry_vms_conflict(store, editor_node):
    await editor_node.accept(add_pool("consent"))
    first, second = EditorNode(store, 2), EditorNode(store, 3)
    results = await asyncio.gather(
        first.accept(set_pool("consent", 9, 1, "first")),
        second.accept(set_pool("consent", 10, 1, "second")),
    )
    codes = sorted(
        result.failure().code if result.swap().value_or(None) else "accepted"
        for result in results
    )
    assert codes == ["accepted", "row-conflict"]
    assert (await read_table(store)).revision == 2


@pytest.mark.parametrize(
    ("faults", "writes"),
    [({"lose_replies": 1}, 1), ({"lose_requests": 1}, 2), ({"lose_replies": 2}, 1)],
)
async def test_edit_with_a_lost_reply_is_accepted_once(
    store, editor_node, faults, writes
):
    """
    The write or the reply to it is lost. The editor reads the table again and either
    finds the edit's id there or repeats the write. In both cases the operator is
    told the correct outcome and the row is changed once.
    """
    for name, count in faults.items():
        setattr(store.faults, name, count)
    accepted = (await editor_node.accept(add_pool("consent"))).unwrap()
    assert accepted.revision == 1
    assert await read_trail(store) == ["add-consent"]
    assert store.calls_by_kind["txn"] == writes


async def test_outcome_is_unknown_when_the_store_stays_down_after_a_lost_reply(
    store, editor_node, monkeypatch
):
    """
    The write takes effect, its reply is lost and the store goes down. The operator
    must be told that the outcome is unknown, not that nothing was changed. The same
    edit repeated later at another entry VM is reported as already accepted.
    """
    commit = store.commit

    async def commit_then_go_down(transaction):
        result = await commit(transaction)
        store.go_down()
        return result

    store.faults.lose_replies = 1
    monkeypatch.setattr(store, "commit", commit_then_go_down)
    unknown = (await editor_node.accept(add_pool("consent"))).failure()
    assert unknown.code == "store-outcome-unknown"

    monkeypatch.undo()
    store.come_up()
    again = (await EditorNode(store, 2).accept(add_pool("consent"))).unwrap()
    assert again.record is None
    assert (await read_table(store)).revision == 1


async def test_lagging_replica_does_not_turn_an_accepted_edit_into_a_refusal(
    store, editor_node, monkeypatch
):
    """
    The reply to an accepted change of a row is lost, and the next read is served by
    a lagging replica that does not have the row yet. The edit must not be refused
    on the basis of that table.
    """
    other = EditorNode(store, 2)
    await other.accept(add_pool("rings"))
    old = await store.read(TABLE_KEY)
    await other.accept(add_pool("consent"))
    read = store.read
    answers = [None, old, old]

    async def read_lagging(key):
        answer = answers.pop(0) if answers else None
        return answer or await read(key)

    monkeypatch.setattr(store, "read", read_lagging)
    store.faults.lose_replies = 1
    accepted = await editor_node.accept(set_pool("consent", 9, 2, "change"))
    assert accepted.unwrap().revision == 3


async def test_store_that_is_down_refuses_without_effect(store, editor_node):
    store.go_down()
    assert (
        await editor_node.accept(add_pool("a"))
    ).failure().code == "store-unavailable"


async def test_store_restored_from_a_backup_refuses_edits(store, editor_node):
    """
    The store is restored from a backup that is older than the table in force. An
    edit of that table would get a revision older than the one in force on every
    node: accepted, but never in force. It must be refused with a remedy.
    """
    for name in ("a", "b", "c"):
        await editor_node.accept(add_pool(name))
    backup = msgspec.structs.replace(await read_table(store), revision=Revision(1))
    put = Put(TABLE_KEY, msgspec.json.encode(backup))
    await store.commit(Transaction(expects=(), writes=(put,)))
    refusal = (await editor_node.accept(add_pool("d"))).failure()
    assert refusal.code == "store-older"
    assert "medlarspring table republish" in refusal.message()
    assert (await read_table(store)).revision == 1


async def test_value_of_another_version_is_not_overwritten(store, editor_node):
    put = Put(TABLE_KEY, b'{"revision": "seven"}')
    await store.commit(Transaction(expects=(), writes=(put,)))
    assert (
        await editor_node.accept(add_pool("a"))
    ).failure().code == "table-unreadable"


async def test_table_in_force_is_republished_to_a_restored_store(store, editor_node):
    """
    The store is restored from a backup at revision 1 while revision 3 is in force.
    An operator republishes the table in force: it becomes revision 4, which every
    node accepts, later edits follow it, and its changes are reported.
    """
    for name in ("a", "b", "c"):
        await editor_node.accept(add_pool(name))
    backup = msgspec.structs.replace(
        await read_table(store), revision=Revision(1), pools_by_id={}
    )
    put = Put(TABLE_KEY, msgspec.json.encode(backup))
    await store.commit(Transaction(expects=(), writes=(put,)))

    republish_request = RepublishRequest(id=EditId("back"), operator="asha")
    change = (await editor_node.editor.republish(republish_request, "test")).unwrap()
    assert change.revision == 4
    assert {row.id for row in change.record.changes} == {"a", "b", "c"}
    again = (await editor_node.editor.republish(republish_request, "test")).unwrap()
    assert again.record is None
    assert (await editor_node.accept(add_pool("d"))).unwrap().revision == 5

    other = RepublishRequest(id=EditId("other"), operator="asha")
    refusal = (await editor_node.editor.republish(other, "test")).failure()
    assert refusal.code == "store-current"


async def test_outage_between_two_edits_is_reported_as_not_applied(store, monkeypatch):
    """
    An operator sends an edit during a store outage, a minute after another edit was
    accepted. The outcome of a failed write would be unknown, so the editor must read
    the table first and report at once that nothing was changed.
    """
    clock = ManualClock()
    editor = TableEditor(
        store, clock, random.Random(1), lambda: None, lambda table: None, 0.0001
    )
    await editor.accept(add_pool("a"), "test")
    clock.advance(60.0)

    async def fail_commit(transaction):
        return Failure(StoreOutcomeUnknown("the connection broke"))

    monkeypatch.setattr(store, "commit", fail_commit)
    store.go_down()
    refusal = (await editor.accept(add_pool("b"), "test")).failure()
    assert refusal.code == "store-unavailable"


async def test_cached_table_refuses_nothing(store):
    """
    An edit at this entry VM is followed within one second by a change of the row at
    another entry VM, and then by an edit here that is based on that change. The
    cached table lacks the change and must not cause a conflict.
    """
    here, there = EditorNode(store, 1), EditorNode(store, 2)
    await here.accept(add_pool("a"))
    await there.accept(set_pool("a", 9, 1, "there"))
    assert (await here.accept(set_pool("a", 10, 2, "here"))).unwrap().revision == 3
