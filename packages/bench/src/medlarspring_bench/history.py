"""What callers, upstreams, daemons and the platform recorded of one test run.

Times are seconds of the machine's monotonic clock, which all processes share.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class AttemptOutcome(Enum):
    """Outcome of one attempt as its caller observed it."""

    ANSWERED = "answered"
    """A complete answer of an upstream."""
    NOT_RUN = "not-run"
    """A refusal which guarantees that the request was not run."""
    UNKNOWN = "unknown"
    """A refusal after which the request may or may not have run."""
    RESET = "reset"
    """The connection ended before the first byte of an answer."""
    CUT = "cut"
    """The answer was truncated."""
    NOTHING = "nothing"
    """No answer, refusal or end of the connection until long after the deadline."""


@dataclass(slots=True)
class Attempt:
    """One request as its caller observed it."""

    request_id: str
    sent_at: float
    ended_at: float
    outcome: AttemptOutcome
    status: int = 0
    reason: str = ""
    answered_id: str = ""
    """Request id that the answer names."""
    answered_digest: str = ""
    """Digest of the body that the answer was computed from."""


@dataclass(slots=True)
class Call:
    """One call with all its attempts, oldest first."""

    id: str
    partner: str
    repeatable: bool
    digest: str
    """Digest of the body that was sent."""
    key: str = ""
    """The ``Idempotency-Key``, the same for all attempts."""
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def outcome(self) -> AttemptOutcome:
        """Outcome of the last attempt."""
        return self.attempts[-1].outcome if self.attempts else AttemptOutcome.NOTHING


@dataclass(slots=True)
class UpstreamRun:
    """One run on an upstream VM."""

    vm: str
    request_id: str
    partner: str
    key: str
    start: float
    end: float
    """0 when the run never ended."""
    path: str = ""


@dataclass(slots=True)
class Arrival:
    """An attempt that a VM refused."""

    vm: str
    request_id: str
    at: float


@dataclass(slots=True)
class Leaving:
    """The period from when a VM began to leave until it served again."""

    vm: str
    at: float
    until: float = float("inf")


@dataclass(slots=True)
class PoolSample:
    """Number of available VMs in a pool at one moment."""

    pool: str
    at: float
    available: int
    min_available: int


@dataclass(slots=True)
class Membership:
    """The period in which a VM belonged to a pool."""

    vm: str
    pool: str
    start: float
    end: float


@dataclass(slots=True)
class TableInForce:
    """A daemon process applied a table revision."""

    entry_vm: str
    at: float
    revision: int


@dataclass(slots=True)
class Holding:
    """The period in which a process held a pool's control work."""

    pool: str
    holder: str
    start: float
    end: float


@dataclass(slots=True)
class JobRun:
    """The period in which a worker ran an attempt of a job."""

    job: str
    vm: str
    attempt: int
    start: float
    end: float


@dataclass(slots=True)
class History:
    """Everything recorded in one test run."""

    calls: list[Call] = field(default_factory=list)
    runs: list[UpstreamRun] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    leavings: list[Leaving] = field(default_factory=list)
    pool_samples: list[PoolSample] = field(default_factory=list)
    memberships: list[Membership] = field(default_factory=list)
    tables: list[TableInForce] = field(default_factory=list)
    holdings: list[Holding] = field(default_factory=list)
    job_runs: list[JobRun] = field(default_factory=list)
    slots_by_vm: dict[str, int] = field(default_factory=dict)
    ended_at: float = float("inf")


__all__ = [
    "Arrival",
    "Attempt",
    "Call",
    "History",
    "Holding",
    "JobRun",
    "Leaving",
    "Membership",
    "PoolSample",
    "AttemptOutcome",
    "TableInForce",
    "UpstreamRun",
]
