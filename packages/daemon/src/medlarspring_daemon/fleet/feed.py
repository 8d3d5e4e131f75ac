"""Keeps the fleet's records current by watches."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_adapters.fleet_records import apply_entry, apply_listing
from medlarspring_adapters.prefix_follower import PrefixFollower
from medlarspring_tables.fleet_tables import FLEET_PREFIX

if TYPE_CHECKING:
    import random

    from medlarspring_adapters.store import Listing, Store, WatchBatch
    from medlarspring_tables.fleet_tables import FleetTables

WATCHED_PREFIXES = tuple(f"{FLEET_PREFIX}{kind}/" for kind in ("vms", "waves", "moves"))
"""Written by other holders and by operators.

The lists of disruptions are not watched: a pool's list has one writer, and a
zone's list is read again whenever a write of it conflicts.
"""


class RecordListener:
    """Takes the records under one prefix into the tables."""

    def __init__(self, tables: FleetTables, prefix: str) -> None:
        self._tables = tables
        self._prefix = prefix

    def apply_listing(self, listing: Listing) -> None:
        """Take all records."""
        apply_listing(self._tables, self._prefix, listing)

    def apply_batch(self, batch: WatchBatch) -> None:
        """Take changes."""
        for key in batch.deleted:
            self._tables.remove(key, batch.revision)
        for entry in batch.changed:
            apply_entry(self._tables, entry)


class FleetFeed:
    """Follows every prefix that others write."""

    def __init__(self, store: Store, tables: FleetTables, rng: random.Random) -> None:
        self._followers = [
            PrefixFollower(store, prefix, RecordListener(tables, prefix), rng)
            for prefix in WATCHED_PREFIXES
        ]

    def start(self) -> None:
        """Begin to follow; nothing happens if that has begun already."""
        for follower in self._followers:
            follower.start()

    async def stop(self) -> None:
        """End all watches."""
        for follower in self._followers:
            await follower.stop()


__all__ = ["WATCHED_PREFIXES", "FleetFeed", "RecordListener"]
