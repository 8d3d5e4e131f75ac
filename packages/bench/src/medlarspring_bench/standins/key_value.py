"""Stand-in for the platform's key-value service: the etcd v3 JSON gateway."""

from __future__ import annotations

import argparse
import asyncio
import math
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import msgspec
from aiohttp import web

from medlarspring_adapters.clock import SystemClock
from medlarspring_bench.key_value_ops import (
    Commit,
    CompactedError,
    KeyValueError,
    LeaseNotFoundError,
)
from medlarspring_bench.key_value_state import KeyValueState
from medlarspring_bench.standins import key_value_messages as messages
from medlarspring_bench.standins.call_counts import CallCounts
from medlarspring_bench.standins.server import (
    GATE_KEY,
    MAX_BODY_BYTES,
    READ_KEY,
    GatedApp,
    announce,
    create_control_app,
    json_response,
    open_control,
    run,
    split_address,
    wait_for_end,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from medlarspring_bench.key_value_ops import Op

LEASE_TICK_SECONDS = 0.05
READ_KINDS = frozenset({"range", "lease_keepalive", "lease_timetolive"})
INVALID_ARGUMENT = 3
NOT_FOUND = 5


class KeyValueService:
    """HTTP handlers of the key-value state machine."""

    def __init__(self, delay_seconds: float, progress_seconds: float) -> None:
        clock = SystemClock()
        self.state = KeyValueState(clock)
        self.counts = CallCounts(clock)
        self._delay_seconds = delay_seconds
        self._progress_seconds = progress_seconds

    def create_app(self) -> web.Application:
        """Return the application with the routes of the gateway."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        routes: dict[str, Callable[[web.Request], Awaitable[web.StreamResponse]]] = {
            "/v3/kv/range": self._operation_handler("range", messages.RangeRequest),
            "/v3/kv/put": self._operation_handler("put", messages.PutRequest),
            "/v3/kv/deleterange": self._operation_handler(
                "deleterange", messages.DeleteRangeRequest
            ),
            "/v3/kv/txn": self._operation_handler("txn", messages.TxnRequest),
            "/v3/kv/compaction": self._call_handler(
                "compaction", messages.CompactionRequest, self._compact
            ),
            "/v3/lease/grant": self._call_handler(
                "lease_grant", messages.LeaseGrantRequest, self._grant
            ),
            "/v3/lease/keepalive": self._call_handler(
                "lease_keepalive", messages.LeaseRequest, self._keep_alive
            ),
            "/v3/lease/revoke": self._call_handler(
                "lease_revoke", messages.LeaseRequest, self._revoke
            ),
            "/v3/kv/lease/revoke": self._call_handler(
                "lease_revoke", messages.LeaseRequest, self._revoke
            ),
            "/v3/lease/timetolive": self._call_handler(
                "lease_timetolive", messages.LeaseRequest, self._time_to_live
            ),
            "/v3/watch": self._watch,
        }
        for path, handler in routes.items():
            app.router.add_post(path, handler)
        return app

    async def tick(self) -> None:
        """Expire leases on time until cancelled."""
        while True:
            self.state.expire_leases()
            await asyncio.sleep(LEASE_TICK_SECONDS)

    def _operation_handler(
        self, kind: str, type_: type[Any]
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        def apply(request: Any) -> dict[str, Any]:
            op: Op = request.to_op()
            reply = self.state.apply(op)
            return messages.reply_message(reply, self.state.revision)

        return self._call_handler(kind, type_, apply)

    def _call_handler(
        self, kind: str, type_: type[Any], apply: Callable[[Any], dict[str, Any]]
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        async def handle(request: web.Request) -> web.StreamResponse:
            self.counts.count(kind, _client(request))
            request[READ_KEY] = kind in READ_KINDS
            body = await request.read()
            await asyncio.sleep(self._delay_seconds)
            try:
                return json_response(apply(messages.decode(body, type_)))
            except LeaseNotFoundError as error:
                return _error(str(error), 404, NOT_FOUND)
            except (KeyValueError, msgspec.MsgspecError) as error:
                return _error(str(error), 400, INVALID_ARGUMENT)

        return handle

    def _compact(self, request: messages.CompactionRequest) -> dict[str, Any]:
        self.state.compact(request.revision)
        return {"header": messages.header(self.state.revision)}

    def _grant(self, request: messages.LeaseGrantRequest) -> dict[str, Any]:
        lease = self.state.grant(float(request.ttl), request.id)
        return {
            "header": messages.header(self.state.revision),
            "ID": str(lease.id),
            "TTL": str(request.ttl),
        }

    def _keep_alive(self, request: messages.LeaseRequest) -> dict[str, Any]:
        ttl = math.floor(self.state.keep_alive(request.id))
        result = {
            "header": messages.header(self.state.revision),
            "ID": str(request.id),
        }
        if ttl:
            result["TTL"] = str(ttl)
        return {"result": result}

    def _revoke(self, request: messages.LeaseRequest) -> dict[str, Any]:
        self.state.revoke(request.id)
        return {"header": messages.header(self.state.revision)}

    def _time_to_live(self, request: messages.LeaseRequest) -> dict[str, Any]:
        left = math.floor(self.state.seconds_left(request.id))
        lease = self.state.leases_by_id.get(request.id)
        return {
            "header": messages.header(self.state.revision),
            "ID": str(request.id),
            "TTL": str(left),
            "grantedTTL": str(math.floor(lease.ttl) if lease else 0),
        }

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        self.counts.count("watch", _client(request))
        try:
            watch_request = messages.decode(await request.read(), messages.WatchRequest)
        except msgspec.MsgspecError as error:
            return _error(str(error), 400, INVALID_ARGUMENT)
        stream = web.StreamResponse(headers={"Content-Type": "application/json"})
        await stream.prepare(request)
        self.counts.open_watches += 1
        with suppress(ConnectionError):
            await self._send_changes(stream, watch_request.create_request)
        self.counts.open_watches -= 1
        return stream

    async def _send_changes(
        self, stream: web.StreamResponse, watch_request: messages.WatchCreateRequest
    ) -> None:
        queue: asyncio.Queue[Commit] = asyncio.Queue()
        self.state.listeners.append(queue.put_nowait)
        try:
            await self._send(stream, {"created": True})
            start = watch_request.start_revision or self.state.revision + 1
            for commit in self.state.commits_since(start):
                await self._send_commit(stream, watch_request, commit)
                start = commit.revision + 1
            await self._stream_commits(stream, watch_request, queue, start)
        except CompactedError as error:
            compacted = str(error.compact_revision)
            await self._send(stream, {"canceled": True, "compact_revision": compacted})
        finally:
            self.state.listeners.remove(queue.put_nowait)

    async def _stream_commits(
        self,
        stream: web.StreamResponse,
        watch_request: messages.WatchCreateRequest,
        queue: asyncio.Queue[Commit],
        start: int,
    ) -> None:
        while True:
            try:
                async with asyncio.timeout(self._progress_seconds):
                    commit = await queue.get()
            except TimeoutError:
                if watch_request.progress_notify:
                    await self._send(stream, {})
                continue
            if commit.revision >= start:
                await self._send_commit(stream, watch_request, commit)

    async def _send_commit(
        self,
        stream: web.StreamResponse,
        watch_request: messages.WatchCreateRequest,
        commit: Commit,
    ) -> None:
        events = [
            messages.event_message(change)
            for change in commit.changes
            if _in_range(change.kv.key, watch_request)
        ]
        if events:
            await self._send(stream, {"events": events}, commit.revision)

    async def _send(
        self, stream: web.StreamResponse, result: dict[str, Any], revision: int = 0
    ) -> None:
        result["header"] = messages.header(revision or self.state.revision)
        await stream.write(msgspec.json.encode({"result": result}) + b"\n")


def _in_range(key: bytes, watch_request: messages.WatchCreateRequest) -> bool:
    if not watch_request.range_end:
        return key == watch_request.key
    return key >= watch_request.key and (
        watch_request.range_end == b"\0" or key < watch_request.range_end
    )


def _client(request: web.Request) -> str:
    return request.headers.get("Client-Id") or request[GATE_KEY].name


def _error(message: str, status: int, code: int) -> web.Response:
    return json_response({"error": message, "code": code, "message": message}, status)


async def serve(options: argparse.Namespace) -> None:
    """Serve until SIGTERM."""
    service = KeyValueService(options.delay_seconds, options.progress_seconds)
    gated = GatedApp(service.create_app(), options.gates.split(","))
    host, port = split_address(options.listen)
    await gated.open(host, port)
    control = create_control_app(gated.change_faults)

    async def get_calls(request: web.Request) -> web.Response:
        return json_response(service.counts.summary())

    control.router.add_get("/control/calls", get_calls)
    control_address = await open_control(control, host)
    gates = {gate.name: gate.address for gate in gated.gates_by_name.values()}
    first = next(iter(gates.values()))
    announce(name="key_value", address=first, gates=gates, control=control_address)
    ticking = asyncio.create_task(service.tick())
    await wait_for_end()
    ticking.cancel()
    await gated.close()


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--gates", default="all", help="one port for each name")
    parser.add_argument("--delay-seconds", type=float, default=0.001)
    parser.add_argument("--progress-seconds", type=float, default=1.0)
    run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
