"""Forwards log records of libraries to the event log."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from medlarspring_adapters.events import Event

if TYPE_CHECKING:
    from medlarspring_adapters.events import EventLog


class LibraryHandler(logging.Handler):
    """Logs records of libraries as events.

    Written directly, they would be plain text between the JSON lines, without a rate
    limit.
    """

    def __init__(self, log: EventLog) -> None:
        super().__init__(logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Log one record as an event."""
        fault = record.exc_info[1] if record.exc_info else None
        self._log.warning(
            Event.LIBRARY_LINE,
            library=record.name,
            text=record.getMessage(),
            fault=repr(fault) if fault else "",
        )


def redirect_library_logs(log: EventLog) -> None:
    """Redirect the log records of all libraries to ``log``."""
    root = logging.getLogger()
    root.handlers = [LibraryHandler(log)]


__all__ = ["redirect_library_logs"]
