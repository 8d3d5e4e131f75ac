"""Export and import of the configuration table as one CSV file."""

from __future__ import annotations

import csv
import io
from typing import TYPE_CHECKING

from msgspec import Struct
from returns.result import Failure, Result, Success

from medlarspring_systems.table_edit import RowAction, RowEdit
from medlarspring_systems.table_errors import TableError
from medlarspring_systems.table_rows import (
    FIELD_TYPES_BY_KIND,
    FLEET_ROW_ID,
    split_rows,
)
from medlarspring_tables import ROW_TYPES_BY_KIND, Revision, RowKind

if TYPE_CHECKING:
    from medlarspring_tables import ConfigRow, ConfigTable
    from medlarspring_tables.audit import FieldValue

KIND_COLUMN = "kind"
ID_COLUMN = "id"
REVISION_COLUMN = "revision"
COLUMNS = (
    KIND_COLUMN,
    ID_COLUMN,
    REVISION_COLUMN,
    *dict.fromkeys(name for types in FIELD_TYPES_BY_KIND.values() for name in types),
)
"""Columns of all kinds of row; a row leaves those that its kind lacks empty."""


class CSVRow(Struct, frozen=True, kw_only=True):
    """One line of a CSV file, its cells not yet checked."""

    kind: RowKind
    id: str
    revision: Revision | None
    """Row revision at the time of the export; None where the cell is empty."""
    cells: dict[str, str]
    """Cells that aren't empty, by column."""


class UnreadableCSV(TableError):
    """The CSV file can't be read as a table; all faults are listed at once."""

    code = "sheet-unreadable"

    def __init__(self, faults: list[str]) -> None:
        super().__init__(faults)
        self.faults = faults

    def message(self) -> str:
        """List the faults, one a line."""
        return "\n".join(
            [*self.faults, "Nothing was changed; compare `medlarspring table export`."]
        )


def format_csv(table: ConfigTable) -> str:
    """Return the table as CSV, rows in the order of kind and id."""
    text = io.StringIO()
    writer = csv.DictWriter(text, COLUMNS, restval="", lineterminator="\n")
    writer.writeheader()
    for kind, rows_by_id in split_rows(table).items():
        for row_id in sorted(rows_by_id):
            writer.writerow(_describe_cells(kind, rows_by_id[row_id]))
    return text.getvalue()


def parse_csv(text: str) -> Result[list[CSVRow], UnreadableCSV]:
    """Parse CSV; columns may be in any order, and unused ones may be missing."""
    reader = csv.DictReader(io.StringIO(text.removeprefix("\ufeff")))
    header = reader.fieldnames or ()
    faults = _check_header(list(header))
    if faults:
        return Failure(UnreadableCSV(faults))
    rows_by_key: dict[tuple[RowKind, str], CSVRow] = {}
    for cells in reader:
        place = f"line {reader.line_num}"
        if None in cells:
            faults.append(f"{place}: found more cells than columns; quote the commas")
            continue
        filled = {name: (cell or "").strip() for name, cell in cells.items()}
        if not any(filled.values()):
            continue
        row = _read_row(place, filled)
        if not isinstance(row, CSVRow):
            faults.append(row)
            continue
        if (row.kind, row.id) in rows_by_key:
            faults.append(
                f"{place}: {row.kind.value} {row.id} is listed twice; keep one"
            )
        rows_by_key[row.kind, row.id] = row
    if faults:
        return Failure(UnreadableCSV(faults))
    return Success(list(rows_by_key.values()))


