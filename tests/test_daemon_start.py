from __future__ import annotations

import socket
import subprocess
import sys

import pytest

SETTINGS = """\
[entry_vm]
id = "entry-1"
zone = "zone-a"
region = "coast"
[caller]
listen = "CALLER"
[operator]
listen = "OPERATOR"
token_file = "operator.token"
[peer]
listen = "PEER"
token_file = "peer.token"
[store]
endpoints = ["127.0.0.1:1"]
[vm_list]
url = "http://127.0.0.1:1/vms"
"""


@pytest.mark.parametrize("occupied", ["CALLER", "OPERATOR", "PEER"])
def test_port_in_use_ends_the_daemon_with_one_line(tmp_path, occupied):
    """
    Another process already listens on one of the three ports. The daemon exits
    with status 3 and prints one line with the port and the remedy. A supervisor
    would truncate a traceback.
    """
    for name in ("operator", "peer"):
        (tmp_path / f"{name}.token").write_text(f"{name}-only")
    with socket.create_server(("127.0.0.1", 0)) as other:
        port = other.getsockname()[1]
        text = SETTINGS.replace(occupied, f"127.0.0.1:{port}")
        for name in ("CALLER", "OPERATOR", "PEER"):
            text = text.replace(name, "127.0.0.1:0")
        path = tmp_path / "medlarspringd.toml"
        path.write_text(text)
        command = [sys.executable, "-m", "medlarspring_daemon.main", str(path)]
        ended = subprocess.run(
            command, capture_output=True, text=True, timeout=60, check=False
        )
    assert ended.returncode == 3, ended.stderr
    (line,) = [line for line in ended.stderr.splitlines() if not line.startswith("{")]
    assert str(port) in line
    assert "End the process that uses it" in line
