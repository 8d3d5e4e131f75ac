"""Loopback stand-ins of the platform: store, machine control and workers.

They follow PROTOCOL.md. Every entry VM reaches the store through a port of its own,
so that a fault can be put on the calls of one machine.
"""

from __future__ import annotations

import asyncio
import base64
import bisect
import itertools
import json
import random
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

HOST = ".".join(
    ["127", *(str(random.SystemRandom().randint(1, 250)) for _ in range(3))]
)
"""A loopback address of this run's own, so that runs side by side share no port."""
PAGE_ITEMS = 500
HISTORY_EVENTS = 200_000
HOLD_MAX_MS = 10_000
STOP_SECONDS = 0.1
STARTUP_SECONDS = 0.3


def encode(value: bytes) -> str:
    """Return bytes as the store's base64 text."""
    return base64.b64encode(value).decode("ascii")


class Item(NamedTuple):
    """What the store holds under a key."""

    value: str
    revision: int
    created: int
    lease: int

    def to_json(self, key: str) -> dict[str, Any]:
        """Return the item as the store's answers hold it."""
        return {"key": key} | self._asdict()


@dataclass
class Fault:
    """What the store does with the calls of one entry VM."""

    mode: str = "ok"
    """``ok``, ``busy`` (503) or ``silent``."""
    seconds: float = 0.004


