"""The ``medlarspring table show`` command."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cleo.helpers import argument

from medlarspring_adapters.operator_api import TableAnswer
from medlarspring_cli.commands.edit_command import KINDS, read_kind
from medlarspring_cli.commands.operator_command import OperatorCommand
from medlarspring_cli.errors import RowNotFoundError
from medlarspring_cli.render import render_table
from medlarspring_systems.table_rows import (
    FIELD_TYPES_BY_KIND,
    describe_row,
    split_rows,
)
from medlarspring_tables import RowKind

if TYPE_CHECKING:
    from medlarspring_tables import ConfigRow

SHORT_HASH_LENGTH = 12
"""Number of digits of a credential hash in text output."""


class TableShowCommand(OperatorCommand):
    """Show the table, the rows of one kind, or one row."""

    name = "table show"
    description = "Show the table, the rows of one kind, or one row"
    arguments = [
        argument("kind", f"Kind of row: {KINDS}", optional=True),
        argument("id", "Id of the row", optional=True),
    ]

    def run_command(self) -> int:
        """Print the selected rows and the table revision."""
        name = self.argument("kind")
        kinds = list(RowKind) if name is None else [read_kind(name)]
        shown = self.create_client().get("/v1/table", TableAnswer)
        if shown.warning:
            self.print_warning(shown.warning)
        rows_by_kind = split_rows(shown.table)
        selected = {kind: self._select(kind, rows_by_kind[kind]) for kind in kinds}
        if self.wants_json:
            rows_by_name = {
                kind.value: [describe_row(rows[row_id]) for row_id in sorted(rows)]
                for kind, rows in selected.items()
            }
            document = {
                "revision": shown.table.revision,
                "from_store": shown.from_store,
            }
            self.print_json({**document, "rows": rows_by_name})
            return 0
        for kind, rows in selected.items():
            self._print_rows(kind, rows)
        self.print_text(f"table revision {shown.table.revision}")
        return 0

    def _select(
        self, kind: RowKind, rows: dict[str, ConfigRow]
    ) -> dict[str, ConfigRow]:
        wanted = self.argument("id")
        if wanted is None:
            return rows
        if wanted not in rows:
            raise RowNotFoundError(kind.value, wanted, sorted(rows))
        return {wanted: rows[wanted]}

    def _print_rows(self, kind: RowKind, rows: dict[str, ConfigRow]) -> None:
        headers = [kind.value, *FIELD_TYPES_BY_KIND[kind], "revision"]
        cells = (
            [row_id, *(_get_cell(rows[row_id], name) for name in headers[1:])]
            for row_id in sorted(rows)
        )
        self.print_text(render_table(headers, cells))
        self.print_text("")


def _get_cell(row: ConfigRow, name: str) -> object:
    value = getattr(row, name)
    return value[:SHORT_HASH_LENGTH] if name == "credential_sha256" else value


__all__ = ["TableShowCommand"]
