"""Run ends listed by a worker that must be recorded before they are acknowledged.

A worker discards an end once it is acknowledged. If one is acknowledged before it is
recorded and the controller then fails, the end is lost and its task runs again.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import ActiveJob, HeldEnd, Milliseconds


@dataclass(frozen=True, slots=True)
class UnacknowledgedEnd:
    """An end that the worker keeps until its job's record contains it."""

    number: int
    job: ActiveJob | None
    """None if no job needs the end."""
    version: int
    """First version of the job's record that contains the end."""
    held: HeldEnd | None = None
    """Set if its job was not loaded when it was listed."""

    def is_recorded(self) -> bool:
        """Return whether the worker may discard the end."""
        if self.held is not None:
            return self.held.is_recorded()
        return self.job is None or self.job.written_version >= self.version


MAX_LISTING_AGE_SECONDS = 0.055
"""A worker can't have restarted since a listing of this age, because no process starts
faster. Slightly longer than the pause between calls while ends are unrecorded."""


class UnacknowledgedEnds:
    """Unacknowledged ends of one incarnation of a worker, in listed order."""

    def __init__(self, life_ms: Milliseconds) -> None:
        self.life_ms = life_ms
        """Start time of the incarnation, in milliseconds."""
        self._ends: deque[UnacknowledgedEnd] = deque()
        self._listed_at: Seconds = float("-inf")
        """Time of the last listing; minus infinity if a call went unanswered since."""

    def __bool__(self) -> bool:
        return bool(self._ends)

    def add(self, number: int, job: ActiveJob | None) -> None:
        """Add an end that the current version of the job contains."""
        version = job.version if job is not None else 0
        self._ends.append(UnacknowledgedEnd(number, job, version))

    def add_held(self, end: HeldEnd) -> None:
        """Add an end whose job is not loaded yet."""
        self._ends.append(UnacknowledgedEnd(end.row.number, None, 0, end))

    def sort(self) -> None:
        """Put the ends into the order in which the worker numbered them."""
        self._ends = deque(sorted(self._ends, key=lambda end: end.number))

    def record_listing(self, now: Seconds) -> None:
        """Record that the incarnation has just listed its runs and ends."""
        self._listed_at = now

    def record_unanswered_call(self) -> None:
        """Record that the incarnation may have ended since its last listing."""
        self._listed_at = float("-inf")

    def find_acknowledgeable(self, now: Seconds) -> int:
        """Return the highest end that the worker may discard; 0 for none.

        Without a recent listing the worker may have restarted; answers to orders
        do not rule that out. A new incarnation counts its ends from 1 again, so an
        acknowledgement for the earlier one would make it discard ends that the
        controller has not read, and their tasks would run again.
        """
        if now - self._listed_at > MAX_LISTING_AGE_SECONDS:
            return 0
        return self.find_last_recorded()

    def find_last_recorded(self) -> int:
        """Return the highest end up to which all are recorded; 0 for none."""
        recorded = 0
        for end in self._ends:
            if not end.is_recorded():
                break
            recorded = max(recorded, end.number)
        return recorded

    def drop(self, acknowledged: int) -> None:
        """Remove the ends up to the acknowledged one."""
        while self._ends and self._ends[0].number <= acknowledged:
            self._ends.popleft()


__all__ = ["UnacknowledgedEnds"]
