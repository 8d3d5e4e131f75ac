"""Reads audit records from the store in pages of bounded size."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from medlarspring_adapters.operator_api import AuditAnswer
from medlarspring_systems.audit import (
    PAGE_REVISIONS,
    AuditFilter,
    matches,
    page_prefix,
    page_start,
)
from medlarspring_tables import Revision
from medlarspring_tables.audit import AuditRecord

if TYPE_CHECKING:
    from medlarspring_adapters.store import Store, StoreError
    from medlarspring_adapters.unreadable_records import UnreadableRecords

MAX_PAGES_PER_CALL = 20
"""Limit of store calls for one search."""


async def read_audit(
    store: Store,
    newest: Revision,
    audit_filter: AuditFilter,
    limit: int,
    unreadable: UnreadableRecords,
) -> Result[AuditAnswer, StoreError]:
    """Return the newest matching records, oldest first.

    ``newest`` is the table revision to start from. The search goes back page by
    page. If it stops at the limit of store calls, ``next_before`` of the answer is
    the revision from which to continue.
    """
    records: list[AuditRecord] = []
    start = page_start(newest)
    for _ in range(MAX_PAGES_PER_CALL):
        listing = await store.read_prefix(page_prefix(start))
        if not is_successful(listing):
            return Failure(listing.failure())
        page = [
            record
            for entry in listing.unwrap().entries
            if (record := unreadable.decode(entry, AuditRecord)) is not None
        ]
        page.sort(key=lambda record: (record.revision, record.at))
        found = [record for record in page if matches(record, audit_filter)]
        records = found + records
        is_old = bool(page) and page[-1].at < audit_filter.since
        if len(records) >= limit or start == 0 or is_old:
            start = Revision(0)
            break
        start = page_start(Revision(start - 1))
    older = Revision(start + PAGE_REVISIONS) if start else None
    return Success(AuditAnswer(records=tuple(records[-limit:]), next_before=older))


__all__ = ["MAX_PAGES_PER_CALL", "read_audit"]
