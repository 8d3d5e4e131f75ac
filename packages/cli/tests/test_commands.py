from __future__ import annotations

import http.server
import io
import json
import re
import socket
import threading
import time
from pathlib import Path

import msgspec
import pytest

from medlarspring_cli import client
from medlarspring_cli.application import main
from medlarspring_cli.commands import COMMANDS, audit
from medlarspring_tables import ConfigTable

SHEET = """\
kind,id,weight,limit_percent,pool_id,wanted_vms,min_available
pool,consent-vms,,,,8,6
service,consent,,,consent-vms,,
partner,ardhi,2,40,,,
partner,bomba,1,,,,
"""


@pytest.fixture
def sheet(tmp_path):
    path = tmp_path / "table.csv"
    path.write_text(SHEET)
    return path


@pytest.fixture
def filled(desk, sheet):
    assert desk.run("table", "import", str(sheet), "--yes")[0] == 0
    return desk


def test_import_shows_its_difference_and_is_one_edit(desk, sheet):
    status, output, _ = desk.run("table", "import", str(sheet), "--yes")
    assert status == 0
    assert "add    partner ardhi: weight=2" in output
    assert "accepted: table revision 1" in output
    status, output, _ = desk.run("table", "import", str(sheet), "--yes")
    assert (status, "already as the sheet" in output) == (0, True)


def test_import_asks_before_it_changes_anything(desk, sheet):
    status, output, errors = desk.run("table", "import", str(sheet), "-n")
    assert status == 2
    assert "--yes" in errors
    assert "add    partner ardhi" in output
    assert desk.run("table", "show")[1].endswith("table revision 0\n")


@pytest.mark.parametrize(("reply", "status"), [("yes\n", 0), ("no\n", 1), ("\n", 1)])
def test_import_does_what_the_operator_replies(desk, sheet, monkeypatch, reply, status):
    class Terminal(io.StringIO):
        def isatty(self) -> bool:
            return True

    monkeypatch.setattr("sys.stdin", Terminal(reply))
    found, output, errors = desk.run("table", "import", str(sheet))
    assert found == status
    assert "4 rows differ from table revision 0." in output
    assert ("accepted: table revision 1" in output) is (status == 0)


@pytest.mark.parametrize(("is_terminal", "status"), [(False, 2), (True, 1)])
def test_import_without_a_reply_changes_nothing(
    desk, sheet, monkeypatch, is_terminal, status
):
    """
    The input is empty: a script has no terminal, or the operator ends it. Asked
    again and again, the command would never end.
    """

    class Ended(io.StringIO):
        def isatty(self) -> bool:
            return is_terminal

    monkeypatch.setattr("sys.stdin", Ended(""))
    assert desk.run("table", "import", str(sheet))[0] == status
    assert desk.run("table", "show")[1].endswith("table revision 0\n")


def test_row_is_shown_changed_and_its_history_told(filled):
    status, output, _ = filled.run("table", "set", "partner", "ardhi", "weight=3")
    assert status == 0
    assert "set    partner ardhi: weight 2 -> 3" in output
    _, output, _ = filled.run("table", "show", "partner", "ardhi")
    assert output.splitlines()[1].split()[:3] == ["ardhi", "3", "40"]
    _, output, _ = filled.run("table", "history", "partner", "ardhi")
    assert output.count("revision") == 2
    assert "by asha from 127.0.0.1 by entry-1" in output
    _, output, _ = filled.run("audit", "--operator", "juma")
    assert output == "No change is on record.\n"


def test_export_is_what_import_takes(filled, tmp_path):
    path = tmp_path / "out.csv"
    assert filled.run("table", "export", "--output", str(path))[0] == 0
    status, output, _ = filled.run("table", "import", str(path), "--yes")
    assert (status, "already as the sheet" in output) == (0, True)


def test_row_is_added_and_removed(filled):
    assert filled.run("table", "add", "partner", "chombo", "weight=1")[0] == 0
    assert filled.run("table", "remove", "partner", "chombo")[0] == 0
    assert filled.run("table", "show", "partner", "chombo")[0] == 1


def test_credential_is_sent_as_its_hash(filled, tmp_path):
    path = tmp_path / "credential"
    path.write_text("s3cret\n")
    command = ("table", "set", "partner", "ardhi", "--credential-file", str(path))
    assert filled.run(*command)[0] == 0
    _, output, _ = filled.run("table", "show", "partner", "ardhi", "--json")
    row = json.loads(output)["rows"]["partner"][0]
    assert row["credential_sha256"].startswith("1ec1c26b50d5d3c5")


def test_repeated_edit_is_recognised_by_its_id(filled):
    command = ("table", "set", "partner", "ardhi", "weight=3", "--edit-id", "e-1")
    assert filled.run(*command)[0] == 0
    status, output, _ = filled.run(*command)
    assert (status, "had been accepted before" in output) == (0, True)
    _, output, _ = filled.run("explain", "edit", "e-1")
    assert output.count("accepted") == 3


