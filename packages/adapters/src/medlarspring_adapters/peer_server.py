"""The peer port: a gRPC server for the other entry VMs."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING, Any, Protocol

import grpc
import grpc.aio

from medlarspring_adapters import peer_pb2, peer_pb2_grpc
from medlarspring_tables import MedlarspringError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

MIN_PING_MS = 5_000
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
GRACE_SECONDS = 0.5

SERVER_OPTIONS: list[tuple[str, int]] = [
    # With SO_REUSEPORT, two daemons on one port would each receive some of the calls.
    ("grpc.so_reuseport", 0),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.min_ping_interval_without_data_ms", MIN_PING_MS),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
]


class PeerPortUnavailable(MedlarspringError):
    """The peer port could not be opened."""

    code = "peer-port"

    def __init__(self, listen: str) -> None:
        super().__init__(listen)
        self.listen = listen

    def message(self) -> str:
        """Return what failed and what to do."""
        return (
            f"The peer port {self.listen} could not be opened."
            " End the process that uses it or change [peer] listen."
        )


class PeerHandlers(Protocol):
    """Handlers of the daemon for calls of its peers."""

    def exchange(self, report: peer_pb2.Report) -> peer_pb2.Report:
        """Apply a peer's report and return this entry VM's own report."""
        ...

    def grant_slots(self, request: peer_pb2.SlotRequest) -> peer_pb2.SlotReply:
        """Grant slots of upstream VMs."""
        ...

    def fetch_table(self, request: peer_pb2.TableRequest) -> peer_pb2.TableReply:
        """Return the table in force if it is newer than the requester's."""
        ...

    def find_decisions(self, query: peer_pb2.DecisionQuery) -> peer_pb2.DecisionReply:
        """Return the recorded decisions on a subject."""
        ...

    def record_wrong_token(self) -> None:
        """Record that a call was refused because of its token."""
        ...


class _Servicer(peer_pb2_grpc.PeerServicer):
    """Passes each call to the daemon's handlers, all of which are synchronous."""

    def __init__(self, handlers: PeerHandlers) -> None:
        self._handlers = handlers

    async def Exchange(self, request: Any, context: Any) -> Any:  # noqa: N802
        return self._handlers.exchange(request)

    async def GrantSlots(self, request: Any, context: Any) -> Any:  # noqa: N802
        return self._handlers.grant_slots(request)

    async def FetchTable(self, request: Any, context: Any) -> Any:  # noqa: N802
        return self._handlers.fetch_table(request)

    async def FindDecisions(self, request: Any, context: Any) -> Any:  # noqa: N802
        return self._handlers.find_decisions(request)


class _TokenCheck(grpc.aio.ServerInterceptor):
    """Refuses calls without the fleet's token before any handler runs."""

    def __init__(self, token: str, handlers: PeerHandlers) -> None:
        self._expected = f"Bearer {token}".encode()
        self._handlers = handlers

    async def intercept_service(
        self,
        continuation: Callable[[Any], Awaitable[Any]],
        handler_call_details: Any,
    ) -> Any:
        metadata = dict(handler_call_details.invocation_metadata)
        given = str(metadata.get("authorization", "")).encode()
        if hmac.compare_digest(given, self._expected):
            return await continuation(handler_call_details)
        self._handlers.record_wrong_token()
        return grpc.unary_unary_rpc_method_handler(_refuse)


async def _refuse(request: Any, context: Any) -> None:
    await context.abort(
        grpc.StatusCode.UNAUTHENTICATED,
        "wrong token; all entry VMs need the same [peer] token_file",
    )


class PeerServer:
    """Server of the peer port."""

    def __init__(self, listen: str, token: str, handlers: PeerHandlers) -> None:
        self._listen = listen
        self._token = token
        self._handlers = handlers
        self._server: grpc.aio.Server | None = None

    async def start(self) -> str:
        """Open the port; returns its real ``ip:port``."""
        # Created here because a server is bound to the event loop that is running.
        server = grpc.aio.server(
            interceptors=[_TokenCheck(self._token, self._handlers)],
            options=SERVER_OPTIONS,
        )
        peer_pb2_grpc.add_PeerServicer_to_server(  # type: ignore[no-untyped-call]
            _Servicer(self._handlers), server
        )
        try:
            port = server.add_insecure_port(self._listen)
        except RuntimeError as error:
            raise PeerPortUnavailable(self._listen) from error
        await server.start()
        self._server = server
        host, _, _ = self._listen.rpartition(":")
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Close the port; calls in flight have ``GRACE_SECONDS`` to finish."""
        if self._server is not None:
            await self._server.stop(GRACE_SECONDS)


def create_peer_server(listen: str, token: str, handlers: PeerHandlers) -> PeerServer:
    """Return a server that is not open yet."""
    return PeerServer(listen, token, handlers)


__all__ = [
    "PeerHandlers",
    "PeerPortUnavailable",
    "PeerServer",
    "create_peer_server",
]
