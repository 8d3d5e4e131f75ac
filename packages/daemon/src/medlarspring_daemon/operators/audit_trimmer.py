"""Removes audit records from the store when their retention has ended."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from returns.pipeline import is_successful

from medlarspring_adapters.background_tasks import BackgroundTasks
from medlarspring_adapters.events import Event
from medlarspring_adapters.store import Delete, Expect, Put, Transaction
from medlarspring_adapters.store_meter import Mechanism
from medlarspring_systems.audit import TRIM_MARK_KEY, TrimMark, page_prefix, plan_trim
from medlarspring_tables import Revision
from medlarspring_tables.audit import AuditRecord

if TYPE_CHECKING:
    from medlarspring_adapters.store import Listing
    from medlarspring_daemon.node import Node
    from medlarspring_systems.audit import Trim

ROUND_SECONDS = 3_600.0
STEP_SECONDS = 1.0
MAX_STEPS = 50


class AuditTrimmer:
    """Removes expired records about once an hour, on every entry VM.

    No holder is needed: every process finds the same records expired, and the
    mark's revision lets only one of two concurrent steps be written.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._store = node.store.with_mechanism(Mechanism.AUDIT)
        self._tasks = BackgroundTasks(node.log)

    async def start(self) -> None:
        """Start the rounds, each after a random delay of up to two hours."""
        self._tasks.run_with_restart(self._run)

    async def stop(self) -> None:
        """Stop the rounds; each step is written atomically."""
        await self._tasks.cancel()

    async def trim(self) -> int:
        """Run one round and return how many records were removed."""
        removed = 0
        for _ in range(MAX_STEPS):
            trim = await self._step()
            if trim is None:
                break
            removed += len(trim.keys)
            await asyncio.sleep(STEP_SECONDS if trim.keys else 0)
        if removed:
            self._node.log.info(Event.AUDIT_TRIMMED, records=removed)
        return removed

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._node.rng.uniform(0.0, 2.0) * ROUND_SECONDS)
            await self.trim()

    async def _step(self) -> Trim | None:
        table = self._node.config
        if table is None:
            return None
        found = await self._store.read(TRIM_MARK_KEY)
        if not is_successful(found):
            return None
        entry = found.unwrap()
        mark, mark_revision = TrimMark(), Revision(0)
        if entry is not None:
            mark = msgspec.json.decode(entry.value, type=TrimMark)
            mark_revision = entry.mod_revision
        listing = await self._store.read_prefix(page_prefix(mark.next_page))
        if not is_successful(listing):
            return None
        page = _decode(listing.unwrap())
        trim = plan_trim(mark, page, table.revision, self._node.clock.wall())
        if trim is None:
            return None
        committed = await self._store.commit(_to_transaction(trim, mark_revision))
        if not is_successful(committed) or not committed.unwrap().succeeded:
            return None
        return trim


def _decode(listing: Listing) -> dict[str, AuditRecord]:
    return {
        entry.key: msgspec.json.decode(entry.value, type=AuditRecord)
        for entry in listing.entries
    }


def _to_transaction(trim: Trim, mark_revision: Revision) -> Transaction:
    return Transaction(
        expects=(Expect(TRIM_MARK_KEY, mark_revision),),
        writes=(
            Put(TRIM_MARK_KEY, msgspec.json.encode(trim.mark)),
            *(Delete(key) for key in trim.keys),
        ),
    )


def create_audit_trimmer(node: Node) -> AuditTrimmer:
    """Return the service that trims the audit trail."""
    return AuditTrimmer(node)


__all__ = ["AuditTrimmer", "create_audit_trimmer"]
