"""The ``medlarspring pool list`` command."""

from __future__ import annotations

from medlarspring_adapters.fleet_api import PoolsAnswer
from medlarspring_cli.commands.operator_command import OperatorCommand
from medlarspring_cli.fleet_views import list_pools


class PoolListCommand(OperatorCommand):
    """List the pools with their availability budgets."""

    name = "pool list"
    description = "List pools with their availability budgets"

    def run_command(self) -> int:
        """Print the pools."""
        found = self.create_client().get("/v1/pools", PoolsAnswer)
        return self.print_answer(found, list_pools(found.pools))


__all__ = ["PoolListCommand"]
