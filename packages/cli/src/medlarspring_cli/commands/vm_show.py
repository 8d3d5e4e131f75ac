"""The ``medlarspring vm show`` command."""

from __future__ import annotations

from urllib.parse import quote

from cleo.helpers import argument

from medlarspring_adapters.fleet_api import VMView
from medlarspring_cli.commands.operator_command import OperatorCommand
from medlarspring_cli.fleet_views import describe_vm


class VMShowCommand(OperatorCommand):
    """Show one VM."""

    name = "vm show"
    description = "Show one VM: its pool, its state and cause, and its last maintenance"
    arguments = [argument("vm", "Id of the VM")]

    def run_command(self) -> int:
        """Print the VM's record."""
        path = f"/v1/vms/{quote(self.argument('vm'), safe='')}"
        found = self.create_client().get(path, VMView)
        return self.print_answer(found, describe_vm(found))


__all__ = ["VMShowCommand"]
