from __future__ import annotations

import pytest

from medlarspring_daemon.main import EXIT_SETTINGS, main
from medlarspring_daemon.settings import read_settings

COMPLETE = """\
[entry_vm]
id = "entry-1"
zone = "zone-a"
region = "coast"
[caller]
listen = "127.0.0.1:8080"
[operator]
listen = "127.0.0.1:8081"
token_file = "operator.token"
[peer]
listen = "127.0.0.1:8082"
token_file = "peer.token"
[store]
endpoints = ["127.0.0.1:2379"]
[vm_list]
url = "http://127.0.0.1:9000/vms"
"""


@pytest.fixture
def write(tmp_path):
    (tmp_path / "operator.token").write_text("operators-only\n")
    (tmp_path / "peer.token").write_text("peers-only\n")

    def write_settings(text: str):
        path = tmp_path / "medlarspringd.toml"
        path.write_text(text)
        return path

    return write_settings


def test_complete_settings_are_read_with_defaults_and_token_files(write, tmp_path):
    settings = read_settings(write(COMPLETE)).unwrap()
    assert settings.caller.max_body_bytes == 1_048_576
    assert settings.operator.token_file == tmp_path / "operator.token"
    assert settings.store.endpoints == ("127.0.0.1:2379",)


@pytest.mark.parametrize(
    ("old", "new", "line"),
    [
        ('zone = "zone-a"\n', "", "entry_vm.zone: found nothing, wanted at most 63"),
        ('id = "entry-1"', 'id = "Entry 1"', "entry_vm.id: found 'Entry 1', wanted"),
        ('id = "entry-1"', "id = 1", "entry_vm.id: found 1, wanted at most 63"),
        ("127.0.0.1:8080", "localhost:80", "caller.listen: found 'localhost:80'"),
        ("127.0.0.1:8080", "127.0.0.1", "wanted IP:PORT with an IP number"),
        ("127.0.0.1:8080", "127.0.0.1:65536", "wanted IP:PORT with an IP number"),
        ("127.0.0.1:8081", "127.0.0.1:8080", "operator.listen: found '127.0.0.1:8080'"),
        ("[caller]", "[caller]\nmax_waitng = 5", "rename it to max_waiting"),
        ("[caller]", "[caller]\nmax_waiting = 0", "found 0, wanted a whole number"),
        ("[caller]", "[caller]\nmax_waiting = true", "found True, wanted a whole"),
        ("[caller]", "[caller]\nidle_seconds = inf", "found inf, wanted seconds"),
        ("[caller]", '[caller]\nidle_seconds = "9"', "found '9', wanted seconds"),
        ("[caller]", '[log]\nlevel = "LOUD"\n[caller]', "wanted DEBUG, INFO, WARNING"),
        ("[caller]", "[coffee]\nhot = true\n[caller]", "coffee: found an unknown key"),
        ('["127.0.0.1:2379"]', "[]", "store.endpoints: found [], wanted a list"),
        ('["127.0.0.1:2379"]', '["x"]', "store.endpoints.0: found 'x', wanted a list"),
        (
            "http://127",
            "https://127",
            "vm_list.url: found 'https://127.0.0.1:9000/vms'",
        ),
        ('"peer.token"', '"gone.token"', "can't be read (No such file or directory)"),
        ('[store]\nendpoints = ["127.0.0.1:2379"]\n', "", "wanted a section with endp"),
    ],
)
def test_error_names_key_found_wanted_and_remedy(write, old, new, line):
    assert old in COMPLETE
    path = write(COMPLETE.replace(old, new))
    (fault,) = read_settings(path).failure().faults
    assert fault.startswith(f"{path}: ")
    assert line in fault
    assert "; " in fault


def test_all_errors_are_reported_together_before_any_port_opens(write, capsys):
    """Settings with three errors are reported in one start: one line per error and
    exit status 2, before any port opens."""
    text = COMPLETE.replace('zone = "zone-a"\n', "").replace("peer.token", "no.token")
    path = write(text.replace("[caller]", "[caller]\nmax_waiting = -1"))
    assert main([str(path)]) == EXIT_SETTINGS
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 3
    assert all(line.startswith(f"{path}: ") for line in lines)


def test_empty_token_file_is_refused(write, tmp_path, capsys):
    (tmp_path / "operator.token").write_text("\n")
    assert main([str(write(COMPLETE)), "--check"]) == EXIT_SETTINGS
    assert "operator.token_file: found" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("text", "part"), [("[entry_vm", "is not TOML"), (None, "can't be read")]
)
def test_invalid_settings_file_is_named(write, tmp_path, capsys, text, part):
    path = tmp_path / "gone.toml" if text is None else write(text)
    assert main([str(path), "--check"]) == EXIT_SETTINGS
    assert part in capsys.readouterr().err


def test_check_accepts_complete_settings(write, capsys):
    assert main([str(write(COMPLETE)), "--check"]) == 0
    assert "complete and valid" in capsys.readouterr().out