@pytest.mark.parametrize(
    ("arguments", "status", "part"),
    [
        (("table", "set", "partner", "ardhi", "weight=0"), 1, "wanted a number above"),
        (("table", "set", "partner", "ardhi", "weight=2"), 0, "already holds"),
        (("table", "set", "partner", "gone", "weight=2"), 1, "There is no partner"),
        (("table", "add", "partner", "ardhi", "weight=2"), 1, "exists already"),
        (("table", "remove", "pool", "consent-vms"), 1, "add the pool first"),
        (("table", "remove", "fleet", "fleet"), 1, "exactly one row"),
        (
            ("table", "set", "partner", "ardhi", "weight=9", "--revision", "7"),
            3,
            "Read it again with `medlarspring table show partner ardhi`",
        ),
        (("table", "set", "partner", "ardhi"), 2, "No field is given"),
        (("table", "set", "partner", "ardhi", "weight"), 2, "is not NAME=VALUE"),
        (("table", "set", "partner", "ardhi", "colour=red"), 2, "it has weight"),
        (("table", "set", "team", "ardhi", "weight=1"), 2, "is none of partner"),
        (("table", "set", "partner"), 2, 'missing: "id"'),
        (("table", "sett"), 2, "does not exist"),
        (("table", "show", "--colour"), 2, "colour"),
        (("table", "import", "/nowhere.csv"), 2, "can't be read"),
        (("explain", "mood", "x"), 2, "is none of request"),
        (("wave", "start"), 2, "by --pool, by --vm, or by --all"),
        (("wave", "start", "--all", "--vm", "a"), 2, "by --pool, by --vm"),
        (("move", "start", "a", "b"), 2, "by --count, or name them by --vm"),
        (("move", "start", "a", "b", "--count", "0"), 2, "whole number above 0"),
        (("job", "submit", "a"), 2, "Name the pool and the partner"),
        (("job", "submit", "a", "b"), 2, "--cpus: found nothing, wanted a number"),
        (("job", "cancel", "a"), 2, "Nothing is chosen"),
        (("audit", "--since", "noon"), 2, "is not a time"),
        (("audit", "--limit", "many"), 2, "whole number"),
    ],
)
def test_refused_command_says_why_and_ends_with_its_status(
    filled, arguments, status, part
):
    found, _, errors = filled.run(*arguments)
    assert part in errors
    assert found == status


EXAMPLES = {
    "audit": "audit",
    "explain": "explain vm vm-1",
    "job cancel": "job cancel consent-vms job-1",
    "job list": "job list consent-vms",
    "job show": "job show consent-vms job-1",
    "job submit": "job submit consent-vms ardhi --cpus 1 --memory-gb 1 --seconds 5",
    "move list": "move list",
    "move start": "move start consent-vms survey-vms --count 1",
    "pool list": "pool list",
    "spare show": "spare show",
    "status": "status",
    "table add": "table add partner chombo weight=1",
    "table export": "table export",
    "table history": "table history",
    "table import": "table import SHEET --yes",
    "table remove": "table remove partner ardhi",
    "table republish": "table republish",
    "table set": "table set partner ardhi weight=3 --revision 1",
    "table show": "table show",
    "vm list": "vm list --pool consent-vms",
    "vm show": "vm show vm-1",
    "wave abort": "wave abort wave-1",
    "wave list": "wave list",
    "wave pause": "wave pause wave-1 --reason lunch",
    "wave resume": "wave resume wave-1",
    "wave show": "wave show wave-1",
    "wave start": "wave start --all",
}
"""A command line for each command that needs a daemon."""
OF_OTHER_PARTS = ("job", "move", "pool", "spare", "vm", "wave")
"""Commands whose routes belong to parts that this test's daemon doesn't have."""
WITHOUT_STORE = {"explain", "status"}


def test_every_command_has_an_example_here():
    assert set(EXAMPLES) == {command.name for command in COMMANDS}


@pytest.mark.parametrize("name", EXAMPLES)
def test_help_tells_what_the_command_is_for(desk, name):
    status, output, _ = desk.run(*name.split(), "--help")
    assert status == 0
    assert "MEDLARSPRING_ADDRESS" in output


@pytest.mark.parametrize("name", EXAMPLES)
def test_command_without_daemon_or_token_says_so(desk, sheet, name, tmp_path):
    line = EXAMPLES[name].replace("SHEET", str(sheet)).split()
    status, _, errors = desk.run(*line, address="127.0.0.1:1")
    assert (status, "Check that medlarspringd runs there" in errors) == (4, True)
    status, _, errors = desk.run(*line, address="localhost")
    assert (status, "is not IP:PORT" in errors) == (2, True)
    wrong = tmp_path / "wrong.token"
    wrong.write_text("guess")
    status, _, errors = desk.run(*line, token_file=str(wrong))
    assert (status, "--token-file" in errors) == (5, True)
    status, _, errors = desk.run(*line, token_file="/nowhere")
    assert (status, "can't be read" in errors) == (2, True)
    status, _, errors = desk.run(*line, "--colour")
    assert (status, "colour" in errors) == (2, True)


