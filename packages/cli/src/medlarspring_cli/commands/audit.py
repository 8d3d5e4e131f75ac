"""The ``medlarspring audit`` command."""

from __future__ import annotations

import time
from collections import deque
from datetime import UTC, datetime
from typing import TYPE_CHECKING

import msgspec
from cleo.helpers import option

from medlarspring_adapters.operator_api import AuditAnswer
from medlarspring_cli.commands.operator_command import OperatorCommand
from medlarspring_cli.errors import UsageError
from medlarspring_cli.render import format_record

if TYPE_CHECKING:
    from medlarspring_cli.client import OperatorClient
    from medlarspring_tables.audit import AuditRecord

FOLLOW_INTERVAL_SECONDS = 2.0
MAX_REMEMBERED_EDITS = 2_000


class AuditCommand(OperatorCommand):
    """Show the audit trail of accepted changes."""

    name = "audit"
    description = "Show accepted changes: who, when, what, before and after, from where"
    own_options = [
        option("operator", None, "Only changes by this name", flag=False),
        option("kind", None, "Only changes of this kind of row or record", flag=False),
        option("id", None, "Only changes of the row or record of this id", flag=False),
        option("edit", None, "Only the change of this edit id", flag=False),
        option(
            "since",
            None,
            "Only changes since this UTC time, as <comment>2026-12-02T14:30</comment>",
            flag=False,
        ),
        option("limit", "l", "Newest records to show", flag=False, default="50"),
        option("follow", "f", "Keep printing new changes as they are accepted"),
    ]

    def run_command(self) -> int:
        """Print the records; with ``--follow``, keep polling until interrupted."""
        since = _read_time(self.option("since"))
        client = self.create_client()
        if self.option("follow"):
            self._follow(client, since)
            return 0
        found = self._search(client, since)
        if self.wants_json:
            self.print_json(found)
            return 0
        for record in found.records:
            self._print_record(record)
        if not found.records:
            self.print_text("No change is on record.")
        return 0

    def _follow(self, client: OperatorClient, since: float) -> None:
        seen: deque[str] = deque(maxlen=MAX_REMEMBERED_EDITS)
        try:
            while True:
                for record in self._search(client, since).records:
                    if record.edit_id not in seen:
                        seen.append(record.edit_id)
                        self._print_record(record)
                time.sleep(FOLLOW_INTERVAL_SECONDS)
        except KeyboardInterrupt:
            return

    def _search(self, client: OperatorClient, since: float) -> AuditAnswer:
        return client.get(
            "/v1/audit",
            AuditAnswer,
            operator=self.option("operator"),
            kind=self.option("kind"),
            id=self.option("id"),
            edit=self.option("edit"),
            limit=self.option("limit"),
            since=since,
        )

    def _print_record(self, record: AuditRecord) -> None:
        if self.wants_json:
            self.print_text(msgspec.json.encode(record).decode())
            return
        kind, row_id = self.option("kind") or "", self.option("id") or ""
        self.print_text("\n".join(format_record(record, kind, row_id)))


def _read_time(text: str | None) -> float:
    if text is None:
        return 0.0
    try:
        at = datetime.fromisoformat(text)
    except ValueError:
        raise UsageError(
            f"--since {text!r} is not a time, for example 2026-12-02T14:30."
        ) from None
    return (at if at.tzinfo else at.replace(tzinfo=UTC)).timestamp()


__all__ = ["AuditCommand"]
