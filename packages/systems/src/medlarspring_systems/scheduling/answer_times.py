"""Decides how long the answer to a call is waited for before the call is repeated.

The decision is made from the times that recent answers took. Calls that stay without
an answer are not among them: they say how many are lost, not how long an answer takes.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables import Seconds

MAX_SAMPLES = 256
"""Number of recent answers that are kept."""
MIN_SAMPLES = 20
"""Number of answers from which their times are used."""
SAMPLES_PER_UPDATE = 8
"""Number of answers after which the patience is computed anew."""
QUANTILE = 0.95
"""Fraction of the answers that come within the time from which patience is derived.

A higher one would follow a few answers that were delayed by a burst of calls.
"""
MARGIN = 3.0
"""Factor from that time to the patience."""
DEFAULT_PATIENCE_SECONDS = 0.05
"""Patience before ``MIN_SAMPLES`` answers have come."""
MIN_PATIENCE_SECONDS = 0.02
"""Shortest patience; about as long as a busy process is away from its event loop."""
MAX_PATIENCE_SECONDS = 0.15
"""Longest patience. It leaves a repeat more than half of a call's timeout."""
REPEAT_SHARE = 0.2
"""Most repeats for each call in the long run.

If this process or its link is slow, nearly every answer is late. Repeats would then
double the calls of a controller that is behind with its work already.
"""
MAX_SAVED_REPEATS = 20.0
"""Most repeats that may be sent in a row, as one burst of starts may need them."""


class AnswerTimes:
    """Recent answer times of one kind of call, and the budget for its repeats."""

    def __init__(self) -> None:
        self._samples: deque[Seconds] = deque(maxlen=MAX_SAMPLES)
        self._new_samples = 0
        self._patience: Seconds = DEFAULT_PATIENCE_SECONDS
        self._saved_repeats = MAX_SAVED_REPEATS

    @property
    def patience(self) -> Seconds:
        """Time without an answer after which a call should be repeated."""
        return self._patience

    def record_call(self) -> None:
        """Record a call that is not a repeat; it adds to the budget for repeats."""
        self._saved_repeats = min(self._saved_repeats + REPEAT_SHARE, MAX_SAVED_REPEATS)

    def record_answer(self, seconds: Seconds) -> None:
        """Record the time from the sending of a call, or of a repeat, to its answer."""
        self._samples.append(seconds)
        self._new_samples += 1
        if len(self._samples) < MIN_SAMPLES or self._new_samples < SAMPLES_PER_UPDATE:
            return
        self._new_samples = 0
        self._patience = _compute_patience(self._samples)

    def take_repeat(self) -> bool:
        """Return whether the budget allows one more repeat, and charge it."""
        if self._saved_repeats < 1.0:
            return False
        self._saved_repeats -= 1.0
        return True


def _compute_patience(samples: deque[Seconds]) -> Seconds:
    ordered = sorted(samples)
    usual = ordered[min(int(QUANTILE * len(ordered)), len(ordered) - 1)]
    return min(max(MARGIN * usual, MIN_PATIENCE_SECONDS), MAX_PATIENCE_SECONDS)


__all__ = [
    "DEFAULT_PATIENCE_SECONDS",
    "MAX_PATIENCE_SECONDS",
    "MIN_PATIENCE_SECONDS",
    "AnswerTimes",
]
