"""Commits groups of independent transactions to a store without nested ones.

Such a store applies a call as a whole or not at all. A group is first joined into one
call; if the store refuses that for a condition or a lease of one member, each member
is committed by a call of its own.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.pipeline import is_successful
from returns.result import Failure

from medlarspring_adapters.store import LeaseGone, StoreUnavailable, Transaction

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from medlarspring_adapters.store import CommitResult

    Commit = Callable[[Transaction], Awaitable[CommitResult]]


def count_entries(transactions: Sequence[Transaction]) -> int:
    """Return the number of conditions, writes and deletions of a group."""
    return sum(len(each.expects) + len(each.writes) for each in transactions)


async def commit_joined(
    commit: Commit, transactions: Sequence[Transaction], max_entries: int
) -> list[CommitResult] | None:
    """Commit a group in one call.

    Return the result of each transaction, or None if nothing was applied and they
    have to be committed singly.
    """
    if len(transactions) == 1:
        return [await commit(transactions[0])]
    if count_entries(transactions) > max_entries:
        return None
    joined = await commit(_join(transactions))
    if is_successful(joined) and not joined.unwrap().succeeded:
        return None
    if _is_lease_gone(joined):
        return None
    return [joined] * len(transactions)


async def commit_singly(
    commit: Commit, transactions: Sequence[Transaction]
) -> list[CommitResult]:
    """Commit each transaction in a call of its own, up to the first call that fails.

    The transactions after it are reported as not applied, since they were not sent.
    """
    results: list[CommitResult] = []
    for transaction in transactions:
        result = await commit(transaction)
        results.append(result)
        if not is_successful(result) and not _is_lease_gone(result):
            break
    not_sent = StoreUnavailable("not sent, as an earlier call of its group failed")
    unsent_count = len(transactions) - len(results)
    return results + [Failure(not_sent) for _ in range(unsent_count)]


def _is_lease_gone(result: CommitResult) -> bool:
    return not is_successful(result) and isinstance(result.failure(), LeaseGone)


def _join(transactions: Sequence[Transaction]) -> Transaction:
    expects = {expect: None for each in transactions for expect in each.expects}
    writes = [write for each in transactions for write in each.writes]
    return Transaction(expects=tuple(expects), writes=tuple(writes))


__all__ = ["commit_joined", "commit_singly", "count_entries"]
