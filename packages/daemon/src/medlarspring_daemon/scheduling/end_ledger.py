"""Ends that a worker has listed, until their jobs' records hold them.

A worker forgets an end once it is acknowledged. Acknowledged before it is recorded, an
end is lost with the controller, and its task runs again.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables.scheduling import ActiveJob


@dataclass(frozen=True, slots=True)
class ListedEnd:
    """An end that the worker keeps until its job's record holds it."""

    number: int
    job: ActiveJob | None
    """None if no job needs the end."""
    version: int
    """Version of the job's record that holds the end."""


class EndLedger:
    """The ends of one worker that are not acknowledged, in the order of its list."""

    def __init__(self) -> None:
        self._ends: deque[ListedEnd] = deque()

    def __bool__(self) -> bool:
        return bool(self._ends)

    def add(self, number: int, job: ActiveJob | None) -> None:
        """Enter an end, as the job's tables stand now."""
        version = job.version if job is not None else 0
        self._ends.append(ListedEnd(number, job, version))

    def find_recorded(self, acknowledged: int) -> int:
        """Return the highest end that is recorded, and all before it."""
        recorded = acknowledged
        for end in self._ends:
            if end.job is not None and end.job.written_version < end.version:
                break
            recorded = max(recorded, end.number)
        return recorded

    def drop(self, acknowledged: int) -> None:
        """Forget the ends that the worker has forgotten."""
        while self._ends and self._ends[0].number <= acknowledged:
            self._ends.popleft()


__all__ = ["EndLedger"]
