"""Weights of partners, as the configuration states them."""

from __future__ import annotations

import math

DEFAULT_WEIGHT = 1.0
"""Weight of a partner whose configuration states no usable one."""
MIN_WEIGHT = 1e-6
MAX_WEIGHT = 1e6
"""Beyond these bounds, sums of weights and shares would lose their precision."""


def normalise_weight(weight: float | None) -> float:
    """Return the weight in force, which is positive and bounded.

    It is 1.0 if none is stated, or one that isn't positive and finite.

    A mistake in one partner's entry must not keep a configuration out of force.
    """
    if weight is None or not math.isfinite(weight) or weight <= 0.0:
        return DEFAULT_WEIGHT
    return min(max(weight, MIN_WEIGHT), MAX_WEIGHT)


__all__ = ["DEFAULT_WEIGHT", "normalise_weight"]
