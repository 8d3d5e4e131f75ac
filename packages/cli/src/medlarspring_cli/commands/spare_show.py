"""The ``medlarspring spare show`` command."""

from __future__ import annotations

from cleo.helpers import option

from medlarspring_adapters.fleet_api import SpareAnswer
from medlarspring_cli.commands.operator_command import OperatorCommand
from medlarspring_cli.fleet_views import describe_spare


class SpareShowCommand(OperatorCommand):
    """Show the spare capacity that is held and needed."""

    name = "spare show"
    description = (
        "Show the spare capacity that is held, and how much a failure would need"
    )
    own_options = [
        option(
            "domain",
            None,
            "Failure domain to cover: rack or zone",
            flag=False,
            default="rack",
        )
    ]

    def run_command(self) -> int:
        """Print the spare capacity."""
        domain = self.option("domain")
        found = self.create_client().get("/v1/spare", SpareAnswer, domain=domain)
        return self.print_answer(found, describe_spare(found))


__all__ = ["SpareShowCommand"]
