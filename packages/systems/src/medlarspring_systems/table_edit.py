"""Applies an operator's edit to the configuration table atomically."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec
from msgspec import Struct
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from medlarspring_systems.table_checks import MAX_TABLE_BYTES, check_row, check_table
from medlarspring_systems.table_errors import (
    EditEmpty,
    EditIdReused,
    RowConflict,
    RowExists,
    RowFault,
    RowMissing,
    RowsRefused,
    TableError,
    TableTooLarge,
)
from medlarspring_systems.table_rows import (
    FIELD_TYPES_BY_KIND,
    RowsByKind,
    describe_row,
    join_rows,
    required_fields,
    same_content,
    split_rows,
)
from medlarspring_tables import (
    ROW_TYPES_BY_KIND,
    AcceptedEdit,
    ConfigRow,
    ConfigTable,
    EditId,
    Revision,
    RowKind,
)
from medlarspring_tables.audit import AuditRecord, FieldValue, RowChange

MAX_RECENT_EDITS = 256
"""Edits whose retries are recognised; at 1,800 edits a day about 3 hours of them."""


class RowAction(Enum):
    """What an edit does to a row."""

    ADD = "add"
    SET = "set"
    REMOVE = "remove"


class RowEdit(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An operator's change of one row."""

    kind: RowKind
    id: str
    action: RowAction
    fields: dict[str, FieldValue] = {}
    """The fields to set, as JSON or text; the others are unchanged."""
    row_revision: Revision = Revision(0)
    """Revision of the row that the operator read; 0 for a row to add."""


