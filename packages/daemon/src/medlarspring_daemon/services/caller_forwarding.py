"""Sends a caller's request to upstream VMs and carries the answer back."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web
from multidict import CIMultiDict
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from medlarspring_adapters.upstream_http import (
    HOP_HEADERS,
    Reached,
    UpstreamClient,
    UpstreamFault,
    copy_answer_headers,
)
from medlarspring_systems.routing import adopt_vm_list, choose_upstream
from medlarspring_tables import ZoneId
from medlarspring_tables.requests import Outcome, Refusal, RefusalKind
from medlarspring_tables.upstreams import UpstreamTable

if TYPE_CHECKING:
    from medlarspring_daemon.node import Node
    from medlarspring_tables import VMList
    from medlarspring_tables.requests import CallerRequest

SMALL_ANSWER_BYTES = 65_536
"""Answers up to this size are held whole, so that a cut one is never passed on."""

WITHHELD_HEADERS = HOP_HEADERS | {
    "authorization",
    "content-length",
    "expect",
    "host",
    "partner-id",
    "repeatable",
    "request-id",
    "request-timeout",
}


class Forwarder:
    """Routes requests, sends them and passes answers on."""

    def __init__(self, node: Node, client: UpstreamClient) -> None:
        self._node = node
        self._client = client
        self._zone_id = ZoneId(node.settings.entry_vm.zone)
        self._table = UpstreamTable()
        self._vm_list: VMList | None = None

    async def start(self) -> None:
        """Prepare to forward."""

    async def stop(self) -> None:
        """Close all upstream connections."""
        await self._client.close()

    async def forward(
        self, row: CallerRequest, request: web.BaseRequest
    ) -> Result[web.StreamResponse, Refusal]:
        """Answer one request from an upstream VM, or say why not."""
        self._adopt_vm_list()
        now = self._node.clock.now()
        upstream = choose_upstream(self._table, row.pool_id, self._zone_id, now)
        if upstream is None:
            return Failure(_NO_UPSTREAM)
        upstream.in_use += 1
        try:
            sent = await self._client.send(
                upstream.address,
                row.method,
                row.target,
                _create_headers(row, request, row.deadline - now),
                row.body,
                timeout=row.deadline - now,
                header_timeout=row.deadline - now,
                fresh=not row.repeatable,
            )
            if not is_successful(sent):
                return Failure(_refuse_fault(sent.failure()))
            return await _pass_on(sent.unwrap(), row, request)
        finally:
            upstream.in_use -= 1

    def _adopt_vm_list(self) -> None:
        vm_list = self._node.vm_list
        if vm_list is None or vm_list is self._vm_list:
            return
        self._vm_list = vm_list
        adopt_vm_list(self._table, vm_list)
        for upstream in self._table.upstreams_by_id.values():
            upstream.credit = upstream.slots
            upstream.credit_until = float("inf")


def _create_headers(
    row: CallerRequest, request: web.BaseRequest, remaining: float
) -> CIMultiDict[str]:
    headers: CIMultiDict[str] = CIMultiDict()
    for name, value in request.headers.items():
        if name.lower() not in WITHHELD_HEADERS:
            headers.add(name, value)
    headers["Request-Id"] = row.id
    headers["Partner-Id"] = row.partner_id
    headers["Request-Timeout"] = f"{remaining:.3f}"
    return headers


async def _pass_on(
    answer: aiohttp.ClientResponse, row: CallerRequest, request: web.BaseRequest
) -> Result[web.StreamResponse, Refusal]:
    headers = copy_answer_headers(answer.headers)
    headers["Request-Id"] = row.id
    length = answer.content_length
    if length is not None and length <= SMALL_ANSWER_BYTES:
        try:
            body = await answer.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            answer.close()
            fault = UpstreamFault(Reached.PERHAPS, str(error), timed_out=False)
            return Failure(_refuse_fault(fault))
        headers.pop("Content-Length", None)
        return Success(web.Response(status=answer.status, headers=headers, body=body))
    response = web.StreamResponse(status=answer.status, headers=headers)
    try:
        await response.prepare(request)
        async for chunk in answer.content.iter_any():
            await response.write(chunk)
        await response.write_eof()
    except (aiohttp.ClientError, TimeoutError):
        # The status line is out, so no refusal can follow. Cutting the
        # caller's connection before the end is the one sign left that the
        # answer is not whole.
        answer.close()
        if request.transport is not None:
            request.transport.abort()
    return Success(response)


def _refuse_fault(fault: UpstreamFault) -> Refusal:
    outcome = Outcome.NOT_RUN if fault.reached is Reached.NO else Outcome.UNKNOWN
    kind = RefusalKind.TIMED_OUT if fault.timed_out else RefusalKind.UPSTREAM_FAILED
    return Refusal(kind, outcome, fault.message(), retry_after=1.0)


_NO_UPSTREAM = Refusal(
    RefusalKind.NO_UPSTREAM,
    Outcome.NOT_RUN,
    "No upstream VM of the service is known to be able to serve; ask again.",
    retry_after=1.0,
)


def create_forwarder(node: Node) -> Forwarder:
    """Return a forwarder with its own upstream connections."""
    return Forwarder(node, UpstreamClient())


__all__ = ["Forwarder", "create_forwarder"]
