"""Counts failures in a row and limits how much of them is logged."""

from __future__ import annotations

import traceback
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables import Seconds

SETTLED_SECONDS = 10.0
"""Work that has gone well for so long has recovered; the next failure is a first."""
TRACE_FRAMES = 20
"""Innermost frames of a logged trace; those of a deep recursion would fill the log."""


def format_trace(error: BaseException | None) -> str:
    """Return the innermost frames of an exception's trace, for the log."""
    return "".join(traceback.format_exception(error, limit=-TRACE_FRAMES))


class FailureStreak:
    """The failures of work that is repeated until it goes well."""

    def __init__(self) -> None:
        self.count = 0
        """Failures in a row."""
        self._well_since: Seconds | None = None
        self._is_logged = False

    def record_failure(self, now: Seconds) -> bool:
        """Count a failure; return whether to log it.

        The first failure is logged, and then every time the count has doubled: work
        that fails for hours writes some twenty lines.
        """
        if self._well_since is not None and now - self._well_since >= SETTLED_SECONDS:
            self.count = 0
        self._well_since = None
        self.count += 1
        if self.count & (self.count - 1):
            return False
        self._is_logged = True
        return True

    def record_success(self, now: Seconds) -> bool:
        """Record that the work goes well; return whether to log that it does again."""
        if self._well_since is None:
            self._well_since = now
        is_logged, self._is_logged = self._is_logged, False
        return is_logged


__all__ = ["TRACE_FRAMES", "FailureStreak", "format_trace"]
