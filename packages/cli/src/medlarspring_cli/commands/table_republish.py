"""``medlarspring table republish``."""

from __future__ import annotations

from medlarspring_adapters.operator_api import EditAnswer
from medlarspring_cli.commands.edit_command import EDIT_OPTIONS, EditCommand
from medlarspring_systems.table_republish import RepublishRequest


class TableRepublishCommand(EditCommand):
    """Put the table in force back into a store that lost it."""

    name = "table republish"
    description = "Put the table in force back into a store restored from a backup"
    arguments = []
    own_options = EDIT_OPTIONS

    def act(self) -> int:
        """Ask the daemon to write the table that it has in force."""
        wish = RepublishRequest(
            id=self.create_edit_id(),
            operator=self.find_operator(),
            note=self.option("note") or "",
        )
        client = self.create_client()
        accepted = client.post(
            "/v1/table/republish", wish, EditAnswer, f"--edit-id {wish.id}"
        )
        return self.print_accepted(wish.id, accepted)


__all__ = ["TableRepublishCommand"]
