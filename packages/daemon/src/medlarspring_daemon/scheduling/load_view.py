"""Keeps the cells' load records as last read, for counts and for admission by load."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from returns.pipeline import is_successful

from medlarspring_adapters.background_tasks import BackgroundTasks
from medlarspring_daemon.scheduling.keys import CellKeys
from medlarspring_systems.scheduling.load_admission import LoadSample
from medlarspring_tables.scheduling import LoadRecord

if TYPE_CHECKING:
    from medlarspring_adapters.store import Entry
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import CellId

REFRESH_SECONDS = 1.0
"""Shortest interval between two background reads of a cell's record."""


@dataclass(frozen=True, slots=True)
class CachedLoad:
    """A load record and the time at which it was read."""

    record: LoadRecord
    read_at: Seconds


class LoadView:
    """The load records of all cells as last read by this process."""

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
        record = None
        if entry is not None:
            record = self._node.unreadable.decode(entry, LoadRecord)
        load = CachedLoad(record or LoadRecord(at_ms=0), sent_at)
        self._loads_by_cell[cell_id] = load
        return load.record

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
