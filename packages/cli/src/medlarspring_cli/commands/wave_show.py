"""The ``medlarspring wave show`` command."""

from __future__ import annotations

from urllib.parse import quote

from cleo.helpers import argument

from medlarspring_adapters.fleet_api import WaveView
from medlarspring_cli.commands.operator_command import OperatorCommand
from medlarspring_cli.fleet_views import describe_wave


class WaveShowCommand(OperatorCommand):
    """Show the progress of a wave and what blocks it."""

    name = "wave show"
    description = (
        "Show the progress of a wave, what blocks it, and which VMs did not return"
    )
    arguments = [argument("wave", "Id of the wave")]

    def run_command(self) -> int:
        """Print the wave."""
        path = f"/v1/waves/{quote(self.argument('wave'), safe='')}"
        wave = self.create_client().get(path, WaveView)
        return self.print_answer(wave, describe_wave(wave))


__all__ = ["WaveShowCommand"]
