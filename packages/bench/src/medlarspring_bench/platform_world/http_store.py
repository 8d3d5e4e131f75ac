"""The emulated platform's store over HTTP, with its faults.

Each entry VM reaches the store through its own gate, whose name identifies the
caller.
"""

from __future__ import annotations

import asyncio
import base64
from typing import TYPE_CHECKING, Any

import msgspec
from aiohttp import web
from msgspec import Struct

from medlarspring_bench.key_value_ops import (
    CompactedError,
    Compare,
    CompareResult,
    CompareTarget,
    DeleteOp,
    KeyValue,
    LeaseNotFoundError,
    Op,
    PutOp,
    RangeOp,
    RangeReply,
    TxnOp,
    TxnReply,
    prefix_end,
)
from medlarspring_bench.platform_world.fault_state import (
    LATE_SECONDS,
    StoreMode,
    WriteFault,
)
from medlarspring_bench.platform_world.virtual_time import spawn_detached
from medlarspring_bench.standins.server import GATE_KEY, json_response

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from medlarspring_bench.key_value_ops import Commit
    from medlarspring_bench.key_value_state import KeyValueState
    from medlarspring_bench.platform_world.fault_state import FaultState

    Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

PAGE_ITEMS = 500
MAX_ENTRIES = 32
GONE = 410
CONDITION_FAILED = 412
BUSY = 503
INTERNAL_ERROR = 500
WATCH_PATH = "/api/kv-watch"
TXN_PATH = "/api/kv-txn"


class Condition(Struct):
    """A key and the revision that it must have."""

    key: str
    revision: int


class Write(Struct):
    """A key to write; the value is base64 text."""

    key: str
    value: str
    lease: int = 0


class Txn(Struct, rename="camel"):
    """An atomic transaction."""

    expected_rev: list[Condition] = []
    puts: list[Write] = []
    deletes: list[str] = []


