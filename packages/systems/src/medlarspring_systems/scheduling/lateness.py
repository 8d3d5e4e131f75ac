"""Decides whether a controller is too late to start new jobs in time."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables import Seconds

URGENT_START_SECONDS = 2.0
"""An urgent job is of use to its caller if it starts within this time."""
WAITS_PER_START = 4
"""A new job waits for the process this often: to be read from the inbox, placed,
recorded and ordered to start."""
LATE_SECONDS = URGENT_START_SECONDS / WAITS_PER_START
"""Delay from which an urgent job can't be started in time."""
ON_TIME_SECONDS = LATE_SECONDS / 2
"""Delay below which a late controller counts as on time, so that it does not turn late
again by the jobs that are then accepted."""
SMOOTHING_SECONDS = 2.0
"""Time constant of the mean delay. A single pause of a second leaves it on time."""


class Lateness:
    """The mean delay of a controller's timers, and whether it counts as late."""

    def __init__(self) -> None:
        self.delay: Seconds = 0.0
        self.is_late = False

    def record_delay(self, delay: Seconds, period: Seconds) -> bool:
        """Record by how much a timer of ``period`` was late; return whether it turned.

        That is the case when the controller becomes late, or is on time again.
        """
        weight = 1.0 - math.exp(-(delay + period) / SMOOTHING_SECONDS)
        self.delay += weight * (delay - self.delay)
        limit = ON_TIME_SECONDS if self.is_late else LATE_SECONDS
        was_late, self.is_late = self.is_late, self.delay > limit
        return self.is_late != was_late

    @property
    def reported_ms(self) -> int:
        """The delay in milliseconds while the controller is late, else 0."""
        return round(self.delay * 1_000) if self.is_late else 0


def estimate_start_wait(delay_ms: int) -> Seconds:
    """Return how long a new job waits for a late controller before it can start."""
    return WAITS_PER_START * delay_ms / 1_000.0


__all__ = ["LATE_SECONDS", "ON_TIME_SECONDS", "Lateness", "estimate_start_wait"]
