"""Records in the store that can't be read, each named once in the log."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import msgspec

from medlarspring_adapters.events import Event

if TYPE_CHECKING:
    from medlarspring_adapters.events import EventLog
    from medlarspring_adapters.store import Entry

MAX_REMEMBERED_KEYS = 1_000
"""Keys; a writer of many bad records must not fill the memory."""

Record = TypeVar("Record", bound=msgspec.Struct)


class UnreadableRecords:
    """Remembers the fault of each record until the record is readable or gone.

    Entries are written every second or two and listings are read again after each
    lost watch; a line each time would bury all others.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._faults_by_key: dict[str, str] = {}

    def report(self, key: str, fault: str) -> None:
        """Log a record that can't be read, unless that was said before."""
        if self._faults_by_key.get(key) == fault:
            return
        self._faults_by_key.pop(key, None)
        if len(self._faults_by_key) >= MAX_REMEMBERED_KEYS:
            del self._faults_by_key[next(iter(self._faults_by_key))]
        self._faults_by_key[key] = fault
        self._log.error(Event.RECORD_UNREADABLE, key=key, fault=fault)

    def forget(self, key: str) -> None:
        """Note that a record is readable again, or gone."""
        self._faults_by_key.pop(key, None)

    def decode(self, entry: Entry, record_type: type[Record]) -> Record | None:
        """Return one of this system's own records; None if it can't be read."""
        try:
            record = msgspec.json.decode(entry.value, type=record_type)
        except msgspec.MsgspecError as error:
            self.report(entry.key, str(error))
            return None
        self.forget(entry.key)
        return record


__all__ = ["UnreadableRecords"]
