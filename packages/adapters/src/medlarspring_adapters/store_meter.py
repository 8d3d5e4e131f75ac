"""Counts the store calls of this process and limits their rate by mechanism.

The platform counts each call, and its service handles some hundred writes and two
thousand reads a second for all clients together. Each mechanism has a budget of its
own, so that one that makes too many calls cannot use up those of the others.
"""

from __future__ import annotations

import contextlib
import copy
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Protocol, TypeVar, cast, runtime_checkable

from returns.result import Failure, Result

from medlarspring_adapters.store import (
    CommitResult,
    Committed,
    Entry,
    LeaseGone,
    LeaseId,
    Listing,
    Store,
    StoreError,
    StoreOverBudget,
    Transaction,
    WatchBatch,
)

if TYPE_CHECKING:
    from collections.abc import (
        AsyncGenerator,
        AsyncIterator,
        Awaitable,
        Callable,
        Sequence,
    )

    from medlarspring_adapters.clock import Clock
    from medlarspring_tables import Revision, Seconds

BURST_SECONDS = 3.0

Argument = TypeVar("Argument")
Value = TypeVar("Value")


class Mechanism(Enum):
    """Purpose of a store call."""

    CONFIGURATION = "configuration"
    EDITS = "edits"
    CLAIMS = "claims"
    CONTROL_WORK = "control-work"
    HOLDERS = "holders"
    AUDIT = "audit"
    LEASES = "leases"
    OTHER = "other"


CALLS_PER_SECOND: dict[Mechanism, float] = {
    Mechanism.CONFIGURATION: 2.0,
    Mechanism.EDITS: 20.0,
    Mechanism.CLAIMS: 200.0,
    Mechanism.CONTROL_WORK: 50.0,
    Mechanism.HOLDERS: 4.0,
    Mechanism.AUDIT: 10.0,
    Mechanism.LEASES: 10.0,
    Mechanism.OTHER: 20.0,
}
"""Budget of one entry VM; docs/CAPACITY.md adds them up for the fleet."""

MECHANISMS_BY_PREFIX: dict[str, Mechanism] = {
    "config": Mechanism.CONFIGURATION,
    "claims": Mechanism.CLAIMS,
    "fleet": Mechanism.CONTROL_WORK,
    "holders": Mechanism.HOLDERS,
    "audit": Mechanism.AUDIT,
}


@dataclass(slots=True)
class Bucket:
    """Token bucket with the calls that one mechanism may still make."""

    rate: float
    tokens: float
    filled_at: Seconds

    def take(self, now: Seconds) -> bool:
        """Use one call; return False when none is left."""
        gained = (now - self.filled_at) * self.rate
        self.tokens = min(self.tokens + gained, self.rate * BURST_SECONDS)
        self.filled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(slots=True)
class StoreCalls:
    """Counts and state of this process's store calls, for status and metrics."""

    calls_by_mechanism: dict[Mechanism, int] = field(default_factory=dict)
    over_budget_by_mechanism: dict[Mechanism, int] = field(default_factory=dict)
    answered_at: Seconds | None = None
    failing_since: Seconds | None = None
    """Time of the first failed call since the last successful one."""


@runtime_checkable
class Closeable(Protocol):
    """A store that keeps connections open."""

    async def close(self) -> None:
        """Close all connections."""
        ...


