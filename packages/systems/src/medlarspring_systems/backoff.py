"""How long to wait before a failed call to the store is tried again."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from medlarspring_tables import Seconds

FIRST_RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 8.0


def plan_retry(failures: int, rng: random.Random) -> Seconds:
    """Return the wait after so many failed calls running.

    When the store comes back, all entry VMs see it within seconds. The wait
    doubles and is drawn from its whole length, which spreads the fleet's first
    calls over it; a fixed wait would bring them all in one instant.
    """
    longest = FIRST_RETRY_SECONDS * 2 ** min(failures, 10)
    return rng.uniform(FIRST_RETRY_SECONDS / 2, min(longest, MAX_RETRY_SECONDS))


__all__ = ["MAX_RETRY_SECONDS", "plan_retry"]
