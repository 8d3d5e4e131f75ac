"""Client of the platform's workers, which run tasks under leases and report on them."""

from __future__ import annotations

from enum import Enum
from http import HTTPStatus
from typing import Protocol

import aiohttp
import msgspec
from msgspec import Struct
from returns.result import Failure, Result, Success

from medlarspring_adapters.decoding import decode_json
from medlarspring_tables import JobId, MedlarspringError, Size
from medlarspring_tables.bounds import Whole

JSON_HEADERS = {"Content-Type": "application/json"}


class TaskState(Enum):
    """State of a task, as reported by its worker."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CHECKPOINTED = "checkpointed"
    OUT_OF_MEMORY = "out-of-memory"
    STOPPED = "stopped"
    """Stopped by order, or because its lease expired."""


class TaskOrder(Struct, frozen=True, kw_only=True):
    """Start an attempt of a job; a repeat of the same order has no effect."""

    job_id: JobId
    attempt: Whole
    size: Size
    declared_seconds: float
    lease_seconds: float
    """The worker stops the task if its lease is not renewed within this time."""
    checkpoint: str = ""


class TaskReport(Struct, frozen=True, kw_only=True):
    """A worker's report on one attempt; the usage figures lag behind."""

    job_id: JobId
    attempt: Whole
    state: TaskState
    used: Size
    peak: Size
    checkpoint: str = ""


class Renewal(Struct, frozen=True):
    """An attempt whose lease is renewed."""

    job_id: JobId
    attempt: int


class RenewalRequest(Struct, frozen=True, kw_only=True):
    """Renew leases, and drop ended tasks whose end is recorded."""

    lease_seconds: float
    renewals: tuple[Renewal, ...] = ()
    forget: tuple[Renewal, ...] = ()


class RenewalReply(Struct, frozen=True):
    """All tasks that the worker knows, including ended ones."""

    reports: tuple[TaskReport, ...] = ()


class StopOrder(Struct, frozen=True):
    """Stop an attempt, after a checkpoint if it can make one."""

    attempt: Whole
    checkpoint: bool


class ThrottleOrder(Struct, frozen=True):
    """Let an attempt use at most this many processors."""

    attempt: Whole
    cpus: float


class WorkerError(MedlarspringError):
    """A worker gave no usable answer; the order may have arrived."""

    code = "worker-unreachable"

    def __init__(self, address: str, detail: str) -> None:
        super().__init__(address, detail)
        self.address = address
        self.detail = detail

    def message(self) -> str:
        """Return what failed and what happens next."""
        return (
            f"Worker {self.address} did not answer ({self.detail})."
            " The order is repeated; check the VM if this persists."
        )


class WorkerRefused(WorkerError):
    """The worker refused: the attempt has ended, or a newer one is known."""

    code = "worker-refused"

    def message(self) -> str:
        """Return what was refused and what happens next."""
        return (
            f"Worker {self.address} refused the attempt ({self.detail})."
            " The job is placed again under a new attempt."
        )


class WorkerControl(Protocol):
    """Orders to workers by address; every order may be repeated."""

    async def start(self, address: str, order: TaskOrder) -> Result[None, WorkerError]:
        """Start an attempt; refused if it has ended or a newer one is known."""
        ...

    async def stop(
        self, address: str, job_id: JobId, order: StopOrder
    ) -> Result[None, WorkerError]:
        """Begin to stop an attempt; a later renewal reports its end."""
        ...

    async def throttle(
        self, address: str, job_id: JobId, order: ThrottleOrder
    ) -> Result[None, WorkerError]:
        """Limit an attempt's processors."""
        ...

    async def renew(
        self, address: str, request: RenewalRequest
    ) -> Result[RenewalReply, WorkerError]:
        """Renew leases and read all reports in one call."""
        ...


class HttpWorkerControl:
    """Implements ``WorkerControl`` over HTTP with JSON bodies."""

    def __init__(self, session: aiohttp.ClientSession, timeout: float) -> None:
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout)

    async def start(self, address: str, order: TaskOrder) -> Result[None, WorkerError]:
        """Start an attempt."""
        sent = await self._send("PUT", address, f"/tasks/{order.job_id}", order)
        return sent.map(lambda _: None)

    async def stop(
        self, address: str, job_id: JobId, order: StopOrder
    ) -> Result[None, WorkerError]:
        """Begin to stop an attempt."""
        sent = await self._send("POST", address, f"/tasks/{job_id}/stop", order)
        return sent.map(lambda _: None)

    async def throttle(
        self, address: str, job_id: JobId, order: ThrottleOrder
    ) -> Result[None, WorkerError]:
        """Limit an attempt's processors."""
        sent = await self._send("POST", address, f"/tasks/{job_id}/throttle", order)
        return sent.map(lambda _: None)

    async def renew(
        self, address: str, request: RenewalRequest
    ) -> Result[RenewalReply, WorkerError]:
        """Renew leases and read all reports."""
        sent = await self._send("POST", address, "/tasks/renew", request)
        return sent.bind(lambda body: _decode_reply(address, body))

    async def _send(
        self, method: str, address: str, path: str, body: Struct
    ) -> Result[bytes, WorkerError]:
        url = f"http://{address}{path}"
        try:
            async with self._session.request(
                method,
                url,
                data=msgspec.json.encode(body),
                headers=JSON_HEADERS,
                timeout=self._timeout,
            ) as response:
                content = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Failure(WorkerError(address, type(error).__name__))
        if response.status == HTTPStatus.CONFLICT:
            return Failure(WorkerRefused(address, "an older or ended attempt"))
        if response.status >= HTTPStatus.BAD_REQUEST:
            return Failure(WorkerError(address, f"status {response.status}"))
        return Success(content)


def _decode_reply(address: str, body: bytes) -> Result[RenewalReply, WorkerError]:
    return decode_json(body, RenewalReply).alt(
        lambda fault: WorkerError(address, fault.detail)
    )


def create_worker_control(
    session: aiohttp.ClientSession, timeout: float = 2.0
) -> WorkerControl:
    """Return the client of the platform's workers."""
    return HttpWorkerControl(session, timeout)


__all__ = [
    "HttpWorkerControl",
    "Renewal",
    "RenewalReply",
    "RenewalRequest",
    "StopOrder",
    "TaskOrder",
    "TaskReport",
    "TaskState",
    "ThrottleOrder",
    "WorkerControl",
    "WorkerError",
    "WorkerRefused",
    "create_worker_control",
]
