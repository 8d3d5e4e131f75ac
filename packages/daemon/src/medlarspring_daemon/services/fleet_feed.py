"""Keeps the fleet's records current by watches."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Success

from medlarspring_adapters.fleet_records import take_entry, take_listing
from medlarspring_tables import Revision
from medlarspring_tables.fleet_tables import FLEET_PREFIX

if TYPE_CHECKING:
    import random

    from medlarspring_adapters.store import Store
    from medlarspring_tables.fleet_tables import FleetTables

WATCHED_PREFIXES = tuple(f"{FLEET_PREFIX}{kind}/" for kind in ("vms", "waves", "moves"))
"""Written by other holders and by operators.

The lists of disruptions are not watched: a pool's list has one writer, and a
zone's list is read again whenever a write of it conflicts.
"""
MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 10.0


class FleetFeed:
    """Reads each prefix once, then follows its changes."""

    def __init__(self, store: Store, tables: FleetTables, rng: random.Random) -> None:
        self._store = store
        self._tables = tables
        self._rng = rng
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin to follow; nothing happens if that has begun already."""
        if not self._tasks:
            self._tasks = [
                asyncio.create_task(self._follow(prefix)) for prefix in WATCHED_PREFIXES
            ]

    async def stop(self) -> None:
        """End all watches."""
        tasks, self._tasks = self._tasks, []
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _follow(self, prefix: str) -> None:
        retry_seconds = MIN_RETRY_SECONDS
        while True:
            listed = await self._store.read_prefix(prefix)
            if isinstance(listed, Success):
                retry_seconds = MIN_RETRY_SECONDS
                take_listing(self._tables, prefix, listed.unwrap())
                await self._watch(prefix, listed.unwrap().revision)
            # All holders lose the store at once; without jitter they would all
            # read whole prefixes in the moment in which it comes back.
            await asyncio.sleep(retry_seconds * self._rng.uniform(0.5, 1.5))
            retry_seconds = min(2 * retry_seconds, MAX_RETRY_SECONDS)

    async def _watch(self, prefix: str, revision: Revision) -> None:
        async for batch in self._store.watch(prefix, Revision(revision + 1)):
            for key in batch.deleted:
                self._tables.remove(key, batch.revision)
            for entry in batch.changed:
                take_entry(self._tables, entry)


__all__ = ["WATCHED_PREFIXES", "FleetFeed"]
