"""Writes the table in force back to a store that has an older one."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from msgspec import Struct
from returns.result import Failure, Result, Success

from medlarspring_systems.table_edit import (
    MAX_RECENT_EDITS,
    AcceptedChange,
)
from medlarspring_systems.table_errors import TableError
from medlarspring_systems.table_rows import describe_row, split_rows
from medlarspring_tables import AcceptedEdit, ConfigTable, EditId, Revision
from medlarspring_tables.audit import AuditRecord, RowChange

if TYPE_CHECKING:
    from collections.abc import Iterator


class RepublishRequest(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An operator's request to write the table in force back to the store."""

    id: EditId
    operator: str
    note: str = ""


class StoreIsCurrent(TableError):
    """The store holds a table as new as the one in force."""

    code = "store-current"

    def __init__(self, stored: Revision, in_force: Revision) -> None:
        super().__init__(stored, in_force)
        self.stored = stored
        self.in_force = in_force

    def message(self) -> str:
        """Say that there is nothing to republish."""
        return (
            f"The store holds table revision {self.stored}, and revision"
            f" {self.in_force} is in force here; there is nothing to republish."
        )


def republish(
    stored: ConfigTable,
    in_force: ConfigTable,
    request: RepublishRequest,
    at: float,
    origin: str,
) -> Result[AcceptedChange, TableError]:
    """Return the table in force as the next table of the store.

    It gets a new revision above the one in force, so that every node puts it in
    force and later edits are based on it. ``at`` is wall time.
    """
    for accepted in stored.recent_edits:
        if accepted.id == request.id:
            return Success(AcceptedChange(stored, accepted.revision))
    if stored.revision >= in_force.revision:
        return Failure(StoreIsCurrent(stored.revision, in_force.revision))
    revision = Revision(in_force.revision + 1)
    recent = (*in_force.recent_edits, AcceptedEdit(id=request.id, revision=revision))
    table = msgspec.structs.replace(
        in_force, revision=revision, recent_edits=recent[-MAX_RECENT_EDITS:]
    )
    record = AuditRecord(
        revision=revision,
        edit_id=request.id,
        at=at,
        operator=request.operator,
        origin=origin,
        action="table republish",
        changes=tuple(_list_changes(stored, in_force)),
        note=request.note,
    )
    return Success(AcceptedChange(table, revision, record))


def _list_changes(stored: ConfigTable, in_force: ConfigTable) -> Iterator[RowChange]:
    old, new = split_rows(stored), split_rows(in_force)
    for kind in old:
        for row_id in sorted(old[kind].keys() | new[kind].keys()):
            before, after = old[kind].get(row_id), new[kind].get(row_id)
            if before != after:
                yield RowChange(
                    kind=kind.value,
                    id=row_id,
                    before=describe_row(before),
                    after=describe_row(after),
                )


__all__ = ["RepublishRequest", "StoreIsCurrent", "republish"]
