"""``medlarspring status``."""

from __future__ import annotations

from medlarspring_adapters.operator_api import StatusAnswer
from medlarspring_cli.commands.operator_command import OperatorCommand


class StatusCommand(OperatorCommand):
    """Show what is cut off, stale or degraded."""

    name = "status"
    description = "Show what is cut off, stale or degraded, and since when"

    def act(self) -> int:
        """Print the state of the daemon that answers."""
        status = self.create_client().get("/v1/status", StatusAnswer)
        if self.wants_json:
            self.print_json(status)
            return 0
        self.print_text(f"{status.entry_vm} in zone {status.zone}")
        self.print_text(f"table revision {status.table_revision}")
        return 0


__all__ = ["StatusCommand"]
