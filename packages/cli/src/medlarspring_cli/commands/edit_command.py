"""Base class and options shared by the commands that edit the table."""

from __future__ import annotations

import hashlib
import uuid
from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument, option

from medlarspring_adapters.operator_api import EditAnswer, TableAnswer
from medlarspring_cli.commands.operator_command import (
    OPERATOR_OPTION,
    OperatorCommand,
)
from medlarspring_cli.errors import UsageError
from medlarspring_cli.render import format_change
from medlarspring_systems.table_edit import RowAction, RowEdit, TableEdit
from medlarspring_systems.table_rows import FIELD_TYPES_BY_KIND, split_rows
from medlarspring_tables import EditId, Revision, RowKind

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option

    from medlarspring_cli.client import OperatorClient
    from medlarspring_tables.audit import FieldValue

NEW_ROW = Revision(0)
KINDS = ", ".join(kind.value for kind in RowKind)

KIND_ARGUMENT = argument("kind", f"Kind of row: {KINDS}")
ID_ARGUMENT = argument("id", "Id of the row")
FIELDS_ARGUMENT = argument(
    "fields", "Fields as <comment>NAME=VALUE</comment>", optional=True, multiple=True
)
EDIT_OPTIONS: list[Option] = [
    OPERATOR_OPTION,
    option("note", None, "Reason, for the audit trail", flag=False),
    option(
        "edit-id",
        None,
        "Id of an edit to retry after its response was lost",
        flag=False,
    ),
]
REVISION_OPTION = option(
    "revision",
    None,
    "Row revision that the edit is based on; refused if the row has changed since",
    flag=False,
)
CREDENTIAL_OPTION = option(
    "credential-file",
    None,
    "File with a partner's credential; only its hash is sent",
    flag=False,
)


class EditCommand(OperatorCommand):
    """Base class of the commands that edit the table."""

    arguments: ClassVar[list[Argument]] = [KIND_ARGUMENT, ID_ARGUMENT]
    own_options: ClassVar[list[Option]] = EDIT_OPTIONS

    def read_kind(self) -> RowKind:
        """Return the kind of row given as argument."""
        return read_kind(self.argument("kind"))

    def read_fields(self, kind: RowKind) -> dict[str, FieldValue]:
        """Return the fields given as arguments; the daemon validates the values."""
        fields: dict[str, FieldValue] = {}
        for text in self.argument("fields"):
            name, separator, value = text.partition("=")
            if not separator or not name:
                raise UsageError(f"{text!r} is not NAME=VALUE, for example weight=2.")
            if name not in FIELD_TYPES_BY_KIND[kind]:
                known = ", ".join(FIELD_TYPES_BY_KIND[kind])
                raise UsageError(f"A {kind.value} has no {name!r}; it has {known}.")
            if name in fields:
                raise UsageError(f"{name!r} is given twice; keep one.")
            fields[name] = value
        if path := self.option("credential-file"):
            fields["credential_sha256"] = self._hash_credential(kind, path)
        return fields

    def find_revision(
        self, client: OperatorClient, kind: RowKind, row_id: str
    ) -> Revision:
        """Return the row revision on which the edit is based.

        Without ``--revision``, this is the current revision, or 0 for a missing row.
        """
        given = self.option("revision")
        if given is not None:
            if not given.isdecimal():
                raise UsageError(f"--revision {given!r} is not a whole number.")
            return Revision(int(given))
        shown = client.get("/v1/table", TableAnswer)
        row = split_rows(shown.table)[kind].get(row_id)
        return row.revision if row is not None else Revision(0)

    def send_row(
        self,
        client: OperatorClient,
        action: RowAction,
        fields: dict[str, FieldValue],
        row_revision: Revision = NEW_ROW,
    ) -> int:
        """Send the edit of one row and print the result."""
        row = RowEdit(
            kind=self.read_kind(),
            id=self.argument("id"),
            action=action,
            fields=fields,
            row_revision=row_revision,
        )
        return self.send_edit(client, (row,))

    def send_edit(self, client: OperatorClient, rows: tuple[RowEdit, ...]) -> int:
        """Send an edit and print the result."""
        edit = TableEdit(
            id=self.create_edit_id(),
            operator=self.find_operator(),
            rows=rows,
            note=self.option("note") or "",
        )
        accepted = client.post(
            "/v1/table/edits", edit, EditAnswer, f"--edit-id {edit.id}"
        )
        return self.print_accepted(edit.id, accepted)

    def create_edit_id(self) -> EditId:
        """Return the id of the edit to retry, or a new id."""
        return EditId(self.option("edit-id") or str(uuid.uuid4()))

    def print_accepted(self, edit_id: EditId, accepted: EditAnswer) -> int:
        """Print the changes and the table revision of an accepted edit."""
        if self.wants_json:
            self.print_json(accepted)
            return 0
        for change in accepted.changes:
            self.print_text(format_change(change))
        when = "had been accepted before" if accepted.repeated else "accepted"
        self.print_text(
            f"edit {edit_id} {when}: table revision {accepted.revision}"
            f" ({accepted.entry_vm})"
        )
        return 0

    def _hash_credential(self, kind: RowKind, path: str) -> str:
        if kind is not RowKind.PARTNER:
            raise UsageError("--credential-file is for rows of kind partner only.")
        credential = self.read_text(path, "Credential file").strip()
        if not credential:
            raise UsageError(f"Credential file {path} is empty; write the credential.")
        return hashlib.sha256(credential.encode()).hexdigest()


def read_kind(name: str) -> RowKind:
    """Return the kind of row with this name, or raise a ``UsageError``."""
    try:
        return RowKind(name)
    except ValueError:
        raise UsageError(f"Kind {name!r} is none of {KINDS}.") from None


__all__ = [
    "CREDENTIAL_OPTION",
    "EDIT_OPTIONS",
    "EditCommand",
    "FIELDS_ARGUMENT",
    "ID_ARGUMENT",
    "KINDS",
    "KIND_ARGUMENT",
    "REVISION_OPTION",
    "read_kind",
]
