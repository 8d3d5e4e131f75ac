"""Reads accepted jobs and cancellation requests from a cell's inbox."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from medlarspring_adapters.entry_attempts import EntryAttempts
from medlarspring_adapters.events import Event
from medlarspring_daemon.scheduling.keys import InboxKind
from medlarspring_systems.scheduling.admission import check_job
from medlarspring_systems.scheduling.job_withdrawal import withdraw_job
from medlarspring_systems.scheduling.jobs import admit_job
from medlarspring_systems.scheduling.listings import apply_held_ends
from medlarspring_systems.scheduling.progress_records import (
    find_progress_fault,
    restore_progress,
)
from medlarspring_systems.scheduling.workers import find_or_create_worker
from medlarspring_tables.scheduling import JobRecord, ProgressRecord, UnloadedJob

if TYPE_CHECKING:
    from medlarspring_adapters.store import Entry, Listing, WatchBatch
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_daemon.scheduling.election import Term
    from medlarspring_systems.scheduling.listings import ListingOutcome
    from medlarspring_tables import JobId, Seconds
    from medlarspring_tables.scheduling import (
        ActiveJob,
        HeldEnd,
        JobSpec,
        Worker,
        WorkerId,
        WorkTables,
    )


class JobFeedOwner(Protocol):
    """Callbacks of the feed to the controller."""

    tables: WorkTables

    def open_job(self, job: ActiveJob) -> None:
        """Start scheduling a job that was accepted or loaded."""
        ...

    def handle_listing(self, worker: Worker, outcome: ListingOutcome) -> None:
        """Record the ends that were held until their job was loaded."""
        ...

    def stop_cancelled_job(self, job: ActiveJob) -> None:
        """Cancel a job and stop its runs, on the customer's request."""
        ...


