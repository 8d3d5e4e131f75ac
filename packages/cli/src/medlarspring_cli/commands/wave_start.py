"""The ``medlarspring wave start`` command."""

from __future__ import annotations

import uuid

from cleo.helpers import option

from medlarspring_adapters.fleet_api import StartWave, WaveView
from medlarspring_cli.commands.operator_command import (
    OPERATOR_OPTION,
    OperatorCommand,
)
from medlarspring_cli.errors import UsageError
from medlarspring_cli.fleet_views import describe_wave
from medlarspring_tables import PoolId, VMId, WaveId


class WaveStartCommand(OperatorCommand):
    """Start a maintenance wave."""

    name = "wave start"
    description = (
        "Drain and reboot VMs, as many at a time as the availability budgets allow"
    )
    own_options = [
        option("pool", None, "Reboot the VMs of this pool", flag=False, multiple=True),
        option("vm", None, "VM to reboot", flag=False, multiple=True),
        option("all", None, "Reboot all VMs of the fleet"),
        option("id", None, "Id of the wave; a new one by default", flag=False),
        OPERATOR_OPTION,
    ]

    def run_command(self) -> int:
        """Send the wave and print its state."""
        pools, vms = self.option("pool"), self.option("vm")
        chosen = [bool(pools), bool(vms), bool(self.option("all"))]
        if sum(chosen) != 1:
            raise UsageError("Choose the VMs by --pool, by --vm, or by --all.")
        request = StartWave(
            id=WaveId(self.option("id") or f"wave-{uuid.uuid4().hex[:12]}"),
            operator=self.find_operator(),
            vm_ids=tuple(map(VMId, vms)),
            pool_ids=tuple(map(PoolId, pools)),
        )
        client = self.create_client()
        wave = client.post("/v1/waves", request, WaveView, f"--id {request.id}")
        return self.print_answer(wave, describe_wave(wave))


__all__ = ["WaveStartCommand"]
