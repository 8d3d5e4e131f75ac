from __future__ import annotations

import msgspec
import pytest

from medlarspring_systems.table_edit import (
    MAX_RECENT_EDITS,
    RowAction,
    RowEdit,
    TableEdit,
    apply_edit,
)
from medlarspring_tables import ConfigTable, EditId, PoolId, Revision, RowKind

AT = 1_000.0
ORIGIN = "127.0.0.1 by entry-1"


def create_edit(*rows: RowEdit, id: str = "edit-1") -> TableEdit:  # noqa: A002
    return TableEdit(id=EditId(id), operator="asha", rows=rows)


def add(kind: str, row_id: str, **fields: object) -> RowEdit:
    return RowEdit(kind=RowKind(kind), id=row_id, action=RowAction.ADD, fields=fields)


def change(kind: str, row_id: str, read_at: int, /, **fields: object) -> RowEdit:
    return RowEdit(
        kind=RowKind(kind),
        id=row_id,
        action=RowAction.SET,
        fields=fields,
        row_revision=Revision(read_at),
    )


def remove(kind: str, row_id: str, revision: int) -> RowEdit:
    return RowEdit(
        kind=RowKind(kind),
        id=row_id,
        action=RowAction.REMOVE,
        row_revision=Revision(revision),
    )


@pytest.fixture
def table() -> ConfigTable:
    rows = (
        add("pool", "consent-vms", wanted_vms=8, min_available=6),
        add("service", "consent", pool_id="consent-vms"),
        add("partner", "ardhi", weight=2, credential_sha256="a" * 64),
        add("partner", "bomba", weight="1.5"),
    )
    edit = create_edit(*rows, id="first")
    return apply_edit(ConfigTable(), edit, AT, ORIGIN).unwrap().table


def test_edit_changes_only_its_own_row(table):
    edit = create_edit(change("partner", "ardhi", 1, weight="3"))
    accepted = apply_edit(table, edit, AT, ORIGIN).unwrap()
    assert accepted.table.revision == 2
    assert accepted.table.partners_by_id["ardhi"].weight == 3.0
    assert accepted.table.partners_by_id["ardhi"].revision == 2
    assert accepted.table.partners_by_id["bomba"] == table.partners_by_id["bomba"]
    (row_change,) = accepted.record.changes
    assert (row_change.before["weight"], row_change.after["weight"]) == (2.0, 3.0)
    assert accepted.record.operator == "asha"
    assert accepted.record.origin == ORIGIN


@pytest.mark.parametrize(
    ("row", "field", "found"),
    [
        (change("partner", "ardhi", 1, weight=0), "weight", "0"),
        (change("partner", "ardhi", 1, weight="nan"), "weight", "nan"),
        (change("partner", "ardhi", 1, weight="much"), "weight", "much"),
        (change("partner", "ardhi", 1, limit_percent=101), "limit_percent", "101"),
        (change("partner", "ardhi", 1, credential_sha256="x"), "credential", "x"),
        (change("partner", "ardhi", 1, quota_cpus=-1), "quota_cpus", "-1"),
        (change("partner", "ardhi", 1, revision=9), "revision", "this field"),
        (change("partner", "ardhi", 1, colour="red"), "colour", "this field"),
        (change("partner", "bomba", 1, credential_sha256="a" * 64), "cred", "ardhi"),
        (change("service", "consent", 1, pool_id="gone"), "pool_id", "gone"),
        (change("service", "consent", 1, timeout_ms=0), "timeout_ms", "0"),
        (change("pool", "consent-vms", 1, min_available=9), "min_available", "9"),
        (change("pool", "consent-vms", 1, wanted_vms=5), "min_available", "6"),
        (change("fleet", "fleet", 0, spare_percent=95), "spare_percent", "95"),
        (add("pool", "Upper", wanted_vms=1, min_available=0), "id", "Upper"),
        (add("pool", "small"), "wanted_vms", "nothing"),
        (remove("pool", "consent-vms", 1), "pool_id", "consent-vms"),
        (remove("fleet", "fleet", 0), "row", "removal"),
    ],
)
def test_edit_that_breaks_a_check_is_refused_with_field_and_value(
    table, row, field, found
):
    refusal = apply_edit(table, create_edit(row), AT, ORIGIN).failure()
    assert refusal.code == "rows-refused"
    fault = refusal.faults[0]
    assert field in fault.field
    assert found in fault.found
    assert str(fault) in refusal.message()


