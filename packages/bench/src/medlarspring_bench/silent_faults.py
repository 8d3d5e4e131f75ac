"""Unreadable records of stand-ins that have no log."""

from __future__ import annotations

import io

from medlarspring_adapters.events import create_event_log
from medlarspring_adapters.unreadable_records import UnreadableRecords
from medlarspring_tables import EntryVMId


def create_unreadable_records() -> UnreadableRecords:
    """Return unreadable records whose log lines are dropped."""
    log = create_event_log(EntryVMId("entry"), "CRITICAL", io.StringIO())
    return UnreadableRecords(log)


__all__ = ["create_unreadable_records"]
