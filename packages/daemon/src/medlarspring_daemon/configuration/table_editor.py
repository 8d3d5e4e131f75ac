"""Commits operators' edits of the table to the store, each at most once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from medlarspring_adapters.store import (
    Entry,
    Expect,
    Put,
    StoreOutcomeUnknown,
    Transaction,
)
from medlarspring_daemon.configuration.editor_errors import (
    MAX_WAITING_EDITS,
    TABLE_KEY,
    EditConflict,
    EditorBusy,
    NoTableInForce,
)
from medlarspring_daemon.configuration.stored_table import StoredTable, decode_stored
from medlarspring_systems.table_edit import AcceptedChange, TableEdit, apply_edit
from medlarspring_systems.table_republish import RepublishRequest, republish
from medlarspring_tables import ConfigTable, MedlarspringError, Revision
from medlarspring_tables.audit import format_audit_key

if TYPE_CHECKING:
    import random

    from medlarspring_adapters.clock import Clock
    from medlarspring_adapters.store import Store
    from medlarspring_systems.table_errors import TableError
    from medlarspring_tables import Seconds

MAX_ATTEMPTS = 100
MAX_SECONDS = 20.0
"""Time limit for one edit; the command line's timeout is longer."""
MAX_RETRY_SECONDS = 0.5
MAX_CONFLICT_RETRY_SECONDS = 0.1
"""Longest delay after a conflict with another entry VM; a write takes milliseconds."""
CACHE_SECONDS = 1.0
"""How long after a write or conflict the cached table is used instead of a read."""


Change = Callable[[ConfigTable], "Result[AcceptedChange, TableError]"]
"""Computes the next table from the one in the store."""


@dataclass(slots=True)
class _Attempts:
    """State of the attempts to commit one edit."""

    change: Change
    allows_older: bool = False
    """Whether the store's table may be older than the one in force."""
    stored: StoredTable | None = None
    """Newest known table, to which the next attempt applies the change."""
    is_cached: bool = False
    """Whether ``stored`` was cached by an earlier edit, not read for this one."""
    unconfirmed: Revision | None = None
    """Expected store revision of a write whose reply was lost."""
    error: MedlarspringError | None = None


