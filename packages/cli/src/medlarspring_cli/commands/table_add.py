"""The ``medlarspring table add`` command."""

from __future__ import annotations

from medlarspring_cli.commands.edit_command import (
    CREDENTIAL_OPTION,
    EDIT_OPTIONS,
    FIELDS_ARGUMENT,
    ID_ARGUMENT,
    KIND_ARGUMENT,
    EditCommand,
)
from medlarspring_systems.table_edit import RowAction


class TableAddCommand(EditCommand):
    """Add a row; omitted fields get their default values."""

    name = "table add"
    description = "Add one row to the table"
    arguments = [KIND_ARGUMENT, ID_ARGUMENT, FIELDS_ARGUMENT]
    own_options = [CREDENTIAL_OPTION, *EDIT_OPTIONS]

    def run_command(self) -> int:
        """Send the new row."""
        fields = self.read_fields(self.read_kind())
        return self.send_row(self.create_client(), RowAction.ADD, fields)


__all__ = ["TableAddCommand"]
