"""Batches transactions so that many are committed in few counted store calls."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from returns.result import Failure

from medlarspring_adapters.background_tasks import BackgroundTasks
from medlarspring_adapters.store import StoreOutcomeUnknown

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_adapters.clock import Clock
    from medlarspring_adapters.events import EventLog
    from medlarspring_adapters.store import CommitResult, Store, Transaction
    from medlarspring_tables import Seconds

MAX_PER_CALL = 64
MAX_CALLS_AT_ONCE = 4
"""More than one, so that a call that hangs does not block all later ones."""


class GroupCommit:
    """Sends a first transaction at once and batches those that follow.

    Each caller gets the result of its own transaction, whatever became of the others.

    ``choose_interval`` returns the shortest time between the starts of two calls.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        log: EventLog,
        choose_interval: Callable[[], Seconds],
        max_per_call: int = MAX_PER_CALL,
    ) -> None:
        self._store = store
        self._max_per_call = max_per_call
        self._clock = clock
        self._choose_interval = choose_interval
        self._waiting: deque[tuple[Transaction, asyncio.Future[CommitResult]]] = deque()
        self._calls = BackgroundTasks(log)
        self._called_at = float("-inf")
        self._timer: asyncio.TimerHandle | None = None

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Commit one transaction, batched with other pending ones."""
        future: asyncio.Future[CommitResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting.append((transaction, future))
        self._call_when_due()
        return await future

    def _call_when_due(self) -> None:
        if self._timer is not None or not self._waiting:
            return
        if len(self._calls) >= MAX_CALLS_AT_ONCE:
            return
        wait = self._called_at + self._choose_interval() - self._clock.now()
        if wait > 0.0:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(wait, self._end_wait)
            return
        self._called_at = self._clock.now()
        call = self._calls.start(self._call(self._collect_batch()))
        call.add_done_callback(lambda _: self._call_when_due())

    def _end_wait(self) -> None:
        self._timer = None
        self._call_when_due()

    def _collect_batch(self) -> list[tuple[Transaction, asyncio.Future[CommitResult]]]:
        """Remove and return the next batch, in which no key is written twice."""
        batch: list[tuple[Transaction, asyncio.Future[CommitResult]]] = []
        deferred: deque[tuple[Transaction, asyncio.Future[CommitResult]]] = deque()
        keys: set[str] = set()
        while self._waiting and len(batch) < self._max_per_call:
            transaction, future = self._waiting.popleft()
            written = {write.key for write in transaction.writes}
            if keys & written:
                deferred.append((transaction, future))
                continue
            keys |= written
            batch.append((transaction, future))
        self._waiting.extendleft(reversed(deferred))
        return batch

    async def _call(
        self, batch: list[tuple[Transaction, asyncio.Future[CommitResult]]]
    ) -> None:
        transactions = [transaction for transaction, _ in batch]
        try:
            results = await self._store.commit_each(transactions)
            for (_, future), result in zip(batch, results, strict=True):
                if not future.done():
                    future.set_result(result)
        finally:
            # A caller that gets no answer waits for ever, whatever the store raised.
            for _, future in batch:
                if not future.done():
                    error = StoreOutcomeUnknown("the call of its group failed")
                    future.set_result(Failure(error))


__all__ = ["MAX_PER_CALL", "GroupCommit"]
