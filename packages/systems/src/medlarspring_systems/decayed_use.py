"""Past use that decays exponentially, for orders among partners.

An amount is kept in units of the time when it was last counted or of a common origin.
Both are the same rule: after one time constant, use counts 1/e of what it did.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables import Seconds

MAX_UNIT_EXPONENT = 200.0
"""Units are rebased at this exponent, before they overflow a float."""

MAX_EXPONENT = 700.0
"""Largest exponent of which ``math.exp`` is finite."""


def grow_unit(elapsed: Seconds, decay_seconds: Seconds) -> float | None:
    """Return how many units of the origin one unit of use is worth now.

    None if the origin is so long ago that amounts must be rebased first.
    """
    exponent = elapsed / decay_seconds
    return None if exponent > MAX_UNIT_EXPONENT else math.exp(exponent)


def find_remaining(elapsed: Seconds, decay_seconds: Seconds) -> float:
    """Return the fraction of use that still counts after a time of at least 0."""
    return math.exp(-min(max(elapsed, 0.0) / decay_seconds, MAX_EXPONENT))


def integrate(elapsed: Seconds, decay_seconds: Seconds) -> Seconds:
    """Return what a constant use of 1 adds to an amount in a time of at least 0."""
    return decay_seconds * (1.0 - find_remaining(elapsed, decay_seconds))


__all__ = ["find_remaining", "grow_unit", "integrate"]
