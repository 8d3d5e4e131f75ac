"""The ``medlarspring job cancel`` command."""

from __future__ import annotations

from cleo.helpers import argument, option

from medlarspring_adapters.job_api import CancelAnswer, CancelRequest
from medlarspring_cli.commands.operator_command import (
    OPERATOR_OPTION,
    OperatorCommand,
)
from medlarspring_cli.errors import UsageError
from medlarspring_cli.exit_codes import ExitCode
from medlarspring_tables import JobId, PartnerId, PoolId


class JobCancelCommand(OperatorCommand):
    """Cancel jobs of a pool."""

    name = "job cancel"
    description = "Cancel jobs of a pool by id, partner or kind"
    arguments = [
        argument("pool", "Pool of the jobs"),
        argument("ids", "Ids of the jobs", optional=True, multiple=True),
    ]
    own_options = [
        option("partner", None, "Cancel the jobs of this partner", flag=False),
        option("kind", None, "Cancel the jobs of this kind", flag=False),
        option("all", None, "Cancel all jobs of the pool"),
        option("reason", None, "Reason, shown with the job", flag=False),
        OPERATOR_OPTION,
    ]

    def run_command(self) -> int:
        """Send the cancellation and print how many jobs it affected."""
        ids, partner = self.argument("ids"), self.option("partner")
        kind = self.option("kind")
        if not (ids or partner or kind or self.option("all")):
            raise UsageError(
                "Nothing is chosen; name job ids, --partner or --kind, or --all."
            )
        request = CancelRequest(
            pool_id=PoolId(self.argument("pool")),
            operator=self.find_operator(),
            ids=tuple(map(JobId, ids)),
            partner_id=PartnerId(partner) if partner else None,
            kind=kind,
            reason=self.option("reason") or "",
        )
        client = self.create_client()
        answer = client.post(
            "/v1/jobs/cancel", request, CancelAnswer, "the same arguments"
        )
        if self.wants_json:
            self.print_json(answer)
        else:
            self.print_text(
                f"cancelled {answer.cancelled}, ended before {answer.already_ended},"
                f" not yet cancelled {answer.remaining}"
            )
        if answer.remaining:
            self.print_warning("Some jobs are left; repeat the command for them.")
            return ExitCode.REFUSED
        return ExitCode.OK


__all__ = ["JobCancelCommand"]
