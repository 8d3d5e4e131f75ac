"""What libraries log, among the events of the process."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from medlarspring_adapters.events import Event

if TYPE_CHECKING:
    from medlarspring_adapters.events import EventLog


class LibraryHandler(logging.Handler):
    """Passes what libraries log on as events.

    Their own lines would be bare text between the JSON lines, without a bound.
    """

    def __init__(self, log: EventLog) -> None:
        super().__init__(logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Pass one line on."""
        fault = record.exc_info[1] if record.exc_info else None
        self._log.warning(
            Event.LIBRARY_LINE,
            library=record.name,
            text=record.getMessage(),
            fault=repr(fault) if fault else "",
        )


def redirect_library_logs(log: EventLog) -> None:
    """Have all libraries log through ``log`` from now on."""
    root = logging.getLogger()
    root.handlers = [LibraryHandler(log)]


__all__ = ["redirect_library_logs"]
