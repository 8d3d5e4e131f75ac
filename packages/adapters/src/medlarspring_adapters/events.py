"""Numbered log events as JSON lines; docs/EVENTS.md is the catalogue."""

from __future__ import annotations

import logging
import sys
from enum import Enum
from typing import TYPE_CHECKING, TextIO

from pythonjsonlogger.json import JsonFormatter

if TYPE_CHECKING:
    from medlarspring_tables import EntryVMId


class Event(Enum):
    """Every event the daemon logs: number and message.

    1000 process, 2000 callers, 3000 configuration, 4000 membership,
    5000 fleet, 6000 jobs, 7000 store, 8000 operators.
    """

    LISTENING = (1001, "ports are open")
    STOPPING = (1002, "shutdown began")
    STOPPED = (1003, "shutdown is complete")

    EDIT_ACCEPTED = (8001, "an edit of the table was accepted")
    EDIT_REFUSED = (8002, "an edit of the table was not accepted")
    OPERATOR_REFUSED = (8003, "an operator's request had no valid token")
    OPERATOR_FAILED = (8004, "an operator's request failed inside the daemon")

    @property
    def number(self) -> int:
        """The stable number of the event."""
        return int(self.value[0])

    @property
    def text(self) -> str:
        """The fixed message of the event."""
        return str(self.value[1])


class EventLog:
    """Writes events with typed fields; one JSON document a line."""

    def __init__(self, logger: logging.Logger) -> None:
        self._logger = logger

    def info(self, event: Event, **fields: object) -> None:
        """Log what went as planned."""
        self._write(logging.INFO, event, fields)

    def warning(self, event: Event, **fields: object) -> None:
        """Log what an operator may want to look at."""
        self._write(logging.WARNING, event, fields)

    def error(self, event: Event, **fields: object) -> None:
        """Log what an operator has to look at."""
        self._write(logging.ERROR, event, fields)

    def _write(self, level: int, event: Event, fields: dict[str, object]) -> None:
        if not self._logger.isEnabledFor(level):
            return
        extra = {"event": event.number, "name_of_event": event.name.lower(), **fields}
        self._logger.log(level, event.text, extra=extra)


def create_event_log(
    entry_vm_id: EntryVMId, level: str = "INFO", stream: TextIO | None = None
) -> EventLog:
    """Return a log that writes JSON lines to ``stream``, standard error by default."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(levelname)s %(message)s",
            timestamp=True,
            rename_fields={"levelname": "level"},
            static_fields={"entry_vm": entry_vm_id},
        )
    )
    logger = logging.Logger("medlarspring", level=level)
    logger.addHandler(handler)
    return EventLog(logger)


__all__ = ["Event", "EventLog", "create_event_log"]
