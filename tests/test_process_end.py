from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from medlarspring_bench.soak.entry_vms import SETTINGS

LISTENING, STOPPING, STOPPED = 1001, 1002, 1003
END_SECONDS = 30.0
"""Generous time for a shutdown without traffic; far shorter than the held exit."""
HELD_EXIT = "import atexit, time; atexit.register(time.sleep, 600)"
DAEMON_SETTINGS = """\
[entry_vm]
id = "entry-1"
zone = "zone-a"
region = "coast"
[caller]
listen = "127.0.0.1:0"
[operator]
listen = "127.0.0.1:0"
token_file = "operator.token"
[peer]
listen = "127.0.0.1:0"
token_file = "peer.token"
[store]
endpoints = ["127.0.0.1:1"]
[vm_list]
url = "http://127.0.0.1:1/vms"
"""
PLATFORM_SETTINGS = SETTINGS.format(
    name="entry-1", store="127.0.0.1:1", vm_control="127.0.0.1:1"
)


def start_daemon(folder: Path, module: str, settings: str) -> subprocess.Popen[str]:
    """Start a daemon whose ordinary exit would not end for ten minutes."""
    for name in ("operator", "peer"):
        (folder / f"{name}.token").write_text(f"{name}-only")
    (folder / "sitecustomize.py").write_text(HELD_EXIT)
    path = folder / "settings"
    path.write_text(settings)
    return subprocess.Popen(
        [sys.executable, "-m", module, str(path)],
        env={**os.environ, "PYTHONPATH": str(folder), "MEDLARSPRING_CONFIG": str(path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


def wait_until_stoppable(pid: int) -> None:
    """Wait until the process handles the signal to stop, soon after it listens."""
    mask = 1 << (signal.SIGTERM - 1)
    status = Path(f"/proc/{pid}/status")
    while True:
        caught = next(
            line for line in status.read_text().splitlines() if line[:6] == "SigCgt"
        )
        if int(caught.split()[1], 16) & mask:
            return
        time.sleep(0.01)


@pytest.mark.timeout(120)
@pytest.mark.parametrize(
    ("module", "settings"),
    [
        ("medlarspring_daemon.main", DAEMON_SETTINGS),
        ("medlarspring_platform.launcher", PLATFORM_SETTINGS),
    ],
)
def test_daemon_ends_as_soon_as_its_shutdown_is_complete(tmp_path, module, settings):
    """Guards against a stopped daemon that is killed as overdue on a busy machine,
    since the interpreter frees its modules slowly after the shutdown."""
    process = start_daemon(tmp_path, module, settings)
    assert process.stdout is not None
    lines = []
    try:
        for line in process.stdout:
            lines.append(line)
            if line.startswith("{") and json.loads(line)["event"] == LISTENING:
                break
        wait_until_stoppable(process.pid)
        process.send_signal(signal.SIGTERM)
        rest, _ = process.communicate(timeout=END_SECONDS)
    finally:
        process.kill()
    lines += rest.splitlines()
    events = [json.loads(line)["event"] for line in lines if line.startswith("{")]
    assert process.returncode == 0
    assert {STOPPING, STOPPED} <= set(events)