class Store:
    """The platform's metadata store."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.keys: list[str] = []
        self.old_keys: list[str] = []
        self._old_item: Item | None = None
        self.revision = 100
        self.events: list[dict[str, Any]] = []
        self.first_revision = 101
        self.leases: dict[int, list[float]] = {}
        self.changed = asyncio.Event()
        self.faults: dict[int, Fault] = {}
        self.calls = 0
        self._ids = itertools.count(7_000)
        self._leased: set[str] = set()
        """Keys that end with a lease."""
        self.slowest = 0.0
        """Longest time that a call took, in seconds, beyond the time that it waits."""

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key as the operator or a worker does."""
        self.revision += 1
        self._put(key, encode(value), lease)
        self._notify()

    def delete(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        self._delete(key)
        self._notify()

    def add_old(self, keys: list[str], item: Item) -> None:
        """Add sorted records that were written long ago, outside the history."""
        self.old_keys, self._old_item = keys, item

    def _find(self, key: str) -> Item | None:
        found = self.items.get(key)
        if found is None and self._old_item is not None:
            index = bisect.bisect_left(self.old_keys, key)
            if index < len(self.old_keys) and self.old_keys[index] == key:
                return self._old_item
        return found

    def list_keys(self, prefix: str) -> list[str]:
        """Return the keys with a prefix."""
        start = bisect.bisect_left(self.keys, prefix)
        return list(
            itertools.takewhile(
                lambda key: key.startswith(prefix),
                itertools.islice(self.keys, start, None),
            )
        )

    def _put(self, key: str, value: str, lease: int) -> None:
        known = self.items.get(key)
        if known is None:
            bisect.insort(self.keys, key)
        created = known.created if known else self.revision
        item = Item(value, self.revision, created, lease)
        self.items[key] = item
        self.events.append(item.to_json(key))
        if lease:
            self._leased.add(key)

    def _delete(self, key: str) -> None:
        self._leased.discard(key)
        if self.items.pop(key, None) is None:
            return
        del self.keys[bisect.bisect_left(self.keys, key)]
        self.events.append({"key": key, "revision": self.revision, "removed": True})

    def _notify(self) -> None:
        if len(self.events) > HISTORY_EVENTS:
            del self.events[: HISTORY_EVENTS // 2]
            self.first_revision = self.events[0]["revision"]
        self.changed.set()
        self.changed = asyncio.Event()

    def forget_history(self) -> None:
        """Drop the history; watches from before get 410."""
        self.events.clear()
        self.first_revision = self.revision + 1
        self._notify()

    def _expire(self) -> None:
        now = time.monotonic()
        for lease, (until, _) in list(self.leases.items()):
            if now >= until:
                self._end(lease)

    def _end(self, lease: int) -> None:
        del self.leases[lease]
        keys = [key for key in self._leased if self.items[key].lease == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._delete(key)
            self._notify()

    async def tick(self) -> None:
        """Expire leases until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            self._expire()

    async def open(self, port: int) -> None:
        """Open the port of one entry VM."""
        self.faults[port] = Fault()
        app = web.Application(client_max_size=1 << 24)
        app.router.add_route(
            "*", "/{path:.*}", lambda request: self._handle(request, port)
        )
        await _serve(app, port)

    async def _handle(self, request: web.Request, port: int) -> web.StreamResponse:
        self.calls += 1
        fault = self.faults[port]
        body = await request.read()
        if fault.mode == "busy":
            return web.Response(status=503)
        if fault.mode == "silent":
            await asyncio.Event().wait()
        began_at = time.monotonic()
        await asyncio.sleep(fault.seconds)
        if fault.mode == "busy":
            return web.Response(status=503)
        self._expire()
        if request.path == "/api/kv-watch":
            return await self._watch(request)
        self.slowest = max(self.slowest, time.monotonic() - began_at - fault.seconds)
        return self._answer(request, body)

    def _answer(self, request: web.Request, body: bytes) -> web.Response:
        path = request.path
        if path == "/api/kv-key":
            return self._read(request.query["key"])
        if path == "/api/kv-range":
            return self._range(request.query["prefix"], request.query.get("after", ""))
        if path == "/api/kv-txn":
            return self._txn(json.loads(body))
        if path == "/api/kv-lease":
            return self._grant(json.loads(body))
        name, _, lease = path.rpartition("/")
        return self._keep_or_end(name, int(lease))

    def _keep_or_end(self, name: str, lease: int) -> web.Response:
        known = self.leases.get(lease)
        if known is None:
            return web.Response(status=404)
        if name == "/api/kv-keep":
            known[0] = time.monotonic() + known[1]
            return _json({"ttlMs": round(known[1] * 1_000)})
        self._end(lease)
        return _json({})

    def _read(self, key: str) -> web.Response:
        item = self._find(key)
        if item is None:
            return web.Response(status=404)
        return _json(item.to_json(key) | {"asOf": self.revision})

    def _range(self, prefix: str, after: str) -> web.Response:
        found: list[str] = []
        for keys in (self.keys, self.old_keys):
            start = bisect.bisect_right(keys, after) if after else 0
            start = max(start, bisect.bisect_left(keys, prefix))
            found += itertools.takewhile(
                lambda key: key.startswith(prefix),
                itertools.islice(keys, start, start + PAGE_ITEMS + 1),
            )
        found.sort()
        items = [self._find(key) for key in found[:PAGE_ITEMS]]
        return _json(
            {
                "items": [
                    item.to_json(key)
                    for key, item in zip(found, items, strict=False)
                    if item is not None
                ],
                "hasMore": len(found) > PAGE_ITEMS,
                "asOf": self.revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        until = time.monotonic() + int(request.query.get("waitMs", "0")) / 1_000
        while True:
            changed = self.changed
            if after + 1 < self.first_revision:
                return web.Response(status=410)
            start = bisect.bisect_right(
                self.events, after, key=lambda each: each["revision"]
            )
            found = [
                each for each in self.events[start:] if each["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                return _json({"events": found, "asOf": self.revision})
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue

    def _txn(self, txn: dict[str, Any]) -> web.Response:
        size = len(txn["expectedRev"]) + len(txn["puts"]) + len(txn["deletes"])
        if size > 32:
            return web.Response(status=400)
        failed = [
            each
            for each in txn["expectedRev"]
            if self._find_revision(each["key"]) != each["revision"]
        ]
        if failed:
            keys = [each["key"] for each in txn["expectedRev"]]
            items = [self.items[key].to_json(key) for key in keys if key in self.items]
            return _json({"items": items, "asOf": self.revision}, status=412)
        for each in txn["puts"]:
            if each.get("lease") and each["lease"] not in self.leases:
                return web.Response(status=404)
        self.revision += 1
        for each in txn["puts"]:
            self._put(each["key"], each["value"], each.get("lease", 0))
        for key in txn["deletes"]:
            self._delete(key)
        self._notify()
        return _json({"revision": self.revision})

    def _find_revision(self, key: str) -> int:
        item = self._find(key)
        return item.revision if item is not None else 0

    def _grant(self, body: dict[str, Any]) -> web.Response:
        lease, ttl = next(self._ids), max(body["ttlMs"] / 1_000, 1.0)
        self.leases[lease] = [time.monotonic() + ttl, ttl]
        return _json({"lease": lease, "ttlMs": round(ttl * 1_000)})


@dataclass
class Run:
    """A run on a worker."""

    task: str
    number: int
    ends_at: float
    started_at: float
    lasts: bool
    stops_at: float | None = None


@dataclass
class Worker:
    """One life of a machine's worker."""

    id: str
    machine: Machine
    born: int
    started_at: float = field(default_factory=time.monotonic)
    fence: int = 0
    lease_ms: int = 0
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    ended: list[list[Any]] = field(default_factory=list)
    next_end: int = 1
    ended_up_to: dict[str, int] = field(default_factory=dict)
    alive: bool = True
    lapsed_at: float = float("-inf")
    """When its lease last ran out."""
    end_times: dict[int, float] = field(default_factory=dict)
    """Times of the ends by number."""

    def clock(self) -> int:
        """Return the worker's steady clock in ms."""
        return 5_000 + round((time.monotonic() - self.started_at) * 1_000)


@dataclass
class Machine:
    """A machine of a pool."""

    id: str
    pool: str
    rack: str
    port: int
    cpu: int = 32_000
    mem: int = 64_000
    zone: str = "zone-a"
    state: str = "up"
    worker: Worker | None = None
    runner: web.AppRunner | None = None
    site: web.TCPSite | None = None
    transports: set[asyncio.Transport] = field(default_factory=set)


class Fleet:
    """Machine control and workers."""

    def __init__(
        self,
        store: Store,
        log: Callable[..., None],
        task_seconds: Callable[[str], tuple[float, int, dict[str, Any]]],
    ) -> None:
        self.store = store
        self.log = log
        self.machines: dict[str, Machine] = {}
        self._task_facts = task_seconds
        """Duration, cpu and step, by task name."""
        self._numbers = itertools.count(1)
        self.rng = random.Random(1)
        self.late_share = 0.0
        """Share of the start orders that get no answer and are carried out late."""
        self.noted: dict[str, tuple[float, int]] = {}
        """Tasks that ended ``done`` and whose end was taken note of: time and run."""
        self._late: set[asyncio.Task[None]] = set()

    def boot(self, machine: Machine, worker_id: str = "") -> Worker:
        """Start the next life of a machine's worker, and register it."""
        worker = Worker(
            worker_id or f"w{next(self._numbers):04x}",
            machine,
            round(time.time() * 1_000),
        )
        machine.worker = worker
        machine.state = "up"
        self.machines[machine.id] = machine
        self.register(worker)
        return worker

    def register(self, worker: Worker, state: str = "ready") -> None:
        """Write a worker's entry."""
        machine = worker.machine
        entry = {
            "service": machine.pool,
            "address": f"{HOST}:{machine.port}",
            "zone": machine.zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "warmupLeftMs": 0,
            "seq": 1,
            "machineId": machine.id,
            "capacity": {"cpu": machine.cpu, "memMb": machine.mem, "gpu": 0},
            "labels": ["a", machine.rack],
            "clockMs": worker.clock(),
            "born": worker.born,
        }
        self.store.put(f"servers/{worker.id}", json.dumps(entry).encode())

    async def crash(self, machine: Machine) -> str:
        """End a worker without notice; return its id."""
        worker, machine.worker, machine.state = machine.worker, None, "down"
        assert worker is not None
        assert machine.site is not None
        self.log_event("worker-down", worker=worker.id, runs=len(worker.runs))
        worker.alive = False
        worker.runs.clear()
        for transport in machine.transports:
            transport.abort()
        machine.transports.clear()
        await machine.site.stop()
        return worker.id

    async def restart(self, machine: Machine, worker_id: str) -> None:
        """Start a worker again under the id that it had."""
        assert machine.runner is not None
        machine.site = web.TCPSite(machine.runner, HOST, machine.port, backlog=1_024)
        await machine.site.start()
        worker = self.boot(machine, worker_id)
        self.log_event("worker-up", worker=worker.id, born=worker.born)

    async def open_control(self, port: int) -> None:
        """Open the port of the machine control."""
        app = web.Application()
        app.router.add_get("/api/machines", self._list)
        app.router.add_post("/api/machine-move", self._move)
        app.router.add_post("/api/machine-upkeep", self._refuse)
        await _serve(app, port)

    async def open_worker(self, machine: Machine) -> None:
        """Open the port of a machine's workers."""
        app = web.Application()
        for name, handler in (
            ("run-start", self._start),
            ("run-stop", self._stop),
            ("hold", self._hold),
            ("pace", self._pace),
        ):
            app.router.add_post(f"/api/{name}", _bind(self, name, handler, machine))
        machine.runner, machine.site = await _serve(app, machine.port)

    async def _list(self, _: web.Request) -> web.Response:
        rows = [
            {
                "machineId": each.id,
                "pool": each.pool,
                "state": each.state,
                "zone": each.zone,
                "labels": ["a", each.rack],
                "capacity": {"cpu": each.cpu, "memMb": each.mem, "gpu": 0},
                "id": each.worker.id if each.worker else "",
            }
            for each in self.machines.values()
        ]
        return _json({"machines": rows, "nextToken": None})

    async def _move(self, request: web.Request) -> web.Response:
        # All machines are busy at the platform: it moves none in this short time.
        await request.read()
        return _json({"reason": "busy"}, status=409)

    async def _refuse(self, request: web.Request) -> web.Response:
        await request.read()
        return _json({"reason": "wave"}, status=409)

    def advance(self, worker: Worker) -> None:
        """Carry out what has become due on a worker."""
        now = time.monotonic()
        if worker.clock() > worker.lease_ms:
            worker.lapsed_at = now
        if worker.runs and worker.clock() > worker.lease_ms:
            for run in list(worker.runs.values()):
                self._end(worker, run, "lapsed")
        for run in list(worker.runs.values()):
            if run.stops_at is not None and now >= run.stops_at:
                self._end(worker, run, "stopped")
            elif run.stops_at is None and not run.lasts and now >= run.ends_at:
                self._end(worker, run, "done")

    def _end(self, worker: Worker, run: Run, how: str) -> None:
        del worker.runs[(run.task, run.number)]
        highest = max(worker.ended_up_to.get(run.task, 0), run.number)
        worker.ended_up_to[run.task] = highest
        worker.ended.append([worker.next_end, run.task, run.number, how, ""])
        worker.end_times[worker.next_end] = time.monotonic()
        worker.next_end += 1
        self.log("end", task=run.task, run=run.number, worker=worker.id, how=how)

    def _check(self, worker: Worker, body: dict[str, Any]) -> web.Response | None:
        self.advance(worker)
        fence = body.get("fence", 0)
        if fence < worker.fence:
            return _reason(worker, "fence")
        worker.fence = fence
        until = min(body.get("untilMs", 0), worker.clock() + HOLD_MAX_MS)
        if body.get("untilMs", 0) >= worker.clock():
            worker.lease_ms = max(worker.lease_ms, until)
        return None

    async def _start(self, worker: Worker, body: dict[str, Any]) -> web.Response:
        refused = self._check(worker, body)
        if refused is not None:
            return refused
        task, number = body["task"], body["run"]
        if body["untilMs"] < worker.clock():
            return _reason(worker, "late")
        if (task, number) in worker.runs:
            return _json({"clockMs": worker.clock()})
        if number <= worker.ended_up_to.get(task, 0):
            return _reason(worker, "old")
        seconds, cpu, step = self._task_facts(task)
        used = sum(self._task_facts(each.task)[1] for each in worker.runs.values())
        if used + cpu > worker.machine.cpu:
            return _reason(worker, "room")
        now = time.monotonic()
        lasts = step.get("serviceJob", False)
        worker.runs[(task, number)] = Run(task, number, now + seconds, now, lasts)
        self.log("start", task=task, run=number, worker=worker.id, fence=worker.fence)
        return _json({"clockMs": worker.clock()})

    async def _stop(self, worker: Worker, body: dict[str, Any]) -> web.Response:
        refused = self._check(worker, body)
        if refused is not None:
            return refused
        task, number = body["task"], body["run"]
        highest = max(worker.ended_up_to.get(task, 0), number)
        worker.ended_up_to[task] = highest
        run = worker.runs.get((task, number))
        if run is not None and run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_SECONDS
        return _json({"clockMs": worker.clock()})

    async def _pace(self, worker: Worker, body: dict[str, Any]) -> web.Response:
        refused = self._check(worker, body)
        return refused or _json({"clockMs": worker.clock()})

    async def _hold(self, worker: Worker, body: dict[str, Any]) -> web.Response:
        refused = self._check(worker, body)
        if refused is not None:
            return refused
        cursor = body.get("ackCursor", 0)
        self._note_ends(worker, cursor)
        worker.ended = [row for row in worker.ended if row[0] > cursor]
        until = time.monotonic() + body.get("waitMs", 0) / 1_000
        while worker.alive and not worker.ended and time.monotonic() < until:
            await asyncio.sleep(0.01)
            self.advance(worker)
        now = time.monotonic()
        running = [
            [run.task, run.number, "", _percent(run, now), 0]
            for run in worker.runs.values()
        ]
        return _json(
            {
                "clockMs": worker.clock(),
                "running": running,
                "finished": worker.ended[:500],
                "born": worker.born,
            }
        )

    def _note_ends(self, worker: Worker, cursor: int) -> None:
        """Note the ends that a cursor reaches, unless the lease lapsed since."""
        for number, task, run, how, _ in worker.ended:
            if number > cursor or worker.lapsed_at >= worker.end_times[number]:
                continue
            if how == "done":
                self.noted[task] = (time.monotonic(), run)
            self.log_event(
                "noted", task=task, run=run, worker=worker.id, end=number, how=how
            )

    def is_late(self) -> bool:
        """Return whether a start order is to be carried out late."""
        return self.rng.random() < self.late_share

    def carry_out_late(
        self, machine: Machine, wanted: str, body: dict[str, Any]
    ) -> None:
        """Carry a start order out 2 to 12 s later, by the worker that is up then."""
        seconds = self.rng.uniform(2.0, 12.0)
        self.log_event("unanswered", task=body["task"], run=body["run"], worker=wanted)

        async def carry_out() -> None:
            await asyncio.sleep(seconds)
            worker = machine.worker
            if worker is None or worker.id != wanted:
                return
            answer = await self._start(worker, body)
            self.log_event(
                "late-order",
                task=body["task"],
                run=body["run"],
                worker=wanted,
                status=answer.status,
                answer=bytes(answer.body).decode(),
            )

        task = asyncio.create_task(carry_out())
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    def log_event(self, what: str, **facts: Any) -> None:
        """Write a line that is no start and no end of a run."""
        self.log(what, **facts)

    async def tick(self) -> None:
        """Advance all workers until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            for machine in self.machines.values():
                if machine.worker is not None:
                    self.advance(machine.worker)


def _json(content: dict[str, Any], status: int = 200) -> web.Response:
    body = msgspec.json.encode(content)
    return web.Response(status=status, body=body, content_type="application/json")


def _percent(run: Run, now: float) -> int:
    if run.lasts:
        return 100 if now - run.started_at >= STARTUP_SECONDS else 0
    length = max(run.ends_at - run.started_at, 0.001)
    return min(round(100 * (now - run.started_at) / length), 99)


def _reason(worker: Worker, reason: str) -> web.Response:
    body = {"clockMs": worker.clock(), "reason": reason}
    return _json(body, status=409)


def _bind(
    fleet: Fleet,
    name: str,
    handler: Callable[[Worker, dict[str, Any]], Awaitable[web.Response]],
    machine: Machine,
) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
    async def handle(request: web.Request) -> web.StreamResponse:
        transport = request.transport
        assert isinstance(transport, asyncio.Transport)
        machine.transports.add(transport)
        body = json.loads(await request.read())
        worker = machine.worker
        wanted = request.headers.get("X-Medlarspring-Expected-Instance", "")
        if worker is None or wanted not in ("", worker.id):
            return web.Response(status=421)
        if name == "run-start" and fleet.is_late():
            fleet.carry_out_late(machine, wanted, body)
            await asyncio.sleep(60.0)
        return await handler(worker, body)

    return handle


async def _serve(app: web.Application, port: int) -> tuple[web.AppRunner, web.TCPSite]:
    runner = web.AppRunner(
        app, access_log=None, keepalive_timeout=15, shutdown_timeout=0.1
    )
    await runner.setup()
    site = web.TCPSite(runner, HOST, port, backlog=1_024)
    await site.start()
    return runner, site
