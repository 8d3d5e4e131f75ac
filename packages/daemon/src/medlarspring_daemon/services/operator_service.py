"""The operator port: JSON over HTTP, shut without its token."""

from __future__ import annotations

import asyncio
import hmac
from typing import TYPE_CHECKING

from aiohttp import web

from medlarspring_adapters.events import Event
from medlarspring_adapters.store_meter import Mechanism
from medlarspring_daemon.services.audit_routes import AuditRoutes
from medlarspring_daemon.services.operator_answers import (
    BadRequest,
    NotAuthorised,
    NotFound,
    Refusal,
    RequestFailed,
    answer_error,
)
from medlarspring_daemon.services.status_routes import StatusRoutes
from medlarspring_daemon.services.table_editor import TableEditor
from medlarspring_daemon.services.table_routes import TableRoutes

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from medlarspring_daemon.node import Node

    Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

MAX_BODY_BYTES = 4 * 1_048_576
"""A sheet of the largest table, with room for its quotes and empty cells."""
IDLE_SECONDS = 30.0
REQUEST_SECONDS = 40.0
"""Longest time for one request, its body included."""


class OperatorService:
    """Opens the operator port and answers for the table, audit and status."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._token = b""
        self._runner: web.AppRunner | None = None
        self._status = StatusRoutes(node)
        self._editor = TableEditor(
            node.store.bill_to(Mechanism.EDITS),
            node.clock,
            node.rng,
            table_in_force=lambda: node.config,
            on_accepted=lambda table: node.offer_table(table),
        )

    async def start(self) -> None:
        """Read the token and open the port."""
        settings = self._node.settings.operator
        self._token = settings.token_file.read_text(encoding="utf-8").strip().encode()
        app = web.Application(
            middlewares=[self._answer_problems, self._check_token],
            client_max_size=MAX_BODY_BYTES,
        )
        app.add_routes(TableRoutes(self._node, self._editor).routes())
        app.add_routes(AuditRoutes(self._node).routes())
        app.add_routes(self._status.routes())
        app.add_routes(self._node.operator_routes)
        self._runner = web.AppRunner(
            app, access_log=None, keepalive_timeout=IDLE_SECONDS, shutdown_timeout=5.0
        )
        await self._runner.setup()
        host, _, port = settings.listen.rpartition(":")
        site = web.TCPSite(self._runner, host.strip("[]"), int(port))
        await site.start()
        open_host, open_port = self._runner.addresses[0][:2]
        self._node.addresses["operator"] = f"{open_host}:{open_port}"

    async def stop(self) -> None:
        """Finish the requests in flight and close the port."""
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _answer_problems(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        try:
            async with asyncio.timeout(REQUEST_SECONDS):
                return await handler(request)
        except Refusal as refusal:
            return answer_error(refusal.error)
        except web.HTTPRequestEntityTooLarge:
            return answer_error(
                BadRequest(f"The body is larger than {MAX_BODY_BYTES} bytes.")
            )
        except (web.HTTPNotFound, web.HTTPMethodNotAllowed):
            what = f"operation {request.method} {request.path}"
            remedy = "this entry VM may run an older version than the command line"
            return answer_error(NotFound(what, remedy))
        except Exception as error:
            # One faulty handler would otherwise answer with a page of HTML that
            # the command line cannot show, and leave nothing in the log.
            self._node.log.error(
                Event.OPERATOR_FAILED, path=request.path, error=repr(error)
            )
            return answer_error(RequestFailed(repr(error)))

    @web.middleware
    async def _check_token(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        given = request.headers.get("Authorization", "").encode()
        wanted = b"Bearer " + self._token
        # A comparison that ends at the first wrong byte would tell a patient
        # stranger the token byte by byte; this one takes the same time for all.
        if not self._token or not hmac.compare_digest(given, wanted):
            self._node.log.warning(
                Event.OPERATOR_REFUSED, remote=request.remote, path=request.path
            )
            return answer_error(NotAuthorised())
        return await handler(request)


def create_operator_service(node: Node) -> OperatorService:
    """Return the operator port of a daemon; it opens at ``start``."""
    return OperatorService(node)


__all__ = ["MAX_BODY_BYTES", "OperatorService", "create_operator_service"]
