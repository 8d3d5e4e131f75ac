"""Timeout of calls to the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables import Seconds

MAX_TIMED_BYTES = 65_536
"""Responses beyond this size don't count towards the mean response time."""
MIN_TIMEOUT_SECONDS = 0.15
MAX_TIMEOUT_SECONDS = 1.2
TIMEOUT_FACTOR = 5.0
"""A call times out after this multiple of the mean response time."""


class AdaptiveTimeout:
    """Call timeout that follows the recent response times.

    The store responds in 8 ms, in slow periods of some seconds in 250 ms, and
    sometimes not at all. A fixed short timeout would abandon every slow response; a
    fixed long one would stall all writes behind each lost response.
    """

    def __init__(self) -> None:
        self._mean = 0.02
        self._timeouts = 0

    def timeout(self) -> Seconds:
        """Return the timeout of the next call."""
        usual = max(TIMEOUT_FACTOR * self._mean, MIN_TIMEOUT_SECONDS)
        return min(usual * 2.0**self._timeouts, MAX_TIMEOUT_SECONDS)

    def record_answer(self, seconds: Seconds, size: int) -> None:
        """Reset the backoff, and update the mean unless the body was large."""
        self._timeouts = 0
        if size <= MAX_TIMED_BYTES:
            self._mean += 0.2 * (seconds - self._mean)

    def record_timeout(self) -> None:
        """Double the timeout of the next calls, up to three times."""
        self._timeouts = min(self._timeouts + 1, 3)


__all__ = ["AdaptiveTimeout"]
