"""The ``medlarspring table remove`` command."""

from __future__ import annotations

from medlarspring_cli.commands.edit_command import (
    EDIT_OPTIONS,
    REVISION_OPTION,
    EditCommand,
)
from medlarspring_systems.table_edit import RowAction


class TableRemoveCommand(EditCommand):
    """Remove a row that no other row refers to."""

    name = "table remove"
    description = "Remove one row from the table"
    own_options = [REVISION_OPTION, *EDIT_OPTIONS]

    def run_command(self) -> int:
        """Send the removal, based on the current or the given row revision."""
        kind = self.read_kind()
        client = self.create_client()
        revision = self.find_revision(client, kind, self.argument("id"))
        return self.send_row(client, RowAction.REMOVE, {}, revision)


__all__ = ["TableRemoveCommand"]
