"""Follows all keys under a prefix with a listing and a watch from its revision on."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from typing import TYPE_CHECKING, Protocol, TypeVar, cast

from returns.pipeline import is_successful

from medlarspring_adapters.cancellation import is_cancellation_requested
from medlarspring_adapters.entry_attempts import EntriesNotApplied
from medlarspring_adapters.events import Event
from medlarspring_adapters.failure_streak import FailureStreak, format_trace
from medlarspring_adapters.input_timeout import InputTimeout
from medlarspring_adapters.metrics import Metric
from medlarspring_tables import Revision

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncGenerator, Callable

    from medlarspring_adapters.clock import Clock
    from medlarspring_adapters.events import EventLog
    from medlarspring_adapters.metrics import Metrics
    from medlarspring_adapters.store import Listing, Store, WatchBatch
    from medlarspring_tables import Seconds

MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 10.0
MAX_SILENCE_SECONDS = 2.0
"""Longest silence of a watch that the store answers also without changes. The prefix is
then listed, as a watch may hang while other calls are answered."""
MAX_ENTRY_RETRY_SECONDS = 10.0
"""Longest pause before a listing that is made only to apply single entries again."""
MAX_DOUBLINGS = 16
MAX_LOGGED_KEYS = 10

Changes = TypeVar("Changes")


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
    """Receives the store's entries under a prefix.

    A method that raises ``EntriesNotApplied`` has applied all other entries. The
    prefix is then still followed, and listed again until every entry is applied.
    """

    def apply_listing(self, listing: Listing) -> None:
        """Replace all entries with those of a listing."""
        ...

    def apply_batch(self, batch: WatchBatch) -> None:
        """Apply the changes since the last call."""
        ...


class PrefixFollower:
    """Keeps a listener up to date until ``stop`` is called.

    ``context`` is that of the process; ``store`` may be limited to one mechanism.
    Whatever the store or the listener raises is logged, and the prefix is listed again.
    With ``max_silence_seconds``, it is also listed when the watch has yielded nothing,
    not even an empty batch, for so long. With ``gather_seconds``, it waits so long
    after each batch of changes, so that the changes of this time come in one answer.
    """

    def __init__(
        self,
        context: FollowerContext,
        store: Store,
        prefix: str,
        listener: PrefixListener,
        min_retry_seconds: Seconds = MIN_RETRY_SECONDS,
        max_retry_seconds: Seconds = MAX_RETRY_SECONDS,
        *,
        max_silence_seconds: Seconds | None = None,
        gather_seconds: Seconds = 0.0,
    ) -> None:
        self._min_retry_seconds = min_retry_seconds
        self._max_retry_seconds = max_retry_seconds
        self._max_silence_seconds = max_silence_seconds
        self._gather_seconds = gather_seconds
        self._store = store
        self._prefix = prefix
        self._listener = listener
        self._context = context
        self._confirmed_at: Seconds | None = None
        self._refused_listings = 0
        """Listings in a row that the store did not answer."""
        self._failures = FailureStreak()
        self._revision = Revision(0)
        """Revision up to which the listener has all changes."""
        self._entry_retry: Seconds | None = None
        """When to list again for entries of the last listing that were not applied."""
        self._task: asyncio.Task[None] | None = None

    @property
    def confirmed_at(self) -> Seconds | None:
        """Local time up to which the listener certainly has all changes.

        None before the first listing. With a store that answers watches without
        changes, it is at most one watch call old while all is well. With any other
        store it stays at the last listing, or at the last batch that tells its time.

        Entries that the listener reported as not applied are left out: they don't
        make the others old.
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
        await asyncio.wait([task])

    async def _run(self) -> None:
        while True:
            pause = self._min_retry_seconds
            try:
                pause = await self._follow()
            except Exception as error:
                pause = self._record_failure(error, self._max_retry_seconds)
                if is_cancellation_requested():
                    # A call that was cancelled may end in another exception.
                    return
            except asyncio.CancelledError as error:
                if is_cancellation_requested():
                    raise
                pause = self._record_failure(error, self._max_retry_seconds)
            await asyncio.sleep(pause)

    async def _follow(self) -> Seconds:
        """List the prefix and watch it; return the pause before the next listing."""
        if not await self._list():
            self._refused_listings += 1
            return self._choose_pause(self._refused_listings, self._max_retry_seconds)
        self._refused_listings = 0
        try:
            async with asyncio.timeout(self._entry_retry) as until_retry:
                while await self._watch_until_silent(until_retry):
                    await self._list()
        except TimeoutError:
            if until_retry.expired():
                return 0.0
            raise
        return self._choose_pause(0, self._max_retry_seconds)

    async def _list(self) -> bool:
        """Apply a listing; return False if the store does not answer."""
        sent_at = self._context.clock.now()
        listed = await self._store.read_prefix(self._prefix)
        if not is_successful(listed):
            return False
        listing = listed.unwrap()
        self._revision = listing.revision
        self._entry_retry = self._apply(self._listener.apply_listing, listing)
        self._confirmed_at = sent_at
        if self._entry_retry is None:
            self._record_success()
        return True

    async def _watch_until_silent(self, until_retry: asyncio.Timeout) -> bool:
        """Apply changes; return whether the watch fell silent, False if it ended."""
        start = Revision(self._revision + 1)
        batches = cast(
            "AsyncGenerator[WatchBatch, None]", self._store.watch(self._prefix, start)
        )
        async with aclosing(batches):
            while True:
                try:
                    async with InputTimeout(self._max_silence_seconds) as silence:
                        batch = await anext(batches, None)
                except TimeoutError:
                    if silence.is_expired:
                        return True
                    raise
                if batch is None:
                    return False
                self._apply_batch(batch, until_retry)
                if self._gather_seconds and (batch.changed or batch.deleted):
                    await asyncio.sleep(self._gather_seconds)

    def _apply_batch(self, batch: WatchBatch, until_retry: asyncio.Timeout) -> None:
        if batch.changed or batch.deleted:
            retry = self._apply(self._listener.apply_batch, batch)
            if retry is not None and until_retry.when() is None:
                loop = asyncio.get_running_loop()
                until_retry.reschedule(loop.time() + retry)
        self._revision = max(self._revision, batch.revision)
        if batch.confirmed_at is not None:
            self._confirmed_at = batch.confirmed_at

    def _apply(
        self, apply: Callable[[Changes], None], changes: Changes
    ) -> Seconds | None:
        """Apply changes; return when to list again if not all were, else None."""
        try:
            apply(changes)
        except EntriesNotApplied as error:
            return self._record_failure(error, MAX_ENTRY_RETRY_SECONDS)
        return None

    def _record_success(self) -> None:
        if self._failures.record_success(self._context.clock.now()):
            self._context.log.info(
                Event.FOLLOWER_RESUMED,
                prefix=self._prefix,
                revision=self._revision,
                failures=self._failures.count,
            )

    def _record_failure(self, error: BaseException, max_seconds: Seconds) -> Seconds:
        """Log and count a failure; return the pause before the next listing."""
        self._context.metrics.count(Metric.FOLLOWER_FAILURES)
        is_logged = self._failures.record_failure(self._context.clock.now())
        pause = self._choose_pause(self._failures.count, max_seconds)
        if is_logged:
            keys = error.errors_by_key if isinstance(error, EntriesNotApplied) else ()
            self._context.log.error(
                Event.FOLLOWER_FAILED,
                prefix=self._prefix,
                revision=self._revision,
                failures=self._failures.count,
                retry_seconds=round(pause, 2),
                keys=list(keys)[:MAX_LOGGED_KEYS],
                trace=format_trace(error),
            )
        return pause

    def _choose_pause(self, failures: int, max_seconds: Seconds) -> Seconds:
        """Return the pause after so many failures in a row.

        All followers lose the store at once; without jitter they would all list their
        prefixes at the moment at which it is available again.
        """
        doublings = min(max(failures - 1, 0), MAX_DOUBLINGS)
        seconds = min(self._min_retry_seconds * (1 << doublings), max_seconds)
        return seconds * self._context.rng.uniform(0.5, 1.5)


__all__ = ["FollowerContext", "PrefixFollower", "PrefixListener"]
