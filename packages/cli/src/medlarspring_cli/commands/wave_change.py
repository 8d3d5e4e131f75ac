"""``medlarspring wave pause``, ``resume`` and ``abort``."""

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
    """Base of the commands that change a wave; a repetition changes nothing."""

    action: ClassVar[str]
    arguments = [argument("wave", "Id of the wave")]
    own_options = [
        option("reason", None, "Why, for those who look at the wave", flag=False),
        OPERATOR_OPTION,
    ]

    def run_command(self) -> int:
        """Send the change and print how the wave stands."""
        path = f"/v1/waves/{quote(self.argument('wave'), safe='')}/{self.action}"
        request = ChangeWave(
            operator=self.find_operator(), reason=self.option("reason") or ""
        )
        client = self.create_client()
        wave = client.post(path, request, WaveView, "the same arguments")
        return self.print_answer(wave, describe_wave(wave))


class WavePauseCommand(WaveChangeCommand):
    """Let no further VM begin; those under way are finished."""

    name = "wave pause"
    description = "Let no further VM of a wave begin; those under way are finished"
    action = "pause"


class WaveResumeCommand(WaveChangeCommand):
    """Go on with a paused wave."""

    name = "wave resume"
    description = "Go on with a paused wave"
    action = "resume"


class WaveAbortCommand(WaveChangeCommand):
    """End a wave for good."""

    name = "wave abort"
    description = "End a wave for good; VMs not yet rebooted are put back"
    action = "abort"


__all__ = ["WaveAbortCommand", "WavePauseCommand", "WaveResumeCommand"]
