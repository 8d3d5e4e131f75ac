"""Errors that end a command, each with its exit status."""

from __future__ import annotations

from typing import Any

from medlarspring_cli.exit_codes import ExitCode, find_exit_code
from medlarspring_tables import MedlarspringError


class CommandError(MedlarspringError):
    """Base class of the errors that end a command."""

    code = "command"
    exit_code = ExitCode.REFUSED

    def document(self) -> dict[str, Any]:
        """Return the error as a document for JSON output."""
        return {"code": self.code, "detail": self.message()}


class UsageError(CommandError):
    """The arguments or settings are invalid; nothing was sent."""

    code = "usage"
    exit_code = ExitCode.USAGE

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason

    def message(self) -> str:
        """Return the reason."""
        return self.reason


class RowNotFoundError(CommandError):
    """The table has no row of this kind and id."""

    code = "row-missing"

    def __init__(self, kind: str, row_id: str, known_ids: list[str]) -> None:
        super().__init__(kind, row_id, known_ids)
        self.kind = kind
        self.row_id = row_id
        self.known_ids = known_ids

    def message(self) -> str:
        """Return a message that lists the ids of the existing rows."""
        known = ", ".join(self.known_ids) or "none yet"
        return f"There is no {self.kind} {self.row_id}; there is {known}."


class DaemonUnreachableError(CommandError):
    """None of the daemons could be reached."""

    code = "unreachable"
    exit_code = ExitCode.UNREACHABLE

    def __init__(self, reasons_by_address: dict[str, str]) -> None:
        super().__init__(reasons_by_address)
        self.reasons_by_address = reasons_by_address

    def message(self) -> str:
        """Return a message that lists each address with the reason of its failure."""
        tried = "\n".join(
            f"  {address}: {reason}"
            for address, reason in self.reasons_by_address.items()
        )
        return (
            f"No daemon answered:\n{tried}\n"
            "Nothing was changed. Check that medlarspringd runs there, and that the"
            " address is that of its operator port (event 1001 of its log names it)."
        )


class OutcomeUnknownError(CommandError):
    """A change was sent, but its outcome is not known."""

    code = "outcome-unknown"
    exit_code = ExitCode.UNKNOWN

    def __init__(self, reasons_by_address: dict[str, str], repeat_with: str) -> None:
        super().__init__(reasons_by_address, repeat_with)
        self.reasons_by_address = reasons_by_address
        self.repeat_with = repeat_with

    def message(self) -> str:
        """Return a message that names the option that makes a retry safe."""
        tried = "\n".join(
            f"  {address}: {reason}"
            for address, reason in self.reasons_by_address.items()
        )
        return (
            f"The change may have been accepted; its answer was lost:\n{tried}\n"
            f"Repeat the same command with {self.repeat_with}; the change is made at"
            " most once."
        )

    def document(self) -> dict[str, Any]:
        """Return the error for JSON output, with the option that makes a retry safe."""
        return {**super().document(), "repeat_with": self.repeat_with}


class RequestRefusedError(CommandError):
    """The daemon responded with a problem document."""

    def __init__(
        self, problem: dict[str, Any], address: str, is_change: bool = True
    ) -> None:
        super().__init__(problem, address, is_change)
        self.problem = problem
        self.address = address
        self.code = str(problem.get("code", "refused"))
        self.exit_code = find_exit_code(self.code, int(problem.get("status", 0)))
        if self.exit_code is ExitCode.UNKNOWN and not is_change:
            self.exit_code = ExitCode.REFUSED

    def message(self) -> str:
        """Return the detail of the problem document."""
        return str(self.problem.get("detail", "refused without a reason"))

    def document(self) -> dict[str, Any]:
        """Return the daemon's problem document."""
        return self.problem


__all__ = [
    "CommandError",
    "RequestRefusedError",
    "DaemonUnreachableError",
    "OutcomeUnknownError",
    "RowNotFoundError",
    "UsageError",
]
