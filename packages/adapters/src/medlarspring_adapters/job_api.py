"""Bodies of the operator port's routes for jobs."""

from __future__ import annotations

from msgspec import Struct

from medlarspring_tables import Job, JobId, JobUrgency, PartnerId, PoolId, Size
from medlarspring_tables.bounds import Real


class JobRequest(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A job to submit; a repeat with the same id and content has no effect."""

    id: JobId
    partner_id: PartnerId
    pool_id: PoolId
    declared: Size
    declared_seconds: Real
    kind: str = "default"
    urgency: JobUrgency = JobUrgency.NORMAL
    can_checkpoint: bool = False
    can_throttle: bool = False


class SubmitRequest(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Jobs to submit, each accepted or refused on its own."""

    jobs: tuple[JobRequest, ...]
    operator: str


class RefusedJob(Struct, frozen=True):
    """A job that was not accepted, with the reason and the remedy."""

    id: JobId
    code: str
    message: str


class SubmitAnswer(Struct, frozen=True, kw_only=True):
    """Outcome of a submission."""

    accepted: tuple[JobId, ...] = ()
    repeated: tuple[JobId, ...] = ()
    """Already on record with the same content."""
    refused: tuple[RefusedJob, ...] = ()


class CancelRequest(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Which jobs of a pool to cancel; empty filters match all."""

    pool_id: PoolId
    operator: str
    ids: tuple[JobId, ...] = ()
    partner_id: PartnerId | None = None
    kind: str | None = None
    reason: str = ""


class CancelAnswer(Struct, frozen=True, kw_only=True):
    """Outcome of a cancellation, to be repeated until ``remaining`` is 0."""

    cancelled: int
    already_ended: int
    remaining: int
    """Not cancelled yet: the holder wrote concurrently, or the store did not answer."""


class JobView(Struct, frozen=True, kw_only=True):
    """A job and, while it waits, the reason."""

    job: Job
    waits_for: str = ""


class JobsAnswer(Struct, frozen=True, kw_only=True):
    """Jobs of a pool, newest first, and how many there are by state."""

    jobs: tuple[JobView, ...]
    counts_by_state: dict[str, int]


__all__ = [
    "CancelAnswer",
    "CancelRequest",
    "JobRequest",
    "JobView",
    "JobsAnswer",
    "RefusedJob",
    "SubmitAnswer",
    "SubmitRequest",
]
