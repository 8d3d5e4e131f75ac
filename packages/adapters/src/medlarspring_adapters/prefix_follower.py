"""Follows all keys under a prefix with a listing and a watch from its revision on."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING, Protocol

from returns.pipeline import is_successful

from medlarspring_tables import Revision

if TYPE_CHECKING:
    import random

    from medlarspring_adapters.store import Listing, Store, WatchBatch
    from medlarspring_tables import Seconds

MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 10.0


class PrefixListener(Protocol):
    """Receives the store's entries under a prefix."""

    def apply_listing(self, listing: Listing) -> None:
        """Replace all entries with those of a listing."""
        ...

    def apply_batch(self, batch: WatchBatch) -> None:
        """Apply the changes since the last call."""
        ...


class PrefixFollower:
    """Keeps a listener up to date until ``stop`` is called."""

    def __init__(
        self,
        store: Store,
        prefix: str,
        listener: PrefixListener,
        rng: random.Random,
        min_retry_seconds: Seconds = MIN_RETRY_SECONDS,
        max_retry_seconds: Seconds = MAX_RETRY_SECONDS,
    ) -> None:
        self._min_retry_seconds = min_retry_seconds
        self._max_retry_seconds = max_retry_seconds
        self._store = store
        self._prefix = prefix
        self._listener = listener
        self._rng = rng
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to follow the prefix; has no effect if already started."""
        if self._task is None:
            self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """End the watch."""
        task, self._task = self._task, None
        if task is None:
            return
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task

    async def _run(self) -> None:
        retry_seconds = self._min_retry_seconds
        while True:
            listed = await self._store.read_prefix(self._prefix)
            if is_successful(listed):
                retry_seconds = self._min_retry_seconds
                listing = listed.unwrap()
                self._listener.apply_listing(listing)
                await self._watch(listing.revision)
            # All followers lose the store at once; without jitter they would all
            # list their prefixes at the moment at which it is available again.
            await asyncio.sleep(retry_seconds * self._rng.uniform(0.5, 1.5))
            retry_seconds = min(2 * retry_seconds, self._max_retry_seconds)

    async def _watch(self, revision: Revision) -> None:
        async for batch in self._store.watch(self._prefix, Revision(revision + 1)):
            self._listener.apply_batch(batch)


__all__ = ["PrefixFollower", "PrefixListener"]
