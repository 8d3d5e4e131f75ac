"""Compares README and OPERATORS.md with the code and parses their commands."""

from __future__ import annotations

import re
import shlex
from pathlib import Path

import pytest
from cleo.io.inputs.argv_input import ArgvInput

from medlarspring_cli.application import create_application
from medlarspring_cli.commands import COMMANDS
from medlarspring_cli.exit_codes import ExitCode
from medlarspring_daemon.settings import Settings
from medlarspring_daemon.settings_errors import describe_expected_value, find_section
from medlarspring_systems.table_rows import FIELD_TYPES_BY_KIND

ROOT = Path(__file__).parents[1]
OPERATORS = (ROOT / "docs" / "OPERATORS.md").read_text(encoding="utf-8")
README = (ROOT / "README.md").read_text(encoding="utf-8")
MAX_README_LINES = 150


def read_section(title: str) -> list[list[str]]:
    """Return the rows of the first table under a heading."""
    body = OPERATORS.split(f"\n## {title}\n", 1)[1].split("\n## ", 1)[0]
    rows = [
        [cell.strip() for cell in line[1:-1].split("|")]
        for line in body.splitlines()
        if line.startswith("| ")
    ]
    return rows[2:]


def list_commands() -> list[str]:
    lines = [*README.splitlines(), *OPERATORS.splitlines()]
    shown = [line.strip() for line in lines if line.startswith("    medlarspring ")]
    return [line.split("   #")[0].strip() for line in dict.fromkeys(shown)]


def test_settings_reference_is_that_of_the_code():
    expected = []
    for name, field in Settings.model_fields.items():
        section = find_section(field.annotation)
        for key, value in section.model_fields.items():
            default = "" if value.is_required() else f"`{value.default}`"
            row = [
                f"`{name}.{key}`",
                describe_expected_value(value),
                default,
                value.description,
            ]
            expected.append(row)
    assert read_section("Settings") == expected


def test_exit_statuses_are_those_of_the_code():
    found = {int(row[0]): row[1] for row in read_section("Exit statuses")}
    assert found == {
        int(code): code.name.lower().replace("_", "-") for code in ExitCode
    }


def test_fields_of_the_table_are_those_of_the_code():
    found = {
        row[0].split("`")[1]: re.findall(r"`(\w+)`", row[1])
        for row in read_section("The table")
    }
    expected = {kind.value: list(types) for kind, types in FIELD_TYPES_BY_KIND.items()}
    assert found == expected


def test_readme_is_short_and_its_links_resolve():
    assert len(README.splitlines()) < MAX_README_LINES
    links = re.findall(r"\]\(([^)]+)\)", README)
    assert [link for link in links if not (ROOT / link).exists()] == []


@pytest.mark.parametrize("line", list_commands())
def test_shown_command_has_arguments_that_the_command_takes(line, monkeypatch):
    """Each command shown in the pages is split like in a shell and parsed."""
    application = create_application()
    parsed_names = []
    for command in COMMANDS:
        monkeypatch.setattr(
            command, "handle", lambda self: parsed_names.append(self.name) or 0
        )
    arguments = shlex.split(line)
    assert application.run(ArgvInput(arguments)) == 0
    assert parsed_names == [" ".join(arguments[1:3])] or parsed_names == [arguments[1]]
