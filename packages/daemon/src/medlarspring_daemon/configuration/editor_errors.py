"""Errors of the table editor, each with a message that names a remedy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.table_errors import TableError

if TYPE_CHECKING:
    from medlarspring_tables import Revision

TABLE_KEY = "config/table"
MAX_WAITING_EDITS = 128
"""Maximum number of edits queued at this entry VM."""


class StoreTableOlder(TableError):
    """The store holds an older table than the one in force."""

    code = "store-older"

    def __init__(self, stored: Revision, in_force: Revision) -> None:
        super().__init__(stored, in_force)
        self.stored = stored
        self.in_force = in_force

    def message(self) -> str:
        """Describe the cause and name the command that restores the table in force."""
        return (
            f"The store holds the table of revision {self.stored}, but revision"
            f" {self.in_force} is in force: the store was restored from a backup, or"
            " a replica of it lags. Nothing was changed. If it doesn't catch up, put"
            " the table in force back with `medlarspring table republish`."
        )

    def details(self) -> dict[str, object]:
        """Return both revisions."""
        return {"stored_revision": self.stored, "in_force_revision": self.in_force}


class TableUnreadable(TableError):
    """The store's value isn't a table that this version can read."""

    code = "table-unreadable"

    def message(self) -> str:
        """Name the remedies."""
        return (
            f"The value of {TABLE_KEY} in the store is not a table that this version"
            " reads. Nothing was changed; upgrade this entry VM, or put the table in"
            " force back with `medlarspring table republish`."
        )


class EditConflict(TableError):
    """Every attempt conflicted with another edit that was accepted first."""

    code = "edit-raced"

    def message(self) -> str:
        """Ask the operator to repeat the command."""
        return (
            "Other edits were accepted first at each attempt. Nothing was changed;"
            " repeat the command."
        )


class EditorBusy(TableError):
    """The queue of edits at this entry VM is full."""

    code = "editor-busy"

    def message(self) -> str:
        """Ask the operator to repeat the command later or at another entry VM."""
        return (
            f"{MAX_WAITING_EDITS} edits wait at this entry VM already. Nothing was"
            " changed; repeat the command in a few seconds, or at another entry VM."
        )


class NoTableInForce(TableError):
    """This entry VM has no table in force that could be republished."""

    code = "not-ready"

    def message(self) -> str:
        """Tell the operator to use another entry VM."""
        return (
            "This entry VM has no table in force. Nothing was changed; give the"
            " --address of one whose `medlarspring status` shows a table revision."
        )


__all__ = [
    "EditConflict",
    "EditorBusy",
    "MAX_WAITING_EDITS",
    "NoTableInForce",
    "StoreTableOlder",
    "TABLE_KEY",
    "TableUnreadable",
]