def plan_import(table: ConfigTable, csv_rows: list[CSVRow]) -> tuple[RowEdit, ...]:
    """Return the edits that make the table match the rows of a CSV file.

    Rows that the file lacks are removed, except for the fleet's row. An empty cell
    stands for the field's default.
    """
    rows = split_rows(table)
    edits = [
        edit
        for row in csv_rows
        if (edit := _plan_row(row, rows[row.kind].get(row.id))) is not None
    ]
    kept = {(row.kind, row.id) for row in csv_rows} | {(RowKind.FLEET, FLEET_ROW_ID)}
    edits.extend(
        RowEdit(
            kind=kind,
            id=row_id,
            action=RowAction.REMOVE,
            row_revision=row.revision,
        )
        for kind, rows_by_id in rows.items()
        for row_id, row in rows_by_id.items()
        if (kind, row_id) not in kept
    )
    return tuple(edits)


def _plan_row(row: CSVRow, current: ConfigRow | None) -> RowEdit | None:
    wanted = {**_defaults(row.kind), **row.cells}
    if current is None:
        return RowEdit(
            kind=row.kind,
            id=row.id,
            # A row with a revision was exported from the table and has been removed
            # since. As a "set" it causes a conflict instead of adding the row again.
            action=RowAction.SET if row.revision else RowAction.ADD,
            fields=wanted,
            row_revision=row.revision or Revision(0),
        )
    changed: dict[str, FieldValue] = {
        name: value
        for name, value in wanted.items()
        if _format_cell(value) != _format_cell(getattr(current, name, None))
    }
    if not changed:
        return None
    return RowEdit(
        kind=row.kind,
        id=row.id,
        action=RowAction.SET,
        fields=changed,
        row_revision=current.revision if row.revision is None else row.revision,
    )


def _defaults(kind: RowKind) -> dict[str, FieldValue]:
    row_type = ROW_TYPES_BY_KIND[kind]
    names = row_type.__struct_fields__[-len(row_type.__struct_defaults__) :]
    defaults = dict(zip(names, row_type.__struct_defaults__, strict=True))
    return {
        name: value
        for name, value in defaults.items()
        if name in FIELD_TYPES_BY_KIND[kind]
    }


def _check_header(header: list[str]) -> list[str]:
    faults = [
        f"line 1: column {name!r} is unknown; known are {', '.join(COLUMNS)}"
        for name in header
        if name not in COLUMNS
    ]
    faults.extend(
        f"line 1: column {name!r} is missing; add it"
        for name in (KIND_COLUMN, ID_COLUMN)
        if name not in header
    )
    return faults


def _read_row(place: str, cells: dict[str, str]) -> CSVRow | str:
    kinds = [kind.value for kind in RowKind]
    if cells[KIND_COLUMN] not in kinds:
        return (
            f"{place}: kind: found {cells[KIND_COLUMN]!r},"
            f" wanted one of {', '.join(kinds)}"
        )
    revision = cells.get(REVISION_COLUMN, "")
    if revision and not revision.isdecimal():
        return f"{place}: revision: found {revision!r}, wanted a whole number"
    kept = (KIND_COLUMN, ID_COLUMN, REVISION_COLUMN)
    return CSVRow(
        kind=RowKind(cells[KIND_COLUMN]),
        id=cells[ID_COLUMN],
        revision=Revision(int(revision)) if revision else None,
        cells={name: cell for name, cell in cells.items() if cell and name not in kept},
    )


def _describe_cells(kind: RowKind, row: ConfigRow) -> dict[str, str]:
    cells = {
        name: _format_cell(getattr(row, name)) for name in FIELD_TYPES_BY_KIND[kind]
    }
    return {
        KIND_COLUMN: kind.value,
        ID_COLUMN: row.id,
        REVISION_COLUMN: str(row.revision),
        **cells,
    }


def _format_cell(value: object) -> str:
    """Format numbers in the same way whether given as text or as numbers."""
    if isinstance(value, str):
        try:
            return f"{float(value):.12g}"
        except ValueError:
            return value
    if isinstance(value, int | float):
        return f"{value:.12g}"
    return "" if value is None else str(value)


__all__ = [
    "COLUMNS",
    "CSVRow",
    "UnreadableCSV",
    "plan_import",
    "parse_csv",
    "format_csv",
]
