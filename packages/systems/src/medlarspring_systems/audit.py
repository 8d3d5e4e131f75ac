"""Pages, filters and retention of the audit trail."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from msgspec import Struct

from medlarspring_tables import Revision
from medlarspring_tables.audit import AUDIT_PREFIX, REVISION_DIGITS

if TYPE_CHECKING:
    from medlarspring_tables.audit import AuditRecord

PAGE_DIGITS = 2
PAGE_REVISIONS = 10**PAGE_DIGITS
"""Number of table revisions whose records are read in one store call."""
KEPT_REVISIONS = 20_000
"""Records of this many newest table revisions are kept until they are too old."""
KEPT_SECONDS = 90 * 86_400.0
ALWAYS_KEPT_REVISIONS = 1_000
"""Records of this many newest table revisions are kept whatever their age."""
MAX_DELETES = 50
"""Records removed by one write; the store limits the size of a transaction."""
TRIM_MARK_KEY = "trims/audit"


@dataclass(frozen=True, slots=True)
class AuditFilter:
    """Conditions on audit records; an empty field matches all records."""

    since: float = 0.0
    """Only records of this wall time or later."""
    kind: str = ""
    id: str = ""
    operator: str = ""
    edit_id: str = ""


def page_start(revision: Revision) -> Revision:
    """Return the first revision of the page that contains a revision."""
    return Revision(max(0, revision) // PAGE_REVISIONS * PAGE_REVISIONS)


def page_prefix(start: Revision) -> str:
    """Return the key prefix of all records on the page."""
    digits = f"{start:0{REVISION_DIGITS}}"
    return f"{AUDIT_PREFIX}{digits[:-PAGE_DIGITS]}"


def matches(record: AuditRecord, wanted: AuditFilter) -> bool:
    """Return whether a record matches the filter."""
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
    """Return whether a record is past its retention; ``now`` is wall time."""
    if record.revision <= newest - KEPT_REVISIONS:
        return True
    # An entry VM whose clock is wrong by months would consider the whole trail
    # too old. The newest records are always kept, which limits what it removes.
    if record.revision > newest - ALWAYS_KEPT_REVISIONS:
        return False
    return record.at < now - KEPT_SECONDS


class TrimMark(Struct, frozen=True, kw_only=True):
    """How far the trail has been trimmed; updated by each write of a trim."""

    next_page: Revision = Revision(0)
    """First revision of the oldest page that may still hold records."""
    removed: int = 0
    """Records removed so far."""


@dataclass(frozen=True, slots=True)
class Trim:
    """One step of trimming the audit trail."""

    keys: tuple[str, ...]
    """Records to remove."""
    mark: TrimMark
    """The mark after the step."""


def plan_trim(
    mark: TrimMark, page: dict[str, AuditRecord], newest: Revision, now: float
) -> Trim | None:
    """Return the next step on the page at the mark, or None if nothing is left.

    ``page`` holds the page's records by key; ``now`` is wall time.
    """
    expired = [key for key, each in page.items() if has_expired(each, newest, now)]
    keys = tuple(expired[:MAX_DELETES])
    is_page_done = len(keys) == len(page) and mark.next_page < page_start(newest)
    if not keys and not is_page_done:
        return None
    following = Revision(mark.next_page + PAGE_REVISIONS)
    return Trim(
        keys=keys,
        mark=TrimMark(
            next_page=following if is_page_done else mark.next_page,
            removed=mark.removed + len(keys),
        ),
    )


__all__ = [
    "AuditFilter",
    "KEPT_REVISIONS",
    "KEPT_SECONDS",
    "PAGE_REVISIONS",
    "TRIM_MARK_KEY",
    "Trim",
    "TrimMark",
    "has_expired",
    "matches",
    "page_prefix",
    "page_start",
    "plan_trim",
]
