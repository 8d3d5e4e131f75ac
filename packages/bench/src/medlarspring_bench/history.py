"""What callers, upstreams, daemons and the platform recorded of one test run.

Times are seconds of the machine's monotonic clock, which all processes share.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class AttemptOutcome(Enum):
    """What a caller saw of one attempt."""

    ANSWERED = "answered"
    """The whole answer of an upstream."""
    NOT_RUN = "not-run"
    """A refusal that promises that the request was not run."""
    UNKNOWN = "unknown"
    """A refusal that promises nothing."""
    RESET = "reset"
    """The connection ended before the first byte of an answer."""
    CUT = "cut"
    """The answer ended in its middle."""
    NOTHING = "nothing"
    """No answer, refusal or end of the connection until long after the deadline."""


@dataclass(slots=True)
class Attempt:
    """One request as its caller saw it."""

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
    """What a caller wanted, with all its attempts, oldest first."""

    id: str
    partner: str
    repeatable: bool
    digest: str
    """Digest of the body that was sent."""
    key: str = ""
    """The ``Idempotency-Key``; one for all attempts."""
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def outcome(self) -> AttemptOutcome:
        """What the caller saw in the end."""
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
    """When a VM began to leave, and when it was back."""

    vm: str
    at: float
    until: float = float("inf")


@dataclass(slots=True)
class PoolSample:
    """VMs of a pool able to serve at one moment."""

    pool: str
    at: float
    available: int
    min_available: int


@dataclass(slots=True)
class Membership:
    """A VM belonged to a pool for a while."""

    vm: str
    pool: str
    start: float
    end: float


@dataclass(slots=True)
class TableInForce:
    """A daemon process put a table revision in force."""

    entry_vm: str
    at: float
    revision: int


@dataclass(slots=True)
class Holding:
    """A process acted as holder of a pool's control work."""

    pool: str
    holder: str
    start: float
    end: float


@dataclass(slots=True)
class JobRun:
    """A worker ran an attempt of a job for a while."""

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
