"""Starts the system's processes beside the stand-ins, and calls them as clients do."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request
from pathlib import Path
from typing import TYPE_CHECKING, Any, TextIO

if TYPE_CHECKING:
    from collections.abc import Callable

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
MEMORY_MB = 300
RESTART_SECONDS = 0.5
SETTINGS = """\
node={name}
role=entry
machineClass=edge
serves=edge
ip=127.0.0.1
zone=zone-a
region=region-a
zones.zone-a=region-a
listen.frontend=127.0.0.1:{frontend}
listen.readiness=127.0.0.1:{readiness}
portRange={inner},{inner}
bootstrap=true
limits.cpuShare=0.537
limits.cores=2
limits.memoryMb=300
limits.maxFds=4100
limits.linkMbps=1000.0
discovery=platform
entry=vip
heartbeatMs=1500
contracts=base,drain,config,cost,recover,sched,platform,upkeep,sharing
bounds.contactMs=3000
bounds.ackTimeoutMs=4000
bounds.drainMs=2000
bounds.graceS=6
bounds.configApplyMs=2000
bounds.recoverS=12
bounds.holdMaxMs=10000
bounds.stopTimeoutMs=400
bounds.gangTimeoutMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remoteFactor=1.5
bounds.checkpointIntervalS=1
bounds.restoreMs=100
bounds.noticeMs=4500
bounds.migrateS=1.5
bounds.maintenanceS=2
bounds.fencing=false
bounds.leaseMs=3000
bounds.paceMs=100
bounds.impactMs=4000
orders=rpc
hint={hint}
platform.address={store}
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
cloud.address={cloud}
cloud.ratePerS=64.0
cloud.dutyPerS=64.0
"""


class Node:
    """One machine of the system."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.frontend = find_port()
        self.readiness = find_port()
        self.inner = find_port()
        self.process: subprocess.Popen[bytes] | None = None
        self.kills = 0


def find_port() -> int:
    """Return a free port."""
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        return int(listener.getsockname()[1])


