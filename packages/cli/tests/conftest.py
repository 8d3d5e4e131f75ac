from __future__ import annotations

import asyncio
import io
import random
import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

import pytest

from medlarspring_adapters.clock import SystemClock
from medlarspring_adapters.events import create_event_log
from medlarspring_adapters.metrics import NoMetrics
from medlarspring_bench.memory_store import MemoryStore, create_memory_store
from medlarspring_cli.application import main
from medlarspring_daemon.node import Node, create_node
from medlarspring_daemon.operators.service import create_operator_service
from medlarspring_daemon.settings import Settings
from medlarspring_tables import EntryVMId

if TYPE_CHECKING:
    from pathlib import Path

TOKEN = "operators-only"


@dataclass
class OperatorCLI:
    """Runs commands against the operator port of a daemon in this process."""

    node: Node
    store: MemoryStore
    address: str
    token_file: Path
    capture: pytest.CaptureFixture[str]

    def run(self, *arguments: str, **overrides: str) -> tuple[int, str, str]:
        """Run one command and return its exit status, output and error output."""
        address = overrides.get("address", self.address)
        token_file = overrides.get("token_file", str(self.token_file))
        shared = ["--address", address, "--token-file", token_file]
        self.capture.readouterr()
        status = main([*arguments, *shared])
        output, errors = self.capture.readouterr()
        return status, output, errors


def create_settings(token_file: Path) -> Settings:
    authenticated_listener = {"listen": "127.0.0.1:0", "token_file": str(token_file)}
    return Settings.model_validate(
        {
            "entry_vm": {"id": "entry-1", "zone": "zone-a", "region": "coast"},
            "caller": {"listen": "127.0.0.1:0"},
            "operator": authenticated_listener,
            "peer": authenticated_listener,
            "store": {"endpoints": ["127.0.0.1:1"]},
            "vm_list": {"url": "http://127.0.0.1:1/vms"},
        }
    )


@pytest.fixture
def operator_cli(tmp_path, capsys, monkeypatch):
    for name in ("ADDRESS", "TOKEN_FILE", "OPERATOR"):
        monkeypatch.delenv(f"MEDLARSPRING_{name}", raising=False)
    monkeypatch.setenv("MEDLARSPRING_OPERATOR", "asha")
    token_file = tmp_path / "operator.token"
    token_file.write_text(f"{TOKEN}\n")
    clock = SystemClock()
    store = create_memory_store(clock)
    log = create_event_log(EntryVMId("entry-1"), "INFO", io.StringIO())
    settings = create_settings(token_file)
    node = create_node(settings, clock, random.Random(1), log, NoMetrics(), store)
    service = create_operator_service(node)

    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()

    def run(coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, loop).result(10)

    run(service.start())
    yield OperatorCLI(node, store, node.addresses["operator"], token_file, capsys)
    run(service.stop())
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()
