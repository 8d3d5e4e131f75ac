"""Takes the workers' entries in the platform's registry."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from returns.pipeline import is_successful

from medlarspring_adapters.events import Event
from medlarspring_daemon.scheduling.run_log import log_resized
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


class WorkerOwner(Protocol):
    """What the feed tells the controller."""

    tables: WorkTables

    def note_worker(self, worker: Worker) -> None:
        """Connect to a worker that the registry lists."""
        ...

    def note_started_again(self, worker: Worker, born_ms: Milliseconds) -> None:
        """Note that a worker's entry is of another life than the one that is known."""
        ...

    def record_entry_gone(self, worker: Worker) -> None:
        """Look whether a worker that the registry dropped is still alive."""
        ...


class WorkerFeed:
    """Implements ``PrefixListener`` over the registry."""

    def __init__(self, node: SchedulingNode, owner: WorkerOwner) -> None:
        self._node = node
        self._owner = owner
        self.loaded = asyncio.Event()
        self._of_unknown_pools: dict[str, Entry] = {}
        """Entries by key that wait for a configuration with their pool."""
        self._passed_over: set[WorkerId] = set()
        """Workers whose entries lead to a life that is over, each logged once."""

    def take_config(self) -> None:
        """Take the entries whose pools the configuration has now."""
        for entry in list(self._of_unknown_pools.values()):
            self._take(entry)

    def take_listing(self, listing: Listing) -> None:
        """Take the whole registry; a worker that is not in it was dropped."""
        prefix = self._node.codec.worker_prefix
        listed = {entry.key.removeprefix(prefix) for entry in listing.entries}
        self._of_unknown_pools.clear()
        for entry in listing.entries:
            self._take(entry)
        for worker in list(self._owner.tables.workers_by_id.values()):
            if worker.id not in listed:
                self._drop(worker.id)
        self.loaded.set()

    def take_batch(self, batch: WatchBatch) -> None:
        """Take what changed."""
        prefix = self._node.codec.worker_prefix
        for key in batch.deleted:
            self._of_unknown_pools.pop(key, None)
            self._node.unreadable.forget(key)
            self._drop(WorkerId(key.removeprefix(prefix)))
        for entry in batch.changed:
            self._take(entry)

    def _take(self, entry: Entry) -> None:
        decoded = self._node.codec.decode_worker(entry.key, entry.value)
        self._of_unknown_pools.pop(entry.key, None)
        if not is_successful(decoded):
            self._leave_out(entry, decoded.failure().message())
            return
        found = decoded.unwrap()
        tables = self._owner.tables
        if found.pool_id not in tables.config.pools_by_id:
            # The configuration that adds the pool may be still on its way.
            self._of_unknown_pools[entry.key] = entry
            self._leave_out(
                entry,
                f"The entry names the pool {found.pool_id}, which the configuration"
                " does not have; add the pool or remove the entry.",
            )
            return
        self._node.unreadable.forget(entry.key)
        known = tables.workers_by_id.get(found.id)
        if known is not None and self._is_next_life(known, found):
            self._owner.note_started_again(known, found.born_ms)
        was_draining = known is not None and known.draining
        former_room = found.resources
        if known is not None and known.address:
            # One that only records name has not told its room before.
            former_room = known.resources
        worker = apply_entry(tables, found, self._node.clock.now())
        if worker is None:
            self._pass_over(found, entry)
            return
        self._passed_over.discard(worker.id)
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
        if worker.resources != former_room:
            log_resized(self._node, worker, former_room, entry.mod_revision)
        self._owner.note_worker(worker)

    def _is_next_life(self, known: Worker, found: WorkerEntry) -> bool:
        if is_ended_incarnation(self._owner.tables, found.id, found.born_ms):
            return False
        return is_other_incarnation(known, found.born_ms)

    def _pass_over(self, found: WorkerEntry, entry: Entry) -> None:
        """Say once that an entry is not used; it may be rewritten each second."""
        if found.id in self._passed_over:
            return
        self._passed_over.add(found.id)
        self._node.log.info(
            Event.WORKER_PASSED_OVER,
            worker=found.id,
            vm=found.vm_id,
            pool=found.pool_id,
            born_ms=found.born_ms,
            revision=entry.mod_revision,
        )

    def _leave_out(self, entry: Entry, fault: str) -> None:
        """Give a worker no new tasks while its entry does not say what it is.

        What runs there goes on: the entry proves nothing about the worker's life.
        """
        self._node.unreadable.report(entry.key, fault)
        prefix = self._node.codec.worker_prefix
        self._drop(WorkerId(entry.key.removeprefix(prefix)))

    def _drop(self, worker_id: WorkerId) -> None:
        tables = self._owner.tables
        worker = tables.workers_by_id.get(worker_id)
        if worker is None or not worker.listed:
            if worker is not None:
                self._owner.record_entry_gone(worker)
            return
        record_entry_gone(tables, worker_id)
        self._owner.record_entry_gone(worker)


__all__ = ["WorkerFeed", "WorkerOwner"]
