"""Follows all keys under a prefix with a listing and a watch from its revision on."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING, Protocol

from returns.pipeline import is_successful

from medlarspring_tables import Revision

if TYPE_CHECKING:
    import random

    from medlarspring_adapters.clock import Clock
    from medlarspring_adapters.events import EventLog
    from medlarspring_adapters.metrics import Metrics
    from medlarspring_adapters.store import Listing, Store, WatchBatch
    from medlarspring_tables import Seconds

MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 10.0


class FollowerContext(Protocol):
    """The part of a process's state that a follower uses."""

    @property
    def clock(self) -> Clock:
        """The local clock."""
        ...

    @property
    def rng(self) -> random.Random:
        """The source of the jitter of retries."""
        ...

    @property
    def log(self) -> EventLog:
        """Where failures are logged."""
        ...

    @property
    def metrics(self) -> Metrics:
        """Where failures are counted."""
        ...


class PrefixListener(Protocol):
    """Receives the store's entries under a prefix."""

    def apply_listing(self, listing: Listing) -> None:
        """Replace all entries with those of a listing."""
        ...

    def apply_batch(self, batch: WatchBatch) -> None:
        """Apply the changes since the last call."""
        ...


class PrefixFollower:
    """Keeps a listener up to date until ``stop`` is called.

    ``context`` is that of the process; ``store`` may be limited to one mechanism.
    """

    def __init__(
        self,
        context: FollowerContext,
        store: Store,
        prefix: str,
        listener: PrefixListener,
        min_retry_seconds: Seconds = MIN_RETRY_SECONDS,
        max_retry_seconds: Seconds = MAX_RETRY_SECONDS,
    ) -> None:
        self._min_retry_seconds = min_retry_seconds
        self._max_retry_seconds = max_retry_seconds
        self._store = store
        self._prefix = prefix
        self._listener = listener
        self._context = context
        self._confirmed_at: Seconds | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def confirmed_at(self) -> Seconds | None:
        """Local time up to which the listener certainly has all changes.

        It is when the newest call was sent whose answer the listener has applied; None
        before the first listing. With a store that answers watches without changes,
        it is at most two watch calls old while all is well. With any other store
        it stays at the last listing, or at the last batch that tells its time.
        """
        return self._confirmed_at

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
            sent_at = self._context.clock.now()
            listed = await self._store.read_prefix(self._prefix)
            if is_successful(listed):
                retry_seconds = self._min_retry_seconds
                listing = listed.unwrap()
                self._listener.apply_listing(listing)
                self._confirmed_at = sent_at
                await self._watch(listing.revision)
            # All followers lose the store at once; without jitter they would all
            # list their prefixes at the moment at which it is available again.
            await asyncio.sleep(retry_seconds * self._context.rng.uniform(0.5, 1.5))
            retry_seconds = min(2 * retry_seconds, self._max_retry_seconds)

    async def _watch(self, revision: Revision) -> None:
        async for batch in self._store.watch(self._prefix, Revision(revision + 1)):
            if batch.changed or batch.deleted:
                self._listener.apply_batch(batch)
            if batch.sent_at is not None:
                self._confirmed_at = batch.sent_at


__all__ = ["FollowerContext", "PrefixFollower", "PrefixListener"]