class Bench:
    """The stand-ins and the nodes of one case."""

    def __init__(self, record: Path, workers: int, nodes: int) -> None:
        self.began_at = time.monotonic()
        self._folder = tempfile.mkdtemp(prefix="case-")
        self._record: TextIO = record.open("w", encoding="utf-8")
        self._standins = subprocess.Popen(
            [
                sys.executable,
                str(Path(__file__).with_name("platform_standin.py")),
                "--workers",
                str(workers),
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self._standins.stdout is not None
        self.addresses = json.loads(self._standins.stdout.readline())
        self.nodes = [Node(f"edge-zone-a-{number + 1}") for number in range(nodes)]
        self.killed_for_memory: list[str] = []
        self._lock = threading.Lock()
        self._stopping = False

    def open(self) -> None:
        """Start all nodes."""
        for node in self.nodes:
            self.start(node)
        threading.Thread(target=self._watch_memory, daemon=True).start()

    def note(self, text: str) -> None:
        """Write a line to the record, and show it."""
        line = f"{time.monotonic() - self.began_at:8.3f} {text}"
        self._record.write(line + "\n")
        self._record.flush()
        print(line, flush=True)

    def start(self, node: Node) -> None:
        """Start a node's process with the command of the deploy file."""
        settings = Path(self._folder) / f"{node.name}.conf"
        settings.write_text(
            SETTINGS.format(
                name=node.name,
                frontend=node.frontend,
                readiness=node.readiness,
                inner=node.inner,
                store=self.addresses["store"],
                hint=self.addresses["hint"],
                cloud=self.addresses["cloud"],
            ),
            encoding="utf-8",
        )
        log = (Path(self._folder) / f"{node.name}.log").open("ab")
        node.process = subprocess.Popen(
            ["python3", "deploy/medlarspring_platformd.py"],
            cwd=ROOT,
            stdout=log,
            stderr=subprocess.STDOUT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": self._folder,
                "LANG": "C.UTF-8",
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "MEDLARSPRING_CONFIG": str(settings),
            },
        )
        log.close()

    def kill(self, node: Node) -> None:
        """Kill a node's process."""
        with self._lock:
            assert node.process is not None
            node.process.send_signal(signal.SIGKILL)
            node.process.wait()
            node.kills += 1

    def restart(self, node: Node) -> None:
        """Start a node's process again, as the platform does after a short delay."""
        time.sleep(RESTART_SECONDS)
        with self._lock:
            self.start(node)

    def _watch_memory(self) -> None:
        """End a process that exceeds its memory, and start it again."""
        while not self._stopping:
            time.sleep(0.1)
            for node in self.nodes:
                with self._lock:
                    if self._stopping or node.process is None:
                        continue
                    if node.process.poll() is not None:
                        continue
                    memory = read_memory_mb(node.process.pid)
                    if memory <= MEMORY_MB:
                        continue
                    node.process.send_signal(signal.SIGKILL)
                    node.process.wait()
                    self.killed_for_memory.append(node.name)
                    self.note(f"platform: {node.name} used {memory} MB, was killed")
                    time.sleep(RESTART_SECONDS)
                    self.start(node)

    def find_leader(self) -> Node:
        """Return the node that last wrote the controller's key."""
        text = self.read_admin("/keys?prefix=controllers/")
        key = json.loads(text)[0]
        holder = json.loads(self.read_admin(f"/value?key={key}"))["entry_vm_id"]
        return next(node for node in self.nodes if node.name == holder)

    def is_ready(self, node: Node) -> bool:
        """Return whether a node reports itself ready."""
        status, _ = call(node.readiness, "GET", "/api/readyz")
        return status == 200

    def wait_until_ready(self, seconds: float = 15.0) -> bool:
        """Wait until all nodes are ready."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if all(self.is_ready(node) for node in self.nodes):
                return True
            time.sleep(0.1)
        return False

    def request(
        self, node: Node, method: str, path: str, body: Any = None
    ) -> tuple[int, str]:
        """Make a client's call and record it."""
        status, text = call(node.frontend, method, path, body)
        sent = json.dumps(body) if body is not None else ""
        self.note(f"client: {node.name} {method} {path} {sent} -> {status} {text}")
        return status, text

    def read_admin(self, path: str, body: Any = None) -> str:
        """Call the stand-ins' admin address."""
        data = json.dumps(body).encode() if body is not None else None
        address = f"http://{self.addresses['admin']}{path}"
        with urllib.request.urlopen(address, data=data, timeout=20) as reply:
            return str(reply.read().decode())

    def read_journal(self, job_id: str) -> list[dict[str, Any]]:
        """Return the starts and ends of a job's tasks, as the workers saw them."""
        journal = json.loads(self.read_admin("/journal"))
        return [each for each in journal if each["task"].startswith(job_id)]

    def note_journal(self, job_id: str) -> None:
        """Record what the workers saw of a job."""
        for each in self.read_journal(job_id):
            at = each["at"] - self.began_at
            self.note(
                f"worker: at {at:.3f} {each['worker']} {each['what']} {each['task']}"
                f" run {each['run']} {each['how']}"
            )

    def close(self) -> None:
        """End all processes."""
        self._stopping = True
        with self._lock:
            for node in self.nodes:
                if node.process is not None and node.process.poll() is None:
                    node.process.kill()
                    node.process.wait()
        self._standins.kill()
        self._standins.wait()
        self._record.close()


def read_memory_mb(pid: int) -> int:
    """Return the resident memory of a process."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except (OSError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE") // 1_048_576


def call(port: int, method: str, path: str, body: Any = None) -> tuple[int, str]:
    """Make one HTTP call; the status is 0 if there is no answer."""
    connection = http.client.HTTPConnection(HOST, port, timeout=3.5)
    data = json.dumps(body) if body is not None else None
    headers = {
        "Host": "jobs.example",
        "Content-Type": "application/json",
        "X-Medlarspring-Deadline-Ms": "3000",
    }
    try:
        connection.request(method, path, body=data, headers=headers)
        response = connection.getresponse()
        return response.status, response.read().decode()
    except (OSError, http.client.HTTPException) as error:
        return 0, type(error).__name__
    finally:
        connection.close()


def run_case(
    record: Path, workers: int, nodes: int, run: Callable[[Bench], int]
) -> int:
    """Run a case; return 2 if it couldn't run."""
    bench = Bench(record, workers, nodes)
    try:
        bench.open()
        return run(bench)
    except Exception as error:
        bench.note(f"the case couldn't run: {error!r}")
        return 2
    finally:
        bench.close()


def has_trouble() -> bool:
    """Return whether the case is run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"
