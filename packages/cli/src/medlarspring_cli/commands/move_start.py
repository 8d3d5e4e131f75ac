"""The ``medlarspring move start`` command."""

from __future__ import annotations

import uuid

from cleo.helpers import argument, option

from medlarspring_adapters.fleet_api import MovesAnswer, StartMoves
from medlarspring_cli.commands.operator_command import (
    OPERATOR_OPTION,
    OperatorCommand,
)
from medlarspring_cli.errors import UsageError
from medlarspring_cli.fleet_views import list_moves
from medlarspring_tables import PoolId, VMId


class MoveStartCommand(OperatorCommand):
    """Move VMs from one pool to another."""

    name = "move start"
    description = "Move VMs from one pool to another, within both budgets"
    arguments = [
        argument("from", "Source pool"),
        argument("to", "Target pool"),
    ]
    own_options = [
        option("count", None, "Number of VMs, chosen from the source pool", flag=False),
        option("vm", None, "VM to move", flag=False, multiple=True),
        option("id", None, "Id of the command; a new one by default", flag=False),
        OPERATOR_OPTION,
    ]

    def run_command(self) -> int:
        """Send the moves and print them."""
        count, vms = self.option("count"), self.option("vm")
        if bool(count) == bool(vms):
            raise UsageError("Choose the VMs by --count, or name them by --vm.")
        if count and not (count.isdecimal() and int(count) > 0):
            raise UsageError(f"--count {count!r} is not a whole number above 0.")
        request = StartMoves(
            id=self.option("id") or f"move-{uuid.uuid4().hex[:12]}",
            operator=self.find_operator(),
            from_pool_id=PoolId(self.argument("from")),
            to_pool_id=PoolId(self.argument("to")),
            count=int(count) if count else len(vms),
            vm_ids=tuple(map(VMId, vms)),
        )
        client = self.create_client()
        found = client.post("/v1/moves", request, MovesAnswer, f"--id {request.id}")
        return self.print_answer(found, list_moves(found.moves))


__all__ = ["MoveStartCommand"]
