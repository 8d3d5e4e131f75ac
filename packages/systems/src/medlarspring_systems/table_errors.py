"""Errors of table edits; each message names the remedy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

from medlarspring_tables import MedlarspringError, RowKind

if TYPE_CHECKING:
    from medlarspring_tables import EditId, Revision
    from medlarspring_tables.audit import FieldValue


class TableError(MedlarspringError):
    """The edit was refused; the table is unchanged."""

    code = "table"

    def details(self) -> dict[str, object]:
        """Return the details of the refusal for programs."""
        return {}


class RowFault(Struct, frozen=True):
    """One fault of one row."""

    kind: RowKind
    row_id: str
    field: str
    found: str
    wanted: str

    def __str__(self) -> str:
        return (
            f"{self.kind.value} {self.row_id}: {self.field}:"
            f" found {self.found}, wanted {self.wanted}"
        )


class RowsRefused(TableError):
    """Rows fail the checks; all faults are listed at once."""

    code = "rows-refused"

    def __init__(self, faults: list[RowFault]) -> None:
        super().__init__(faults)
        self.faults = faults

    def message(self) -> str:
        """List the faults, one a line."""
        lines = [str(fault) for fault in self.faults]
        lines.append(
            "Nothing was changed; correct these faults and repeat the command."
        )
        return "\n".join(lines)

    def details(self) -> dict[str, object]:
        """Return the faults."""
        return {
            "faults": [
                {
                    "kind": fault.kind.value,
                    "id": fault.row_id,
                    "field": fault.field,
                    "found": fault.found,
                    "wanted": fault.wanted,
                }
                for fault in self.faults
            ]
        }


class RowConflict(TableError):
    """The row changed after the operator read it."""

    code = "row-conflict"

    def __init__(
        self,
        kind: RowKind,
        row_id: str,
        expected: Revision,
        current: dict[str, FieldValue] | None,
        proposed: dict[str, FieldValue] | None,
    ) -> None:
        super().__init__(kind, row_id, expected)
        self.kind = kind
        self.row_id = row_id
        self.expected = expected
        self.current = current
        self.proposed = proposed

    def message(self) -> str:
        """Show the current row and the row that the operator proposed."""
        now = "removed" if self.current is None else _format_row(self.current)
        wanted = "removed" if self.proposed is None else _format_row(self.proposed)
        return (
            f"{self.kind.value} {self.row_id} changed after revision"
            f" {self.expected}, which the edit was made for. Nothing was changed.\n"
            f"  in the table: {now}\n"
            f"  your edit:    {wanted}\n"
            f"Read it again with `medlarspring table show {self.kind.value}"
            f" {self.row_id}` and repeat the edit on what it shows."
        )

    def details(self) -> dict[str, object]:
        """Return both rows."""
        return {
            "kind": self.kind.value,
            "id": self.row_id,
            "expected_revision": self.expected,
            "current": self.current,
            "proposed": self.proposed,
        }


class RowMissing(TableError):
    """The edit names a row that isn't in the table."""

    code = "row-missing"

    def __init__(self, kind: RowKind, row_id: str) -> None:
        super().__init__(kind, row_id)
        self.kind = kind
        self.row_id = row_id

    def message(self) -> str:
        """Name the command that adds or lists rows."""
        return (
            f"There is no {self.kind.value} {self.row_id}. Nothing was changed; list"
            f" the rows with `medlarspring table show {self.kind.value}` or add it"
            f" with `medlarspring table add {self.kind.value} {self.row_id}`."
        )


class RowExists(TableError):
    """The edit adds a row that is in the table already."""

    code = "row-exists"

    def __init__(self, kind: RowKind, row_id: str) -> None:
        super().__init__(kind, row_id)
        self.kind = kind
        self.row_id = row_id

    def message(self) -> str:
        """Name the command that changes it."""
        return (
            f"{self.kind.value} {self.row_id} exists already. Nothing was changed;"
            f" change it with `medlarspring table set {self.kind.value}"
            f" {self.row_id} FIELD=VALUE`."
        )


class EditEmpty(TableError):
    """The edit changes nothing."""

    code = "edit-empty"

    def message(self) -> str:
        """Say that the table already has the requested values."""
        return "The table already holds these values; there is nothing to change."


class EditIdReused(TableError):
    """Another edit was accepted under the same id."""

    code = "edit-id-reused"

    def __init__(self, edit_id: EditId, revision: Revision) -> None:
        super().__init__(edit_id, revision)
        self.edit_id = edit_id
        self.revision = revision

    def message(self) -> str:
        """Tell the caller to choose a new id."""
        return (
            f"Edit {self.edit_id} was accepted at revision {self.revision} with other"
            " content. Nothing was changed; send the new edit with an id of its own."
        )


class TableTooLarge(TableError):
    """The value would not fit into the store."""

    code = "table-too-large"

    def __init__(self, what: str, found_bytes: int, max_bytes: int) -> None:
        super().__init__(what, found_bytes, max_bytes)
        self.what = what
        self.found_bytes = found_bytes
        self.max_bytes = max_bytes

    def message(self) -> str:
        """Name the limit and the ways to stay below it."""
        return (
            f"{self.what} would take {self.found_bytes} bytes; the store holds"
            f" {self.max_bytes}. Nothing was changed; remove rows that are no longer"
            " needed, or make the change in smaller parts."
        )


def _format_row(row: dict[str, FieldValue]) -> str:
    return ", ".join(f"{name}={value}" for name, value in row.items() if name != "id")


__all__ = [
    "EditEmpty",
    "EditIdReused",
    "RowConflict",
    "RowExists",
    "RowFault",
    "RowMissing",
    "RowsRefused",
    "TableError",
    "TableTooLarge",
]
