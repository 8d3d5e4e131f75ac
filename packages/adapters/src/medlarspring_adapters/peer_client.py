"""Calls to the peer ports of the other entry VMs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import grpc
import grpc.aio
from returns.result import Failure, Result, Success

from medlarspring_adapters import peer_pb2, peer_pb2_grpc
from medlarspring_tables import MedlarspringError

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from medlarspring_tables import EntryVMId, Seconds

KEEPALIVE_MS = 10_000
KEEPALIVE_TIMEOUT_MS = 2_000
RECONNECT_MS = 200
MAX_RECONNECT_MS = 1_000
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
REFUSED = "connection refused"

CHANNEL_OPTIONS: list[tuple[str, int]] = [
    # A channel whose TCP connection no longer passes data keeps it for many minutes,
    # and every call on it would time out while new connections work. The keepalive
    # ping detects this within 12 s, and the channel reconnects.
    ("grpc.keepalive_time_ms", KEEPALIVE_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.initial_reconnect_backoff_ms", RECONNECT_MS),
    ("grpc.min_reconnect_backoff_ms", MAX_RECONNECT_MS),
    ("grpc.max_reconnect_backoff_ms", MAX_RECONNECT_MS),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
]


class PeerError(MedlarspringError):
    """A call to another entry VM gave no answer."""

    code = "peer"

    def __init__(self, entry_vm_id: EntryVMId, detail: str) -> None:
        super().__init__(entry_vm_id, detail)
        self.entry_vm_id = entry_vm_id
        self.detail = detail


class PeerUnreachable(PeerError):
    """No connection could be made; the call had no effect."""

    code = "peer-unreachable"

    def message(self) -> str:
        """Return what failed and what to do."""
        return (
            f"Entry VM {self.entry_vm_id} could not be reached ({self.detail})."
            " Check that it runs and that its peer port is open to this VM."
        )


class PeerRefused(PeerUnreachable):
    """The port refused the connection, so the process behind it has ended."""

    code = "peer-refused"


class PeerFailed(PeerError):
    """The call may have been carried out, but no answer came."""

    code = "peer-failed"

    def message(self) -> str:
        """Return what failed and what to do."""
        return (
            f"Entry VM {self.entry_vm_id} did not answer ({self.detail})."
            " Check its load, and that all entry VMs share one peer token."
        )


class PeerClient:
    """One channel to one address of a peer."""

    def __init__(self, entry_vm_id: EntryVMId, address: str, token: str) -> None:
        self.entry_vm_id = entry_vm_id
        self.address = address
        self._metadata = (("authorization", f"Bearer {token}"),)
        self._channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
        self._stub: Any = peer_pb2_grpc.PeerStub(self._channel)  # type: ignore[no-untyped-call]

    async def exchange(
        self, report: peer_pb2.Report, timeout_seconds: Seconds
    ) -> Result[peer_pb2.Report, PeerError]:
        """Send a report and return the peer's own."""
        return await self._call(self._stub.Exchange, report, timeout_seconds)

    async def grant_slots(
        self, request: peer_pb2.SlotRequest, timeout_seconds: Seconds
    ) -> Result[peer_pb2.SlotReply, PeerError]:
        """Ask for slots."""
        return await self._call(self._stub.GrantSlots, request, timeout_seconds)

    async def fetch_table(
        self, request: peer_pb2.TableRequest, timeout_seconds: Seconds
    ) -> Result[peer_pb2.TableReply, PeerError]:
        """Fetch a newer configuration table."""
        return await self._call(self._stub.FetchTable, request, timeout_seconds)

    async def find_decisions(
        self, query: peer_pb2.DecisionQuery, timeout_seconds: Seconds
    ) -> Result[peer_pb2.DecisionReply, PeerError]:
        """Request the peer's recorded decisions on a subject."""
        return await self._call(self._stub.FindDecisions, query, timeout_seconds)

    async def close(self) -> None:
        """Close the channel; calls in flight are cancelled."""
        await self._channel.close()

    async def _call(
        self, method: Any, request: Any, timeout_seconds: Seconds
    ) -> Result[Any, PeerError]:
        try:
            call: Awaitable[Any] = method(
                request, timeout=timeout_seconds, metadata=self._metadata
            )
            return Success(await call)
        except grpc.aio.AioRpcError as error:
            return Failure(self._describe(error))
        except (asyncio.CancelledError, grpc.aio.UsageError) as error:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            # Closing a channel cancels its calls, but not the tasks that await them.
            return Failure(PeerFailed(self.entry_vm_id, f"channel closed: {error}"))

    def _describe(self, error: grpc.aio.AioRpcError) -> PeerError:
        detail = error.details() or error.code().name
        if error.code() is not grpc.StatusCode.UNAVAILABLE:
            return PeerFailed(self.entry_vm_id, detail)
        if REFUSED in detail.lower():
            return PeerRefused(self.entry_vm_id, detail)
        if "failed to connect" in detail.lower():
            return PeerUnreachable(self.entry_vm_id, detail)
        return PeerFailed(self.entry_vm_id, detail)


def create_peer_client(entry_vm_id: EntryVMId, address: str, token: str) -> PeerClient:
    """Return a client; it connects at its first call."""
    return PeerClient(entry_vm_id, address, token)


__all__ = [
    "PeerClient",
    "PeerError",
    "PeerFailed",
    "PeerRefused",
    "PeerUnreachable",
    "create_peer_client",
]
