"""Decodes store records, and logs each record that can't be decoded once."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import msgspec
from returns.pipeline import is_successful

from medlarspring_adapters.decoding import decode_json
from medlarspring_adapters.events import Event

if TYPE_CHECKING:
    from medlarspring_adapters.events import EventLog
    from medlarspring_adapters.store import Entry

MAX_REMEMBERED_KEYS = 1_000
"""Bounds the memory if another program writes many unreadable records."""

Record = TypeVar("Record", bound=msgspec.Struct)


class UnreadableRecords:
    """Remembers the fault of each record until the record is readable or deleted.

    Entries are rewritten every second or two, and listings are read again after
    each lost watch. Logging a fault each time would flood the log.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._faults_by_key: dict[str, str] = {}

    def report(self, key: str, fault: str) -> None:
        """Log a record that can't be read, unless the same fault was already logged."""
        if self._faults_by_key.get(key) == fault:
            return
        self._faults_by_key.pop(key, None)
        if len(self._faults_by_key) >= MAX_REMEMBERED_KEYS:
            del self._faults_by_key[next(iter(self._faults_by_key))]
        self._faults_by_key[key] = fault
        self._log.error(Event.RECORD_UNREADABLE, key=key, fault=fault)

    def clear_fault(self, key: str) -> None:
        """Remove the fault of a record that is readable again or was deleted."""
        self._faults_by_key.pop(key, None)

    def decode(self, entry: Entry, record_type: type[Record]) -> Record | None:
        """Decode a record of this system; on failure, log the fault and return None."""
        decoded = decode_json(entry.value, record_type)
        if not is_successful(decoded):
            self.report(entry.key, decoded.failure().detail)
            return None
        self.clear_fault(entry.key)
        return decoded.unwrap()


__all__ = ["UnreadableRecords"]
