"""Ends that a worker has listed, until their jobs' records hold them.

A worker forgets an end once it is acknowledged. Acknowledged before it is recorded, an
end is lost with the controller, and its task runs again.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import ActiveJob, Milliseconds


@dataclass(frozen=True, slots=True)
class UnacknowledgedEnd:
    """An end that the worker keeps until its job's record holds it."""

    number: int
    job: ActiveJob | None
    """None if no job needs the end."""
    version: int
    """Version of the job's record that holds the end."""


MAX_LISTING_AGE_SECONDS = 0.055
"""A worker that listed its runs so lately has not started again since; no process is
up in less. A little more than the pause between calls while ends are unrecorded."""


class UnacknowledgedEnds:
    """The ends of one life of a worker that are not acknowledged, in listed order."""

    def __init__(self, life_ms: Milliseconds) -> None:
        self.life_ms = life_ms
        """Start of the life."""
        self._ends: deque[UnacknowledgedEnd] = deque()
        self._listed_at: Seconds = float("-inf")
        """When the last listing came; never, if a call went unanswered since."""

    def __bool__(self) -> bool:
        return bool(self._ends)

    def add(self, number: int, job: ActiveJob | None) -> None:
        """Enter an end, as the job's tables stand now."""
        version = job.version if job is not None else 0
        self._ends.append(UnacknowledgedEnd(number, job, version))

    def record_listing(self, now: Seconds) -> None:
        """Note that the life has just listed its runs and ends."""
        self._listed_at = now

    def record_unanswered_call(self) -> None:
        """Note that the life may be over since its last listing."""
        self._listed_at = float("-inf")

    def find_acknowledgeable(self, now: Seconds) -> int:
        """Return up to which end the worker may forget; 0 while that is not sure.

        A worker that listed nothing for a moment may have started again; only a
        listing tells, not its answer to an order. The number of an end of its
        former life would make the new one forget ends that nobody has read, and
        their tasks would run again.
        """
        if now - self._listed_at > MAX_LISTING_AGE_SECONDS:
            return 0
        return self.find_last_recorded()

    def find_last_recorded(self) -> int:
        """Return the highest end that is recorded, and all before it; 0 for none."""
        recorded = 0
        for end in self._ends:
            if end.job is not None and end.job.written_version < end.version:
                break
            recorded = max(recorded, end.number)
        return recorded

    def drop(self, acknowledged: int) -> None:
        """Forget the ends that the worker has forgotten."""
        while self._ends and self._ends[0].number <= acknowledged:
            self._ends.popleft()


__all__ = ["UnacknowledgedEnds"]
