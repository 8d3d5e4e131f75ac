"""Decides what a request with an ``Idempotency-Key`` may do about a stored claim.

A request may run only if its own compare-and-swap wrote the claim. A claim is
taken over only if its claimant recorded that the request certainly did not run.
"""

from __future__ import annotations

import hashlib
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING

from medlarspring_tables.claims import Claim, ClaimedAnswer, ClaimState
from medlarspring_tables.requests import Outcome, Refusal, RefusalKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarspring_tables import PartnerId, Seconds
    from medlarspring_tables.requests import CallerRequest

CLAIM_SECONDS = 24 * 3600.0
"""Minimum lifetime of a claim; a key may be reused only after it."""
LEASE_PERIOD_SECONDS = 3600.0
"""Claims written in one period share a lease, which outlives the last claim."""
LEASE_SECONDS = CLAIM_SECONDS + LEASE_PERIOD_SECONDS
GRACE_SECONDS = 30.0
"""A claim without an outcome this long after its deadline is reported as lost."""
MAX_KEPT_BODY_BYTES = 16_384
REPLAYED_HEADERS = frozenset({"content-type", "location", "etag"})
IN_PROGRESS_RETRY_SECONDS = 1.0


class ClaimDecision(Enum):
    """What to do about an existing claim."""

    OWN_CLAIM = "ours"
    """This attempt wrote the claim, but the store's reply was lost."""
    REPLAY = "replay"
    TAKE_OVER = "take-over"
    REFUSE = "refuse"


def get_claim_key(partner_id: PartnerId, key: str) -> str:
    """Return the store key of a claim."""
    return f"claims/{partner_id}/{hashlib.sha256(key.encode()).hexdigest()}"


def digest_request(request: CallerRequest) -> str:
    """Return the digest that a repeat of the request must match."""
    digest = hashlib.sha256()
    for part in (request.service_id, request.method, request.target):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.hexdigest()


def evaluate_claim(found: Claim, attempt_id: str, request_digest: str) -> ClaimDecision:
    """Return what a request may do about an existing claim."""
    if found.attempt_id == attempt_id:
        return ClaimDecision.OWN_CLAIM
    if found.request_digest != request_digest:
        return ClaimDecision.REFUSE
    if found.state is ClaimState.ABANDONED:
        return ClaimDecision.TAKE_OVER
    if found.answer is not None and found.answer.body is not None:
        return ClaimDecision.REPLAY
    return ClaimDecision.REFUSE


def build_claim_refusal(found: Claim, request_digest: str, wall: Seconds) -> Refusal:
    """Return the refusal for a claim that allows neither a run nor a replay."""
    if found.request_digest != request_digest:
        return KEY_CONFLICT
    if found.state is ClaimState.DONE:
        return _ANSWER_NOT_KEPT
    if found.state is ClaimState.UNKNOWN or wall > found.deadline_wall + GRACE_SECONDS:
        return _OUTCOME_LOST
    return IN_PROGRESS


def build_claimed_answer(
    status: int, headers: Iterable[tuple[str, str]], body: bytes
) -> ClaimedAnswer:
    """Return the part of an answer that is stored for replays."""
    # lower() also converts the HTTP library's string subclass to a plain str; the
    # store's codec cannot encode the subclass.
    kept = tuple(
        (name.lower(), value)
        for name, value in headers
        if name.lower() in REPLAYED_HEADERS
    )
    if len(body) > MAX_KEPT_BODY_BYTES:
        return ClaimedAnswer(status=status, headers=kept)
    return ClaimedAnswer(status=status, headers=kept, body=body)


def with_unknown_outcome(refusal: Refusal) -> Refusal:
    """Return the refusal with an unknown outcome in place of "not run".

    For requests whose key was not looked up in the store: the key may have run
    through another entry VM. After "not run" the caller may cancel the request
    or send it under a new key.
    """
    if refusal.outcome is not Outcome.NOT_RUN:
        return refusal
    return replace(refusal, outcome=Outcome.UNKNOWN)


KEY_CONFLICT = Refusal(
    RefusalKind.KEY_CONFLICT,
    Outcome.NOT_RUN,
    "Use a new Idempotency-Key for a request with another path or body.",
)
IN_PROGRESS = Refusal(
    RefusalKind.IN_PROGRESS,
    Outcome.UNKNOWN,
    "The first request with this key has no outcome yet; send it again later.",
    retry_after=IN_PROGRESS_RETRY_SECONDS,
)
_OUTCOME_LOST = Refusal(
    RefusalKind.OUTCOME_LOST,
    Outcome.UNKNOWN,
    "The first request may have run; ask the service about its effect before"
    " using a new key.",
)
_ANSWER_NOT_KEPT = Refusal(
    RefusalKind.ANSWER_NOT_KEPT,
    Outcome.RUN,
    "The request ran once; its answer was too large to be kept for repeats.",
)

__all__ = [
    "CLAIM_SECONDS",
    "IN_PROGRESS",
    "KEY_CONFLICT",
    "LEASE_PERIOD_SECONDS",
    "LEASE_SECONDS",
    "MAX_KEPT_BODY_BYTES",
    "ClaimDecision",
    "digest_request",
    "get_claim_key",
    "evaluate_claim",
    "build_claimed_answer",
    "with_unknown_outcome",
    "build_claim_refusal",
]
