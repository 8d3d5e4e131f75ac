"""Retry delays for failed calls to the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from medlarspring_tables import Seconds

FIRST_RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 8.0


def choose_retry_delay(failures: int, rng: random.Random) -> Seconds:
    """Return the delay after a number of consecutive failed calls.

    When the store recovers, all entry VMs retry within seconds. The upper bound
    of the delay doubles with each failure and the delay is drawn at random below
    it, which spreads the fleet's first calls. With a fixed delay all entry VMs
    would call at the same instant.
    """
    longest = FIRST_RETRY_SECONDS * 2 ** min(failures, 10)
    return rng.uniform(FIRST_RETRY_SECONDS / 2, min(longest, MAX_RETRY_SECONDS))


__all__ = ["MAX_RETRY_SECONDS", "choose_retry_delay"]
