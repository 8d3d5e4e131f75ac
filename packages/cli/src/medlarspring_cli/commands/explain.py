"""The ``medlarspring explain`` command."""

from __future__ import annotations

from urllib.parse import quote

from cleo.helpers import argument

from medlarspring_adapters.decisions import Subject
from medlarspring_adapters.operator_api import ExplainAnswer
from medlarspring_cli.commands.operator_command import OperatorCommand
from medlarspring_cli.errors import UsageError
from medlarspring_cli.render import format_time

SUBJECTS = ", ".join(subject.value for subject in Subject)


class ExplainCommand(OperatorCommand):
    """Show the decisions about a subject, each with its rule and its facts."""

    name = "explain"
    description = (
        "Show what was decided about a request, job, VM, wave or edit, and why"
    )
    arguments = [
        argument("subject", f"Kind of subject: {SUBJECTS}"),
        argument(
            "id", "Id of the subject, for example the <comment>Request-Id</comment>"
        ),
    ]

    def run_command(self) -> int:
        """Print the decisions that the entry VMs still hold in memory."""
        subject = self.argument("subject")
        if subject not in {known.value for known in Subject}:
            raise UsageError(f"Subject {subject!r} is none of {SUBJECTS}.")
        path = f"/v1/explain/{subject}/{quote(self.argument('id'), safe='')}"
        found = self.create_client().get(path, ExplainAnswer)
        if self.wants_json:
            self.print_json(found)
            return 0
        for decision in found.decisions:
            facts = ", ".join(
                f"{name}={value}" for name, value in decision.facts.items()
            )
            self.print_text(
                f"{format_time(decision.at)}  {decision.entry_vm}  {decision.decided}"
                f"  rule: {decision.rule}"
            )
            if facts:
                self.print_text(f"    facts: {facts}")
        if not found.decisions:
            self.print_text(
                f"No entry VM that was asked remembers {subject} {self.argument('id')}:"
                " it is too long ago, or the entry VM that decided is gone."
            )
        return 0


__all__ = ["ExplainCommand"]
