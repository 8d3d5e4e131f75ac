"""Concurrent edits, lost and delayed writes, outages and retries on one table."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import msgspec
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from returns.pipeline import is_successful
from returns.result import Failure

from medlarspring_adapters.clock import ManualClock
from medlarspring_adapters.store import StoreOutcomeUnknown
from medlarspring_bench.memory_store import MemoryStore, create_memory_store
from medlarspring_daemon.configuration.table_editor import TABLE_KEY, TableEditor
from medlarspring_systems.table_checks import check_table
from medlarspring_systems.table_edit import RowAction, RowEdit, TableEdit
from medlarspring_systems.table_rows import describe_row, split_rows
from medlarspring_tables import ConfigTable, EditId, Revision, RowKind
from medlarspring_tables.audit import AUDIT_PREFIX, AuditRecord

EDITORS = 3
POOLS = ("north", "south", "west")
SERVICES = ("consent", "survey")


class InterleavingStore:
    """Lets other tasks run before and after each call, and can delay writes."""

    def __init__(self, inner: MemoryStore, rng: random.Random) -> None:
        self._inner = inner
        self._rng = rng
        self.late_writes = []
        self.delayed_writes = 0
        """Number of following writes that seem lost and take effect later, or never."""

    async def read(self, key):
        await self._yield_to_tasks()
        answer = await self._inner.read(key)
        await self._yield_to_tasks()
        return answer

    async def commit(self, transaction):
        await self._yield_to_tasks()
        if self.delayed_writes:
            self.delayed_writes -= 1
            self.late_writes.append(transaction)
            return Failure(StoreOutcomeUnknown("the write is delayed"))
        answer = await self._inner.commit(transaction)
        await self._yield_to_tasks()
        return answer

    async def _yield_to_tasks(self) -> None:
        for _ in range(self._rng.randrange(4)):
            await asyncio.sleep(0)


@dataclass
class SentEdit:
    """An edit that an operator sent, and the outcomes that were reported for it."""

    edit: TableEdit
    revision: int | None = None
    outcomes: list[str] = field(default_factory=list)


EDITS = st.one_of(
    st.builds(
        lambda name, vms, low: (RowKind.POOL, name, vms, {"min_available": low}),
        st.sampled_from(POOLS),
        st.integers(1, 9),
        st.integers(0, 9),
    ),
    st.builds(
        lambda name, pool: (RowKind.SERVICE, name, 1, {"pool_id": pool}),
        st.sampled_from(SERVICES),
        st.sampled_from(POOLS),
    ),
    st.builds(
        lambda kind, name: (kind, name, 0, {}),
        st.just(RowKind.POOL),
        st.sampled_from(POOLS),
    ),
)
"""Kind, id, wanted VMs (0 removes the row) and fields."""


class TableMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 2**16))
    def begin(self, seed):
        self.loop = asyncio.new_event_loop()
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.inner = create_memory_store(self.clock)
        self.store = InterleavingStore(self.inner, self.rng)
        self.seen = ConfigTable()
        self.in_force_by_editor = [None] * EDITORS
        self.editors = [self._create_editor(number) for number in range(EDITORS)]
        self.sent_edits_by_id = {}

    def _create_editor(self, number):
        def set_in_force(table):
            self.in_force_by_editor[number] = table

        return TableEditor(
            self.store,
            self.clock,
            self.rng,
            lambda: self.in_force_by_editor[number],
            set_in_force,
            retry_seconds=0.0,
        )

    @rule()
    def operators_read(self):
        self.seen = self._read_table()

    @rule(row_requests=st.lists(EDITS, min_size=1, max_size=4), whole=st.booleans())
    def operators_race(self, row_requests, whole):
        rows = list({(w[0], w[1]): self._build_row(w) for w in row_requests}.values())
        groups = [tuple(rows)] if whole else [(row,) for row in rows]
        sent_edits = [self._create_sent_edit(group) for group in groups]
        self._send_all(sent_edits)

    @precondition(lambda self: self.sent_edits_by_id)
    @rule(data=st.data())
    def operators_repeat(self, data):
        names = data.draw(
            st.lists(st.sampled_from(sorted(self.sent_edits_by_id)), max_size=3)
        )
        sent_edits = [self.sent_edits_by_id[name] for name in dict.fromkeys(names)]
        # A refused edit is final; sending it again would be a new request.
        self._send_all(
            [
                sent_edit
                for sent_edit in sent_edits
                if "refused" not in sent_edit.outcomes
            ]
        )

    @rule(replies=st.integers(0, 2), requests=st.integers(0, 2), late=st.integers(0, 2))
    def writes_will_be_lost(self, replies, requests, late):
        self.inner.faults.lose_replies = replies
        self.inner.faults.lose_requests = requests
        self.store.delayed_writes = late

    @rule()
    def late_writes_arrive(self):
        for transaction in self.store.late_writes:
            self.loop.run_until_complete(self.inner.commit(transaction))
        self.store.late_writes.clear()

    @rule(down=st.booleans())
    def store_goes_down_or_comes_up(self, down):
        self.inner.faults.down = down

    @rule(number=st.integers(0, EDITORS - 1))
    def entry_vm_is_replaced(self, number):
        self.in_force_by_editor[number] = None
        self.editors[number] = self._create_editor(number)

    @rule(seconds=st.floats(0.0, 5.0))
    def time_passes(self, seconds):
        self.clock.advance(seconds)

    @invariant()
    def table_and_trail_agree(self):
        table, trail = self._read_table(), self._read_trail()
        assert [record.revision for record in trail] == list(range(1, len(trail) + 1))
        assert table.revision == len(trail)
        rows = {RowKind.FLEET.value: {"fleet": describe_row(ConfigTable().fleet)}}
        for record in trail:
            for change in record.changes:
                found = rows.setdefault(change.kind, {})
                assert found.pop(change.id, None) == change.before
                if change.after is not None:
                    found[change.id] = change.after
        for kind, expected in split_rows(table).items():
            described = {name: describe_row(row) for name, row in expected.items()}
            assert rows.get(kind.value, {}) == described

    @invariant()
    def reported_outcomes_are_true(self):
        revisions_by_id = {}
        for record in self._read_trail():
            assert record.edit_id not in revisions_by_id, "accepted twice"
            revisions_by_id[record.edit_id] = record.revision
        for name, sent_edit in self.sent_edits_by_id.items():
            if "accepted" in sent_edit.outcomes:
                assert revisions_by_id.get(name) == sent_edit.revision
            elif "refused" in sent_edit.outcomes or set(sent_edit.outcomes) == {
                "not sent"
            }:
                assert name not in revisions_by_id

    @invariant()
    def edits_were_applied_to_the_rows_that_operators_had_read(self):
        for record in self._read_trail():
            edits = self.sent_edits_by_id[record.edit_id].edit.rows
            read_by_row = {
                (each.kind.value, each.id): each.row_revision for each in edits
            }
            for change in record.changes:
                found = change.before["revision"] if change.before else 0
                assert found == read_by_row[change.kind, change.id]

    @invariant()
    def accepted_table_passes_the_checks(self):
        assert check_table(self._read_table()) == []

    def teardown(self):
        if hasattr(self, "loop"):
            self.loop.close()

    def _build_row(self, row_request):
        kind, name, vms, fields = row_request
        current = split_rows(self.seen)[kind].get(name)
        if current is None:
            action = RowAction.ADD
        else:
            action = RowAction.SET if vms else RowAction.REMOVE
        if kind is RowKind.POOL and action is not RowAction.REMOVE:
            fields = {"min_available": 0, **fields, "wanted_vms": vms}
        return RowEdit(
            kind=kind,
            id=name,
            action=action,
            fields=fields,
            row_revision=current.revision if current else Revision(0),
        )

    def _create_sent_edit(self, rows):
        name = EditId(f"edit-{len(self.sent_edits_by_id):04}")
        sent_edit = SentEdit(TableEdit(id=name, operator="asha", rows=rows))
        self.sent_edits_by_id[name] = sent_edit
        return sent_edit

    def _send_all(self, sent_edits):
        async def send(sent_edit):
            editor = self.rng.choice(self.editors)
            return sent_edit, await editor.accept(sent_edit.edit, "test")

        async def send_all():
            return await asyncio.gather(*map(send, sent_edits))

        for sent_edit, result in self.loop.run_until_complete(send_all()):
            self._record_outcome(sent_edit, result)

    def _record_outcome(self, sent_edit, result):
        if is_successful(result):
            sent_edit.outcomes.append("accepted")
            sent_edit.revision = result.unwrap().revision
        elif result.failure().code == "store-outcome-unknown":
            sent_edit.outcomes.append("unknown")
        elif result.failure().code == "store-unavailable":
            # Applies to this attempt only; the outcome of an earlier attempt of
            # the same edit may be unknown.
            sent_edit.outcomes.append("not sent")
        else:
            assert "accepted" not in sent_edit.outcomes, result.failure()
            sent_edit.outcomes.append("refused")

    def _read_table(self):
        entry = self._find(TABLE_KEY)
        return msgspec.json.decode(entry, type=ConfigTable) if entry else ConfigTable()

    def _read_trail(self):
        return [
            msgspec.json.decode(value, type=AuditRecord)
            for value in self._find_all(AUDIT_PREFIX)
        ]

    def _find(self, key):
        found = self._find_all(key)
        return found[0] if found else None

    def _find_all(self, prefix):
        down, self.inner.faults.down = self.inner.faults.down, False
        listing = self.loop.run_until_complete(self.inner.read_prefix(prefix))
        self.inner.faults.down = down
        return [entry.value for entry in listing.unwrap().entries]


TestTable = TableMachine.TestCase
TestTable.settings = settings(
    max_examples=80, stateful_step_count=30, deadline=None, derandomize=True
)
