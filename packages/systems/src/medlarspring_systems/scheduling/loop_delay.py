"""How late this process is, and how much longer it waits for answers therefore.

While the process is busy, an answer lies unread in its socket, and the timers of calls
go on. Without more time, each such answer counts as lost: its connection is closed, the
order is repeated and the worker polled, which makes the process later still.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables import Seconds

DECAY = 0.9
"""Factor on the recent delay with each measurement; it is forgotten in some seconds."""
MIN_DELAY_SECONDS = 0.02
"""Shorter delays are usual between two events and leave timeouts as they are."""
MIN_LATE_SECONDS = 0.005
"""A timer that is less late has hardly kept an answer from being read."""
MAX_GRANTED_SECONDS = 0.4
"""Most time that is added to a timeout. An order must count as unanswered before its
worker would refuse it as late, and a silent worker must be noticed soon."""


class LoopDelay:
    """Longest recent delay of this process's timers."""

    def __init__(self) -> None:
        self._recent: Seconds = 0.0

    def record(self, late: Seconds) -> None:
        """Record by how much a timer was late; call it several times a second."""
        self._recent = max(late, DECAY * self._recent)

    @property
    def granted(self) -> Seconds:
        """Time to add to the timeout of a call that is made now."""
        if self._recent < MIN_DELAY_SECONDS:
            return 0.0
        return min(self._recent, MAX_GRANTED_SECONDS)


def plan_extra_patience(late: Seconds, patience: Seconds) -> Seconds:
    """Return how much longer to wait when the timer of a patience was late; 0 to end.

    The answer may have come meanwhile and is read only after the timer has fired.
    """
    if late < MIN_LATE_SECONDS:
        return 0.0
    return min(late, patience)


__all__ = ["MAX_GRANTED_SECONDS", "LoopDelay", "plan_extra_patience"]
