"""Claims of ``Idempotency-Key`` values, as kept in the store."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from medlarspring_tables.bounds import Real, Whole


class ClaimState(Enum):
    """What is known of the single run that a key allows."""

    CLAIMED = "claimed"
    """An entry VM may be running the request."""
    DONE = "done"
    """The request ran; its answer is stored unless it is too large."""
    UNKNOWN = "unknown"
    """The request was sent, and whether it ran cannot be determined."""
    ABANDONED = "abandoned"
    """The request certainly did not run; the key may be claimed again."""


class ClaimedAnswer(Struct, frozen=True, kw_only=True):
    """The answer of the single run, replayed for every repeat."""

    status: Whole
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None
    """None when the answer was too large to be kept."""


class Claim(Struct, frozen=True, kw_only=True):
    """The value under ``claims/<partner>/<digest of the key>``."""

    attempt_id: str
    """Chosen by the claimant, so that it recognises its own write."""
    request_digest: str
    """Digest of service, method, path and body; another one is a conflict."""
    entry_vm: str
    incarnation: int
    """64 random bits, more than a bound can state; only ever compared."""
    deadline_wall: Real
    """Seconds since the epoch by which the run has ended, even without an outcome."""
    state: ClaimState = ClaimState.CLAIMED
    answer: ClaimedAnswer | None = None


__all__ = ["Claim", "ClaimState", "ClaimedAnswer"]
