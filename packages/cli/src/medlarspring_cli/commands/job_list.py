"""The ``medlarspring job list`` command."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

from cleo.helpers import argument, option

from medlarspring_adapters.job_api import JobsAnswer
from medlarspring_cli.commands.operator_command import OperatorCommand
from medlarspring_cli.render import format_time, render_table
from medlarspring_tables import JobState

if TYPE_CHECKING:
    from medlarspring_adapters.job_api import JobView

STATES = ", ".join(state.value for state in JobState)
HEADERS = ["job", "partner", "kind", "urgency", "state", "VM", "submitted", "why"]


class JobListCommand(OperatorCommand):
    """List the jobs of a pool."""

    name = "job list"
    description = "List the newest jobs of a pool, and why the waiting ones wait"
    arguments = [argument("pool", "Pool whose jobs to list")]
    own_options = [
        option("partner", None, "Only jobs of this partner", flag=False),
        option("state", None, f"Only jobs in this state: {STATES}", flag=False),
    ]

    def run_command(self) -> int:
        """Print the jobs and their number by state."""
        path = f"/v1/jobs/{quote(self.argument('pool'), safe='')}"
        partner, state = self.option("partner"), self.option("state")
        client = self.create_client()
        found = client.get(path, JobsAnswer, partner=partner, state=state)
        if self.wants_json:
            self.print_json(found)
            return 0
        self.print_text(render_table(HEADERS, map(_create_job_row, found.jobs)))
        counts = found.counts_by_state.items()
        total = ", ".join(f"{state} {count}" for state, count in counts)
        self.print_text(f"jobs of the pool: {total or 'none'}")
        return 0


def _create_job_row(view: JobView) -> list[object]:
    job = view.job
    return [
        job.id,
        job.partner_id,
        job.kind,
        job.urgency.value,
        job.state.value,
        job.attempt.vm_id if job.attempt else None,
        format_time(job.submitted_at),
        view.waits_for or job.reason,
    ]


__all__ = ["JobListCommand"]