class HttpStore:
    """HTTP handlers on a ``KeyValueState``, with the faults of a ``FaultState``."""

    def __init__(self, state: KeyValueState, fault_state: FaultState) -> None:
        self._state = state
        self._fault_state = fault_state
        self._late: set[asyncio.Task[None]] = set()
        self._next_commit: asyncio.Future[None] | None = None
        state.listeners.append(self._handle_commit)

    def create_app(self) -> web.Application:
        """Return the application of the store's address."""
        app = web.Application(middlewares=[self._inject_faults])
        app.router.add_get("/api/kv-key", self._get_key)
        app.router.add_get("/api/kv-range", self._get_range)
        app.router.add_get(WATCH_PATH, self._watch)
        app.router.add_post(TXN_PATH, self._txn)
        app.router.add_post("/api/kv-lease", self._lease)
        app.router.add_post("/api/kv-keep/{id}", self._keep)
        app.router.add_delete("/api/kv-lease-end/{id}", self._end_lease)
        return app

    @web.middleware
    async def _inject_faults(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Refuse, drop, delay or lose a call according to the fault state."""
        fault_state = self._fault_state
        mode = fault_state.mode(request[GATE_KEY].name)
        if mode is StoreMode.BUSY:
            return web.Response(status=BUSY)
        if mode is StoreMode.SILENT:
            await asyncio.Event().wait()
        await asyncio.sleep(fault_state.store_seconds)
        is_write = request.path == TXN_PATH
        if is_write and fault_state.rng.random() < fault_state.lost_replies:
            await self._lose(request)
        return await handler(request)

    async def _lose(self, request: web.Request) -> None:
        """Apply a write, now or late, and never respond."""
        txn = msgspec.json.decode(await request.read(), type=Txn)
        if self._fault_state.rng.random() < self._fault_state.late_writes:
            spawn_detached(self._apply_late(txn), self._late)
        else:
            self._apply(txn)
        await asyncio.Event().wait()

    async def _apply_late(self, txn: Txn) -> None:
        await asyncio.sleep(self._fault_state.rng.uniform(*LATE_SECONDS))
        self._apply(txn)

    async def _get_key(self, request: web.Request) -> web.Response:
        found = self._read(RangeOp(request.query["key"].encode()))
        if not found:
            return web.Response(status=404)
        return json_response(self._item(found[0]) | {"asOf": self._state.revision})

    async def _get_range(self, request: web.Request) -> web.Response:
        prefix = request.query["prefix"].encode()
        after = request.query.get("after", "").encode()
        start = after + b"\0" if after else prefix
        found = self._read(RangeOp(start, prefix_end(prefix)))
        page = found[:PAGE_ITEMS]
        return json_response(
            {
                "items": [self._item(each) for each in page],
                "hasMore": len(found) > len(page),
                "asOf": self._state.revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query["prefix"].encode()
        after = int(request.query["after"])
        wait = int(request.query.get("waitMs", "0")) / 1_000.0
        until = asyncio.get_running_loop().time() + wait
        while True:
            changed = self._await_commit()
            try:
                events = self._events_since(prefix, after)
            except CompactedError:
                return web.Response(status=GONE)
            left = until - asyncio.get_running_loop().time()
            if events or left <= 0:
                # The events and the revision are read without an await in between:
                # the next watch continues from this revision and would skip a
                # commit made in between.
                return json_response({"events": events, "asOf": self._state.revision})
            await asyncio.wait((changed,), timeout=left)

    def _await_commit(self) -> asyncio.Future[None]:
        """Return a future that completes at the next commit."""
        if self._next_commit is None or self._next_commit.done():
            self._next_commit = asyncio.get_running_loop().create_future()
        return self._next_commit

    def _handle_commit(self, _: Commit) -> None:
        if self._next_commit is not None and not self._next_commit.done():
            self._next_commit.set_result(None)

    async def _txn(self, request: web.Request) -> web.Response:
        txn = msgspec.json.decode(await request.read(), type=Txn)
        if len(txn.expected_rev) + len(txn.puts) + len(txn.deletes) > MAX_ENTRIES:
            return json_response({"error": "too many entries"}, 400)
        fault = self._fault_state.pop_write_fault(
            [*(each.key for each in txn.puts), *txn.deletes]
        )
        if fault is not None:
            return self._fail_txn(request, txn, fault)
        return self._answer_txn(txn, self._apply(txn))

    def _fail_txn(
        self, request: web.Request, txn: Txn, fault: WriteFault
    ) -> web.Response:
        """Answer a transaction as its fault says, or end its connection."""
        if fault in (WriteFault.UNANSWERED, WriteFault.FAILED):
            self._apply(txn)
        if fault is WriteFault.FAILED:
            return web.Response(status=INTERNAL_ERROR)
        if fault is not WriteFault.REFUSED:
            assert request.transport is not None
            request.transport.abort()
        return web.Response(status=BUSY)

    def _apply(self, txn: Txn) -> bool | None:
        """Apply a transaction; return None if it names a lease that does not exist."""
        compares = tuple(
            Compare(
                each.key.encode(),
                CompareTarget.MOD,
                CompareResult.EQUAL,
                each.revision,
            )
            for each in txn.expected_rev
        )
        writes: list[Op] = [
            PutOp(each.key.encode(), base64.b64decode(each.value), each.lease)
            for each in txn.puts
        ]
        writes += [DeleteOp(key.encode()) for key in txn.deletes]
        try:
            reply = self._state.apply(TxnOp(compares=compares, success=tuple(writes)))
        except LeaseNotFoundError:
            return None
        assert isinstance(reply, TxnReply)
        return reply.succeeded

    def _answer_txn(self, txn: Txn, succeeded: bool | None) -> web.Response:
        if succeeded is None:
            return web.Response(status=404)
        if succeeded:
            return json_response({"revision": self._state.revision})
        found = [self._read(RangeOp(each.key.encode())) for each in txn.expected_rev]
        items = [self._item(each[0]) for each in found if each]
        return json_response({"items": items}, CONDITION_FAILED)

    async def _lease(self, request: web.Request) -> web.Response:
        wanted = msgspec.json.decode(await request.read())
        lease = self._state.grant(wanted["ttlMs"] / 1_000.0)
        return json_response({"lease": lease.id, "ttlMs": wanted["ttlMs"]})

    async def _keep(self, request: web.Request) -> web.Response:
        left = self._state.keep_alive(int(request.match_info["id"]))
        if not left:
            return web.Response(status=404)
        return json_response({"ttlMs": round(left * 1_000)})

    async def _end_lease(self, request: web.Request) -> web.Response:
        lease_id = int(request.match_info["id"])
        if lease_id not in self._state.leases_by_id:
            return web.Response(status=404)
        self._state.revoke(lease_id)
        return json_response({})

    def _read(self, op: RangeOp) -> tuple[KeyValue, ...]:
        reply = self._state.apply(op)
        assert isinstance(reply, RangeReply)
        return reply.kvs

    def _events_since(self, prefix: bytes, after: int) -> list[dict[str, Any]]:
        events: list[dict[str, Any]] = []
        for commit in self._state.commits_since(after + 1):
            events += self._to_events(commit, prefix)
        return events

    def _to_events(self, commit: Commit, prefix: bytes) -> list[dict[str, Any]]:
        events: list[dict[str, Any]] = []
        for change in commit.changes:
            if not change.kv.key.startswith(prefix):
                continue
            if change.deleted:
                key = change.kv.key.decode()
                events.append(
                    {"key": key, "revision": commit.revision, "removed": True}
                )
            else:
                events.append(self._item(change.kv))
        return events

    def _item(self, kv: KeyValue) -> dict[str, Any]:
        return {
            "key": kv.key.decode(),
            "value": base64.b64encode(kv.value).decode(),
            "revision": kv.mod_revision,
            "created": kv.create_revision,
            "lease": kv.lease,
        }


__all__ = ["HttpStore"]