class TableEditor:
    """Reads the table, applies an edit and commits it with its audit record."""

    def __init__(
        self,
        store: Store,
        clock: Clock,
        rng: random.Random,
        table_in_force: Callable[[], ConfigTable | None],
        on_accepted: Callable[[ConfigTable], None],
        retry_seconds: float = 0.02,
    ) -> None:
        self._store = store
        self._clock = clock
        self._rng = rng
        self._table_in_force = table_in_force
        self._on_accepted = on_accepted
        self._retry_seconds = retry_seconds
        self._lock = asyncio.Lock()
        self._waiting = 0
        self._cached: StoredTable | None = None
        """Table known from the last write or conflict."""
        self._cached_at: Seconds = 0.0

    async def read(
        self, allows_older: bool = False
    ) -> Result[StoredTable, MedlarspringError]:
        """Return the store's table.

        Unless ``allows_older``, a table older than the one in force is an error.
        """
        entry = await self._store.read(TABLE_KEY)
        if not is_successful(entry):
            return Failure(entry.failure())
        return self._decode(entry.unwrap(), allows_older)

    async def accept(
        self, edit: TableEdit, origin: str
    ) -> Result[AcceptedChange, MedlarspringError]:
        """Apply one edit atomically, or return why the table is unchanged.

        Only after ``StoreOutcomeUnknown`` may the edit have been accepted; the
        operator repeats it with the same id.
        """

        def change(table: ConfigTable) -> Result[AcceptedChange, TableError]:
            return apply_edit(table, edit, self._clock.wall(), origin)

        return await self._accept_serialized(change)

    async def republish(
        self, request: RepublishRequest, origin: str
    ) -> Result[AcceptedChange, MedlarspringError]:
        """Write the table in force to a store that holds an older one."""
        in_force = self._table_in_force()
        if in_force is None:
            return Failure(NoTableInForce())

        def change(table: ConfigTable) -> Result[AcceptedChange, TableError]:
            return republish(table, in_force, request, self._clock.wall(), origin)

        return await self._accept_serialized(change, allows_older=True)

    async def preview(
        self, edit: TableEdit, origin: str
    ) -> Result[AcceptedChange, MedlarspringError]:
        """Return what an edit would change, without committing it."""
        stored = await self.read()
        if not is_successful(stored):
            return Failure(stored.failure())
        table = stored.unwrap().table
        return apply_edit(table, edit, self._clock.wall(), origin).alt(_to_base_error)

    async def _accept_serialized(
        self, change: Change, allows_older: bool = False
    ) -> Result[AcceptedChange, MedlarspringError]:
        if self._waiting >= MAX_WAITING_EDITS:
            return Failure(EditorBusy())
        self._waiting += 1
        try:
            async with self._lock:
                known = None if allows_older else self._get_cached()
                is_known = known is not None
                attempts = _Attempts(change, allows_older, known, is_known)
                return await self._accept(attempts)
        finally:
            self._waiting -= 1

    def _get_cached(self) -> StoredTable | None:
        """Return the table known from the previous edit, to save a read.

        Store calls are limited and edits come in bursts. If the table has changed
        since, the condition of the write fails. After ``CACHE_SECONDS`` the table
        is read first: in an outage a failed read has no effect, while the outcome
        of a failed write would be unknown.
        """
        known, in_force = self._cached, self._table_in_force()
        if self._clock.now() > self._cached_at + CACHE_SECONDS:
            return None
        if known is None or in_force is None:
            return known
        return known if known.table.revision >= in_force.revision else None

    async def _accept(
        self, attempts: _Attempts
    ) -> Result[AcceptedChange, MedlarspringError]:
        deadline = self._clock.now() + MAX_SECONDS
        for number in range(MAX_ATTEMPTS):
            if number:
                await asyncio.sleep(self._retry_delay(number, attempts))
            if self._clock.now() > deadline:
                break
            outcome = await self._attempt(attempts)
            if outcome is not None:
                return outcome
        if attempts.unconfirmed is not None:
            return Failure(StoreOutcomeUnknown("it gave no answer to later reads"))
        return Failure(attempts.error or EditConflict())

    async def _attempt(
        self, attempts: _Attempts
    ) -> Result[AcceptedChange, MedlarspringError] | None:
        """Try once; return None if another attempt is needed."""
        if attempts.stored is None:
            read = await self.read(attempts.allows_older)
            if not is_successful(read):
                attempts.error = read.failure()
                if attempts.unconfirmed is not None:
                    return None
                return Failure(read.failure())
            attempts.stored, attempts.is_cached = read.unwrap(), False
        stored, attempts.stored = attempts.stored, None
        is_cached, attempts.is_cached = attempts.is_cached, False
        if (
            attempts.unconfirmed is not None
            and stored.mod_revision < attempts.unconfirmed
        ):
            # A lagging replica returned the table from before the write whose
            # reply was lost. A refusal based on it would report an accepted edit
            # as refused, so only a table at least as new as the write is used.
            return None
        changed = attempts.change(stored.table)
        if not is_successful(changed):
            # A cached table may be outdated; only one from the store may refuse.
            return None if is_cached else Failure(changed.failure())
        if changed.unwrap().record is None:
            return Success(changed.unwrap())
        return await self._commit(attempts, stored, changed.unwrap())

    async def _commit(
        self, attempts: _Attempts, stored: StoredTable, change: AcceptedChange
    ) -> Result[AcceptedChange, MedlarspringError] | None:
        assert change.record is not None
        committed = await self._store.commit(
            Transaction(
                # Another entry VM may have written since the table was read. This
                # condition prevents overwriting its edit: the store refuses the
                # write unless the table is still the one that was read.
                expects=(Expect(TABLE_KEY, stored.mod_revision),),
                writes=(
                    Put(TABLE_KEY, msgspec.json.encode(change.table)),
                    Put(
                        format_audit_key(change.record),
                        msgspec.json.encode(change.record),
                    ),
                ),
                read_on_failure=(TABLE_KEY,),
            )
        )
        if not is_successful(committed):
            return self._handle_commit_failure(attempts, stored, committed.failure())
        result = committed.unwrap()
        if result.succeeded:
            self._update_cache(StoredTable(change.table, result.revision))
            self._on_accepted(change.table)
            return Success(change)
        entry = result.read_by_key.get(TABLE_KEY)
        current = self._decode(entry, attempts.allows_older)
        attempts.stored = current.value_or(None)
        self._update_cache(attempts.stored)
        return None

    def _update_cache(self, stored: StoredTable | None) -> None:
        self._cached = stored
        self._cached_at = self._clock.now()

    def _handle_commit_failure(
        self, attempts: _Attempts, stored: StoredTable, error: MedlarspringError
    ) -> Result[AcceptedChange, MedlarspringError] | None:
        attempts.error = error
        if isinstance(error, StoreOutcomeUnknown):
            # The write may still take effect. Retrying is safe: both writes expect
            # the same store revision, so only one can succeed, and the other
            # attempt then finds the edit's id in the table.
            attempts.unconfirmed = stored.mod_revision
            return None
        if attempts.unconfirmed is None:
            return Failure(error)
        return None

    def _decode(
        self, entry: Entry | None, allows_older: bool
    ) -> Result[StoredTable, MedlarspringError]:
        in_force = None if allows_older else self._table_in_force()
        return decode_stored(entry, in_force)

    def _retry_delay(self, number: int, attempts: _Attempts) -> float:
        is_conflict = attempts.unconfirmed is None
        cap = MAX_CONFLICT_RETRY_SECONDS if is_conflict else MAX_RETRY_SECONDS
        longest = min(cap, self._retry_seconds * 2 ** min(number, 10))
        return self._rng.uniform(0, longest)


def _to_base_error(error: TableError) -> MedlarspringError:
    return error


__all__ = ["TABLE_KEY", "TableEditor"]
