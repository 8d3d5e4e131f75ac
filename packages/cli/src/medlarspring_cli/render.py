"""Formats responses as tables and lines of text."""

from __future__ import annotations

import io
import shutil
import sys
from datetime import UTC, datetime
from typing import TYPE_CHECKING

from rich.console import Console
from rich.table import Table
from rich.text import Text

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from medlarspring_tables.audit import AuditRecord, FieldValue, RowChange

PIPE_WIDTH = 1_000
"""Table width if the output is not a terminal; wide enough to wrap no cell."""
ABSENT = "-"


def render_table(headers: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a table with a header line."""
    table = Table(box=None, pad_edge=False, header_style="bold")
    for header in headers:
        table.add_column(header, overflow="fold")
    for row in rows:
        table.add_row(*(Text(format_value(cell)) for cell in row))
    text = io.StringIO()
    is_terminal = sys.stdout.isatty()
    width = shutil.get_terminal_size().columns if is_terminal else PIPE_WIDTH
    Console(file=text, width=width, force_terminal=False).print(table)
    return "\n".join(line.rstrip() for line in text.getvalue().splitlines())


def format_value(value: object) -> str:
    """Return a value as text; None and empty strings as a dash."""
    if value is None or value == "":
        return ABSENT
    if isinstance(value, float):
        return f"{value:.12g}"
    return str(value)


def format_time(at: float) -> str:
    """Return seconds since the epoch as date and time in UTC."""
    return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def format_change(change: RowChange) -> str:
    """Return one line that describes how a row changed."""
    name = f"{change.kind} {change.id}"
    if change.before is None:
        return f"add    {name}: {_format_fields(change.after or {})}"
    if change.after is None:
        return f"remove {name}: {_format_fields(change.before)}"
    return f"set    {name}: {', '.join(_list_differences(change.before, change.after))}"


def format_record(record: AuditRecord, kind: str = "", row_id: str = "") -> list[str]:
    """Return the lines of one audit record.

    Only changes of the given kind and row id are listed; an empty filter selects
    all. The number of other changes is given on the last line.
    """
    changes = [
        change
        for change in record.changes
        if kind in ("", change.kind) and row_id in ("", change.id)
    ]
    left_out = len(record.changes) - len(changes)
    head = (
        f"{format_time(record.at)}  revision {record.revision}  {record.action}"
        f"  by {record.operator} from {record.origin}  edit {record.edit_id}"
    )
    note = [f"    note: {record.note}"] if record.note else []
    rest = [f"    and {left_out} other changes"] if left_out else []
    return [head, *note, *(f"    {format_change(each)}" for each in changes), *rest]


def _list_differences(
    before: Mapping[str, FieldValue], after: Mapping[str, FieldValue]
) -> list[str]:
    return [
        f"{name} {format_value(before.get(name))} -> {format_value(value)}"
        for name, value in after.items()
        if before.get(name) != value and name != "revision"
    ]


def _format_fields(row: Mapping[str, FieldValue]) -> str:
    return ", ".join(
        f"{name}={format_value(value)}"
        for name, value in row.items()
        if name not in ("id", "revision")
    )


__all__ = [
    "format_change",
    "format_record",
    "format_time",
    "format_value",
    "render_table",
]
