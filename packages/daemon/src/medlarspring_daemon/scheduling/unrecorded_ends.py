"""Index of the workers whose listed ends are not yet in their jobs' records."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarspring_tables.scheduling import ActiveJob, WorkerId


class UnrecordedEnds:
    """Workers by the job whose record must be written before they may discard an end.

    Without the index, each written record requires a search through the ends of
    all workers. With 200 workers and 80 jobs per second, some hundred records per
    second, that search took a quarter of the controller's CPU time.
    """

    def __init__(self) -> None:
        self._workers_by_job: dict[ActiveJob, dict[WorkerId, None]] = {}

    def add_ends(
        self, worker_id: WorkerId, ends: Iterable[tuple[int, ActiveJob | None]]
    ) -> None:
        """Add the ends that a worker lists, as pairs of number and job."""
        for _, job in ends:
            if job is not None:
                self._workers_by_job.setdefault(job, {})[worker_id] = None

    def collect_waiting_workers(self, job: ActiveJob) -> Iterable[WorkerId]:
        """Return the workers that wait for the job's record.

        The job is removed from the index once its record is up to date. Until then
        its workers are kept, because the record may still lack one of their ends.
        """
        if job.written_version < job.version:
            return list(self._workers_by_job.get(job, ()))
        return self._workers_by_job.pop(job, ())


__all__ = ["UnrecordedEnds"]
