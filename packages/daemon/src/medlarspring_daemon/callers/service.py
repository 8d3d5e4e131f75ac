"""The service of the caller port."""

from __future__ import annotations

import asyncio
import gc
from functools import partial
from typing import TYPE_CHECKING

from aiohttp import web
from returns.pipeline import is_successful

from medlarspring_adapters.background_tasks import BackgroundTasks
from medlarspring_adapters.events import Event
from medlarspring_adapters.problems import create_problem_response
from medlarspring_adapters.upstream_http import UpstreamClient
from medlarspring_daemon.callers.connections import CallerServer
from medlarspring_daemon.callers.dispatch import Dispatcher
from medlarspring_daemon.callers.forwarding import Exchange, Forwarder
from medlarspring_daemon.callers.idempotency import KeyedRunner
from medlarspring_daemon.callers.records import CallerRecords
from medlarspring_daemon.callers.reports import CallerReports
from medlarspring_daemon.callers.request_reader import (
    RequestReader,
    create_request_id,
    has_usable_key,
)
from medlarspring_daemon.callers.state import CallerState
from medlarspring_daemon.callers.upstream_response import create_upstream_headers
from medlarspring_systems.claims import with_unknown_outcome
from medlarspring_systems.routing import count_idle_connections

if TYPE_CHECKING:
    from medlarspring_daemon.node import Component, Node
    from medlarspring_tables import RequestId, VMList
    from medlarspring_tables.requests import Refusal

HEALTH_PATH = "/healthz"
READINESS_PATH = "/readyz"
GC_THRESHOLDS = (20_000, 20, 20)
DRAIN_CHECK_SECONDS = 0.02
READINESS_NOTICE_SECONDS = 1.5
"""Time that the port stays open on shutdown, so that the balancer notices."""


class CallerService:
    """Accepts callers' requests and answers them."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._reader = RequestReader(node)
        self._state = CallerState(node)
        self._dispatcher = Dispatcher(self._state)
        self._client: UpstreamClient | None = None
        self._forwarder: Forwarder | None = None
        self._records = CallerRecords(node)
        self._keyed: KeyedRunner | None = None
        self._server: CallerServer | None = None
        self._tasks = BackgroundTasks(node.log)
        self._listener: asyncio.Server | None = None
        self._in_flight = 0

    async def start(self) -> None:
        """Start the services of the request path and open the port."""
        settings = self._node.settings.caller
        self._client = UpstreamClient(self._node.clock)
        self._state.list_listeners.append(self._update_idle_limits)
        reports = CallerReports(self._state)
        self._node.report_contributors.append(reports)
        self._node.record_leaving = partial(
            reports.record_leaving, age=0.0, source="order to drain"
        )
        self._node.record_returned = partial(
            reports.record_returned, age=0.0, source="VM control"
        )
        self._forwarder = Forwarder(
            self._state, self._dispatcher, self._client, reports
        )
        await self._dispatcher.slots.start()
        _tune_garbage_collector()
        self._keyed = KeyedRunner(self._node, self._forwarder)
        self._server = CallerServer(self._handle, settings, self._log_failure)
        self._tasks.run_with_restart(self._server.sweep)
        self._tasks.run_with_restart(self._records.run)
        host, _, port = settings.listen.rpartition(":")
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._server, host.strip("[]"), int(port), backlog=1024
        )
        bound = self._listener.sockets[0].getsockname()
        self._node.addresses["caller"] = f"{bound[0]}:{bound[1]}"

    async def stop(self) -> None:
        """Finish every request in flight, then close the port.

        The balancer sends requests until the readiness check shows it that this
        entry VM is stopping. These are served with ``Connection: close``;
        closing the port immediately would break them off.
        """
        if self._server is None or self._listener is None or self._keyed is None:
            return
        loop = asyncio.get_running_loop()
        limit = loop.time() + self._node.settings.caller.drain_seconds
        open_until = min(limit, loop.time() + READINESS_NOTICE_SECONDS)
        if not self._node.stopping:
            open_until = loop.time()
        while loop.time() < open_until or (self._in_flight and loop.time() < limit):
            await asyncio.sleep(DRAIN_CHECK_SECONDS)
        self._listener.close()
        await self._keyed.stop(max(0.1, limit - loop.time()))
        self._server.pre_shutdown()
        await self._server.shutdown(1.0)
        await self._tasks.cancel()
        self._records.flush()
        await self._dispatcher.slots.stop()
        if self._client is not None:
            await self._client.close()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == HEALTH_PATH:
            return web.Response(text="alive\n")
        if request.path == READINESS_PATH:
            return self._answer_readiness()
        self._in_flight += 1
        try:
            response = await self._answer(request)
        finally:
            self._in_flight -= 1
        if self._node.stopping and not response.prepared:
            response.force_close()
        return response

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        assert self._forwarder is not None
        assert self._keyed is not None
        request_id = create_request_id(request)
        read = await self._reader.read(request, request_id)
        if not is_successful(read):
            refusal = read.failure()
            if has_usable_key(request):
                refusal = with_unknown_outcome(refusal)
            return self._refuse(refusal, request_id)
        caller_request = read.unwrap()
        exchange = Exchange(
            caller_request, create_upstream_headers(request, caller_request), request
        )
        if caller_request.key is not None:
            answer = await self._keyed.run(exchange)
        else:
            answer = await self._forwarder.forward(exchange)
        if not is_successful(answer):
            return self._refuse(answer.failure(), request_id)
        response = answer.unwrap()
        if exchange.replayed:
            self._records.record_replay(caller_request, response.status)
        else:
            self._records.record_answer(caller_request, response.status, exchange)
        return response

    def _refuse(self, refusal: Refusal, request_id: RequestId) -> web.Response:
        self._records.record_refusal(request_id, refusal)
        return create_problem_response(refusal, request_id)

    def _update_idle_limits(self, vm_list: VMList) -> None:
        assert self._client is not None
        entry_vms = len(vm_list.entry_vms_by_id)
        self._client.connector.idle_by_address = {
            _split_address(upstream.address): count_idle_connections(
                upstream, entry_vms
            )
            for upstream in self._state.upstreams.upstreams_by_id.values()
        }

    def _log_failure(self, error: BaseException | None) -> None:
        self._node.log.error(Event.REQUEST_FAILED, error=repr(error))

    def _answer_readiness(self) -> web.Response:
        node = self._node
        if node.stopping:
            return web.Response(status=503, text="stopping\n")
        if node.config is None:
            return web.Response(status=503, text="configuration unknown\n")
        if node.vm_list is None:
            return web.Response(status=503, text="VM list unknown\n")
        if not self._dispatcher.slots.can_receive_grants():
            # Requests accepted now would wait for slots until the votes of the
            # previous process have expired, and miss short deadlines.
            return web.Response(status=503, text="no slots yet\n")
        return web.Response(text="ready\n")


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def _tune_garbage_collector() -> None:
    """Reduce garbage collections and exclude long-lived objects from them.

    With the default thresholds the collector runs every few requests, and each
    full collection traverses all objects of the process.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def create_caller_service(node: Node) -> Component:
    """Return the service of the caller port."""
    return CallerService(node)


__all__ = ["CallerService", "create_caller_service"]
