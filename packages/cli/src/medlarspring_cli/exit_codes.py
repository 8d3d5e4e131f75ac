"""Exit statuses of ``medlarspring``; docs/OPERATORS.md lists them."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit status of a command."""

    OK = 0
    REFUSED = 1
    """The daemon refused the request; nothing was changed."""
    USAGE = 2
    """Invalid arguments or settings; nothing was sent."""
    CONFLICT = 3
    """Another change was accepted first; nothing was changed."""
    UNREACHABLE = 4
    """No daemon responded; nothing was changed."""
    NOT_AUTHORISED = 5
    STORE_UNAVAILABLE = 6
    """The store is unavailable, slow or outdated; nothing was changed."""
    UNKNOWN = 7
    """The change may have been accepted; retry it with the same edit id."""


_EXIT_CODES_BY_PROBLEM_CODE = {
    "edit-empty": ExitCode.OK,
    "row-conflict": ExitCode.CONFLICT,
    "edit-raced": ExitCode.CONFLICT,
    "bad-request": ExitCode.USAGE,
    "sheet-unreadable": ExitCode.USAGE,
}
_EXIT_CODES_BY_HTTP_STATUS = {
    400: ExitCode.USAGE,
    401: ExitCode.NOT_AUTHORISED,
    408: ExitCode.UNKNOWN,
    500: ExitCode.UNKNOWN,
    503: ExitCode.STORE_UNAVAILABLE,
    504: ExitCode.UNKNOWN,
}


def find_exit_code(code: str, status: int) -> ExitCode:
    """Return the exit status for a problem document's code and HTTP status."""
    return _EXIT_CODES_BY_PROBLEM_CODE.get(
        code, _EXIT_CODES_BY_HTTP_STATUS.get(status, ExitCode.REFUSED)
    )


__all__ = ["ExitCode", "find_exit_code"]
