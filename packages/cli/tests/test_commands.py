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

TABLE_CSV = """\
kind,id,weight,limit_percent,pool_id,wanted_vms,min_available
pool,consent-vms,,,,8,6
service,consent,,,consent-vms,,
partner,ardhi,2,40,,,
partner,bomba,1,,,,
"""


@pytest.fixture
def csv_file(tmp_path):
    path = tmp_path / "table.csv"
    path.write_text(TABLE_CSV)
    return path


@pytest.fixture
def cli_with_table(operator_cli, csv_file):
    assert operator_cli.run("table", "import", str(csv_file), "--yes")[0] == 0
    return operator_cli


def test_import_shows_its_difference_and_is_one_edit(operator_cli, csv_file):
    status, output, _ = operator_cli.run("table", "import", str(csv_file), "--yes")
    assert status == 0
    assert "add    partner ardhi: weight=2" in output
    assert "accepted: table revision 1" in output
    status, output, _ = operator_cli.run("table", "import", str(csv_file), "--yes")
    assert (status, "already as the sheet" in output) == (0, True)


def test_import_asks_before_it_changes_anything(operator_cli, csv_file):
    status, output, errors = operator_cli.run("table", "import", str(csv_file), "-n")
    assert status == 2
    assert "--yes" in errors
    assert "add    partner ardhi" in output
    assert operator_cli.run("table", "show")[1].endswith("table revision 0\n")


@pytest.mark.parametrize(("reply", "status"), [("yes\n", 0), ("no\n", 1), ("\n", 1)])
def test_import_follows_the_reply(operator_cli, csv_file, monkeypatch, reply, status):
    class Terminal(io.StringIO):
        def isatty(self) -> bool:
            return True

    monkeypatch.setattr("sys.stdin", Terminal(reply))
    found, output, errors = operator_cli.run("table", "import", str(csv_file))
    assert found == status
    assert "4 rows differ from table revision 0." in output
    assert ("accepted: table revision 1" in output) is (status == 0)


@pytest.mark.parametrize(("is_terminal", "status"), [(False, 2), (True, 1)])
def test_import_without_a_reply_changes_nothing(
    operator_cli, csv_file, monkeypatch, is_terminal, status
):
    """
    The input is empty, since a script has no terminal or the operator ended it. A
    command that repeated its question would never end.
    """

    class EmptyInput(io.StringIO):
        def isatty(self) -> bool:
            return is_terminal

    monkeypatch.setattr("sys.stdin", EmptyInput(""))
    assert operator_cli.run("table", "import", str(csv_file))[0] == status
    assert operator_cli.run("table", "show")[1].endswith("table revision 0\n")


def test_row_is_changed_and_its_history_shown(cli_with_table):
    status, output, _ = cli_with_table.run(
        "table", "set", "partner", "ardhi", "weight=3"
    )
    assert status == 0
    assert "set    partner ardhi: weight 2 -> 3" in output
    _, output, _ = cli_with_table.run("table", "show", "partner", "ardhi")
    assert output.splitlines()[1].split()[:3] == ["ardhi", "3", "40"]
    _, output, _ = cli_with_table.run("table", "history", "partner", "ardhi")
    assert output.count("revision") == 2
    assert "by asha from 127.0.0.1 by entry-1" in output
    _, output, _ = cli_with_table.run("audit", "--operator", "juma")
    assert output == "No change is on record.\n"


def test_exported_table_can_be_imported(cli_with_table, tmp_path):
    path = tmp_path / "out.csv"
    assert cli_with_table.run("table", "export", "--output", str(path))[0] == 0
    status, output, _ = cli_with_table.run("table", "import", str(path), "--yes")
    assert (status, "already as the sheet" in output) == (0, True)


def test_row_is_added_and_removed(cli_with_table):
    assert cli_with_table.run("table", "add", "partner", "chombo", "weight=1")[0] == 0
    assert cli_with_table.run("table", "remove", "partner", "chombo")[0] == 0
    assert cli_with_table.run("table", "show", "partner", "chombo")[0] == 1


def test_credential_is_sent_as_its_hash(cli_with_table, tmp_path):
    path = tmp_path / "credential"
    path.write_text("s3cret\n")
    command = ("table", "set", "partner", "ardhi", "--credential-file", str(path))
    assert cli_with_table.run(*command)[0] == 0
    _, output, _ = cli_with_table.run("table", "show", "partner", "ardhi", "--json")
    row = json.loads(output)["rows"]["partner"][0]
    assert row["credential_sha256"].startswith("1ec1c26b50d5d3c5")


def test_repeated_edit_is_recognised_by_its_id(cli_with_table):
    command = ("table", "set", "partner", "ardhi", "weight=3", "--edit-id", "e-1")
    assert cli_with_table.run(*command)[0] == 0
    status, output, _ = cli_with_table.run(*command)
    assert (status, "had been accepted before" in output) == (0, True)
    _, output, _ = cli_with_table.run("explain", "edit", "e-1")
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
def test_refused_command_prints_reason_and_exit_status(
    cli_with_table, arguments, status, part
):
    found, _, errors = cli_with_table.run(*arguments)
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
    "table import": "table import TABLE_CSV --yes",
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
"""An example command line for each command that needs a daemon."""
UNSERVED_GROUPS = ("job", "move", "pool", "spare", "vm", "wave")
"""Groups of commands whose routes the daemon of these tests does not serve."""
STORE_INDEPENDENT = {"explain", "status"}


def test_every_command_has_an_example_here():
    assert set(EXAMPLES) == {command.name for command in COMMANDS}


