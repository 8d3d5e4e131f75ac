"""The ``medlarspring table set`` command."""

from __future__ import annotations

from medlarspring_cli.commands.edit_command import (
    CREDENTIAL_OPTION,
    EDIT_OPTIONS,
    FIELDS_ARGUMENT,
    ID_ARGUMENT,
    KIND_ARGUMENT,
    REVISION_OPTION,
    EditCommand,
)
from medlarspring_cli.errors import UsageError
from medlarspring_systems.table_edit import RowAction


class TableSetCommand(EditCommand):
    """Change fields of a row; other fields keep their values."""

    name = "table set"
    description = "Change fields of one row of the table"
    arguments = [KIND_ARGUMENT, ID_ARGUMENT, FIELDS_ARGUMENT]
    own_options = [REVISION_OPTION, CREDENTIAL_OPTION, *EDIT_OPTIONS]

    def run_command(self) -> int:
        """Send the edit, based on the current or the given row revision."""
        kind = self.read_kind()
        fields = self.read_fields(kind)
        if not fields:
            raise UsageError("No field is given; add NAME=VALUE, for example weight=2.")
        client = self.create_client()
        revision = self.find_revision(client, kind, self.argument("id"))
        return self.send_row(client, RowAction.SET, fields, revision)


__all__ = ["TableSetCommand"]
