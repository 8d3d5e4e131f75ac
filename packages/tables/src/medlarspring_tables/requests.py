"""Requests of callers, their queues, and the refusals that callers may get."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from medlarspring_tables.config import PartnerRow
    from medlarspring_tables.ids import (
        EntryVMId,
        PartnerId,
        PoolId,
        RequestId,
        Seconds,
        ServiceId,
    )


class Urgency(Enum):
    """Order among the requests of one partner; smaller values go first."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


class Outcome(Enum):
    """Whether a refused request ran."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RUN = "run"
    """The request ran once, but its answer is no longer available."""


class RefusalKind(Enum):
    """Refusals by the daemon itself: problem type, HTTP status and title."""

    BAD_REQUEST = ("bad-request", 400, "The request cannot be understood")
    UNAUTHORISED = ("unauthorised", 401, "The credential is not known")
    UNKNOWN_SERVICE = ("unknown-service", 404, "There is no such service")
    CALLER_TOO_SLOW = ("caller-too-slow", 408, "The request did not arrive in time")
    IN_PROGRESS = ("in-progress", 409, "The first request with this key has no answer")
    OUTCOME_LOST = ("outcome-lost", 409, "The first request's outcome is not known")
    ANSWER_NOT_KEPT = ("answer-not-kept", 409, "The request ran; its answer is gone")
    BODY_TOO_LARGE = ("body-too-large", 413, "The body is too large")
    KEY_CONFLICT = ("key-conflict", 422, "The key was used with another request")
    OVER_SHARE = ("over-share", 429, "The partner's share is in use")
    HEADERS_TOO_LARGE = ("headers-too-large", 431, "The headers are too large")
    INTERNAL = ("internal", 500, "The entry VM failed")
    UPSTREAM_FAILED = ("upstream-failed", 502, "The upstream gave no usable answer")
    NOT_READY = ("not-ready", 503, "The entry VM cannot serve yet")
    OVERLOADED = ("overloaded", 503, "The service is busy")
    NO_UPSTREAM = ("no-upstream", 503, "No upstream can take the request")
    STORE_UNREACHABLE = ("store-unreachable", 503, "The key cannot be claimed")
    TOO_MANY_CONNECTIONS = ("too-many-connections", 503, "The entry VM is full")
    TIMED_OUT = ("timed-out", 504, "The deadline passed")

    def __init__(self, code: str, status: int, title: str) -> None:
        self.code = code
        self.status = status
        self.title = title


@dataclass(slots=True, frozen=True)
class Refusal:
    """A refusal that the daemon itself answers with."""

    kind: RefusalKind
    outcome: Outcome
    detail: str
    """Human-readable remedy."""
    retry_after: Seconds | None = None
    """Seconds after which a repeat may succeed; None if it cannot."""


@dataclass(slots=True, eq=False)
class CallerRequest:
    """One request of a caller, read completely and validated."""

    id: RequestId
    partner_id: PartnerId
    service_id: ServiceId
    pool_id: PoolId
    method: str
    target: str
    """Path and query as sent to the upstream, percent-encoded."""
    body: bytes
    arrived_at: Seconds
    deadline: Seconds
    urgency: Urgency = Urgency.NORMAL
    repeatable: bool = False
    """Whether the request may safely run more than once."""
    key: str | None = None
    """The caller's ``Idempotency-Key``."""


@dataclass(slots=True, eq=False)
class PartnerQueue:
    """Waiting and running requests of one partner in one pool."""

    partner_id: PartnerId
    weight: float = 1.0
    limit_percent: float = 100.0
    waiting_by_urgency: dict[Urgency, deque[CallerRequest]] = field(
        default_factory=lambda: {urgency: deque() for urgency in Urgency}
    )
    waiting: int = 0
    running: int = 0
    """Slots held through this entry VM."""
    used: float = 0.0
    """Slot seconds used in the whole fleet, with exponential decay of old use; in
    units that grow with time, see ``PoolQueue.units_since``."""
    slot_seconds: Seconds = 0.0
    """Slot time used through this entry VM since its start."""
    counted_at: Seconds = 0.0
    """Time up to which ``slot_seconds`` includes the running requests."""


@dataclass(slots=True, frozen=True)
class PeerUsage:
    """The last report of a peer on one partner in one pool."""

    incarnation: int
    slot_seconds: Seconds
    waiting: int
    running: int
    reported_at: Seconds


@dataclass(slots=True, eq=False)
class PoolQueue:
    """Waiting and running requests in one pool through this entry VM."""

    pool_id: PoolId
    queues_by_partner: dict[PartnerId, PartnerQueue] = field(default_factory=dict)
    waiting_by_partner: dict[PartnerId, PartnerQueue] = field(default_factory=dict)
    """Only the queues with waiting requests."""
    rows_by_partner: Mapping[PartnerId, PartnerRow] = field(default_factory=dict)
    """The partners of the table in force."""
    total_weight: float = 0.0
    """Sum of the weights of all partners in the table."""
    peer_usage: dict[tuple[EntryVMId, PartnerId], PeerUsage] = field(
        default_factory=dict
    )
    waiting: int = 0
    urgent_waiting: int = 0
    last_request_at: Seconds = float("-inf")
    """Time at which the last request got a slot."""
    answers: int = 0
    """Number of answers that the two figures below are computed from."""
    service_seconds: Seconds = 0.05
    """Smoothed time that a request holds a slot."""
    service_spread: Seconds = 0.05
    """Smoothed absolute deviation of single requests from ``service_seconds``."""
    units_since: Seconds | None = None
    """Time at which one slot second was one unit of ``PartnerQueue.used``."""


__all__ = [
    "CallerRequest",
    "Outcome",
    "PartnerQueue",
    "PeerUsage",
    "PoolQueue",
    "Refusal",
    "RefusalKind",
    "Urgency",
]