class JobFeed:
    """Follows the inbox; implements ``PrefixListener``."""

    def __init__(
        self,
        node: SchedulingNode,
        term: Term,
        owner: JobFeedOwner,
        progress_by_id: dict[str, Entry],
    ) -> None:
        self._node = node
        self._keys = term.keys
        self._owner = owner
        self._progress_by_id = progress_by_id
        """Progress recorded by earlier controllers, kept until its job is loaded."""
        self._withheld_ids: set[JobId] = set()
        """Jobs that are not loaded because their progress can't be read."""
        self._unloaded_ids: set[JobId] = set()
        """Jobs whose last attempt to load them raised; their progress is kept."""
        self._recorded_ids: set[JobId] = set()
        """Jobs of the first listing that are not loaded yet."""
        self.loaded = asyncio.Event()

    def apply_listing(self, listing: Listing) -> None:
        """Apply a listing of the whole inbox.

        Jobs come first, because a cancellation needs its job in the tables.
        """
        attempts = self._process_entries(listing.entries)
        for job_id in self._progress_by_id.keys() - self._unloaded_ids:
            del self._progress_by_id[job_id]
        self.loaded.set()
        attempts.raise_failed()

    def apply_batch(self, batch: WatchBatch) -> None:
        """Apply new entries of the inbox."""
        self._process_entries(batch.changed).raise_failed()

    def _process_entries(self, entries: tuple[Entry, ...]) -> EntryAttempts:
        attempts = EntryAttempts()
        cancelled_by_key: dict[str, JobId] = {}
        for entry in entries:
            parsed = self._keys.parse_inbox(entry.key)
            if parsed is None:
                continue
            kind, job_id = parsed
            if kind is InboxKind.JOB:
                attempts.run(entry.key, self._load_or_withdraw, job_id, entry)
            else:
                cancelled_by_key[entry.key] = job_id
        for key, job_id in cancelled_by_key.items():
            attempts.run(key, self._cancel_job, job_id)
        return attempts

    def _load_or_withdraw(self, job_id: JobId, entry: Entry) -> None:
        """Load a job wholly or not at all.

        Loaded in part, or again without its progress, it would run finished tasks.
        """
        tables = self._owner.tables
        is_loaded = job_id in tables.jobs_by_id and job_id not in self._unloaded_ids
        if is_loaded or job_id in self._withheld_ids:
            return
        unloaded = tables.unloaded_by_id.setdefault(job_id, UnloadedJob())
        if not self.loaded.is_set():
            self._recorded_ids.add(job_id)
        self._unloaded_ids.add(job_id)
        self._withdraw(job_id)
        try:
            self._load_job(job_id, entry)
            if job_id not in self._withheld_ids:
                self._apply_held_ends(unloaded, tables.jobs_by_id.get(job_id))
        except Exception:
            self._withdraw(job_id)
            raise
        self._unloaded_ids.discard(job_id)
        self._recorded_ids.discard(job_id)
        self._progress_by_id.pop(job_id, None)
        if job_id not in self._withheld_ids:
            del tables.unloaded_by_id[job_id]

    def _withdraw(self, job_id: JobId) -> None:
        tables = self._owner.tables
        job = tables.jobs_by_id.get(job_id)
        if job is not None:
            withdraw_job(tables, job, self._node.clock.now())

    def _apply_held_ends(self, unloaded: UnloadedJob, job: ActiveJob | None) -> None:
        """Apply the ends that were listed before the job was loaded."""
        tables, now = self._owner.tables, self._node.clock.now()
        ends_by_worker: dict[WorkerId, list[HeldEnd]] = {}
        for end in unloaded.ends:
            ends_by_worker.setdefault(end.worker.id, []).append(end)
        for worker_id, ends in ends_by_worker.items():
            worker = tables.workers_by_id.get(worker_id, ends[0].worker)
            outcome = apply_held_ends(tables, worker, ends, now)
            self._owner.handle_listing(worker, outcome)
        for end in unloaded.ends:
            end.job = job
            end.version = job.version if job is not None else 0
            end.released = True

    def _load_job(self, job_id: JobId, entry: Entry) -> None:
        tables = self._owner.tables
        if job_id in tables.ended_job_ids:
            return
        record = self._node.unreadable.decode(entry, JobRecord)
        if record is None or record.outcome is not None or record.spec is None:
            return
        fault = check_job(record.spec)
        if fault is not None:
            self._node.unreadable.report(entry.key, fault.message())
            return
        progress_entry = self._progress_by_id.get(job_id)
        progress = self._read_progress(progress_entry, record.spec)
        if progress_entry is not None and progress is None:
            # Started without its progress, the job would run finished tasks again.
            self._withheld_ids.add(job_id)
            return
        arrived_at = self._find_arrival_time(job_id, record)
        job = admit_job(tables, job_id, record, entry.mod_revision, arrived_at)
        if progress_entry is not None and progress is not None:
            job.progress_revision = progress_entry.mod_revision
            self._restore(job, progress)
        self._owner.open_job(job)

    def _find_arrival_time(self, job_id: JobId, record: JobRecord) -> Seconds:
        """Return when a job arrived; for a loaded job, according to its record."""
        now = self._node.clock.now()
        if job_id not in self._recorded_ids:
            return now
        age = self._node.clock.wall() - record.accepted_at_ms / 1_000.0
        return now - max(age, 0.0)

    def _read_progress(
        self, entry: Entry | None, spec: JobSpec
    ) -> ProgressRecord | None:
        if entry is None:
            return None
        record = self._node.unreadable.decode(entry, ProgressRecord)
        if record is None:
            return None
        fault = find_progress_fault(record, spec)
        if fault:
            self._node.unreadable.report(entry.key, fault)
            return None
        return record

    def _restore(self, job: ActiveJob, record: ProgressRecord) -> None:
        tables = self._owner.tables
        now, wall_ms = self._node.clock.now(), self._node.clock.wall() * 1_000
        restore_progress(
            tables,
            job,
            record,
            lambda worker_id: find_or_create_worker(tables, worker_id, now),
            now,
            wall_ms,
        )

    def _cancel_job(self, job_id: JobId) -> None:
        tables = self._owner.tables
        unloaded = tables.unloaded_by_id.get(job_id)
        if unloaded is not None:
            unloaded.cancelled = True
            return
        job = tables.jobs_by_id.get(job_id)
        if job is not None and not job.cancelled:
            self._node.log.info(Event.JOB_CANCELLED, job=job_id, queue=job.queue.id)
            self._owner.stop_cancelled_job(job)


__all__ = ["JobFeed", "JobFeedOwner"]
