"""Audit records: who changed what, when and from where."""

from __future__ import annotations

from msgspec import Struct

from medlarspring_tables.bounds import Real
from medlarspring_tables.ids import EditId, Revision

AUDIT_PREFIX = "audit/"
REVISION_DIGITS = 12

FieldValue = str | int | float | bool | None
"""A JSON-compatible value; the checks convert it to the field's type."""


class RowChange(Struct, frozen=True, kw_only=True):
    """One row or record before and after a change; None if it did not exist."""

    kind: str
    id: str
    before: dict[str, FieldValue] | None = None
    after: dict[str, FieldValue] | None = None


class AuditRecord(Struct, frozen=True, kw_only=True):
    """One accepted change, written in the same transaction as the change."""

    revision: Revision
    """Table revision after the change, or in force if the table didn't change."""
    edit_id: EditId
    at: Real
    """Wall time in seconds since the epoch."""
    operator: str
    """The name that the operator gave; it is not verified, as the token is shared."""
    origin: str
    """Address that the command came from, and the entry VM that accepted it."""
    action: str
    """What was done, for example ``table set`` or ``wave start``."""
    changes: tuple[RowChange, ...] = ()
    note: str = ""


def format_audit_key(record: AuditRecord) -> str:
    """Return the key of a table edit's record; keys sort by revision."""
    return f"{AUDIT_PREFIX}{record.revision:0{REVISION_DIGITS}}"


def format_side_audit_key(record: AuditRecord) -> str:
    """Return the key of a record that changed something besides the table.

    It sorts after the record of the table revision that was in force. The edit's id
    makes the key unique.
    """
    return f"{format_audit_key(record)}-{record.edit_id}"


__all__ = [
    "AUDIT_PREFIX",
    "AuditRecord",
    "FieldValue",
    "REVISION_DIGITS",
    "RowChange",
    "format_audit_key",
    "format_side_audit_key",
]