@pytest.mark.parametrize(
    "name", [name for name in EXAMPLES if not name.startswith(OF_OTHER_PARTS)]
)
def test_command_while_the_store_is_down_says_that_nothing_changed(desk, sheet, name):
    desk.store.faults.down = True
    line = EXAMPLES[name].replace("SHEET", str(sheet)).split()
    status, _, errors = desk.run(*line)
    if name in WITHOUT_STORE:
        assert status == 0
        return
    assert (status, "Nothing was changed" in errors) == (6, True)


def test_answer_of_something_else_than_a_daemon_is_named(desk):
    """
    The operator gives the caller port's address instead of the operator port's.
    Its answer is no answer of this interface; the message says so.
    """
    with http.server.HTTPServer(
        ("127.0.0.1", 0), http.server.BaseHTTPRequestHandler
    ) as server:
        threading.Thread(target=server.handle_request).start()
        status, _, errors = desk.run(
            "status", address=f"127.0.0.1:{server.server_port}"
        )
    assert "not that of an operator port" in errors
    assert status == 1


def test_commands_that_messages_and_pages_name_do_exist():
    """
    A refusal names the command that helps. A command that was renamed, or never
    written, would send the operator on a false trail at the worst time.
    """
    known = {command.name for command in COMMANDS} | {"completions", "list", "help"}
    groups = {name.split()[0] for name in known if " " in name}
    root = Path(__file__).parents[3]
    named = set()
    for path in [*root.glob("packages/*/src/**/*.py"), *root.glob("docs/*.md")]:
        text = path.read_text(encoding="utf-8")
        for first, second in re.findall(r"`medlarspring ([a-z]+)(?: ([a-z]+))?", text):
            named.add(f"{first} {second}" if first in groups else first)
    assert named - known == set()


def test_option_before_the_command_is_told_where_it_belongs(capsys):
    assert main(["--address", "127.0.0.1:1", "table", "show"]) == 2
    assert "Write options after the command." in capsys.readouterr().err


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completions_are_written_for_each_shell(capsys, shell):
    assert main(["completions", shell]) == 0
    assert "republish" in capsys.readouterr().out


def test_table_in_force_is_shown_while_the_store_is_down(filled):
    table = json.loads(filled.run("table", "export", "--json")[1])
    filled.store.faults.down = True
    assert filled.run("table", "show")[0] == 6
    filled.node.config = msgspec.convert(table, ConfigTable)
    status, output, errors = filled.run("table", "show")
    assert (status, output.endswith("table revision 1\n")) == (0, True)
    assert "warning: This is the table in force at entry-1." in errors


def test_edit_is_taken_by_the_next_daemon_when_the_first_is_gone(filled):
    address = f"127.0.0.1:1,{filled.address}"
    command = ("table", "set", "partner", "ardhi", "weight=3")
    assert filled.run(*command, address=address)[0] == 0


def test_follow_prints_each_change_once_until_interrupted(filled, monkeypatch):
    turns = iter(range(3))

    def change_or_interrupt(seconds):
        turn = next(turns)
        if turn == 2:
            raise KeyboardInterrupt
        if turn == 0:
            main(["table", "add", "partner", "chombo", "weight=1", *shared])

    shared = ["--address", filled.address, "--token-file", str(filled.token_file)]
    monkeypatch.setattr(audit.time, "sleep", change_or_interrupt)
    status, output, _ = filled.run("audit", "--follow", "--kind", "partner")
    assert status == 0
    assert output.count("add    partner ardhi") == 1
    trail = output.split("accepted: table revision 2")[1]
    assert trail.count("add    partner chombo") == 1


def test_paused_daemon_is_passed_over(filled, monkeypatch):
    """
    The first daemon is paused: its kernel takes the connection, and nobody
    answers. The command asks the next one after a short wait, and its second
    call doesn't wait again; nothing was sent, so nothing is unknown.
    """
    monkeypatch.setattr(client, "PROBE_SECONDS", 0.2)
    with socket.create_server(("127.0.0.1", 0)) as paused:
        address = f"127.0.0.1:{paused.getsockname()[1]},{filled.address}"
        began = time.monotonic()
        command = ("table", "set", "partner", "ardhi", "weight=3")
        assert filled.run(*command, address=address)[0] == 0
    assert time.monotonic() - began < client.ANSWER_SECONDS / 2


def test_errors_are_json_when_asked_for(filled):
    command = ("table", "set", "partner", "ardhi", "weight=0", "--json")
    status, output, errors = filled.run(*command)
    document = json.loads(errors)
    assert (status, output) == (1, "")
    assert document["code"] == "rows-refused"
    assert document["faults"][0]["field"] == "weight"
    assert document["exit_code"] == 1
