"""Delays after failed calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from medlarspring_tables import Seconds

MAX_DOUBLINGS = 10
"""Bound of the exponent; the longest delay is reached before."""
FIRST_RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 8.0


def double_bounded(first: Seconds, doublings: int, longest: Seconds) -> Seconds:
    """Return ``first`` doubled a number of times, ``longest`` at most."""
    return min(first * (1 << min(doublings, MAX_DOUBLINGS)), longest)


def choose_retry_delay(failures: int, rng: random.Random) -> Seconds:
    """Return the delay after a number of consecutive failed calls to the store.

    When the store recovers, all entry VMs retry within seconds. The upper bound
    of the delay doubles with each failure and the delay is drawn at random below
    it, which spreads the fleet's first calls. With a fixed delay all entry VMs
    would call at the same instant.
    """
    longest = double_bounded(FIRST_RETRY_SECONDS, failures, MAX_RETRY_SECONDS)
    return rng.uniform(FIRST_RETRY_SECONDS / 2, longest)


__all__ = ["MAX_RETRY_SECONDS", "choose_retry_delay", "double_bounded"]