def test_all_faults_of_an_import_are_listed_and_nothing_is_applied(table):
    edit = create_edit(
        change("partner", "ardhi", 1, weight=-1),
        change("partner", "bomba", 1, limit_percent=0),
        add("partner", "chombo", weight=1),
    )
    refusal = apply_edit(table, edit, AT, ORIGIN).failure()
    assert {fault.row_id for fault in refusal.faults} == {"ardhi", "bomba"}


@pytest.mark.parametrize(
    ("row", "code"),
    [
        (change("partner", "ardhi", 0, weight=5), "row-conflict"),
        (remove("partner", "ardhi", 7), "row-conflict"),
        (change("partner", "gone", 1, weight=5), "row-conflict"),
        (change("partner", "gone", 0, weight=5), "row-missing"),
        (add("partner", "ardhi", weight=5), "row-exists"),
        (change("partner", "ardhi", 1, weight=2), "edit-empty"),
    ],
)
def test_edit_of_a_row_in_another_state_is_refused(table, row, code):
    assert apply_edit(table, create_edit(row), AT, ORIGIN).failure().code == code


def test_loser_of_a_race_sees_both_rows_and_the_remedy(table):
    """
    Two operators read the partner's row at revision 1 and both set its weight.
    The second edit would silently overwrite the first. It is refused with the
    current row, the proposed row and the command that reads the row again.
    """
    won = create_edit(change("partner", "ardhi", 1, weight=4), id="won")
    lost = create_edit(change("partner", "ardhi", 1, weight=9), id="lost")
    after = apply_edit(table, won, AT, ORIGIN).unwrap().table
    conflict = apply_edit(after, lost, AT, ORIGIN).failure()
    assert conflict.details()["current"]["weight"] == 4.0
    assert conflict.details()["proposed"]["weight"] == 9
    assert "medlarspring table show partner ardhi" in conflict.message()


def test_retry_is_recognised_while_its_edit_is_kept(table):
    """
    The reply to an accepted edit is lost and the operator repeats it. The edit's
    id in the table prevents a second change and a conflict with the edit's own
    row. A different edit under the same id is recognised by its content.
    """
    edit = create_edit(change("partner", "ardhi", 1, weight=4))
    accepted = apply_edit(table, edit, AT, ORIGIN).unwrap()
    again = apply_edit(accepted.table, edit, AT + 5, ORIGIN).unwrap()
    assert again.record is None
    assert again.revision == accepted.revision
    assert again.table == accepted.table
    other = create_edit(change("partner", "bomba", 1, weight=4))
    reused = apply_edit(accepted.table, other, AT, ORIGIN).failure()
    assert reused.code == "edit-id-reused"

    full = accepted.table
    for number in range(MAX_RECENT_EDITS + 10):
        revision = full.partners_by_id["bomba"].revision
        row = change("partner", "bomba", revision, weight=10 + number)
        full = apply_edit(full, create_edit(row, id=f"e{number}"), AT, ORIGIN).unwrap()
        full = full.table
    assert len(full.recent_edits) == MAX_RECENT_EDITS


def test_table_that_would_not_fit_into_the_store_is_refused(table):
    rows = [
        add("partner", f"{number:060}", weight=1, credential_sha256=f"{number:064x}")
        for number in range(3_800)
    ]
    refusal = apply_edit(table, create_edit(*rows), AT, ORIGIN).failure()
    assert refusal.code == "table-too-large"


def test_370_partners_fit_into_one_value_many_times(table):
    rows = [
        add("partner", f"team-{number}", weight=1, credential_sha256=f"{number:064x}")
        for number in range(370)
    ]
    accepted = apply_edit(table, create_edit(*rows), AT, ORIGIN).unwrap()
    assert len(msgspec.json.encode(accepted.table)) < 1_048_576 / 8
    assert accepted.table.services_by_id["consent"].pool_id == PoolId("consent-vms")