@pytest.mark.parametrize("name", EXAMPLES)
def test_help_is_printed_for_each_command(operator_cli, name):
    status, output, _ = operator_cli.run(*name.split(), "--help")
    assert status == 0
    assert "MEDLARSPRING_ADDRESS" in output


@pytest.mark.parametrize("name", EXAMPLES)
def test_command_reports_missing_daemon_or_token(
    operator_cli, csv_file, name, tmp_path
):
    line = EXAMPLES[name].replace("TABLE_CSV", str(csv_file)).split()
    status, _, errors = operator_cli.run(*line, address="127.0.0.1:1")
    assert (status, "Check that medlarspringd runs there" in errors) == (4, True)
    status, _, errors = operator_cli.run(*line, address="localhost")
    assert (status, "is not IP:PORT" in errors) == (2, True)
    wrong = tmp_path / "wrong.token"
    wrong.write_text("guess")
    status, _, errors = operator_cli.run(*line, token_file=str(wrong))
    assert (status, "--token-file" in errors) == (5, True)
    status, _, errors = operator_cli.run(*line, token_file="/nowhere")
    assert (status, "can't be read" in errors) == (2, True)
    status, _, errors = operator_cli.run(*line, "--colour")
    assert (status, "colour" in errors) == (2, True)


@pytest.mark.parametrize(
    "name", [name for name in EXAMPLES if not name.startswith(UNSERVED_GROUPS)]
)
def test_command_reports_no_change_while_store_is_down(operator_cli, csv_file, name):
    operator_cli.store.faults.down = True
    line = EXAMPLES[name].replace("TABLE_CSV", str(csv_file)).split()
    status, _, errors = operator_cli.run(*line)
    if name in STORE_INDEPENDENT:
        assert status == 0
        return
    assert (status, "Nothing was changed" in errors) == (6, True)


def test_response_of_another_server_is_reported(operator_cli):
    """
    The address is that of another HTTP server, for example of the caller port. The
    message says that the response does not come from an operator port.
    """
    with http.server.HTTPServer(
        ("127.0.0.1", 0), http.server.BaseHTTPRequestHandler
    ) as server:
        threading.Thread(target=server.handle_request).start()
        status, _, errors = operator_cli.run(
            "status", address=f"127.0.0.1:{server.server_port}"
        )
    assert "not that of an operator port" in errors
    assert status == 1


def test_commands_named_in_messages_and_pages_exist():
    """
    Error messages and pages tell the operator which command to run. A command that
    was renamed or never existed would mislead the operator during an incident.
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


def test_option_before_the_command_is_refused_with_a_hint(capsys):
    assert main(["--address", "127.0.0.1:1", "table", "show"]) == 2
    assert "Write options after the command." in capsys.readouterr().err


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completions_are_written_for_each_shell(capsys, shell):
    assert main(["completions", shell]) == 0
    assert "republish" in capsys.readouterr().out


def test_table_in_force_is_shown_while_the_store_is_down(cli_with_table):
    table = json.loads(cli_with_table.run("table", "export", "--json")[1])
    cli_with_table.store.faults.down = True
    assert cli_with_table.run("table", "show")[0] == 6
    cli_with_table.node.config = msgspec.convert(table, ConfigTable)
    status, output, errors = cli_with_table.run("table", "show")
    assert (status, output.endswith("table revision 1\n")) == (0, True)
    assert "warning: This is the table in force at entry-1." in errors


def test_edit_is_sent_to_next_daemon_when_first_is_unreachable(cli_with_table):
    address = f"127.0.0.1:1,{cli_with_table.address}"
    command = ("table", "set", "partner", "ardhi", "weight=3")
    assert cli_with_table.run(*command, address=address)[0] == 0


def test_follow_prints_each_change_once_until_interrupted(cli_with_table, monkeypatch):
    sleep_counts = iter(range(3))

    def change_or_interrupt(seconds):
        sleep_count = next(sleep_counts)
        if sleep_count == 2:
            raise KeyboardInterrupt
        if sleep_count == 0:
            main(["table", "add", "partner", "chombo", "weight=1", *shared])

    shared = [
        "--address",
        cli_with_table.address,
        "--token-file",
        str(cli_with_table.token_file),
    ]
    monkeypatch.setattr(audit.time, "sleep", change_or_interrupt)
    status, output, _ = cli_with_table.run("audit", "--follow", "--kind", "partner")
    assert status == 0
    assert output.count("add    partner ardhi") == 1
    later_output = output.split("accepted: table revision 2")[1]
    assert later_output.count("add    partner chombo") == 1


def test_paused_daemon_is_skipped(cli_with_table, monkeypatch):
    """
    The first daemon is paused: its kernel accepts the connection, but no response
    follows. The command tries the next daemon after the ping times out, and its
    second request does not wait again. No change was sent to the paused daemon, so
    the outcome is known.
    """
    monkeypatch.setattr(client, "PROBE_TIMEOUT_SECONDS", 0.2)
    with socket.create_server(("127.0.0.1", 0)) as paused:
        address = f"127.0.0.1:{paused.getsockname()[1]},{cli_with_table.address}"
        began = time.monotonic()
        command = ("table", "set", "partner", "ardhi", "weight=3")
        assert cli_with_table.run(*command, address=address)[0] == 0
    assert time.monotonic() - began < client.RESPONSE_TIMEOUT_SECONDS / 2


def test_errors_are_json_when_asked_for(cli_with_table):
    command = ("table", "set", "partner", "ardhi", "weight=0", "--json")
    status, output, errors = cli_with_table.run(*command)
    document = json.loads(errors)
    assert (status, output) == (1, "")
    assert document["code"] == "rows-refused"
    assert document["faults"][0]["field"] == "weight"
    assert document["exit_code"] == 1
