"""Follows the workers' entries in the platform's registry."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from returns.pipeline import is_successful

from medlarspring_adapters.entry_attempts import EntryAttempts
from medlarspring_adapters.events import Event
from medlarspring_daemon.scheduling.run_log import log_worker_resized
from medlarspring_systems.scheduling.workers import (
    apply_entry,
    is_ended_incarnation,
    is_other_incarnation,
    record_entry_gone,
)
from medlarspring_tables.scheduling import WorkerId

if TYPE_CHECKING:
    from medlarspring_adapters.store import Entry, Listing, WatchBatch
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_tables.scheduling import (
        Milliseconds,
        Worker,
        WorkerEntry,
        WorkTables,
    )


class WorkerFeedOwner(Protocol):
    """The part of the cell's controller that the feed uses."""

    tables: WorkTables

    def connect_worker(self, worker: Worker) -> None:
        """Connect to a worker that the registry lists."""
        ...

    def handle_worker_restart(self, worker: Worker, born_ms: Milliseconds) -> None:
        """Switch to a worker's new incarnation, which began at ``born_ms``."""
        ...

    def record_entry_gone(self, worker: Worker) -> None:
        """Check whether a worker without a usable entry is still running."""
        ...


class WorkerFeed:
    """Applies registry entries to the tables; implements ``PrefixListener``."""

    def __init__(self, node: SchedulingNode, owner: WorkerFeedOwner) -> None:
        self._node = node
        self._owner = owner
        self.loaded = asyncio.Event()
        """Set once the registry was read for the first time."""
        self._entries_without_pool: dict[str, Entry] = {}
        """Entries by key whose pool is not in the configuration yet."""
        self._logged_as_ended: set[WorkerId] = set()
        """Workers already logged for an entry of an ended incarnation."""

    def apply_config(self) -> None:
        """Apply the entries whose pools are in the configuration now."""
        attempts = EntryAttempts()
        for entry in list(self._entries_without_pool.values()):
            attempts.run(entry.key, self._apply_or_unlist, entry)
        attempts.raise_failed()

    def apply_listing(self, listing: Listing) -> None:
        """Apply a full listing of the registry; workers not in it become unlisted."""
        prefix = self._node.codec.worker_prefix
        listed = {entry.key.removeprefix(prefix) for entry in listing.entries}
        attempts = EntryAttempts()
        self._entries_without_pool.clear()
        for entry in listing.entries:
            attempts.run(entry.key, self._apply_or_unlist, entry)
        for worker in list(self._owner.tables.workers_by_id.values()):
            if worker.id not in listed:
                attempts.run(prefix + worker.id, self._unlist_worker, worker.id)
        self.loaded.set()
        attempts.raise_failed()

    def apply_batch(self, batch: WatchBatch) -> None:
        """Apply a batch of changed and deleted entries."""
        attempts = EntryAttempts()
        for key in batch.deleted:
            attempts.run(key, self._remove_entry, key)
        for entry in batch.changed:
            attempts.run(entry.key, self._apply_or_unlist, entry)
        attempts.raise_failed()

    def _remove_entry(self, key: str) -> None:
        self._entries_without_pool.pop(key, None)
        self._node.unreadable.clear_fault(key)
        self._unlist_worker(self._find_worker_id(key))

    def _apply_or_unlist(self, entry: Entry) -> None:
        """Apply an entry; a worker whose entry can't be applied gets no new tasks.

        The entry may say that the worker is leaving.
        """
        try:
            self._apply_entry(entry)
        except Exception:
            self._unlist_worker(self._find_worker_id(entry.key))
            raise

    def _find_worker_id(self, key: str) -> WorkerId:
        return WorkerId(key.removeprefix(self._node.codec.worker_prefix))

    def _apply_entry(self, entry: Entry) -> None:
        decoded = self._node.codec.decode_worker(entry.key, entry.value)
        self._entries_without_pool.pop(entry.key, None)
        if not is_successful(decoded):
            self._reject_entry(entry, decoded.failure().message())
            return
        worker_entry = decoded.unwrap()
        tables = self._owner.tables
        if worker_entry.pool_id not in tables.config.pools_by_id:
            # The configuration that adds the pool may not have been read yet.
            self._entries_without_pool[entry.key] = entry
            self._reject_entry(
                entry,
                f"The entry names the pool {worker_entry.pool_id}, which the"
                " configuration does not have; add the pool or remove the entry.",
            )
            return
        self._node.unreadable.clear_fault(entry.key)
        known = tables.workers_by_id.get(worker_entry.id)
        if known is not None and self._is_new_incarnation(known, worker_entry):
            self._owner.handle_worker_restart(known, worker_entry.born_ms)
        was_draining = known is not None and known.draining
        former_resources = worker_entry.resources
        if known is not None and known.address:
            # A worker known only from job records has no former resources.
            former_resources = known.resources
        worker = apply_entry(tables, worker_entry, self._node.clock.now())
        if worker is None:
            self._log_ended_incarnation(worker_entry, entry)
            return
        self._logged_as_ended.discard(worker.id)
        if known is None or worker.draining != was_draining:
            self._node.log.info(
                Event.WORKER_LISTED,
                worker=worker.id,
                vm=worker.vm_id,
                pool=worker.pool_id,
                born_ms=worker.born_ms,
                draining=worker.draining,
                revision=entry.mod_revision,
            )
        if worker.resources != former_resources:
            log_worker_resized(self._node, worker, former_resources, entry.mod_revision)
        self._owner.connect_worker(worker)

    def _is_new_incarnation(self, known: Worker, worker_entry: WorkerEntry) -> bool:
        if is_ended_incarnation(
            self._owner.tables, worker_entry.id, worker_entry.born_ms
        ):
            return False
        return is_other_incarnation(known, worker_entry.born_ms)

    def _log_ended_incarnation(self, worker_entry: WorkerEntry, entry: Entry) -> None:
        """Log a worker's unused entry once, since it may be rewritten every second."""
        if worker_entry.id in self._logged_as_ended:
            return
        self._logged_as_ended.add(worker_entry.id)
        self._node.log.info(
            Event.WORKER_PASSED_OVER,
            worker=worker_entry.id,
            vm=worker_entry.vm_id,
            pool=worker_entry.pool_id,
            born_ms=worker_entry.born_ms,
            revision=entry.mod_revision,
        )

    def _reject_entry(self, entry: Entry, fault: str) -> None:
        """Report an unusable entry and assign no new tasks to its worker.

        Runs on the worker continue, because the entry does not show that its
        incarnation has ended.
        """
        self._node.unreadable.report(entry.key, fault)
        self._unlist_worker(self._find_worker_id(entry.key))

    def _unlist_worker(self, worker_id: WorkerId) -> None:
        tables = self._owner.tables
        worker = tables.workers_by_id.get(worker_id)
        if worker is None or not worker.listed:
            if worker is not None:
                self._owner.record_entry_gone(worker)
            return
        record_entry_gone(tables, worker_id)
        self._owner.record_entry_gone(worker)


__all__ = ["WorkerFeed", "WorkerFeedOwner"]
