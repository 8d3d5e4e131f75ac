"""Keeps the fleet records in memory up to date with watches of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_adapters.entry_attempts import EntryAttempts
from medlarspring_adapters.fleet_records import apply_entry, apply_listing
from medlarspring_adapters.prefix_follower import PrefixFollower
from medlarspring_tables.fleet_tables import FLEET_PREFIX

if TYPE_CHECKING:
    from medlarspring_adapters.prefix_follower import FollowerContext
    from medlarspring_adapters.store import Listing, Store, WatchBatch
    from medlarspring_tables.fleet_tables import FleetTables

WATCHED_PREFIXES = tuple(f"{FLEET_PREFIX}{kind}/" for kind in ("vms", "waves", "moves"))
"""Prefixes of records that other holders and operators write.

The lists of disruptions are not watched: a pool's list has one writer, and a
zone's list is read again whenever a write to it conflicts.
"""


class RecordListener:
    """Applies the records under one prefix to the tables."""

    def __init__(self, tables: FleetTables, prefix: str) -> None:
        self._tables = tables
        self._prefix = prefix

    def apply_listing(self, listing: Listing) -> None:
        """Apply a listing of all records; records that it lacks are removed."""
        apply_listing(self._tables, self._prefix, listing)

    def apply_batch(self, batch: WatchBatch) -> None:
        """Apply the changes and deletions that a watch reported."""
        attempts = EntryAttempts()
        for key in batch.deleted:
            attempts.run(key, self._tables.remove, key, batch.revision)
        for entry in batch.changed:
            attempts.run(entry.key, apply_entry, self._tables, entry)
        attempts.raise_failed()


class FleetFeed:
    """Watches every prefix in ``WATCHED_PREFIXES``."""

    def __init__(
        self, context: FollowerContext, store: Store, tables: FleetTables
    ) -> None:
        self._followers = [
            PrefixFollower(context, store, prefix, RecordListener(tables, prefix))
            for prefix in WATCHED_PREFIXES
        ]

    def start(self) -> None:
        """Start all watches; has no effect if they are running."""
        for follower in self._followers:
            follower.start()

    async def stop(self) -> None:
        """Stop all watches."""
        for follower in self._followers:
            await follower.stop()


__all__ = ["WATCHED_PREFIXES", "FleetFeed", "RecordListener"]
