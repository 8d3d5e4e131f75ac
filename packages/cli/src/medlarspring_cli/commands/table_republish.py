"""The ``medlarspring table republish`` command."""

from __future__ import annotations

from medlarspring_adapters.operator_api import EditAnswer
from medlarspring_cli.commands.edit_command import EDIT_OPTIONS, EditCommand
from medlarspring_systems.table_republish import RepublishRequest


class TableRepublishCommand(EditCommand):
    """Write the table in force to a store that lost it."""

    name = "table republish"
    description = "Write the table in force to a store restored from a backup"
    arguments = []
    own_options = EDIT_OPTIONS

    def run_command(self) -> int:
        """Request that the daemon writes its table in force to the store."""
        request = RepublishRequest(
            id=self.create_edit_id(),
            operator=self.find_operator(),
            note=self.option("note") or "",
        )
        client = self.create_client()
        accepted = client.post(
            "/v1/table/republish", request, EditAnswer, f"--edit-id {request.id}"
        )
        return self.print_accepted(request.id, accepted)


__all__ = ["TableRepublishCommand"]
