"""Which workers wait for which job's record before they may forget an end."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarspring_tables.scheduling import ActiveJob, WorkerId


class UnrecordedEnds:
    """An index of workers by job.

    Each of some hundred records a second looked through the ends of every worker:
    at 200 workers a quarter of the controller's own time (a profile of 80 jobs a
    second on the emulated platform).
    """

    def __init__(self) -> None:
        self._workers_by_job: dict[ActiveJob, dict[WorkerId, None]] = {}

    def add_ends(
        self, worker_id: WorkerId, ends: Iterable[tuple[int, ActiveJob | None]]
    ) -> None:
        """Note the ends that a worker lists, by number and job."""
        for _, job in ends:
            if job is not None:
                self._workers_by_job.setdefault(job, {})[worker_id] = None

    def collect_waiting_workers(self, job: ActiveJob) -> Iterable[WorkerId]:
        """Return the workers that wait for the job's record.

        They stay noted while the record lacks a newer end, which may be one of
        theirs.
        """
        if job.written_version < job.version:
            return list(self._workers_by_job.get(job, ()))
        return self._workers_by_job.pop(job, ())


__all__ = ["UnrecordedEnds"]
