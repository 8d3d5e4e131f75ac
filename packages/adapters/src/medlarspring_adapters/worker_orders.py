"""Interface for orders to workers; the platform's adapter implements it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Protocol

from medlarspring_tables import MedlarspringError

if TYPE_CHECKING:
    from returns.result import Result

    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import (
        EndedRow,
        Fence,
        Milliseconds,
        RunningRow,
        WorkerId,
    )


class OrderRefusal(Enum):
    """Reason for which a worker refused an order; the order had no effect."""

    FENCE = "fence"
    """The worker has seen an order with a higher fencing token."""
    OLD = "old"
    """A run with this or a higher number has ended or was stopped on the worker."""
    LATE = "late"
    """The order arrived after its own time limit."""
    ROOM = "room"
    TICKET = "ticket"
    OTHER_WORKER = "other-life"
    """Another worker answers at the address."""
    UNHEALTHY = "unhealthy"
    """The worker temporarily refuses work."""
    INVALID = "invalid"


class WorkerUnresponsive(MedlarspringError):
    """The worker gave no usable answer."""

    code = "worker-silent"

    def __init__(self, worker_id: str, detail: str, *, may_follow: bool) -> None:
        super().__init__(worker_id, detail)
        self.worker_id = worker_id
        self.detail = detail
        self.may_follow = may_follow
        """Whether the order may have been carried out or may be later."""

    def message(self) -> str:
        """Return what failed and what happens next."""
        return (
            f"Worker {self.worker_id} did not answer ({self.detail})."
            " The call is repeated; check its VM if this persists."
        )


@dataclass(frozen=True, slots=True)
class WorkerAddress:
    """A worker and where it listens."""

    id: WorkerId
    address: str


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Start one run of a task."""

    task_id: str
    run: int
    payload: str
    not_after_ms: Milliseconds
    """By the worker's clock: a later start is refused; also extends the lease."""
    fence: Fence
    checkpoint: str = ""
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Stop one run; if it has not started yet, its start is refused from then on."""

    task_id: str
    run: int
    fence: Fence


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Limit a run to a percentage of its full speed."""

    task_id: str
    run: int
    percent: int
    fence: Fence


@dataclass(frozen=True, slots=True)
class HoldOrder:
    """Extend the lease of all runs, and request the running and the ended runs."""

    fence: Fence
    acknowledged: int
    """Ends up to this number are recorded, so the worker may drop them.

    Sent only over the connection that carried the last answer to a hold: a worker
    that restarts under its id numbers its ends from 1 again, and only the connection
    identifies its incarnation.
    """
    lease_until_ms: Milliseconds
    """By the worker's clock; 0 does not extend the lease."""
    wait_ms: Milliseconds = 0
    """Longest time for which the worker waits for an end before it answers."""
    is_concurrent: bool = False
    """Whether another hold may be in flight; this one then acknowledges nothing."""


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """A worker's answer to a start, stop or pace."""

    clock_ms: Milliseconds
    """0 if the answer does not contain it."""
    refusal: OrderRefusal | None = None


@dataclass(frozen=True, slots=True)
class HoldAnswer:
    """A worker's answer to a hold."""

    clock_ms: Milliseconds
    refusal: OrderRefusal | None = None
    running: tuple[RunningRow, ...] = ()
    ended: tuple[EndedRow, ...] = ()
    born_ms: Milliseconds = 0
    """Start of the answering incarnation in Unix time; 0 if it is not reported."""
    acknowledged: int = 0
    """Highest acknowledged end of the request; 0 over a new connection."""


class WorkerOrders(Protocol):
    """Carries orders to workers."""

    async def start(
        self, worker: WorkerAddress, order: StartOrder, timeout_seconds: Seconds
    ) -> Result[OrderAnswer, WorkerUnresponsive]:
        """Start a run."""
        ...

    async def stop(
        self, worker: WorkerAddress, order: StopOrder, timeout_seconds: Seconds
    ) -> Result[OrderAnswer, WorkerUnresponsive]:
        """Stop a run."""
        ...

    async def pace(
        self, worker: WorkerAddress, order: PaceOrder, timeout_seconds: Seconds
    ) -> Result[OrderAnswer, WorkerUnresponsive]:
        """Change a run's speed."""
        ...

    async def hold(
        self, worker: WorkerAddress, order: HoldOrder, timeout_seconds: Seconds
    ) -> Result[HoldAnswer, WorkerUnresponsive]:
        """Extend the lease and request the worker's state."""
        ...

    def close_connections(self, worker: WorkerAddress) -> None:
        """Close the connections to a terminated worker."""
        ...


__all__ = [
    "HoldAnswer",
    "HoldOrder",
    "OrderAnswer",
    "PaceOrder",
    "OrderRefusal",
    "StartOrder",
    "StopOrder",
    "WorkerAddress",
    "WorkerOrders",
    "WorkerUnresponsive",
]
