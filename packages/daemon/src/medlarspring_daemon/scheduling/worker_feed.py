"""Takes the workers' entries in the platform's registry."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from returns.pipeline import is_successful

from medlarspring_adapters.events import Event
from medlarspring_daemon.scheduling.run_log import log_worker_resized
from medlarspring_systems.scheduling.workers import (
    is_former_life,
    is_other_life,
    note_entry_gone,
    take_entry,
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
    """What the feed tells the controller."""

    tables: WorkTables

    def connect_worker(self, worker: Worker) -> None:
        """Connect to a worker that the registry lists."""
        ...

    def handle_worker_restart(self, worker: Worker, born_ms: Milliseconds) -> None:
        """Note that a worker's entry is of another life than the one that is known."""
        ...

    def note_entry_gone(self, worker: Worker) -> None:
        """Look whether a worker that the registry dropped is still alive."""
        ...


class WorkerFeed:
    """Implements ``PrefixListener`` over the registry."""

    def __init__(self, node: SchedulingNode, owner: WorkerFeedOwner) -> None:
        self._node = node
        self._owner = owner
        self.loaded = asyncio.Event()
        self._entries_without_pool: dict[str, Entry] = {}
        """Entries by key that wait for a configuration with their pool."""
        self._logged_as_ended: set[WorkerId] = set()
        """Workers whose entries lead to a life that is over, each logged once."""

    def apply_config(self) -> None:
        """Take the entries whose pools the configuration has now."""
        for entry in list(self._entries_without_pool.values()):
            self._apply_entry(entry)

    def take_listing(self, listing: Listing) -> None:
        """Take the whole registry; a worker that is not in it was dropped."""
        prefix = self._node.codec.worker_prefix
        listed = {entry.key.removeprefix(prefix) for entry in listing.entries}
        self._entries_without_pool.clear()
        for entry in listing.entries:
            self._apply_entry(entry)
        for worker in list(self._owner.tables.workers_by_id.values()):
            if worker.id not in listed:
                self._unlist_worker(worker.id)
        self.loaded.set()

    def take_batch(self, batch: WatchBatch) -> None:
        """Take what changed."""
        prefix = self._node.codec.worker_prefix
        for key in batch.deleted:
            self._entries_without_pool.pop(key, None)
            self._node.unreadable.forget(key)
            self._unlist_worker(WorkerId(key.removeprefix(prefix)))
        for entry in batch.changed:
            self._apply_entry(entry)

    def _apply_entry(self, entry: Entry) -> None:
        decoded = self._node.codec.decode_worker(entry.key, entry.value)
        self._entries_without_pool.pop(entry.key, None)
        if not is_successful(decoded):
            self._reject_entry(entry, decoded.failure().message())
            return
        found = decoded.unwrap()
        tables = self._owner.tables
        if found.pool_id not in tables.config.pools_by_id:
            # The configuration that adds the pool may be still on its way.
            self._entries_without_pool[entry.key] = entry
            self._reject_entry(
                entry,
                f"The entry names the pool {found.pool_id}, which the configuration"
                " does not have; add the pool or remove the entry.",
            )
            return
        self._node.unreadable.forget(entry.key)
        known = tables.workers_by_id.get(found.id)
        if known is not None and self._is_new_incarnation(known, found):
            self._owner.handle_worker_restart(known, found.born_ms)
        was_draining = known is not None and known.draining
        former_resources = found.room
        if known is not None and known.address:
            # One that only records name has not told its room before.
            former_resources = known.room
        worker = take_entry(tables, found, self._node.clock.now())
        if worker is None:
            self._log_ended_incarnation(found, entry)
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
        if worker.room != former_resources:
            log_worker_resized(self._node, worker, former_resources, entry.mod_revision)
        self._owner.connect_worker(worker)

    def _is_new_incarnation(self, known: Worker, found: WorkerEntry) -> bool:
        if is_former_life(self._owner.tables, found.id, found.born_ms):
            return False
        return is_other_life(known, found.born_ms)

    def _log_ended_incarnation(self, found: WorkerEntry, entry: Entry) -> None:
        """Say once that an entry is not used; it may be rewritten each second."""
        if found.id in self._logged_as_ended:
            return
        self._logged_as_ended.add(found.id)
        self._node.log.info(
            Event.WORKER_PASSED_OVER,
            worker=found.id,
            vm=found.vm_id,
            pool=found.pool_id,
            born_ms=found.born_ms,
            revision=entry.mod_revision,
        )

    def _reject_entry(self, entry: Entry, fault: str) -> None:
        """Give a worker no new tasks while its entry does not say what it is.

        What runs there goes on: the entry proves nothing about the worker's life.
        """
        self._node.unreadable.note(entry.key, fault)
        prefix = self._node.codec.worker_prefix
        self._unlist_worker(WorkerId(entry.key.removeprefix(prefix)))

    def _unlist_worker(self, worker_id: WorkerId) -> None:
        tables = self._owner.tables
        worker = tables.workers_by_id.get(worker_id)
        if worker is None or not worker.listed:
            if worker is not None:
                self._owner.note_entry_gone(worker)
            return
        note_entry_gone(tables, worker_id)
        self._owner.note_entry_gone(worker)


__all__ = ["WorkerFeed", "WorkerFeedOwner"]
