from __future__ import annotations

import pytest

from medlarspring_systems.audit import (
    ALWAYS_KEPT_REVISIONS,
    KEPT_REVISIONS,
    KEPT_SECONDS,
    MAX_DELETES,
    AuditFilter,
    TrimMark,
    matches,
    page_prefix,
    page_start,
    plan_trim,
)
from medlarspring_tables import EditId, Revision
from medlarspring_tables.audit import (
    AuditRecord,
    RowChange,
    format_audit_key,
    format_side_audit_key,
)

DAY = 86_400.0
NOW = 1_000 * DAY


def create_record(revision: int, at: float = NOW, **fields: str) -> AuditRecord:
    change = RowChange(kind=fields.get("kind", "partner"), id=fields.get("id", "a"))
    return AuditRecord(
        revision=Revision(revision),
        edit_id=EditId(f"edit-{revision}"),
        at=at,
        operator=fields.get("operator", "asha"),
        origin="test",
        action="table set",
        changes=(change,),
    )


def create_page(first: int, count: int, at: float) -> dict[str, AuditRecord]:
    records = [create_record(first + number, at) for number in range(count)]
    return {format_audit_key(record): record for record in records}


def test_keys_sort_by_revision_and_side_records_follow_theirs():
    table = format_audit_key(create_record(99))
    side = format_side_audit_key(create_record(99))
    later = format_audit_key(create_record(100))
    assert table < side < later
    assert table.startswith(page_prefix(page_start(Revision(99))))
    assert side.startswith(page_prefix(page_start(Revision(99))))
    assert not later.startswith(page_prefix(page_start(Revision(99))))


@pytest.mark.parametrize(
    ("wanted", "expected"),
    [
        (AuditFilter(), True),
        (AuditFilter(operator="asha"), True),
        (AuditFilter(operator="juma"), False),
        (AuditFilter(kind="partner", id="a"), True),
        (AuditFilter(kind="pool", id="a"), False),
        (AuditFilter(id="b"), False),
        (AuditFilter(since=NOW + 1), False),
        (AuditFilter(edit_id="edit-7"), True),
        (AuditFilter(edit_id="edit-8"), False),
    ],
)
def test_filter_requires_all_its_conditions(wanted, expected):
    assert matches(create_record(7), wanted) is expected


@pytest.mark.parametrize(
    ("age_days", "newest", "removed"),
    [
        (10, 5_000, 0),
        (91, 5_000, MAX_DELETES),
        (91, ALWAYS_KEPT_REVISIONS - 1, 0),
        (1, KEPT_REVISIONS + 200, MAX_DELETES),
        (1, KEPT_REVISIONS + 20, 21),
    ],
)
def test_records_expire_by_age_or_count_but_the_newest_are_kept(
    age_days, newest, removed
):
    """
    In a page of 100 records, those that are too old or beyond the count expire. The
    newest thousand are kept even if the clock makes them look years old.
    """
    page = create_page(0, 100, NOW - age_days * DAY)
    trim = plan_trim(TrimMark(), page, Revision(newest), NOW)
    assert (len(trim.keys) if trim else 0) == removed


def test_trim_continues_until_the_first_page_to_keep():
    old = NOW - KEPT_SECONDS - DAY
    pages = {0: create_page(0, 60, old), 100: {}, 200: create_page(200, 100, NOW)}
    mark, removed = TrimMark(), set()
    while trim := plan_trim(mark, pages[mark.next_page], Revision(9_000), NOW):
        for key in trim.keys:
            del pages[mark.next_page][key]
        removed.update(trim.keys)
        mark = trim.mark
    assert (len(removed), mark) == (60, TrimMark(next_page=Revision(200), removed=60))
