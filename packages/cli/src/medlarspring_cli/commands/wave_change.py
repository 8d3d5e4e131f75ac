"""The ``medlarspring wave pause``, ``resume`` and ``abort`` commands."""

from __future__ import annotations

from typing import ClassVar
from urllib.parse import quote

from cleo.helpers import argument, option

from medlarspring_adapters.fleet_api import ChangeWave, WaveView
from medlarspring_cli.commands.operator_command import (
    OPERATOR_OPTION,
    OperatorCommand,
)
from medlarspring_cli.fleet_views import describe_wave


class WaveChangeCommand(OperatorCommand):
    """Base class of the commands that change a wave; the changes are idempotent."""

    action: ClassVar[str]
    arguments = [argument("wave", "Id of the wave")]
    own_options = [
        option("reason", None, "Reason, shown with the wave", flag=False),
        OPERATOR_OPTION,
    ]

    def run_command(self) -> int:
        """Send the change and print the state of the wave."""
        path = f"/v1/waves/{quote(self.argument('wave'), safe='')}/{self.action}"
        request = ChangeWave(
            operator=self.find_operator(), reason=self.option("reason") or ""
        )
        client = self.create_client()
        wave = client.post(path, request, WaveView, "the same arguments")
        return self.print_answer(wave, describe_wave(wave))


class WavePauseCommand(WaveChangeCommand):
    """Pause a wave: no further VM starts, VMs in progress finish."""

    name = "wave pause"
    description = "Pause a wave: no further VM starts, VMs in progress finish"
    action = "pause"


class WaveResumeCommand(WaveChangeCommand):
    """Resume a paused wave."""

    name = "wave resume"
    description = "Resume a paused wave"
    action = "resume"


class WaveAbortCommand(WaveChangeCommand):
    """Abort a wave permanently."""

    name = "wave abort"
    description = "Abort a wave permanently; VMs not yet rebooted are restored"
    action = "abort"


__all__ = ["WaveAbortCommand", "WavePauseCommand", "WaveResumeCommand"]
