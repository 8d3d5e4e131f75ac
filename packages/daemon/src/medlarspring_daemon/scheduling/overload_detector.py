"""Detects whether a controller process keeps up with the work of its cell."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables import Seconds

LAG_SMOOTHING = 0.05
MAX_LAG_SECONDS = 0.12
"""Highest mean timer delay; orders wait in this process for about as long."""
UNANSWERED_SMOOTHING = 0.02
"""Weight of one order, so that the mean covers about the last 50 orders."""
MAX_UNANSWERED_FRACTION = 0.35
"""Highest fraction of orders without an answer. Unreachable workers soon get no more
orders, so a fraction above a third means that calls are delayed in this process."""


class OverloadDetector:
    """Tracks moving averages of the timer delay and of the unanswered orders."""

    def __init__(self) -> None:
        self._lag: Seconds = 0.0
        self._unanswered_fraction = 0.0

    def record_timer_delay(self, late: Seconds) -> None:
        """Record by how much a timer was late, in seconds."""
        self._lag += LAG_SMOOTHING * (late - self._lag)

    def record_order(self, *, answered: bool) -> None:
        """Record whether a worker answered an order in time."""
        self._unanswered_fraction += UNANSWERED_SMOOTHING * (
            (not answered) - self._unanswered_fraction
        )

    def is_overloaded(self) -> bool:
        """Return whether orders are delayed in this process or on their way out."""
        return (
            self._lag > MAX_LAG_SECONDS
            or self._unanswered_fraction > MAX_UNANSWERED_FRACTION
        )


__all__ = ["OverloadDetector"]
