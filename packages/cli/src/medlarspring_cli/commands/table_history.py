"""The ``medlarspring table history`` command."""

from __future__ import annotations

from cleo.helpers import argument, option

from medlarspring_adapters.operator_api import AuditAnswer
from medlarspring_cli.commands.edit_command import KINDS, read_kind
from medlarspring_cli.commands.operator_command import OperatorCommand
from medlarspring_cli.render import format_record


class TableHistoryCommand(OperatorCommand):
    """Show the audit records of the table, of one kind of row, or of one row."""

    name = "table history"
    description = "Show who changed the table, the rows of one kind, or one row"
    arguments = [
        argument("kind", f"Kind of row: {KINDS}", optional=True),
        argument("id", "Id of the row", optional=True),
    ]
    own_options = [
        option("limit", "l", "Newest records to show", flag=False, default="50")
    ]

    def run_command(self) -> int:
        """Print the audit records of the selected rows."""
        name, row_id = self.argument("kind") or "", self.argument("id") or ""
        kind = read_kind(name).value if name else ""
        found = self.create_client().get(
            "/v1/audit",
            AuditAnswer,
            kind=kind,
            id=row_id,
            limit=self.option("limit"),
        )
        if self.wants_json:
            self.print_json(found)
            return 0
        for record in found.records:
            self.print_text("\n".join(format_record(record, kind, row_id)))
        if not found.records:
            self.print_text("No change is on record.")
        return 0


__all__ = ["TableHistoryCommand"]
