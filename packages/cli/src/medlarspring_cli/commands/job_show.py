"""The ``medlarspring job show`` command."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

from cleo.helpers import argument

from medlarspring_adapters.job_api import JobView
from medlarspring_cli.commands.operator_command import OperatorCommand
from medlarspring_cli.render import format_time, format_value

if TYPE_CHECKING:
    from collections.abc import Iterator

    from medlarspring_tables import Size


class JobShowCommand(OperatorCommand):
    """Show one job."""

    name = "job show"
    description = "Show one job, where it runs, and why it waits or failed"
    arguments = [
        argument("pool", "Pool of the job"),
        argument("job", "Id of the job"),
    ]

    def run_command(self) -> int:
        """Fetch the job and print its record."""
        names = (self.argument("pool"), self.argument("job"))
        pool, job = (quote(name, safe="") for name in names)
        view = self.create_client().get(f"/v1/jobs/{pool}/{job}", JobView)
        if self.wants_json:
            self.print_json(view)
            return 0
        for name, value in _describe(view):
            self.print_text(f"{name:<12} {format_value(value)}")
        return 0


def _describe(view: JobView) -> Iterator[tuple[str, object]]:
    job = view.job
    yield "job", job.id
    yield "pool", job.pool_id
    yield "partner", job.partner_id
    yield "kind", job.kind
    yield "urgency", job.urgency.value
    yield "state", job.state.value
    yield "declared", f"{_format_size(job.declared)}, {job.declared_seconds:g} s"
    yield "submitted", f"{format_time(job.submitted_at)} by {job.submitted_by}"
    if view.waits_for:
        yield "waits for", view.waits_for
    if job.attempt is not None:
        attempt = job.attempt
        yield "runs on", f"{attempt.vm_id} (attempt {attempt.number})"
        yield "set aside", _format_size(attempt.size)
        yield "since", format_time(attempt.started_at)
    if job.failed_on:
        yield "failed on", ", ".join(job.failed_on)
    if job.ended_at:
        yield "ended", format_time(job.ended_at)
    if job.reason:
        yield "reason", job.reason


def _format_size(size: Size) -> str:
    text = f"{size.cpus:g} processors, {size.memory_gb:g} GB"
    if not size.accelerators:
        return text
    return f"{text}, {size.accelerators} accelerators"


__all__ = ["JobShowCommand"]
