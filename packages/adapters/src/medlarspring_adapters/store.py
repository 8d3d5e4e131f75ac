"""Interface of the platform's key-value service.

One module per real service implements ``Store``; tests use an in-memory fake.
Every call that can fail returns a ``Result``, so that callers have to distinguish
calls that had no effect from those that may have had one.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NewType, Protocol

from returns.result import Failure, Result, Success

from medlarspring_tables import MedlarspringError, Revision

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from medlarspring_tables import Seconds

LeaseId = NewType("LeaseId", int)


class StoreError(MedlarspringError):
    """The store gave no usable answer."""


class StoreUnavailable(StoreError):
    """The call failed and certainly had no effect."""

    code = "store-unavailable"

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail

    def message(self) -> str:
        """Return what failed and what to do."""
        return (
            f"The store did not accept the call ({self.detail})."
            " Nothing was changed; check [store] endpoints and try again."
        )


class LeaseGone(StoreUnavailable):
    """The lease no longer exists in the store; nothing was changed."""

    code = "store-lease-gone"

    def message(self) -> str:
        """Return what failed and what to do."""
        return (
            f"The lease has expired ({self.detail}). Nothing was changed; repeat the"
            " command, which takes a new lease."
        )


class StoreOverBudget(StoreUnavailable):
    """This process has used up its call budget; the call was not sent."""

    code = "store-over-budget"

    def message(self) -> str:
        """Return what failed and what to do."""
        return (
            f"This entry VM has used up its store calls ({self.detail})."
            " Nothing was changed; repeat the command in a few seconds, or at"
            " another entry VM."
        )


class StoreOutcomeUnknown(StoreError):
    """The call may have taken effect; only a later read can show it."""

    code = "store-outcome-unknown"

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail

    def message(self) -> str:
        """Return what failed and what to do."""
        return (
            f"The store's answer was lost ({self.detail})."
            " Repeat the command with the same id: it is applied once."
        )


@dataclass(frozen=True, slots=True)
class Entry:
    """One key and its current value in the store."""

    key: str
    value: bytes
    create_revision: Revision
    mod_revision: Revision
    lease_id: LeaseId | None = None


@dataclass(frozen=True, slots=True)
class Listing:
    """All keys under a prefix at one store revision."""

    entries: tuple[Entry, ...]
    revision: Revision


@dataclass(frozen=True, slots=True)
class Expect:
    """A condition: the key's last change has this revision; 0 means absent."""

    key: str
    mod_revision: Revision


@dataclass(frozen=True, slots=True)
class Put:
    """Write a key, bound to a lease if one is given."""

    key: str
    value: bytes
    lease_id: LeaseId | None = None


@dataclass(frozen=True, slots=True)
class Delete:
    """Remove a key."""

    key: str


@dataclass(frozen=True, slots=True)
class Transaction:
    """Apply all writes if all conditions hold; otherwise read the named keys."""

    expects: tuple[Expect, ...]
    writes: tuple[Put | Delete, ...]
    read_on_failure: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Committed:
    """Outcome of one transaction."""

    succeeded: bool
    revision: Revision
    """Store revision after the call; the mod revision of the written keys."""
    read_by_key: dict[str, Entry]
    """Entries requested by ``read_on_failure``; absent keys are omitted."""


CommitResult = Result[Committed, StoreError]
"""Outcome of one transaction, or why it was not applied or may not have been."""


def spread_result(
    result: Result[list[Committed], StoreError], count: int
) -> list[CommitResult]:
    """Return the results of ``count`` transactions that were committed in one call."""
    match result:
        case Success(committed):
            return [Success(each) for each in committed]
        case Failure(error):
            return [Failure(error)] * count
    raise TypeError(result)


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes of one or more store revisions, oldest first."""

    revision: Revision
    changed: tuple[Entry, ...]
    deleted: tuple[str, ...]
    confirmed_at: Seconds | None = None
    """Local time up to which the batches so far contain every change of the store.

    None if the store can't tell.
    """


class Store(Protocol):
    """Compare-and-swap, leases and watches; every call is counted."""

    async def read(self, key: str) -> Result[Entry | None, StoreError]:
        """Return the key's entry, or None if it is absent."""
        ...

    async def read_prefix(self, prefix: str) -> Result[Listing, StoreError]:
        """Return all entries under a prefix."""
        ...

    async def commit(self, transaction: Transaction) -> Result[Committed, StoreError]:
        """Apply one transaction."""
        ...

    async def commit_each(
        self, transactions: Sequence[Transaction]
    ) -> list[CommitResult]:
        """Commit many independent transactions in as few calls as possible.

        Returns the result of each, in their order: a store may need several calls,
        so that a failure of one transaction says nothing about the others.
        At most 64 in a group; no two transactions may write the same key.
        """
        ...

    async def grant_lease(self, ttl: float) -> Result[LeaseId, StoreError]:
        """Create a lease that lives ``ttl`` seconds unless kept alive."""
        ...

    async def keep_lease(self, lease_id: LeaseId) -> Result[float, StoreError]:
        """Renew a lease; returns the seconds left, 0 if it has expired."""
        ...

    async def revoke_lease(self, lease_id: LeaseId) -> Result[None, StoreError]:
        """End a lease and delete the keys bound to it."""
        ...

    def watch(self, prefix: str, start: Revision) -> AsyncIterator[WatchBatch]:
        """Yield changes from revision ``start`` on.

        A batch without changes reports that the store answered and there are none.
        The iterator ends when the connection fails or receives nothing for too long;
        the caller then lists the prefix again and watches from that revision on.
        """
        ...


__all__ = [
    "CommitResult",
    "Committed",
    "Delete",
    "Entry",
    "Expect",
    "LeaseGone",
    "LeaseId",
    "Listing",
    "Put",
    "Store",
    "StoreError",
    "StoreOutcomeUnknown",
    "StoreOverBudget",
    "StoreUnavailable",
    "Transaction",
    "WatchBatch",
    "spread_result",
]
