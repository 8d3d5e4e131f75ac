"""Remembers submissions of this process whose writes may still be applied."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables import JobId, Seconds

UNSETTLED_SECONDS = 30.0
"""How long a write without a known outcome is expected to be applied late at most."""


class UnsettledSubmissions:
    """Ids of jobs whose write was sent and has no known outcome.

    Such a job may be accepted although its key does not exist yet, so a repeat must
    not be told that it was not accepted.
    """

    def __init__(self) -> None:
        self._sent_at: dict[JobId, Seconds] = {}

    def add(self, job_id: JobId, now: Seconds) -> None:
        """Record that a job's write is being sent."""
        self._sent_at.pop(job_id, None)
        self._sent_at[job_id] = now
        for known_id, sent_at in list(self._sent_at.items()):
            if now - sent_at < UNSETTLED_SECONDS:
                break
            del self._sent_at[known_id]

    def settle(self, job_id: JobId) -> None:
        """Record that the outcome of a job's write is known."""
        self._sent_at.pop(job_id, None)

    def contains(self, job_id: JobId, now: Seconds) -> bool:
        """Return whether a job's write may still be applied."""
        sent_at = self._sent_at.get(job_id)
        return sent_at is not None and now - sent_at < UNSETTLED_SECONDS


__all__ = ["UnsettledSubmissions"]
