"""Tells whether a process keeps up with the cell that it controls."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables import Seconds

LAG_SMOOTHING = 0.05
MAX_LAG_SECONDS = 0.12
"""Timers that are so late on average mean that orders wait as long in the process."""
UNANSWERED_SMOOTHING = 0.02
"""Weight of one order: the mean follows the last fifty or so."""
MAX_UNANSWERED_FRACTION = 0.35
"""Part of the orders without an answer. Workers that are cut off get no more orders
soon, so that more than a third means that the calls are held up on this side."""


class OverloadDetector:
    """Smooths how late timers are, and how many orders stay without an answer."""

    def __init__(self) -> None:
        self._lag: Seconds = 0.0
        self._unanswered_fraction = 0.0

    def record_timer_delay(self, late: Seconds) -> None:
        """Note by how much a timer was late."""
        self._lag += LAG_SMOOTHING * (late - self._lag)

    def record_order(self, *, answered: bool) -> None:
        """Note whether an order to a worker was answered in time."""
        self._unanswered_fraction += UNANSWERED_SMOOTHING * (
            (not answered) - self._unanswered_fraction
        )

    def is_overloaded(self) -> bool:
        """Tell whether orders wait in this process, or on its way to the workers."""
        return (
            self._lag > MAX_LAG_SECONDS
            or self._unanswered_fraction > MAX_UNANSWERED_FRACTION
        )


__all__ = ["OverloadDetector"]
