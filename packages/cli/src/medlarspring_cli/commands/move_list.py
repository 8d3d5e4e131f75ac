"""The ``medlarspring move list`` command."""

from __future__ import annotations

from medlarspring_adapters.fleet_api import MovesAnswer
from medlarspring_cli.commands.operator_command import OperatorCommand
from medlarspring_cli.fleet_views import list_moves


class MoveListCommand(OperatorCommand):
    """List moves of VMs between pools."""

    name = "move list"
    description = "List moves of VMs between pools, newest first"

    def run_command(self) -> int:
        """Print the recorded moves."""
        found = self.create_client().get("/v1/moves", MovesAnswer)
        return self.print_answer(found, list_moves(found.moves))


__all__ = ["MoveListCommand"]