class MeteredStore:
    """Forwards calls to a store, counts them and enforces the budgets."""

    def __init__(self, inner: Store, clock: Clock) -> None:
        self._inner = inner
        self._clock = clock
        self._fixed_mechanism: Mechanism | None = None
        self.calls = StoreCalls()
        now = clock.now()
        self._buckets_by_mechanism = {
            mechanism: Bucket(rate, rate * BURST_SECONDS, now)
            for mechanism, rate in CALLS_PER_SECOND.items()
        }

    def with_mechanism(self, mechanism: Mechanism) -> MeteredStore:
        """Return a view of this store that counts all calls for one mechanism."""
        view = copy.copy(self)
        view._fixed_mechanism = mechanism
        return view

    def failing_seconds(self) -> Seconds:
        """Return the time since the store stopped answering; 0 while it answers."""
        if self.calls.failing_since is None:
            return 0.0
        return max(self._clock.now() - self.calls.failing_since, 0.001)

    async def close(self) -> None:
        """Close the connections of the inner store, if it has any."""
        if isinstance(self._inner, Closeable):
            await self._inner.close()

    async def read(self, key: str) -> Result[Entry | None, StoreError]:
        """Return the key's entry, or None if it is absent."""
        return await self._forward(_classify(key), self._inner.read, key)

    async def read_prefix(self, prefix: str) -> Result[Listing, StoreError]:
        """Return all entries under a prefix."""
        return await self._forward(_classify(prefix), self._inner.read_prefix, prefix)

    async def commit(self, transaction: Transaction) -> Result[Committed, StoreError]:
        """Apply one transaction."""
        mechanism = _classify_write(transaction)
        return await self._forward(mechanism, self._inner.commit, transaction)

    async def commit_each(
        self, transactions: Sequence[Transaction]
    ) -> list[CommitResult]:
        """Forward a group, counted as one call; each result is that of the store.

        Over the budget nothing is sent, and all are reported as not applied.
        """
        mechanism = self._fixed_mechanism or _classify_write(transactions[0])
        if not self._may_call(mechanism):
            return [Failure(_create_refusal(mechanism)) for _ in transactions]
        results = await self._inner.commit_each(transactions)
        return [self._record_outcome(each) for each in results]

    async def grant_lease(self, ttl: float) -> Result[LeaseId, StoreError]:
        """Create a lease."""
        return await self._forward(Mechanism.LEASES, self._inner.grant_lease, ttl)

    async def keep_lease(self, lease_id: LeaseId) -> Result[float, StoreError]:
        """Renew a lease."""
        return await self._forward(Mechanism.LEASES, self._inner.keep_lease, lease_id)

    async def revoke_lease(self, lease_id: LeaseId) -> Result[None, StoreError]:
        """End a lease; not limited by the budget, since others wait for its keys."""
        self._count(Mechanism.LEASES)
        return self._record_outcome(await self._inner.revoke_lease(lease_id))

    async def watch(self, prefix: str, start: Revision) -> AsyncIterator[WatchBatch]:
        """Yield changes; opening a watch counts as one call, as does each reopening."""
        mechanism = _classify(prefix)
        if not self._may_call(mechanism):
            return
        batches = self._inner.watch(prefix, start)
        generator = cast("AsyncGenerator[WatchBatch, None]", batches)
        async with contextlib.aclosing(generator):
            async for batch in generator:
                self._record_answer()
                yield batch

    async def _forward(
        self,
        mechanism: Mechanism,
        call: Callable[[Argument], Awaitable[Result[Value, StoreError]]],
        argument: Argument,
    ) -> Result[Value, StoreError]:
        mechanism = self._fixed_mechanism or mechanism
        if not self._may_call(mechanism):
            return Failure(_create_refusal(mechanism))
        return self._record_outcome(await call(argument))

    def _may_call(self, mechanism: Mechanism) -> bool:
        if self._buckets_by_mechanism[mechanism].take(self._clock.now()):
            self._count(mechanism)
            return True
        over = self.calls.over_budget_by_mechanism
        over[mechanism] = over.get(mechanism, 0) + 1
        return False

    def _count(self, mechanism: Mechanism) -> None:
        calls = self.calls.calls_by_mechanism
        calls[mechanism] = calls.get(mechanism, 0) + 1

    def _record_outcome(
        self, answer: Result[Value, StoreError]
    ) -> Result[Value, StoreError]:
        if isinstance(answer, Failure) and not isinstance(answer.failure(), LeaseGone):
            if self.calls.failing_since is None:
                self.calls.failing_since = self._clock.now()
            return answer
        self._record_answer()
        return answer

    def _record_answer(self) -> None:
        self.calls.answered_at = self._clock.now()
        self.calls.failing_since = None


def _create_refusal(mechanism: Mechanism) -> StoreOverBudget:
    rate = CALLS_PER_SECOND[mechanism]
    return StoreOverBudget(f"{rate:g} calls/s for {mechanism.value}")


def _classify(key: str) -> Mechanism:
    return MECHANISMS_BY_PREFIX.get(key.partition("/")[0], Mechanism.OTHER)


def _classify_write(transaction: Transaction) -> Mechanism:
    """Return the mechanism of the first write, else of the first condition."""
    keys = [write.key for write in transaction.writes]
    keys += [expect.key for expect in transaction.expects]
    if not keys:
        return Mechanism.OTHER
    mechanism = _classify(keys[0])
    # The table is read for distribution and written only by edits.
    return Mechanism.EDITS if mechanism is Mechanism.CONFIGURATION else mechanism


def create_metered_store(inner: Store, clock: Clock) -> MeteredStore:
    """Return ``inner`` with counts and budgets."""
    return MeteredStore(inner, clock)


__all__ = [
    "CALLS_PER_SECOND",
    "Mechanism",
    "MeteredStore",
    "StoreCalls",
    "create_metered_store",
]
