"""A small deployment on loopback: stand-ins, entry VMs of the deploy file, clients."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path
from typing import IO, TYPE_CHECKING, Any

import aiohttp
from standin import HOST, Fleet, Machine, Store

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

ROOT = Path(os.environ["REVIEW_ROOT"])
"""Root of the repository."""
QUEUE_HOST = "queue.example"
PORTS = (12_000, 30_000)
_random = random.SystemRandom()
_given_ports: set[int] = set()
STATUS_BROKEN, STATUS_HELD, STATUS_NOT_RUN = 1, 0, 2

SETTINGS = """\
node={name}
role=entry
machineClass=edge
serves=edge
ip={host}
zone=zone-a
region=region-a
zones.zone-a=region-a
listen.frontend={host}:{frontend}
listen.readiness={host}:{readiness}
portRange={inner},{inner}
bootstrap=true
limits.cpuShare=0.537
limits.cores=2
limits.memoryMb=300
limits.maxFds=4100
discovery=platform
entry=vip
heartbeatMs=1500
bounds.contactMs=3000
bounds.ackTimeoutMs=4000
bounds.drainMs=2000
bounds.graceS=6
bounds.lossSlackMs=200
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
bounds.noticeMs=4500
bounds.migrateS=1.5
bounds.maintenanceS=2
bounds.fencing=false
bounds.leaseMs=3000
orders=rpc
platform.address={host}:{store}
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
cloud.address={host}:{control}
cloud.ratePerS=64.0
cloud.dutyPerS=64.0
"""


class CaseNotRun(Exception):
    """The case can't run on this machine."""


def find_ports(count: int) -> list[int]:
    """Return free ports below those that the kernel gives to outgoing connections."""
    ports: list[int] = []
    for _ in range(100 * count):
        port = _random.randrange(*PORTS)
        if port not in _given_ports and _is_free(port):
            _given_ports.add(port)
            ports.append(port)
        if len(ports) == count:
            return ports
    raise CaseNotRun("there are too few free ports")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file: IO[str] = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self._began_at

    def write(self, what: str, **facts: Any) -> None:
        """Write one line."""
        detail = " ".join(f"{name}={value}" for name, value in facts.items())
        self._file.write(f"{self.now():9.3f} {what} {detail}\n")
        self._file.flush()

    def say(self, what: str, **facts: Any) -> None:
        """Write one line here and on standard output."""
        self.write(what, **facts)
        detail = " ".join(f"{name}={value}" for name, value in facts.items())
        print(f"{self.now():8.2f} {what} {detail}", flush=True)


