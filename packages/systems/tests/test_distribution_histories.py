"""Stateful test that accepted edits are never lost and never revert.

Messages are lost, delayed and repeated, replicas lag, and nodes are replaced.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from returns.pipeline import is_successful

from medlarspring_systems.distribution import (
    COLD_START_GRACE_SECONDS,
    Distribution,
    Source,
    choose_fetch_peer,
    offer_pending,
    offer_table,
)
from medlarspring_systems.table_edit import RowAction, RowEdit, TableEdit, apply_edit
from medlarspring_tables import (
    ConfigTable,
    EditId,
    EntryVMId,
    Member,
    PartnerId,
    Revision,
    RowKind,
    ZoneId,
)

NODES = [EntryVMId(f"entry-{number}") for number in range(4)]
PARTNERS = [PartnerId(f"partner-{number}") for number in range(3)]
ZONE = ZoneId("zone-1")


@dataclass
class Store:
    """All versions of the table in the store; a replica may return any of them."""

    versions: list[ConfigTable] = field(default_factory=lambda: [ConfigTable()])

    def commit(self, base: int, table: ConfigTable) -> bool:
        """Compare-and-swap on the index of the version that was read."""
        if base != len(self.versions) - 1:
            return False
        self.versions.append(table)
        return True


@dataclass
class Attempt:
    """An operator's edit and the index of the version that its editor has read."""

    edit: TableEdit
    base: int
    acknowledged: bool = False