class TableEdit(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One edit of one row, or of many that are accepted together."""

    id: EditId
    """Chosen by the operator's command; a retry carries the same one."""
    operator: str
    rows: tuple[RowEdit, ...]
    note: str = ""


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """The table after an edit, and the audit record of the edit."""

    table: ConfigTable
    revision: Revision
    """Table revision at which the edit was accepted."""
    record: AuditRecord | None = None
    """None if the edit had already been accepted."""


def find_accepted(
    table: ConfigTable, edit: TableEdit
) -> Result[AcceptedChange, TableError] | None:
    """Return the earlier acceptance of the same edit, or None if there is none."""
    # A reply can be lost after the write took effect. Without this check a retry
    # would apply the edit twice, or conflict with the row that the edit itself
    # wrote. The first write records the edit's id in the table.
    for accepted in table.recent_edits:
        if accepted.id != edit.id:
            continue
        if accepted.digest != digest_edit(edit):
            return Failure(EditIdReused(edit.id, accepted.revision))
        return Success(AcceptedChange(table, accepted.revision))
    return None


def apply_edit(
    table: ConfigTable, edit: TableEdit, at: float, origin: str
) -> Result[AcceptedChange, TableError]:
    """Return the table after the edit, or the error that refuses it.

    ``at`` is wall time in seconds since the epoch, for the audit record.
    """
    earlier = find_accepted(table, edit)
    if earlier is not None:
        return earlier
    revision = Revision(table.revision + 1)
    applied = _apply_rows(split_rows(table), edit.rows, revision)
    if not is_successful(applied):
        return Failure(applied.failure())
    rows, changes = applied.unwrap()
    recent = (
        *table.recent_edits,
        AcceptedEdit(id=edit.id, revision=revision, digest=digest_edit(edit)),
    )
    changed = msgspec.structs.replace(
        join_rows(table, rows),
        revision=revision,
        recent_edits=recent[-MAX_RECENT_EDITS:],
    )
    record = AuditRecord(
        revision=revision,
        edit_id=edit.id,
        at=at,
        operator=edit.operator,
        origin=origin,
        action=_describe_action(edit),
        changes=tuple(changes),
        note=edit.note,
    )
    return _check_changed_table(AcceptedChange(changed, revision, record))


def digest_edit(edit: TableEdit) -> str:
    """Return a short digest of what the edit does.

    The row revisions are left out: a command that is repeated after its edit was
    accepted reads the row that the edit itself has written.
    """
    rows = [(row.kind.value, row.id, row.action.value, row.fields) for row in edit.rows]
    content = msgspec.json.encode(rows, order="deterministic")
    return hashlib.sha256(content).hexdigest()[:16]


def _apply_rows(
    rows: RowsByKind, edits: tuple[RowEdit, ...], revision: Revision
) -> Result[tuple[RowsByKind, list[RowChange]], TableError]:
    changes: list[RowChange] = []
    faults: list[RowFault] = []
    for edit in edits:
        before = rows[edit.kind].get(edit.id)
        refusal = _check_presence(edit, before)
        if refusal is not None:
            return Failure(refusal)
        if edit.action is RowAction.REMOVE:
            del rows[edit.kind][edit.id]
            changes.append(_describe_change(edit, before, None))
            continue
        after = _build_row(edit, before, revision)
        if not is_successful(after):
            faults.extend(after.failure())
            continue
        if before is not None and same_content(before, after.unwrap()):
            continue
        faults.extend(check_row(after.unwrap()))
        rows[edit.kind][edit.id] = after.unwrap()
        changes.append(_describe_change(edit, before, after.unwrap()))
    if faults:
        return Failure(RowsRefused(faults))
    if not changes:
        return Failure(EditEmpty())
    return Success((rows, changes))


def _check_presence(edit: RowEdit, before: ConfigRow | None) -> TableError | None:
    if edit.action is RowAction.ADD:
        return None if before is None else RowExists(edit.kind, edit.id)
    if before is None and not edit.row_revision:
        return RowMissing(edit.kind, edit.id)
    if before is None or before.revision != edit.row_revision:
        return _describe_conflict(edit, before)
    if edit.action is RowAction.REMOVE and edit.kind is RowKind.FLEET:
        fault = RowFault(edit.kind, edit.id, "row", "its removal", "exactly one row")
        return RowsRefused([fault])
    return None


def _describe_conflict(edit: RowEdit, before: ConfigRow | None) -> RowConflict:
    current = describe_row(before)
    proposed: dict[str, FieldValue] | None = None
    if edit.action is RowAction.SET:
        proposed = {**(current or {}), **edit.fields}
        proposed["revision"] = edit.row_revision
    return RowConflict(edit.kind, edit.id, edit.row_revision, current, proposed)


def _build_row(
    edit: RowEdit, before: ConfigRow | None, revision: Revision
) -> Result[ConfigRow, list[RowFault]]:
    types = FIELD_TYPES_BY_KIND[edit.kind]
    faults: list[RowFault] = []
    values: dict[str, Any] = {}
    for name, value in edit.fields.items():
        if name not in types:
            wanted = f"one of {', '.join(types)}"
            faults.append(RowFault(edit.kind, edit.id, name, "this field", wanted))
            continue
        try:
            values[name] = msgspec.convert(value, types[name], strict=False)
        except msgspec.ValidationError:
            wanted = _describe_type(types[name])
            faults.append(RowFault(edit.kind, edit.id, name, repr(value), wanted))
    if before is None:
        absent = [
            name for name in required_fields(edit.kind) if name not in edit.fields
        ]
        faults.extend(
            RowFault(edit.kind, edit.id, name, "nothing", "a value; it has no default")
            for name in absent
        )
    if faults:
        return Failure(faults)
    if before is not None:
        return Success(msgspec.structs.replace(before, **values, revision=revision))
    row_type: Any = ROW_TYPES_BY_KIND[edit.kind]
    return Success(row_type(id=edit.id, **values, revision=revision))


def _describe_type(hint: Any) -> str:
    kind = getattr(hint, "__origin__", hint)
    if kind is int:
        return "a whole number"
    if kind is float:
        return "a number"
    return "text"


def _describe_change(
    edit: RowEdit, before: ConfigRow | None, after: ConfigRow | None
) -> RowChange:
    return RowChange(
        kind=edit.kind.value,
        id=edit.id,
        before=describe_row(before),
        after=describe_row(after),
    )


def _describe_action(edit: TableEdit) -> str:
    if len(edit.rows) == 1:
        return f"table {edit.rows[0].action.value}"
    return "table import"


def _check_changed_table(change: AcceptedChange) -> Result[AcceptedChange, TableError]:
    faults = check_table(change.table)
    if faults:
        return Failure(RowsRefused(faults))
    for what, value in (
        ("The table", change.table),
        ("The audit record", change.record),
    ):
        size = len(msgspec.json.encode(value))
        if size >= MAX_TABLE_BYTES:
            return Failure(TableTooLarge(what, size, MAX_TABLE_BYTES))
    return Success(change)


__all__ = [
    "AcceptedChange",
    "MAX_RECENT_EDITS",
    "RowAction",
    "RowEdit",
    "TableEdit",
    "apply_edit",
    "digest_edit",
    "find_accepted",
]
