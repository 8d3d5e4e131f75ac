"""The ``medlarspring table import`` command."""

from __future__ import annotations

from cleo.helpers import argument, option

from medlarspring_adapters.operator_api import PlanAnswer
from medlarspring_cli.commands.edit_command import EDIT_OPTIONS, EditCommand
from medlarspring_cli.errors import UsageError
from medlarspring_cli.exit_codes import ExitCode
from medlarspring_cli.render import format_change

MAX_REPLY_LENGTH = 100
"""Number of characters that are read of a reply."""


class TableImportCommand(EditCommand):
    """Replace the whole table by a CSV file, after showing the difference."""

    name = "table import"
    description = "Replace the whole table by a CSV file, after showing the difference"
    arguments = [
        argument("file", "CSV file, as <comment>table export</comment> writes")
    ]
    own_options = [
        option("yes", "y", "Accept the difference without confirmation"),
        *EDIT_OPTIONS,
    ]

    def run_command(self) -> int:
        """Show the difference, ask for confirmation and send it as one edit."""
        csv_text = self.read_text(self.argument("file"), "CSV file")
        client = self.create_client()
        plan = client.post("/v1/table/import-plan", csv_text.encode(), PlanAnswer)
        if not plan.rows:
            self._print_unchanged(plan)
            return ExitCode.OK
        if not self.wants_json:
            for change in plan.changes:
                self.print_text(format_change(change))
            self.print_text(
                f"{len(plan.changes)} rows differ from table revision {plan.revision}."
            )
        if not self._confirm():
            self.print_text("Nothing was changed.")
            return ExitCode.REFUSED
        return self.send_edit(client, plan.rows)

    def _confirm(self) -> bool:
        if self.option("yes"):
            return True
        if self.wants_json or not self.io.is_interactive():
            raise UsageError("Nobody can be asked here; accept with --yes.")
        # Cleo's question helper asks again without end once the input has ended.
        self.io.write("Accept all of them? (yes/no) [no] ")
        return self.io.read_line(MAX_REPLY_LENGTH).strip().lower() in ("y", "yes")

    def _print_unchanged(self, plan: PlanAnswer) -> None:
        if self.wants_json:
            self.print_json(plan)
            return
        self.print_text(
            f"The table (revision {plan.revision}) is already as the sheet."
        )


__all__ = ["TableImportCommand"]
