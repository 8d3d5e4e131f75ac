"""The ``medlarspring vm list`` command."""

from __future__ import annotations

from cleo.helpers import option

from medlarspring_adapters.fleet_api import VMsAnswer
from medlarspring_cli.commands.operator_command import OperatorCommand
from medlarspring_cli.fleet_views import list_vms
from medlarspring_tables.vms import VMState

STATES = ", ".join(state.value for state in VMState)


class VMListCommand(OperatorCommand):
    """List the recorded VMs."""

    name = "vm list"
    description = "List VMs with their pool, state and health"
    own_options = [
        option("pool", None, "Only VMs of this pool", flag=False),
        option("state", None, f"Only VMs in this state: {STATES}", flag=False),
    ]

    def run_command(self) -> int:
        """Print the VMs."""
        client = self.create_client()
        pool, state = self.option("pool"), self.option("state")
        found = client.get("/v1/vms", VMsAnswer, pool=pool, state=state)
        return self.print_answer(found, list_vms(found.vms))


__all__ = ["VMListCommand"]
