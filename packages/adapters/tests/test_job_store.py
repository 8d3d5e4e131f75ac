"""Outcomes of job records that are written as one group."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from returns.result import Failure

from medlarspring_adapters.clock import ManualClock
from medlarspring_adapters.job_store import JobStore, JobWrite, SaveOutcome
from medlarspring_adapters.joined_commit import commit_singly
from medlarspring_adapters.store import (
    StoreError,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from medlarspring_bench.key_value_state import KeyValueState
from medlarspring_bench.memory_store import MemoryStore
from medlarspring_bench.silent_faults import create_unreadable_records
from medlarspring_tables import Job, JobId, PartnerId, PoolId, Revision, Size

if TYPE_CHECKING:
    from collections.abc import Sequence

    from medlarspring_adapters.store import CommitResult, Transaction


def create_job(number: int) -> Job:
    return Job(
        id=JobId(f"job-{number}"),
        partner_id=PartnerId("ziwa"),
        pool_id=PoolId("survey"),
        kind="batch",
        declared=Size(1.0, 1.0, 0),
        declared_seconds=1.0,
        submitted_at=0.0,
    )


class SingleCallStore(MemoryStore):
    """Commits a group in a call for each transaction, of which one fails."""

    def __init__(self, failed_call: int, error: StoreError) -> None:
        super().__init__(KeyValueState(ManualClock()))
        self._calls_left = failed_call
        self._error = error

    async def commit(self, transaction: Transaction) -> CommitResult:
        self._calls_left -= 1
        if self._calls_left < 0:
            return Failure(self._error)
        return await super().commit(transaction)

    async def commit_each(
        self, transactions: Sequence[Transaction]
    ) -> list[CommitResult]:
        return await commit_singly(self.commit, transactions)


@pytest.mark.parametrize(
    ("error", "outcome_of_failed"),
    [
        (StoreUnavailable("busy"), SaveOutcome.NOT_APPLIED),
        (StoreOutcomeUnknown("lost"), SaveOutcome.UNKNOWN),
    ],
)
@pytest.mark.parametrize("failed_call", range(3))
async def test_jobs_of_an_interrupted_group_keep_their_own_outcomes(
    failed_call: int, error: StoreError, outcome_of_failed: SaveOutcome
):
    """Guards against saved jobs that are reverted since a later write failed."""
    jobs = JobStore(SingleCallStore(failed_call, error), create_unreadable_records())
    writes = [JobWrite(create_job(number), Revision(0)) for number in range(3)]
    outcomes = [saved.outcome for saved in await jobs.save(writes, None)]
    assert outcomes == [
        *[SaveOutcome.SAVED] * failed_call,
        outcome_of_failed,
        *[SaveOutcome.NOT_APPLIED] * (2 - failed_call),
    ]
