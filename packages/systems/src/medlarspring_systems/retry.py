"""Decides when a failed request is retried, within a budget of retries."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables import Seconds
    from medlarspring_tables.requests import CallerRequest, PoolQueue

MAX_ATTEMPTS = 3
MAX_TOKENS = 50.0
INITIAL_TOKENS = 5.0
"""Retries allowed before the first success, for services with few requests."""

MIN_GIVE_UP_SECONDS = 0.25
SPREADS_TO_GIVE_UP = 8.0
MAX_PART_OF_REMAINING = 0.5
"""An early timeout leaves the second attempt at least as much time as the first."""
MAX_LINGER_SECONDS = 2.0


@dataclass(slots=True)
class RetryBudget:
    """Tokens for retries of requests that may have run; successes add tokens."""

    tokens: float = INITIAL_TOKENS


def add_retry_tokens(budget: RetryBudget, retry_percent: float) -> None:
    """Add the tokens for one successful request."""
    budget.tokens = min(MAX_TOKENS, budget.tokens + retry_percent / 100.0)


def may_retry(
    budget: RetryBudget,
    request: CallerRequest,
    attempts: int,
    expected: Seconds,
    now: Seconds,
    *,
    certainly_not_run: bool,
) -> bool:
    """Return whether one more attempt is allowed, and take its token.

    Any request that certainly did not run may be sent again without a token, since
    it put no work on an upstream VM. Other requests must be marked as repeatable
    by the caller and need a token, so that retries do not multiply the load of a
    service that is already failing.
    """
    if attempts >= MAX_ATTEMPTS or now + expected >= request.deadline:
        return False
    if certainly_not_run:
        return True
    if not request.repeatable or budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True


def choose_header_timeout(
    budget: RetryBudget,
    request: CallerRequest,
    pool: PoolQueue,
    attempts: int,
    now: Seconds,
) -> Seconds:
    """Return how long to wait for an answer's headers.

    The first attempt of a repeatable request times out before the deadline, but
    well after the usual service time, because its connection may be dead. Later
    attempts get all the remaining time, so that work that is only slow completes.
    """
    remaining = request.deadline - now
    if not request.repeatable or attempts > 0 or budget.tokens < 1.0:
        return remaining
    usual = pool.service_seconds + SPREADS_TO_GIVE_UP * pool.service_spread
    timeout = max(usual, MIN_GIVE_UP_SECONDS)
    if timeout > remaining * MAX_PART_OF_REMAINING:
        # Too little time is left for two attempts. An early timeout would discard
        # work that is nearly complete, and waste its slot.
        return remaining
    return timeout


def choose_linger(pool: PoolQueue) -> Seconds:
    """Return how long the slot of an abandoned request still counts as in use.

    The upstream VM may continue the work; after this time it has likely ended.
    """
    usual = pool.service_seconds + SPREADS_TO_GIVE_UP * pool.service_spread
    return min(MAX_LINGER_SECONDS, usual if pool.answers else MAX_LINGER_SECONDS)


__all__ = [
    "RetryBudget",
    "choose_header_timeout",
    "choose_linger",
    "add_retry_tokens",
    "may_retry",
]