class EntryVM:
    """One entry VM: its process, started as the deploy file says."""

    def __init__(self, name: str, folder: Path, control: int) -> None:
        self.name = name
        self.frontend, self.readiness, self.store, inner = find_ports(4)
        self._settings = folder / f"{name}.conf"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                host=HOST,
                frontend=self.frontend,
                readiness=self.readiness,
                inner=inner,
                store=self.store,
                control=control,
            )
        )
        self.log_path = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = shlex.split(deploy["roles"]["entry"]["run"])
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["MEDLARSPRING_CONFIG"] = str(self._settings)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def kill(self) -> None:
        """Kill the process."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def memory_mb(self) -> int:
        """Return the resident memory of the process."""
        if self.process is None or self.process.poll() is not None:
            return 0
        pages = Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]
        return int(pages) * os.sysconf("SC_PAGE_SIZE") // 1_000_000

    def logged(self) -> list[dict[str, Any]]:
        """Return the events that the process has logged."""
        found = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            try:
                found.append(json.loads(line))
            except ValueError:
                continue
        return found


class Deployment:
    """Entry VMs, workers, store, machine control and a client."""

    def __init__(self, record: Record, entry_vms: int, workers: int) -> None:
        self.record = record
        self.store = Store()
        self.specs: dict[str, dict[str, Any]] = {}
        """Bodies of the submitted jobs by id."""
        self.starts: list[tuple[float, str, int, str]] = []
        """Time, task, run and worker of each start."""
        self.ends: list[tuple[float, str, int, str]] = []
        self.on_start: Callable[[str, int, str], None] = lambda *_: None
        self.task_seconds = 0.3
        self.seconds_by_job: dict[str, float] = {}
        self._temporary = tempfile.TemporaryDirectory(prefix="medlarspring-review-")
        self.folder = Path(self._temporary.name)
        (self._control,) = find_ports(1)
        self.fleet = Fleet(self.store, self._log_run, self._find_facts)
        self.entry_vms = [
            EntryVM(f"edge-{number}", self.folder, self._control)
            for number in range(1, entry_vms + 1)
        ]
        self.machines = [
            Machine(f"m-{number}", "lookup", f"r1-{number // 4}", port)
            for number, port in enumerate(find_ports(workers))
        ]
        self._tasks: list[asyncio.Task[None]] = []
        self._ids = itertools.count(1)
        self.session: aiohttp.ClientSession | None = None

    def _log_run(self, what: str, **facts: Any) -> None:
        self.record.write(what, **facts)
        if what not in ("start", "end"):
            return
        row = (self.record.now(), facts["task"], facts["run"])
        if what == "start":
            self.on_start(facts["task"], facts["run"], facts["worker"])
            self.starts.append((*row, facts["worker"]))
        else:
            self.ends.append((*row, facts["how"]))

    def _find_facts(self, task: str) -> tuple[float, int, dict[str, Any]]:
        job, _, number, _ = task.split(".")
        step = self.specs[job]["steps"][int(number)]
        seconds = self.seconds_by_job.get(job, self.task_seconds)
        return seconds, step.get("cpu", 0), step

    async def __aenter__(self) -> Deployment:
        if not (ROOT / "target/app").is_dir():
            raise CaseNotRun("run the build of the deploy file first")
        config = {
            "version": 3,
            "routes": [
                {
                    "name": "lookup",
                    "host": QUEUE_HOST,
                    "prefix": "/lookup/",
                    "service": "lookup",
                    "priority": 1,
                    "maxAttempts": 3,
                    "stretch": 2.0,
                    "targetDurationMs": 2_000,
                }
            ],
            "services": [{"name": "lookup", "rejectsOverload": True}],
            "limits": {},
        }
        self.store.put("op/config", json.dumps(config).encode())
        for entry_vm in self.entry_vms:
            await self.store.open(entry_vm.store)
        await self.fleet.open_control(self._control)
        for machine in self.machines:
            await self.fleet.open_worker(machine)
            self.fleet.boot(machine)
        self._tasks = [
            asyncio.create_task(self.store.tick()),
            asyncio.create_task(self.fleet.tick()),
        ]
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=4.0),
        )
        for entry_vm in self.entry_vms:
            entry_vm.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        for entry_vm in self.entry_vms:
            entry_vm.kill()
        for task in self._tasks:
            task.cancel()
        if self.session is not None:
            await self.session.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for entry_vm in self.entry_vms:
                text = entry_vm.log_path.read_text(errors="replace")
                Path(keep, f"{entry_vm.name}.log").write_text(text)
        self._temporary.cleanup()

    async def wait_until_ready(self, seconds: float = 20.0) -> None:
        """Wait until every entry VM reports itself ready and one holds the cell."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            ready = [await self._is_ready(each) for each in self.entry_vms]
            if all(ready) and self.find_controller() is not None:
                return
            await asyncio.sleep(0.2)
        for each in self.entry_vms:
            ended = each.process.poll() if each.process is not None else "not started"
            last = each.log_path.read_text(errors="replace").splitlines()[-3:]
            self.record.write("not-ready", node=each.name, status=ended, log=last)
        raise CaseNotRun("the entry VMs did not become ready")

    async def _is_ready(self, entry_vm: EntryVM) -> bool:
        assert self.session is not None
        url = f"http://{HOST}:{entry_vm.readiness}/api/readyz"
        try:
            async with self.session.get(url) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    def find_controller(self) -> EntryVM | None:
        """Return the machine that last wrote to the store under a condition."""
        for key in self.store.list_keys("controllers/"):
            value = base64.b64decode(self.store.items[key].value)
            holder = json.loads(value)["entry_vm_id"]
            return next(each for each in self.entry_vms if each.name == holder)
        return None

    def new_job(self, tasks: int = 2, cpu: int = 500) -> str:
        """Return the id of a new job of one step."""
        job = f"{next(self._ids):016x}"
        self.specs[job] = {
            "spec": f"payload of {job}",
            "steps": [{"count": tasks, "cpu": cpu, "memMb": 64, "estimateMs": 300}],
        }
        return job

    async def call(self, entry_vm: EntryVM, method: str, job: str) -> tuple[int, str]:
        """Make one call on a job; status 0 if no answer came."""
        assert self.session is not None
        body = json.dumps(self.specs[job]).encode() if method == "POST" else None
        headers = {"Host": QUEUE_HOST, "X-Medlarspring-Deadline-Ms": "3000"}
        url = f"http://{HOST}:{entry_vm.frontend}/lookup/{job}"
        self.record.write("call", method=method, job=job, at=entry_vm.name)
        try:
            async with self.session.request(
                method, url, data=body, headers=headers
            ) as answer:
                status, text = answer.status, await answer.text()
        except (aiohttp.ClientError, TimeoutError) as error:
            status, text = 0, type(error).__name__
        self.record.write(
            "answer", method=method, job=job, at=entry_vm.name, status=status, body=text
        )
        return status, text


def run_case(
    main: Callable[[Record, bool], Coroutine[Any, Any, bool]],
    max_seconds: float = 112.0,
) -> None:
    """Run a case and exit with its status."""
    folder = Path(sys.argv[1])
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")

    async def run() -> bool:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(max_seconds):
            return await main(record, trouble)

    try:
        broken = asyncio.run(run())
    except (CaseNotRun, TimeoutError, asyncio.CancelledError) as error:
        record.say("not-run", reason=repr(error))
        sys.exit(STATUS_NOT_RUN)
    except Exception as error:  # noqa: BLE001
        record.say("not-run", reason=repr(error))
        traceback.print_exc()
        sys.exit(STATUS_NOT_RUN)
    record.say("result", trouble=trouble, broken=broken)
    sys.exit(STATUS_BROKEN if broken else STATUS_HELD)
