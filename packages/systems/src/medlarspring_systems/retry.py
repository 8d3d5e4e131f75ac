"""When a request that failed is sent again."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables import Seconds
    from medlarspring_tables.requests import CallerRequest, PoolQueue

MAX_ATTEMPTS = 3
MAX_TOKENS = 50.0
INITIAL_TOKENS = 5.0
"""Retries allowed before the first success, so that a quiet service has some."""

MIN_GIVE_UP_SECONDS = 0.25
SPREADS_TO_GIVE_UP = 8.0
MAX_PART_OF_REMAINING = 0.5
"""An early give-up leaves the second try at least as much time."""
MAX_LINGER_SECONDS = 2.0


@dataclass(slots=True)
class RetryBudget:
    """Tokens for retries of requests that may have run; earned by successes."""

    tokens: float = INITIAL_TOKENS


def add_retry_tokens(budget: RetryBudget, retry_percent: float) -> None:
    """Add what one success earns."""
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
    """Decide about one more attempt, and take its token.

    What certainly did not run may be sent again whatever it is, and costs no
    token: it put no work on any upstream VM. Everything else needs the
    caller's word that it is repeatable, and budget, so that retries never
    multiply the load of a service that is already failing.
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

    The first attempt of a repeatable request is given up early, well beyond
    what the service usually takes: the connection may have gone silent for
    good. Later attempts get all the time that is left, so that work which is
    merely slow still completes.
    """
    remaining = request.deadline - now
    if not request.repeatable or attempts > 0 or budget.tokens < 1.0:
        return remaining
    usual = pool.service_seconds + SPREADS_TO_GIVE_UP * pool.service_spread
    timeout = max(usual, MIN_GIVE_UP_SECONDS)
    if timeout > remaining * MAX_PART_OF_REMAINING:
        # Too little time is left for two tries. Cutting the first one short
        # would throw away work that is about to be done, and its slot with it.
        return remaining
    return timeout


def choose_linger(pool: PoolQueue) -> Seconds:
    """Return how long the slot of given-up work stays counted.

    The upstream VM may go on with the work; by then it has likely ended.
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
