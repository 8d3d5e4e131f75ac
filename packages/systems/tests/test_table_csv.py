from __future__ import annotations

import pytest

from medlarspring_systems.table_csv import format_csv, parse_csv, plan_import
from medlarspring_systems.table_edit import RowAction, TableEdit, apply_edit
from medlarspring_tables import ConfigTable, EditId

CSV_TEXT = """\
kind,id,weight,limit_percent,pool_id,wanted_vms,min_available,spare_percent
fleet,fleet,,,,,,12.5
pool,consent-vms,,,,8,6,
service,consent,,,consent-vms,,,
partner,ardhi,2,40,,,,
partner,bomba,1,,,,,
"""


def import_csv(table: ConfigTable, text: str, id: str) -> ConfigTable:  # noqa: A002
    rows = plan_import(table, parse_csv(text).unwrap())
    edit = TableEdit(id=EditId(id), operator="asha", rows=rows)
    return apply_edit(table, edit, 0.0, "test").unwrap().table


@pytest.fixture
def table() -> ConfigTable:
    return import_csv(ConfigTable(), CSV_TEXT, "first")


def test_csv_round_trips_through_the_table(table):
    assert table.fleet.spare_percent == 12.5
    assert table.partners_by_id["ardhi"].limit_percent == 40.0
    exported = parse_csv(format_csv(table)).unwrap()
    assert plan_import(table, exported) == ()


def test_difference_names_only_what_changes(table):
    text = format_csv(table).replace("partner,ardhi,1,2,", "partner,ardhi,1,3,")
    text = text.replace(
        next(line for line in text.splitlines() if "bomba" in line),
        "partner,chombo,,1",
    )
    edits = plan_import(table, parse_csv(text).unwrap())
    found = {(edit.id, edit.action): edit.fields for edit in edits}
    assert found["ardhi", RowAction.SET] == {"weight": "3"}
    assert found["chombo", RowAction.ADD]["weight"] == "1"
    assert found["bomba", RowAction.REMOVE] == {}
    assert len(found) == 3


def test_import_of_a_csv_older_than_another_edit_conflicts(table):
    """
    Two operators export the table and change the weight of the same partner.
    Without row revisions in the file, the second import would silently overwrite
    the first; with them it is refused with a conflict.
    """
    exported = format_csv(table).replace("partner,ardhi,1,2,", "partner,ardhi,1,5,")
    raced = format_csv(table).replace("partner,ardhi,1,2,", "partner,ardhi,1,4,")
    after = import_csv(table, raced, "raced")
    rows = plan_import(after, parse_csv(exported).unwrap())
    edit = TableEdit(id=EditId("late"), operator="juma", rows=rows)
    assert apply_edit(after, edit, 0.0, "test").failure().code == "row-conflict"


@pytest.mark.parametrize(
    ("text", "part"),
    [
        ("", "column 'kind' is missing"),
        ("id,weight\na,1\n", "column 'kind' is missing"),
        ("kind,id,colour\npartner,a,red\n", "'colour' is unknown"),
        ("kind,id\nteam,a\n", "line 2: kind: found 'team'"),
        ("kind,id,revision\npartner,a,x\n", "line 2: revision: found 'x'"),
        ("kind,id\npartner,a\npartner,a\n", "line 3: partner a is listed twice"),
        ("kind,id\npartner,a,1,2\n", "line 2: found more cells than columns"),
    ],
)
def test_unreadable_csv_is_refused_with_line_and_remedy(text, part):
    refusal = parse_csv(text).failure()
    assert part in refusal.message()
    assert "medlarspring table export" in refusal.message()


def test_csv_saved_by_a_spreadsheet_is_read():
    rows = parse_csv("\ufeffkind,id,weight\r\npartner, ardhi ,2\r\n,,\r\n").unwrap()
    assert [(row.id, row.cells) for row in rows] == [("ardhi", {"weight": "2"})]
