"""Detects that a controller makes no progress although it may act for its cell."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables import Seconds

STALL_SECONDS = 10.0
"""A controller that may act and makes no progress for this long has stalled."""
TAKEOVER_STALL_SECONDS = 30.0
"""Same during a takeover, whose listings of large prefixes take many calls."""
MAX_STEP_SECONDS = 1.0
"""Most time counted between two checks. While a process is paused, neither its checks
nor its work go on."""


class StallDetector:
    """Adds up the time without progress between periodic checks."""

    def __init__(self, now: Seconds) -> None:
        self._checked_at = now
        self._idle: Seconds = 0.0

    def record_progress(self) -> None:
        """Record that a step of the work was done."""
        self._idle = 0.0

    def check(
        self, now: Seconds, *, is_active: bool, limit: Seconds = STALL_SECONDS
    ) -> bool:
        """Return whether the work has stalled for longer than ``limit``.

        Time counts only while the work may go on.
        """
        step = min(now - self._checked_at, MAX_STEP_SECONDS)
        self._checked_at = now
        self._idle = self._idle + step if is_active else 0.0
        return self._idle > limit


__all__ = ["STALL_SECONDS", "TAKEOVER_STALL_SECONDS", "StallDetector"]
