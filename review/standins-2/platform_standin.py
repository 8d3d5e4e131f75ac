"""Stand-ins for the platform: store, machine list and workers, on loopback.

One process of the standard library alone. It prints one JSON line with its addresses
when it is ready. An admin address lets a script read what workers did and lets the
records of ended jobs of earlier days arrive in the store.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import bisect
import gc
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

HOST = "127.0.0.1"
STORE_SECONDS = 0.004
HISTORY_SECONDS = 20.0
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
MAX_ENTRIES = 32
HEARTBEAT_SECONDS = 1.5
HOLD_MAX_MS = 10_000
STOP_SECONDS = 0.1
SERVING_SECONDS = 0.9
GANG_TIMEOUT_SECONDS = 3.0
DECIDE_MS = 200
PERIOD_MS = 50
VALID_MS = 3_000

Reply = tuple[int, Any]
Handler = Callable[[str, str, dict[str, str], dict[str, str], bytes], Awaitable[Reply]]


class Server:
    """A small HTTP/1.1 server with keep-alive."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> str:
        """Open a free port and return the address."""
        # The library of this machine alone: the stand-ins run without the bench.
        start = asyncio.start_server  # noqa: TID251
        self._server = await start(self._serve, HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"
        return self.address

    async def close(self) -> None:
        """Close the port and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                parts = urlsplit(target)
                query = {
                    name: values[0] for name, values in parse_qs(parts.query).items()
                }
                status, content = await self._handler(
                    method, unquote(parts.path), query, headers, body
                )
                if isinstance(content, bytes):
                    data = content
                else:
                    data = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


@dataclass(slots=True)
class Item:
    """One key of the store; the value is kept as base64 text."""

    value: str
    revision: int
    created: int
    lease: int = 0


@dataclass(slots=True)
class Lease:
    """A lease and the keys attached to it."""

    ttl: float
    ends_at: float
    keys: set[str] = field(default_factory=set)


class Store:
    """The platform's metadata store."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.keys: list[str] = []
        self.revision = 1
        self.leases: dict[int, Lease] = {}
        self._next_lease = 1
        self._log: list[tuple[int, float, str, str]] = []
        """Revision, time, key and JSON text of each event."""
        self._dropped_to = 0
        self._changed = asyncio.Event()
        self.calls: dict[str, int] = {}
        self.watched_to: dict[str, int] = {}
        """Latest revision up to which a watch of a prefix had its events."""

    # State

    def put(self, key: str, value: str, lease: int = 0) -> None:
        """Write a key at the present revision."""
        known = self.items.get(key)
        if known is None:
            bisect.insort(self.keys, key)
            created = self.revision
        else:
            created = known.created
            if known.lease and known.lease in self.leases:
                self.leases[known.lease].keys.discard(key)
        item = Item(value, self.revision, created, lease)
        self.items[key] = item
        if lease:
            self.leases[lease].keys.add(key)
        self._record(key, encode_item(key, item))

    def delete(self, key: str) -> None:
        """Delete a key at the present revision."""
        item = self.items.pop(key, None)
        if item is None:
            return
        del self.keys[bisect.bisect_left(self.keys, key)]
        if item.lease in self.leases:
            self.leases[item.lease].keys.discard(key)
        event = {"key": key, "revision": self.revision, "removed": True}
        self._record(key, json.dumps(event))

    def _record(self, key: str, text: str) -> None:
        self._log.append((self.revision, time.monotonic(), key, text))

    def notify(self) -> None:
        """Wake the watches that wait."""
        self._changed.set()
        self._changed = asyncio.Event()

    def write(self, key: str, value: bytes) -> None:
        """Write one key in a change of its own."""
        self.revision += 1
        self.put(key, base64.b64encode(value).decode())
        self.notify()

    async def run(self) -> None:
        """End leases and drop old history until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease_id, lease in list(self.leases.items()):
                if lease.ends_at <= now:
                    self.end_lease(lease_id)
            cut = 0
            while cut < len(self._log) and self._log[cut][1] < now - HISTORY_SECONDS:
                cut += 1
            if cut:
                self._dropped_to = self._log[cut - 1][0]
                del self._log[:cut]

    def end_lease(self, lease_id: int) -> None:
        """End a lease and remove its keys."""
        lease = self.leases.pop(lease_id, None)
        if lease is not None and lease.keys:
            self.revision += 1
            for key in list(lease.keys):
                self.delete(key)
            self.notify()

    # Calls

    async def handle(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        headers: dict[str, str],
        body: bytes,
    ) -> Reply:
        """Answer one call."""
        name = "/".join(path.split("/")[:3])
        self.calls[name] = self.calls.get(name, 0) + 1
        await asyncio.sleep(STORE_SECONDS)
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            text = encode_item(query["key"], item)
            return 200, f'{text[:-1]}, "asOf": {self.revision}}}'.encode()
        if path == "/api/kv-range":
            return self._range(query["prefix"], query.get("after", ""))
        if path == "/api/kv-watch":
            return await self._watch(query)
        if path == "/api/kv-txn":
            return self._txn(json.loads(body))
        if path == "/api/kv-lease":
            ttl_ms = max(json.loads(body)["ttlMs"], 1_000)
            lease_id = self._next_lease
            self._next_lease += 1
            ends_at = time.monotonic() + ttl_ms / 1_000
            self.leases[lease_id] = Lease(ttl_ms / 1_000, ends_at)
            return 200, {"lease": lease_id, "ttlMs": ttl_ms}
        if path.startswith("/api/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if lease is None:
                return 404, {}
            lease.ends_at = time.monotonic() + lease.ttl
            return 200, {"ttlMs": round(lease.ttl * 1_000)}
        if path.startswith("/api/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    def _range(self, prefix: str, after: str) -> Reply:
        if after:
            start = bisect.bisect_right(self.keys, after)
        else:
            start = bisect.bisect_left(self.keys, prefix)
        page: list[str] = []
        size = 0
        has_more = False
        for index in range(start, len(self.keys)):
            key = self.keys[index]
            if not key.startswith(prefix):
                break
            if len(page) >= PAGE_ITEMS or size >= PAGE_BYTES:
                has_more = True
                break
            text = encode_item(key, self.items[key])
            page.append(text)
            size += len(text)
        flag = "true" if has_more else "false"
        text = ",".join(page)
        return 200, (
            f'{{"items":[{text}],"hasMore":{flag},"asOf":{self.revision}}}'
        ).encode()

    async def _watch(self, query: dict[str, str]) -> Reply:
        prefix, after = query["prefix"], int(query["after"])
        self.watched_to[prefix] = max(self.watched_to.get(prefix, 0), after)
        until = time.monotonic() + min(int(query.get("waitMs", "0")), 30_000) / 1_000
        while True:
            changed = self._changed
            if after < self._dropped_to:
                return 410, {}
            events = [
                text
                for _, _, key, text in self._log[self._find(after) :]
                if key.startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                text = ",".join(events)
                return 200, f'{{"events":[{text}],"asOf":{self.revision}}}'.encode()
            after = max(after, self.revision)
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    def _find(self, after: int) -> int:
        return bisect.bisect_right(self._log, after, key=lambda event: event[0])

    def _txn(self, txn: dict[str, Any]) -> Reply:
        expects = txn.get("expectedRev", [])
        puts, deletes = txn.get("puts", []), txn.get("deletes", [])
        if len(expects) + len(puts) + len(deletes) > MAX_ENTRIES:
            return 400, {}
        if any(put["key"].startswith(("op/", "servers/")) for put in puts):
            return 403, {}
        for each in expects:
            item = self.items.get(each["key"])
            if (item.revision if item else 0) != each["revision"]:
                return 412, self._list_expected(expects)
        if any(put.get("lease", 0) and put["lease"] not in self.leases for put in puts):
            return 404, {}
        self.revision += 1
        for put in puts:
            self.put(put["key"], put["value"], put.get("lease", 0))
        for key in deletes:
            self.delete(key)
        self.notify()
        return 200, {"revision": self.revision}

    def _list_expected(self, expects: list[dict[str, Any]]) -> bytes:
        found = [
            encode_item(each["key"], self.items[each["key"]])
            for each in expects
            if each["key"] in self.items
        ]
        text = ",".join(found)
        return f'{{"items":[{text}],"asOf":{self.revision}}}'.encode()


def encode_item(key: str, item: Item) -> str:
    """Return an item as JSON text; keys of this system need no escapes."""
    return (
        f'{{"key":"{key}","value":"{item.value}","revision":{item.revision},'
        f'"created":{item.created},"lease":{item.lease}}}'
    )


@dataclass(slots=True)
class Run:
    """One run on a worker."""

    task: str
    number: int
    seconds: float
    """Duration; 0 for a task that lasts."""
    started_at: float
    checkpoint: str = ""
    """Value that the start carried."""
    stopping_at: float = 0.0
    gang: Gang | None = None


class Gang:
    """The members of one run of a gang.

    They work from the moment when all are present. Members that were told to go on
    from different points can't work together, and so wait for the others in vain.
    """

    def __init__(self, size: int, seconds: float) -> None:
        self.members: dict[str, tuple[Worker, Run]] = {}
        self._size = size
        self._seconds = seconds
        self._began_at = 0.0
        self._done_before = 0.0

    def add(self, worker: Worker, run: Run) -> None:
        """Add a member that has started."""
        self.members[run.task] = (worker, run)
        if len(self.members) < self._size:
            return
        values = {run.checkpoint for _, run in self.members.values()}
        if len(values) == 1:
            self._began_at = time.monotonic()
            self._done_before = int(values.pop() or "0", 16) / 1_000

    def measure(self) -> float:
        """Return the seconds of work that are done."""
        if not self._began_at:
            return 0.0
        return self._done_before + time.monotonic() - self._began_at

    def checkpoint(self, run: Run, *, at_stop: bool = False) -> str:
        """Return the newest value; one comes with each second of work and at a stop."""
        done = self.measure()
        done_ms = int(done * 1_000) if at_stop else int(done) * 1_000
        return format(done_ms, "016x") if done_ms else run.checkpoint

    def percent(self) -> int:
        """Return the progress of each member."""
        return min(int(self.measure() / self._seconds * 100), 100)

    def find_end(self, run: Run) -> str:
        """Return how a member ends now; empty if it doesn't."""
        if self._began_at and self.measure() >= self._seconds:
            return "done"
        waited = time.monotonic() - run.started_at
        if not self._began_at and waited >= GANG_TIMEOUT_SECONDS:
            return "alone"
        return ""

    def break_up(self, ended: Run) -> None:
        """End the other members, as one has ended before the work was done."""
        self.members.pop(ended.task, None)
        if not self._began_at:
            return
        others, self.members = list(self.members.values()), {}
        for worker, run in others:
            worker.end(run, "broken")


class Worker:
    """A sound worker."""

    def __init__(
        self,
        number: int,
        pool: str,
        journal: list[dict[str, Any]],
        gangs: dict[tuple[str, int], Gang],
        machine: str = "",
    ) -> None:
        self.id = f"i-{number:05x}"
        self.machine = machine or f"m-{number}"
        self.is_up = True
        self.adviser: Adviser | None = None
        self.pool = pool
        self._journal = journal
        self._gangs = gangs
        self._born_at = time.monotonic()
        self._fence = 0
        self._lease_ms = 0
        self._runs: dict[tuple[str, int], Run] = {}
        self._ended: list[list[Any]] = []
        self._next_end = 1
        self._acknowledged = 0
        self._refused_up_to: dict[str, int] = {}
        self.server = Server(self.handle)

    def clock_ms(self) -> int:
        """Return the worker's steady clock."""
        return 100_000 + round((time.monotonic() - self._born_at) * 1_000)

    def entry(self, seq: int) -> bytes:
        """Return the worker's entry in the store."""
        entry = {
            "service": self.pool,
            "address": self.server.address,
            "zone": "zone-a",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "warmupLeftMs": 0,
            "seq": seq,
            "capacity": {"cpu": 32_000, "memMb": 65_536, "gpu": 0},
            "labels": ["a", "r1-1"],
            "machineId": self.machine,
        }
        return json.dumps(entry).encode()

    def describe_machine(self) -> dict[str, Any]:
        """Return the row of the machine list."""
        return {
            "machineId": self.machine,
            "pool": self.pool,
            "state": "up" if self.is_up else "down",
            "zone": "zone-a",
            "labels": ["a", "r1-1"],
            "capacity": {"cpu": 32_000, "memMb": 65_536, "gpu": 0},
            "id": self.id if self.is_up else "",
        }

    async def crash(self) -> None:
        """End the worker and all that runs on it, without a word."""
        self.is_up = False
        lost = list(self._runs.values())
        self._runs.clear()
        for run in lost:
            self._note("lost", run.task, run.number)
            if run.gang is not None:
                run.gang.break_up(run)
        await self.server.close()

    def advance(self) -> None:
        """End what is over by now."""
        now = time.monotonic()
        lapsed = self._lease_ms and self.clock_ms() > self._lease_ms
        for run in list(self._runs.values()):
            if (run.task, run.number) not in self._runs:
                continue
            if lapsed:
                self.end(run, "lapsed")
            elif run.stopping_at and run.stopping_at <= now:
                self.end(run, "stopped")
            elif run.gang is not None:
                how = run.gang.find_end(run)
                if how:
                    self.end(run, how)
            elif run.seconds and run.started_at + run.seconds <= now:
                self.end(run, "done")

    def end(self, run: Run, how: str) -> None:
        """End a run and list its end."""
        del self._runs[(run.task, run.number)]
        saved = ""
        if run.gang is not None:
            saved = run.gang.checkpoint(run, at_stop=how == "stopped")
        highest = max(self._refused_up_to.get(run.task, 0), run.number)
        self._refused_up_to[run.task] = highest
        self._ended.append([self._next_end, run.task, run.number, how, saved])
        self._next_end += 1
        self._note("end", run.task, run.number, how)
        if run.gang is not None and how != "done":
            run.gang.break_up(run)

    def _note(self, what: str, task: str, number: int, how: str = "") -> None:
        self._journal.append(
            {
                "at": time.monotonic(),
                "what": what,
                "worker": self.id,
                "task": task,
                "run": number,
                "how": how,
            }
        )

    async def handle(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        headers: dict[str, str],
        body: bytes,
    ) -> Reply:
        """Answer one order."""
        if headers.get("x-medlarspring-expected-instance", self.id) != self.id:
            return 421, {}
        order = json.loads(body) if body else {}
        self.advance()
        if order.get("fence", 0) < self._fence:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self._fence = order.get("fence", 0)
        if path == "/api/run-start":
            return self._start(order)
        if path == "/api/run-stop":
            task, number = order["task"], order["run"]
            highest = max(self._refused_up_to.get(task, 0), number)
            self._refused_up_to[task] = highest
            run = self._runs.get((task, number))
            if run is not None and not run.stopping_at:
                run.stopping_at = time.monotonic() + STOP_SECONDS
            return 200, {"clockMs": self.clock_ms()}
        if path == "/api/hold":
            return await self._hold(order)
        if path == "/api/pace":
            return 200, {"clockMs": self.clock_ms()}
        return 404, {}

    def _start(self, order: dict[str, Any]) -> Reply:
        task, number = order["task"], order["run"]
        clock = self.clock_ms()
        if order["untilMs"] < clock:
            return 409, {"clockMs": clock, "reason": "late"}
        self._extend(order["untilMs"])
        if (task, number) in self._runs:
            return 200, {"clockMs": clock}
        if number <= self._refused_up_to.get(task, 0):
            return 409, {"clockMs": clock, "reason": "old"}
        spec = json.loads(order["spec"])
        if "hinted" in spec and not self._is_advised(order):
            return 409, {"clockMs": clock, "reason": "ticket"}
        checkpoint = order.get("checkpointed", "")
        run = Run(task, number, spec["seconds"], time.monotonic(), checkpoint)
        self._runs[(task, number)] = run
        self._note("start", task, number, checkpoint)
        if "gang" in spec:
            key = (task.rpartition(".")[0], number)
            if key not in self._gangs:
                self._gangs[key] = Gang(spec["gang"], spec["seconds"])
            run.gang = self._gangs[key]
            run.gang.add(self, run)
        return 200, {"clockMs": clock}

    def _is_advised(self, order: dict[str, Any]) -> bool:
        ticket = order.get("ticket", "")
        if self.adviser is None:
            return False
        return self.adviser.accepts(ticket, order["task"], self.id)

    def _extend(self, until_ms: int) -> None:
        until_ms = min(until_ms, self.clock_ms() + HOLD_MAX_MS)
        self._lease_ms = max(self._lease_ms, until_ms)

    async def _hold(self, order: dict[str, Any]) -> Reply:
        if order.get("untilMs"):
            self._extend(order["untilMs"])
        self._acknowledged = max(self._acknowledged, order.get("ackCursor", 0))
        self._ended = [row for row in self._ended if row[0] > self._acknowledged]
        until = time.monotonic() + min(order.get("waitMs", 0), 2_000) / 1_000
        while not self._ended and time.monotonic() < until:
            await asyncio.sleep(0.02)
            self.advance()
        now = time.monotonic()
        running = []
        for run in self._runs.values():
            if run.gang is not None:
                saved, percent = run.gang.checkpoint(run), run.gang.percent()
                running.append([run.task, run.number, saved, percent, 0])
                continue
            full = run.seconds or SERVING_SECONDS
            percent = min(int((now - run.started_at) / full * 100), 100)
            running.append([run.task, run.number, "", percent, 0])
        return 200, {
            "clockMs": self.clock_ms(),
            "running": running,
            "finished": self._ended[:500],
        }


class Adviser:
    """The service that knows which workers a restricted queue's steps may use."""

    def __init__(self, workers: list[Worker]) -> None:
        self._workers = workers
        self._turn = asyncio.Lock()
        self._tickets: dict[str, float] = {}
        """Times at which the tickets end."""
        self.allowed_by_job: dict[str, list[str]] = {}
        """Workers that a job may use; all for the others."""
        self.calls: list[dict[str, Any]] = []

    async def handle(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        headers: dict[str, str],
        body: bytes,
    ) -> Reply:
        """Answer one call, after those that came before it."""
        question = json.loads(body)
        step, workers = question["step"], question["workers"]
        async with self._turn:
            await asyncio.sleep((DECIDE_MS + PERIOD_MS * len(workers)) / 1_000)
        self.calls.append({"at": time.monotonic(), "step": step})
        known = [worker.id for worker in self._workers]
        allowed = self.allowed_by_job.get(step.partition(".")[0], known)
        rows = []
        for worker in workers:
            if worker in allowed:
                ticket = f"{step}-{worker}-{len(self._tickets)}"
                self._tickets[ticket] = time.monotonic() + VALID_MS / 1_000
                rows.append([worker, ticket])
        return 200, {"allowed": rows, "validMs": VALID_MS}

    def accepts(self, ticket: str, task: str, worker: str) -> bool:
        """Return whether a ticket permits a task to start on a worker now."""
        step = task.rpartition(".")[0]
        if not ticket.startswith(f"{step}-{worker}-"):
            return False
        return time.monotonic() < self._tickets.get(ticket, 0.0)


class Platform:
    """All stand-ins, and the admin address of the script."""

    def __init__(self, workers: int) -> None:
        self.store = Store()
        self.journal: list[dict[str, Any]] = []
        self._gangs: dict[tuple[str, int], Gang] = {}
        self.workers = [
            Worker(number, "svc-a", self.journal, self._gangs)
            for number in range(1, workers + 1)
        ]
        self._adviser = Adviser(self.workers)
        for worker in self.workers:
            worker.adviser = self._adviser
        self._next_number = workers
        self._seq = 0
        self._aged = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._aging: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Serve until cancelled."""
        store = await Server(self.store.handle).open()
        cloud = await Server(self._handle_cloud).open()
        hint = await Server(self._adviser.handle).open()
        admin = await Server(self._handle_admin).open()
        for worker in self.workers:
            await worker.server.open()
        self._write_config()
        tasks = [
            asyncio.create_task(self.store.run()),
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._advance()),
        ]
        addresses = {"store": store, "cloud": cloud, "hint": hint, "admin": admin}
        print(json.dumps(addresses), flush=True)
        await asyncio.gather(*tasks)

    def _write_config(self) -> None:
        config = {
            "version": 3,
            "routes": [
                {
                    "name": "batch",
                    "host": "jobs.example",
                    "prefix": "/batch/",
                    "service": "svc-a",
                    "priority": 1,
                    "maxAttempts": 3,
                    "stretch": 2.0,
                    "targetDurationMs": 600,
                },
                {
                    "name": "hinted",
                    "host": "jobs.example",
                    "prefix": "/hinted/",
                    "service": "svc-a",
                    "priority": 1,
                    "maxAttempts": 3,
                    "stretch": 2.0,
                    "targetDurationMs": 600,
                    "hint": {
                        "decideMs": DECIDE_MS,
                        "periodMs": PERIOD_MS,
                        "validMs": VALID_MS,
                    },
                },
                {
                    "name": "lasting",
                    "host": "jobs.example",
                    "prefix": "/lasting/",
                    "service": "svc-a",
                    "priority": 0,
                    "maxAttempts": 4,
                    "stretch": 2.0,
                    "targetDurationMs": 2_500,
                },
            ],
            "services": [{"name": "svc-a", "rejectsOverload": True}],
            "limits": {"maxBodyBytes": 262_144},
        }
        self.store.write("op/config", json.dumps(config).encode())

    async def _beat(self) -> None:
        while True:
            for worker in self.workers:
                if worker.is_up:
                    self._write_entry(worker)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _advance(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            for worker in self.workers:
                if worker.is_up:
                    worker.advance()

    async def _handle_cloud(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        headers: dict[str, str],
        body: bytes,
    ) -> Reply:
        if path == "/api/machines":
            machines = [worker.describe_machine() for worker in self.workers]
            return 200, {"machines": machines, "nextToken": ""}
        return 409, {"reason": "busy"}

    async def _handle_admin(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        headers: dict[str, str],
        body: bytes,
    ) -> Reply:
        if body:
            return await self._follow_script(path, json.loads(body))
        return self._show(path, query)

    def _show(self, path: str, query: dict[str, str]) -> Reply:
        """Return what a script asks for."""
        if path == "/journal":
            return 200, self.journal
        if path == "/advice":
            return 200, self._adviser.calls
        if path == "/keys":
            prefix = query["prefix"]
            return 200, [key for key in self.store.keys if key.startswith(prefix)]
        if path == "/value" and query["key"] in self.store.items:
            return 200, base64.b64decode(self.store.items[query["key"]].value)
        if path == "/state":
            return 200, {"aged": self._aged, "calls": self.store.calls}
        return 404, {}

    async def _follow_script(self, path: str, order: dict[str, Any]) -> Reply:
        """Do what a script asks for."""
        if path == "/policy":
            self._adviser.allowed_by_job.update(order)
            return 200, {}
        if path == "/age":
            self._aging = asyncio.create_task(
                self._age(
                    order["prefix"], order["value"], order["count"], order["rate"]
                )
            )
            return 200, {}
        if path == "/crash":
            for worker in self.workers:
                if worker.id == order["worker"]:
                    await self._crash(worker, order["seconds"])
                    return 200, {}
        return 404, {}

    async def _crash(self, worker: Worker, seconds: float) -> None:
        """Crash a worker's machine; its next worker comes after some seconds."""
        await worker.crash()
        self._note_crash(worker)
        self._tasks.append(asyncio.create_task(self._replace(worker, seconds)))

    def _note_crash(self, worker: Worker) -> None:
        self.journal.append(
            {
                "at": time.monotonic(),
                "what": "crash",
                "worker": worker.id,
                "task": "",
                "run": 0,
                "how": "",
            }
        )

    async def _replace(self, worker: Worker, seconds: float) -> None:
        """Let an entry lapse, and start the machine's next worker."""
        await asyncio.sleep(seconds)
        self._next_number += 1
        following = Worker(self._next_number, worker.pool, self.journal, worker.machine)
        following.adviser = self._adviser
        await following.server.open()
        self.workers[self.workers.index(worker)] = following
        self._write_entry(following)
        self.store.revision += 1
        self.store.delete(f"servers/{worker.id}")
        self.store.notify()

    def _write_entry(self, worker: Worker) -> None:
        self._seq += 1
        self.store.write(f"servers/{worker.id}", worker.entry(self._seq))

    async def _age(self, prefix: str, value: str, count: int, rate: int) -> None:
        """Write the records of ended jobs, as the system wrote one, at a rate.

        It waits while the watch of these keys is behind, so that no answer to a watch
        gets large.
        """
        text = base64.b64encode(value.encode()).decode()
        watched = prefix.removesuffix("job/")
        while self._aged < count:
            began_at = time.monotonic()
            wanted = min(rate // 100, count - self._aged)
            while wanted > 0:
                if self.store.revision - self.store.watched_to.get(watched, 0) > 40:
                    break
                # As the system writes them: several jobs in one change.
                self.store.revision += 1
                for _ in range(10):
                    self.store.put(f"{prefix}{self._aged:016x}", text)
                    self._aged += 1
                wanted -= 10
            self.store.notify()
            await asyncio.sleep(max(began_at + 0.01 - time.monotonic(), 0.001))


def main() -> None:
    """Run the stand-ins."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--workers", type=int, default=4)
    arguments = parser.parse_args()
    # A full collection over a large store would stop all stand-ins for a second.
    gc.disable()
    platform = Platform(arguments.workers)
    asyncio.run(platform.run())


if __name__ == "__main__":
    main()
