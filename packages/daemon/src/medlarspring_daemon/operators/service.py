"""The operator port: JSON over HTTP; every request must carry the port's token."""

from __future__ import annotations

import asyncio
import hmac
from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp import web

from medlarspring_adapters.background_tasks import BackgroundTasks
from medlarspring_adapters.events import Event
from medlarspring_adapters.store_meter import Mechanism
from medlarspring_daemon.callers.connections import CallerServer
from medlarspring_daemon.configuration.table_editor import TableEditor
from medlarspring_daemon.configuration.table_routes import TableRoutes
from medlarspring_daemon.operators.answers import (
    BodyTooLarge,
    NotAuthorised,
    NotFound,
    OperatorRefusal,
    RequestFailed,
    RequestTooSlow,
    answer_error,
)
from medlarspring_daemon.operators.audit_routes import AuditRoutes
from medlarspring_daemon.operators.status_routes import StatusRoutes

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from medlarspring_daemon.node import Node

    Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

SHUTDOWN_SECONDS = 5.0
REQUEST_SECONDS = 40.0
"""Time limit for one request, including its body."""


@dataclass(frozen=True, slots=True)
class OperatorLimits:
    """Limits of the operator port, for some tens of operators and their scripts."""

    max_header_bytes: int = 8_192
    max_body_bytes: int = 4 * 1_048_576
    """Enough for the largest table as CSV with its quotes and empty cells."""
    max_connections: int = 128
    idle_seconds: float = 30.0
    body_seconds: float = 10.0


class OperatorService:
    """Opens the operator port and serves the table, audit and status routes."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._token = b""
        self._limits = OperatorLimits()
        self._runner: web.AppRunner | None = None
        self._server: CallerServer | None = None
        self._listener: asyncio.Server | None = None
        self._tasks = BackgroundTasks(node.log)
        self._status = StatusRoutes(node)
        self._editor = TableEditor(
            node.store.with_mechanism(Mechanism.EDITS),
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
            middlewares=[self._convert_errors, self._check_token],
            client_max_size=self._limits.max_body_bytes,
        )
        app.add_routes(TableRoutes(self._node, self._editor).routes())
        app.add_routes(AuditRoutes(self._node).routes())
        app.add_routes(self._status.routes())
        app.add_routes(self._node.operator_routes)
        self._runner = web.AppRunner(app)
        await self._runner.setup()
        app_server = self._runner.server
        assert app_server is not None
        self._server = CallerServer(
            app_server.request_handler,
            self._limits,
            self._log_failure,
            request_factory=app_server.request_factory,
            # If an operator aborts a command, its edit must not be cancelled between
            # the write and the reply, which a retry of the command looks for.
            handler_cancellation=False,
        )
        self._tasks.run_with_restart(self._server.sweep)
        host, _, port = settings.listen.rpartition(":")
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._server, host.strip("[]"), int(port)
        )
        open_host, open_port = self._listener.sockets[0].getsockname()[:2]
        self._node.addresses["operator"] = f"{open_host}:{open_port}"

    async def stop(self) -> None:
        """Finish the requests in flight and close the port."""
        if self._listener is not None:
            self._listener.close()
        if self._server is not None:
            self._server.pre_shutdown()
            await self._server.shutdown(SHUTDOWN_SECONDS)
        await self._tasks.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def _log_failure(self, error: BaseException | None) -> None:
        self._node.log.error(Event.OPERATOR_FAILED, path="", error=repr(error))

    @web.middleware
    async def _convert_errors(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        try:
            async with asyncio.timeout(REQUEST_SECONDS):
                return await handler(request)
        except OperatorRefusal as refusal:
            return answer_error(refusal.error)
        except web.HTTPRequestEntityTooLarge:
            return answer_error(BodyTooLarge(self._limits.max_body_bytes))
        except TimeoutError:
            return answer_error(RequestTooSlow(REQUEST_SECONDS))
        except (web.HTTPNotFound, web.HTTPMethodNotAllowed):
            what = f"operation {request.method} {request.path}"
            remedy = "this entry VM may run an older version than the command line"
            return answer_error(NotFound(what, remedy))
        except Exception as error:
            # Otherwise a failing handler would return an HTML page, which the
            # command line cannot show, and nothing would be logged.
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
        # Compares in constant time: the duration of a comparison that ends at the
        # first wrong byte would reveal the token byte by byte.
        if not self._token or not hmac.compare_digest(given, wanted):
            self._node.log.warning(
                Event.OPERATOR_REFUSED, remote=request.remote, path=request.path
            )
            return answer_error(NotAuthorised())
        return await handler(request)


def create_operator_service(node: Node) -> OperatorService:
    """Return the service of the operator port, which opens at ``start``."""
    return OperatorService(node)


__all__ = ["OperatorLimits", "OperatorService", "create_operator_service"]
