"""Weights of partners, as the configuration states them."""

from __future__ import annotations

import math

DEFAULT_WEIGHT = 1.0
"""Weight of a partner whose configuration states no usable one."""


def normalise_weight(weight: float | None) -> float:
    """Return the weight in force; 1.0 for none, or one that isn't positive and finite.

    A mistake in one partner's entry must not keep a configuration out of force.
    """
    if weight is None or not math.isfinite(weight) or weight <= 0.0:
        return DEFAULT_WEIGHT
    return weight


__all__ = ["DEFAULT_WEIGHT", "normalise_weight"]
