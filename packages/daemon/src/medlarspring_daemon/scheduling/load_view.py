"""Keeps the cells' load records as last read, for counts and for admission by load."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from returns.pipeline import is_successful

from medlarspring_adapters.background_tasks import BackgroundTasks
from medlarspring_daemon.scheduling.keys import CellKeys
from medlarspring_systems.scheduling.load_admission import LoadSample
from medlarspring_tables import Revision, Seconds
from medlarspring_tables.scheduling import LoadRecord

if TYPE_CHECKING:
    from medlarspring_adapters.store import Entry
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_tables.scheduling import CellId

REFRESH_SECONDS = 1.0
"""Shortest interval between two background reads of a cell's record."""
NEVER: Seconds = float("-inf")


@dataclass(frozen=True, slots=True)
class CachedLoad:
    """A load record, and what reads tell of its age by the local monotonic clock."""

    record: LoadRecord
    revision: Revision
    """Store revision of the write; 0 if there is no record."""
    read_at: Seconds
    """When the last read that found this write was sent."""
    unwritten_at: Seconds
    """When it was certainly not written yet; minus infinity if that isn't known."""


class LoadView:
    """The load records of all cells as last read by this process.

    The age of a record is judged by the local monotonic clock alone: it was written
    after the last read that found an earlier write was sent. A record that was read
    only once has no known age, since its controller may have ended long ago.
    """

    def __init__(self, node: SchedulingNode) -> None:
        self._node = node
        self._tasks = BackgroundTasks(node.log)
        self._loads_by_cell: dict[CellId, CachedLoad] = {}
        self._refreshed_at: dict[CellId, Seconds] = {}
        """When the latest background read of each cell's record began."""

    async def stop(self) -> None:
        """Stop the reads in the background."""
        await self._tasks.cancel()

    def find_recent(self, cell_id: CellId, max_age: Seconds) -> LoadRecord | None:
        """Return a cell's record if it was read less than ``max_age`` seconds ago."""
        cached = self._loads_by_cell.get(cell_id)
        if cached is None or self._node.clock.now() - cached.read_at >= max_age:
            return None
        return cached.record

    def find_current(self, cell_id: CellId, max_age: Seconds) -> LoadRecord | None:
        """Return a cell's record if it is certainly at most ``max_age`` seconds old.

        Its controller must also have known all jobs that had to be visible by then.
        """
        cached = self._loads_by_cell.get(cell_id)
        if cached is None or self._node.clock.now() - cached.unwritten_at > max_age:
            return None
        if cached.record.view_age_ms > self._node.limits.visible * 1_000:
            return None
        return cached.record

    def sample(self, cell_id: CellId) -> LoadSample | None:
        """Return a cell's record with its age, and read it again in the background.

        The submission that asks doesn't wait for the read, and none is made while
        nobody asks.
        """
        self._refresh(cell_id)
        cached = self._loads_by_cell.get(cell_id)
        if cached is None:
            return None
        clock = self._node.clock
        return LoadSample(
            cached.record, clock.now() - cached.read_at, clock.wall() * 1_000
        )

    def record(
        self, cell_id: CellId, entry: Entry | None, sent_at: Seconds
    ) -> LoadRecord:
        """Keep a record that was read by a call sent at ``sent_at``, and return it."""
        known = self._loads_by_cell.get(cell_id)
        revision = entry.mod_revision if entry is not None else Revision(0)
        if known is not None and known.revision == revision:
            load = replace(known, read_at=max(known.read_at, sent_at))
        elif known is not None and self._is_overtaken(known, revision, sent_at):
            # When this was read, the known write was still to come.
            load = replace(known, unwritten_at=max(known.unwritten_at, sent_at))
        else:
            load = self._decode(entry, revision, sent_at, known)
        self._loads_by_cell[cell_id] = load
        return load.record

    @staticmethod
    def _is_overtaken(known: CachedLoad, revision: Revision, sent_at: Seconds) -> bool:
        """Return whether a read was answered after a later one that found more.

        A store that was reset also has lower revisions; later reads find them too.
        """
        return 0 < revision < known.revision and sent_at <= known.read_at

    def _decode(
        self,
        entry: Entry | None,
        revision: Revision,
        sent_at: Seconds,
        known: CachedLoad | None,
    ) -> CachedLoad:
        """Return the load of a write that this process finds for the first time."""
        record = None
        if entry is not None:
            record = self._node.unreadable.decode(entry, LoadRecord)
        if record is None:
            return CachedLoad(LoadRecord(at_ms=0), revision, sent_at, NEVER)
        unwritten_at = known.read_at if known is not None else NEVER
        return CachedLoad(record, revision, sent_at, unwritten_at)

    def _refresh(self, cell_id: CellId) -> None:
        now = self._node.clock.now()
        cached = self._loads_by_cell.get(cell_id)
        read_at = cached.read_at if cached is not None else now - REFRESH_SECONDS
        began_at = self._refreshed_at.get(cell_id, now - REFRESH_SECONDS)
        if now - max(read_at, began_at) < REFRESH_SECONDS:
            return
        self._refreshed_at[cell_id] = now
        self._tasks.start(self._read(cell_id, now))

    async def _read(self, cell_id: CellId, sent_at: Seconds) -> None:
        """Read a cell's record; if that fails, the kept one grows too old for use."""
        found = await self._node.store.read(CellKeys(cell_id).load)
        if is_successful(found):
            self.record(cell_id, found.unwrap(), sent_at)


__all__ = ["LoadView"]
