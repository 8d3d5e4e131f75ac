"""Orders to workers, as the product sees them; an adapter carries them out."""

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


class Refusal(Enum):
    """Why a worker did not carry an order out; it certainly has not."""

    FENCE = "fence"
    """A controller with a higher fence has been there."""
    OLD = "old"
    """A run with this or a higher number was ended or stopped there."""
    LATE = "late"
    """The order arrived after its own time limit."""
    ROOM = "room"
    TICKET = "ticket"
    OTHER_WORKER = "other-life"
    """Another worker answers at the address."""
    UNHEALTHY = "unhealthy"
    """The worker turns work away for now."""
    INVALID = "invalid"


class WorkerUnresponsive(MedlarspringError):
    """The worker gave no usable answer."""

    code = "worker-silent"

    def __init__(self, worker_id: str, detail: str, *, may_follow: bool) -> None:
        super().__init__(worker_id, detail)
        self.worker_id = worker_id
        self.detail = detail
        self.may_follow = may_follow
        """Whether the order may have been carried out, or may be later."""

    def message(self) -> str:
        """Say what failed and what happens next."""
        return (
            f"Worker {self.worker_id} did not answer ({self.detail})."
            " It is asked again; look at its VM if this goes on."
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
    """Worker's clock: a later start is refused; also extends its lease."""
    fence: Fence
    checkpoint: str = ""
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Stop one run; a run that is not there yet is refused from then on."""

    task_id: str
    run: int
    fence: Fence


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Let a run work at a part of its speed."""

    task_id: str
    run: int
    percent: int
    fence: Fence


@dataclass(frozen=True, slots=True)
class HoldOrder:
    """Extend the lease of all that runs, and ask what runs and what ended."""

    fence: Fence
    acknowledged: int
    """Ends up to this number are recorded and may be forgotten.

    Told only over the connection that carried the last answer to a hold: a worker
    that started again under its id counts its ends anew, and only the connection
    tells one life from the next.
    """
    lease_until_ms: Milliseconds
    """Worker's clock; 0 extends nothing."""
    wait_ms: Milliseconds = 0
    """The answer waits so long for an end."""
    aside: bool = False
    """Asked beside another hold; such a one acknowledges nothing."""


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """A worker's answer to a start, stop or pace."""

    clock_ms: Milliseconds
    """0 where the answer did not tell."""
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class HoldAnswer:
    """A worker's answer to a hold."""

    clock_ms: Milliseconds
    refusal: Refusal | None = None
    running: tuple[RunningRow, ...] = ()
    ended: tuple[EndedRow, ...] = ()
    born_ms: Milliseconds = 0
    """When the life began that answers, in Unix time; 0 if it does not say."""
    acknowledged: int = 0
    """Up to which end the worker was told to forget; 0 over a new connection."""


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
        """Slow a run down, or speed it up again."""
        ...

    async def hold(
        self, worker: WorkerAddress, order: HoldOrder, timeout_seconds: Seconds
    ) -> Result[HoldAnswer, WorkerUnresponsive]:
        """Extend the lease and ask for the state."""
        ...

    def forget(self, worker: WorkerAddress) -> None:
        """Close the connections to a worker that is gone."""
        ...


__all__ = [
    "HoldAnswer",
    "HoldOrder",
    "OrderAnswer",
    "PaceOrder",
    "Refusal",
    "StartOrder",
    "StopOrder",
    "WorkerAddress",
    "WorkerOrders",
    "WorkerUnresponsive",
]
