"""The ``medlarspring table export`` command."""

from __future__ import annotations

from pathlib import Path

from cleo.helpers import option

from medlarspring_adapters.operator_api import TableAnswer
from medlarspring_cli.commands.operator_command import OperatorCommand
from medlarspring_cli.errors import UsageError
from medlarspring_systems.table_csv import format_csv


class TableExportCommand(OperatorCommand):
    """Write the table as CSV."""

    name = "table export"
    description = "Write the whole table as CSV"
    own_options = [
        option("output", "o", "File to write; standard output by default", flag=False)
    ]

    def run_command(self) -> int:
        """Print the table as CSV or write it to a file."""
        shown = self.create_client().get("/v1/table", TableAnswer)
        if shown.warning:
            self.print_warning(shown.warning)
        if self.wants_json:
            self.print_json(shown.table)
            return 0
        csv_text = format_csv(shown.table)
        path = self.option("output")
        if path is None:
            self.print_text(csv_text.rstrip("\n"))
            return 0
        try:
            Path(path).write_text(csv_text, encoding="utf-8")
        except OSError as error:
            raise UsageError(f"{path} can't be written: {error.strerror}.") from None
        self.print_text(f"{path}: table revision {shown.table.revision}")
        return 0


__all__ = ["TableExportCommand"]
