"""Pages, filters and retention of the audit trail."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from medlarspring_tables import Revision
from medlarspring_tables.audit import AUDIT_PREFIX, REVISION_DIGITS

if TYPE_CHECKING:
    from medlarspring_tables.audit import AuditRecord

PAGE_DIGITS = 2
PAGE_REVISIONS = 10**PAGE_DIGITS
"""Table revisions whose records are read in one store call."""
KEPT_REVISIONS = 20_000
"""Records of this many table revisions are kept, unless they are too old."""
KEPT_SECONDS = 90 * 86_400.0


@dataclass(frozen=True, slots=True)
class AuditFilter:
    """Which records are wanted; an empty field matches all."""

    since: float = 0.0
    """Only records of this wall time or later."""
    kind: str = ""
    id: str = ""
    operator: str = ""
    edit_id: str = ""


def page_start(revision: Revision) -> Revision:
    """Return the first revision of the page that a revision is on."""
    return Revision(max(0, revision) // PAGE_REVISIONS * PAGE_REVISIONS)


def page_prefix(start: Revision) -> str:
    """Return the key prefix of all records on the page."""
    digits = f"{start:0{REVISION_DIGITS}}"
    return f"{AUDIT_PREFIX}{digits[:-PAGE_DIGITS]}"


def matches(record: AuditRecord, wanted: AuditFilter) -> bool:
    """Tell whether a record is wanted."""
    if record.at < wanted.since:
        return False
    if wanted.operator and record.operator != wanted.operator:
        return False
    if wanted.edit_id and record.edit_id != wanted.edit_id:
        return False
    if not wanted.kind and not wanted.id:
        return True
    return any(
        wanted.kind in ("", change.kind) and wanted.id in ("", change.id)
        for change in record.changes
    )


def has_expired(record: AuditRecord, newest: Revision, now: float) -> bool:
    """Tell whether retention lets a record go; ``now`` is wall time."""
    if record.revision <= newest - KEPT_REVISIONS:
        return True
    return record.at < now - KEPT_SECONDS


__all__ = [
    "AuditFilter",
    "KEPT_REVISIONS",
    "KEPT_SECONDS",
    "PAGE_REVISIONS",
    "has_expired",
    "matches",
    "page_prefix",
    "page_start",
]