class Histories(RuleBasedStateMachine):
    """Edits, store reads, peer fetches and restarts in any order, with any loss."""

    attempts = Bundle("attempts")
    messages = Bundle("messages")

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.store = Store()
        self.attempted = 0
        self.acknowledged: dict[EditId, Revision] = {}
        self.highest: dict[EntryVMId, Revision] = {}
        self.nodes: dict[EntryVMId, Distribution] = {}
        self.rng = random.Random(7)

    @initialize()
    def start_all(self) -> None:
        for node in NODES:
            self.replace(node)

    @rule(node=st.sampled_from(NODES))
    def replace(self, node: EntryVMId) -> None:
        """A VM is replaced: the new process has no table."""
        self.nodes[node] = Distribution(started_at=self.now)
        self.highest[node] = Revision(0)

    @rule(seconds=st.floats(0.1, 2 * COLD_START_GRACE_SECONDS))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        for node in NODES:
            offer_pending(self.nodes[node], self.now)

    @rule(
        target=attempts,
        partner=st.sampled_from(PARTNERS),
        behind=st.integers(0, 2),
    )
    def begin_edit(self, partner: PartnerId, behind: int) -> Attempt:
        """An editor reads the table, perhaps from a lagging replica."""
        base = max(len(self.store.versions) - 1 - behind, 0)
        self.attempted += 1
        row = self.store.versions[base].partners_by_id.get(partner)
        edit = TableEdit(
            id=EditId(f"edit-{self.attempted}"),
            operator="op",
            rows=(
                RowEdit(
                    kind=RowKind.PARTNER,
                    id=partner,
                    action=RowAction.ADD if row is None else RowAction.SET,
                    fields={"weight": float(self.attempted)},
                    row_revision=row.revision if row else Revision(0),
                ),
            ),
        )
        return Attempt(edit, base)

    @rule(
        partner=st.sampled_from(PARTNERS),
        reader=st.sampled_from(NODES),
        answer_lost=st.booleans(),
    )
    def edit(self, partner: PartnerId, reader: EntryVMId, answer_lost: bool) -> None:
        """An edit is accepted without a race, and one node reads it."""
        attempt = self.begin_edit(partner, 0)
        self.commit(attempt, answer_lost, False)
        if answer_lost:
            self.read_again(attempt)
            self.commit(attempt, False, False)
        assert attempt.edit.id in self.acknowledged
        self.ask_store(reader, 0)

    @rule(attempt=attempts, answer_lost=st.booleans(), request_lost=st.booleans())
    def commit(self, attempt: Attempt, answer_lost: bool, request_lost: bool) -> None:
        """The editor writes; the request or its answer may get lost."""
        base_table = self.store.versions[attempt.base]
        changed = apply_edit(base_table, attempt.edit, self.now, "test")
        if not is_successful(changed) or request_lost:
            return
        accepted = changed.unwrap()
        is_repeated = accepted.record is None
        if not is_repeated and not self.store.commit(attempt.base, accepted.table):
            return
        if not answer_lost:
            self.acknowledged[attempt.edit.id] = accepted.revision

    @rule(attempt=attempts)
    def read_again(self, attempt: Attempt) -> None:
        """After a conflict or a lost answer, the editor reads the newest version."""
        attempt.base = len(self.store.versions) - 1

    @rule(node=st.sampled_from(NODES), behind=st.integers(0, 4))
    def ask_store(self, node: EntryVMId, behind: int) -> None:
        """A watch or read answers; a lagging replica returns an older version."""
        index = max(len(self.store.versions) - 1 - behind, 0)
        if index:
            self.offer(node, self.store.versions[index], Source.STORE)

    @rule(target=messages, node=st.sampled_from(NODES))
    def send_table(self, node: EntryVMId) -> ConfigTable | None:
        """A peer answers with its table; the answer may arrive late or twice."""
        return self.nodes[node].in_force

    @rule(node=st.sampled_from(NODES), message=messages)
    def receive_table(self, node: EntryVMId, message: ConfigTable | None) -> None:
        if message is not None:
            self.offer(node, message, Source.PEER)

    @rule(node=st.sampled_from(NODES))
    def ask_peers(self, node: EntryVMId) -> None:
        """A replaced process has asked the peers of its zone."""
        self.relay(node)
        self.nodes[node].peers_asked = True
        offer_pending(self.nodes[node], self.now)

    def offer(self, node: EntryVMId, table: ConfigTable, source: Source) -> None:
        offer_table(self.nodes[node], table, source, self.now)

    def relay(self, node: EntryVMId) -> bool:
        """Fetch from the peer that the system chooses; False if none is newer."""
        members = {
            other: Member(
                other,
                "ip",
                ZONE,
                table_revision=find_revision(self.nodes[other]),
            )
            for other in NODES
            if other != node
        }
        known = find_revision(self.nodes[node])
        chosen = choose_fetch_peer(known, members, ZONE, self.rng)
        if chosen is None:
            return False
        table = self.nodes[chosen].in_force
        assert table is not None
        self.offer(node, table, Source.PEER)
        return True

    @invariant()
    def nothing_reverts(self) -> None:
        for node, distribution in self.nodes.items():
            revision = find_revision(distribution)
            assert revision >= self.highest[node], f"{node} went back to {revision}"
            self.highest[node] = revision

    @invariant()
    def only_accepted_tables_are_in_force(self) -> None:
        for distribution in self.nodes.values():
            table = distribution.in_force
            if table is not None:
                assert table == self.store.versions[table.revision]

    @invariant()
    def acknowledged_edits_are_accepted_once(self) -> None:
        newest = self.store.versions[-1]
        ids = [accepted.id for accepted in newest.recent_edits]
        assert len(ids) == len(set(ids))
        assert set(self.acknowledged) <= set(ids)

    def teardown(self) -> None:
        """After recovery one node reads the store, and the others fetch from peers."""
        if not self.nodes:
            return
        self.now += 2 * COLD_START_GRACE_SECONDS
        newest = self.store.versions[-1]
        if newest.revision == 0:
            return
        self.offer(NODES[0], newest, Source.STORE)
        offer_pending(self.nodes[NODES[0]], self.now)
        for node in NODES[1:]:
            while self.relay(node):
                pass
        for distribution in self.nodes.values():
            assert distribution.in_force == newest


def find_revision(distribution: Distribution) -> Revision:
    if distribution.in_force is None:
        return Revision(0)
    return distribution.in_force.revision


def test_accepted_edits_are_never_lost_and_never_revert():
    run_state_machine_as_test(
        Histories,
        settings=settings(max_examples=150, stateful_step_count=40, deadline=None),
    )
