"""The ``medlarspring wave list`` command."""

from __future__ import annotations

from medlarspring_adapters.fleet_api import WavesAnswer
from medlarspring_cli.commands.operator_command import OperatorCommand
from medlarspring_cli.fleet_views import list_waves


class WaveListCommand(OperatorCommand):
    """List maintenance waves."""

    name = "wave list"
    description = "List maintenance waves, newest first"

    def run_command(self) -> int:
        """Print the recorded waves."""
        found = self.create_client().get("/v1/waves", WavesAnswer)
        return self.print_answer(found, list_waves(found.waves))


__all__ = ["WaveListCommand"]
