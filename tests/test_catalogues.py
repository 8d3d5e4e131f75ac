from __future__ import annotations

import re
from collections import Counter
from pathlib import Path

import pytest

from medlarspring_adapters.events import Event
from medlarspring_adapters.metrics import Metric

ROOT = Path(__file__).parents[1]
SOURCES = "\n".join(
    path.read_text(encoding="utf-8")
    for package in ("adapters", "daemon", "platform")
    for path in sorted((ROOT / "packages" / package / "src").rglob("*.py"))
    if path.name not in ("events.py", "metrics.py")
)
LEVELS = {"I", "W", "E"}
ACTION_COLUMN = 4


def read_rows(page: str) -> list[list[str]]:
    lines = (ROOT / "docs" / page).read_text(encoding="utf-8").splitlines()
    rows = [
        [cell.strip() for cell in re.split(r"(?<!\\)\|", line)[1:-1]]
        for line in lines
        if line.startswith("| ")
    ]
    return [row for row in rows if row[0] not in ("number", "name", "---")]


def test_events_page_lists_what_the_code_logs_and_nothing_else():
    rows = read_rows("EVENTS.md")
    listed = {(int(row[0]), row[1], row[3]) for row in rows}
    assert listed == {(each.number, each.name.lower(), each.text) for each in Event}
    assert len(rows) == len(Event)


def test_event_numbers_are_unique_and_ascending_on_the_page():
    assert [n for n, c in Counter(each.number for each in Event).items() if c > 1] == []
    numbers = [int(row[0]) for row in read_rows("EVENTS.md")]
    assert numbers == sorted(numbers)


def test_each_event_says_how_severe_it_is_and_what_to_do():
    for row in read_rows("EVENTS.md"):
        assert row[2] in LEVELS, row
        assert row[ACTION_COLUMN].endswith("."), row
        if row[2] != "I":
            assert row[ACTION_COLUMN] != "Nothing.", row


@pytest.mark.parametrize("event", list(Event), ids=lambda event: event.name)
def test_each_event_is_logged_at_the_level_of_the_page(event: Event):
    (level,) = {row[2] for row in read_rows("EVENTS.md") if row[0] == str(event.number)}
    found = set(re.findall(rf"\.(\w+)\(\s*Event\.{event.name}\b", SOURCES))
    if not found:
        assert re.search(rf"\bEvent\.{event.name}\b", SOURCES), "never logged"
        return
    names = {"I": "info", "W": "warning", "E": "error"}
    assert names[level] in found, f"logged by {found}"


def test_metrics_page_lists_what_the_code_sends_and_nothing_else():
    rows = read_rows("METRICS.md")
    assert {row[0].strip("`") for row in rows} == {each.value for each in Metric}
    assert len(rows) == len(Metric)
    assert {row[1] for row in rows} <= {"counter", "gauge", "timing"}
