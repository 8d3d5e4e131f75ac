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
        self._sent_at_by_id: dict[JobId, list[Seconds]] = {}
        """Times of each job's attempts, oldest first; the job sent last comes last."""

    def add(self, job_id: JobId, now: Seconds) -> None:
        """Record that an attempt to write a job is made."""
        attempts = self._sent_at_by_id.pop(job_id, [])
        recent = [each for each in attempts if now - each < UNSETTLED_SECONDS]
        self._sent_at_by_id[job_id] = [*recent, now]
        for known_id, (*_, sent_at) in list(self._sent_at_by_id.items()):
            if now - sent_at < UNSETTLED_SECONDS:
                break
            del self._sent_at_by_id[known_id]

    def withdraw(self, job_id: JobId) -> None:
        """Record that the last attempt was not carried out; earlier ones may be."""
        attempts = self._sent_at_by_id.get(job_id, [])
        if len(attempts) > 1:
            attempts.pop()
        else:
            self.settle(job_id)

    def settle(self, job_id: JobId) -> None:
        """Record that the job is known to be accepted or not."""
        self._sent_at_by_id.pop(job_id, None)

    def contains(self, job_id: JobId, now: Seconds) -> bool:
        """Return whether a job's write may still be applied."""
        attempts = self._sent_at_by_id.get(job_id)
        return attempts is not None and now - attempts[-1] < UNSETTLED_SECONDS


__all__ = ["UnsettledSubmissions"]
