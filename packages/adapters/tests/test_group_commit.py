"""Tests that every caller of a batched write gets an answer."""

from __future__ import annotations

import asyncio
import io
from typing import TYPE_CHECKING, Any, cast

import pytest

from medlarspring_adapters.clock import ManualClock
from medlarspring_adapters.events import Event, create_event_log
from medlarspring_adapters.group_commit import GroupCommit
from medlarspring_adapters.store import Put, StoreOutcomeUnknown, Transaction
from medlarspring_tables import EntryVMId

if TYPE_CHECKING:
    from collections.abc import Sequence


class RaisingStore:
    def __init__(self, error: BaseException | None) -> None:
        self.error = error

    async def commit_each(self, transactions: Sequence[Transaction]) -> list[Any]:
        if self.error is not None:
            raise self.error
        return []  # Fewer results than transactions.


@pytest.mark.parametrize("error", [RuntimeError("odd"), asyncio.CancelledError(), None])
async def test_callers_get_an_answer_when_the_call_of_their_group_raises(
    error: BaseException | None,
):
    """Guards against customers that wait for ever for a write that has failed."""
    lines = io.StringIO()
    log = create_event_log(EntryVMId("e"), "ERROR", lines)
    store = cast("Any", RaisingStore(error))
    commits = GroupCommit(store, ManualClock(), log, lambda: 0.0)
    async with asyncio.timeout(1.0):
        answers = await asyncio.gather(
            *(commits.commit(Transaction((), (Put(key, b""),))) for key in "abc")
        )
    assert all(isinstance(each.failure(), StoreOutcomeUnknown) for each in answers)
    assert str(Event.TASK_FAILED.number) in lines.getvalue()
