"""Decodes the table read from the store and checks it against the one in force."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from medlarspring_adapters.decoding import decode_json
from medlarspring_daemon.configuration.editor_errors import (
    TABLE_KEY,
    StoreTableOlder,
    TableUnreadable,
)
from medlarspring_tables import ConfigTable, MedlarspringError, Revision

if TYPE_CHECKING:
    from medlarspring_adapters.store import Entry, Store


@dataclass(frozen=True, slots=True)
class StoredTable:
    """A table read from the store, with the revision of its key."""

    table: ConfigTable
    mod_revision: Revision
    """Store revision of the last write; 0 when there is no table yet."""


def decode_stored(
    entry: Entry | None, in_force: ConfigTable | None
) -> Result[StoredTable, MedlarspringError]:
    """Return the decoded table, an empty one if ``entry`` is None.

    Fails with ``TableUnreadable`` if it cannot be decoded, and with
    ``StoreTableOlder`` if it is older than the table in force.
    """
    stored = StoredTable(ConfigTable(), Revision(0))
    if entry is not None:
        decoded = decode_json(entry.value, ConfigTable)
        if not is_successful(decoded):
            return Failure(TableUnreadable())
        stored = StoredTable(decoded.unwrap(), entry.mod_revision)
    # A store restored from a backup, or a lagging replica, would accept an edit on
    # top of an old table. Every node keeps the newer table, so the accepted edit
    # would never be in force.
    if in_force is not None and stored.table.revision < in_force.revision:
        return Failure(StoreTableOlder(stored.table.revision, in_force.revision))
    return Success(stored)


async def read_revision(store: Store) -> Result[Revision, MedlarspringError]:
    """Return the revision of the store's table without comparing it with any other.

    It is 0 if the store has no table.
    """
    entry = await store.read(TABLE_KEY)
    if not is_successful(entry):
        return Failure(entry.failure())
    found = entry.unwrap()
    if found is None:
        return Success(Revision(0))
    table = decode_json(found.value, ConfigTable)
    return table.map(lambda each: each.revision).alt(lambda _: TableUnreadable())


__all__ = ["StoredTable", "decode_stored", "read_revision"]
