"""Claims of ``Idempotency-Key`` values, as kept in the store."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class ClaimState(Enum):
    """What is known of the one run that a key allows."""

    CLAIMED = "claimed"
    """An entry VM may be running it."""
    DONE = "done"
    """It ran, and its answer is kept unless too large."""
    UNKNOWN = "unknown"
    """It was sent, and whether it ran will not be learnt."""
    ABANDONED = "abandoned"
    """It was certainly not run, and may be claimed anew."""


class ClaimedAnswer(Struct, frozen=True, kw_only=True):
    """The answer of the one run, replayed to every repeat."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None
    """None when the answer was too large to be kept."""


class Claim(Struct, frozen=True, kw_only=True):
    """The value under ``claims/<partner>/<digest of the key>``."""

    attempt_id: str
    """Chosen by the claimant, so that it knows its own write again."""
    request_digest: str
    """Of method, path and body; another request with the key is a conflict."""
    entry_vm: str
    incarnation: int
    deadline_wall: float
    """Seconds since the epoch after which the run has ended, known or not."""
    state: ClaimState = ClaimState.CLAIMED
    answer: ClaimedAnswer | None = None


__all__ = ["Claim", "ClaimState", "ClaimedAnswer"]
