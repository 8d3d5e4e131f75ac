"""Job records in the store: keys, encoding and fenced writes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Protocol

import msgspec
from returns.pipeline import is_successful

from medlarspring_adapters.store import (
    Delete,
    Expect,
    Put,
    Store,
    StoreError,
    Transaction,
)
from medlarspring_tables import Job, JobId, PoolId, Revision
from medlarspring_tables.audit import format_side_audit_key

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result

    from medlarspring_adapters.store import CommitResult, Entry, Listing
    from medlarspring_adapters.unreadable_records import UnreadableRecords
    from medlarspring_tables.audit import AuditRecord

JOBS_PREFIX = "fleet/jobs/"
MAX_JOBS_PER_CALL = 63
"""One less than the limit of a store call, leaving space for the audit record."""


class SaveOutcome(Enum):
    """Outcome of one record's write."""

    SAVED = "saved"
    CONFLICT = "conflict"
    """The record was changed concurrently, or the fence no longer holds."""
    NOT_APPLIED = "not applied"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class JobWrite:
    """A job's new record and the revision that it replaces; 0 creates the record."""

    job: Job
    expected: Revision


@dataclass(frozen=True, slots=True)
class SavedJob:
    """The outcome of one write and the record's revision if it was saved."""

    write: JobWrite
    outcome: SaveOutcome
    revision: Revision = Revision(0)


def pool_prefix(pool_id: PoolId) -> str:
    """Return the prefix of all job keys of a pool."""
    return f"{JOBS_PREFIX}{pool_id}/"


def job_key(pool_id: PoolId, job_id: JobId) -> str:
    """Return the key of a job's record."""
    return f"{JOBS_PREFIX}{pool_id}/{job_id}"


class CreateAudit(Protocol):
    """Creates the audit record of one batch of writes."""

    def __call__(self, writes: Sequence[JobWrite]) -> AuditRecord:
        """Return the record."""
        ...


class JobStore:
    """Reads and writes job records, batched into few counted calls."""

    def __init__(self, store: Store, unreadable: UnreadableRecords) -> None:
        self._store = store
        self._unreadable = unreadable

    def decode(self, entry: Entry) -> Job | None:
        """Return the job of a record; None, and a log line, if it is unreadable."""
        return self._unreadable.decode(entry, Job)

    async def read_pool(self, pool_id: PoolId) -> Result[Listing, StoreError]:
        """Return all job records of a pool."""
        return await self._store.read_prefix(pool_prefix(pool_id))

    async def save(
        self,
        writes: Sequence[JobWrite],
        fence: Expect | None,
        create_audit: CreateAudit | None = None,
    ) -> list[SavedJob]:
        """Write records independently of each other; the fence is a condition of each.

        The audit record of each batch is part of the same store call.
        """
        saved: list[SavedJob] = []
        for start in range(0, len(writes), MAX_JOBS_PER_CALL):
            batch = writes[start : start + MAX_JOBS_PER_CALL]
            transactions = [_create_transaction(write, fence) for write in batch]
            if create_audit is not None:
                transactions.append(_create_audit_write(create_audit(batch)))
            saved += await self._save_batch(batch, transactions)
        return saved

    async def read_job(
        self, pool_id: PoolId, job_id: JobId
    ) -> Result[Entry | None, StoreError]:
        """Return one job's entry, or None."""
        return await self._store.read(job_key(pool_id, job_id))

    async def delete(self, writes: Sequence[JobWrite], fence: Expect | None) -> None:
        """Remove records that are unchanged; a later call can remove the others."""
        for start in range(0, len(writes), MAX_JOBS_PER_CALL):
            batch = writes[start : start + MAX_JOBS_PER_CALL]
            await self._store.commit_each(
                [
                    Transaction(
                        _list_conditions(write, fence),
                        (Delete(job_key(write.job.pool_id, write.job.id)),),
                    )
                    for write in batch
                ]
            )

    async def _save_batch(
        self, writes: Sequence[JobWrite], transactions: Sequence[Transaction]
    ) -> list[SavedJob]:
        results = await self._store.commit_each(transactions)
        of_writes = results[: len(writes)]
        return [
            _read_outcome(write, result)
            for write, result in zip(writes, of_writes, strict=True)
        ]


def _create_transaction(write: JobWrite, fence: Expect | None) -> Transaction:
    key = job_key(write.job.pool_id, write.job.id)
    put = Put(key, msgspec.json.encode(write.job))
    return Transaction(_list_conditions(write, fence), (put,))


def _create_audit_write(record: AuditRecord) -> Transaction:
    value = msgspec.json.encode(record)
    return Transaction((), (Put(format_side_audit_key(record), value),))


def _list_conditions(write: JobWrite, fence: Expect | None) -> tuple[Expect, ...]:
    unchanged = Expect(job_key(write.job.pool_id, write.job.id), write.expected)
    if fence is None:
        return (unchanged,)
    # A holder that was paused until its lease expired would start jobs that are
    # unchanged since, in addition to those of the next holder, and exceed the
    # partner's quota. The holder key's revision changes with each holder, so the
    # late write is refused.
    return (unchanged, fence)


def _read_outcome(write: JobWrite, result: CommitResult) -> SavedJob:
    if not is_successful(result):
        unavailable = result.failure().code == "store-unavailable"
        outcome = SaveOutcome.NOT_APPLIED if unavailable else SaveOutcome.UNKNOWN
        return SavedJob(write, outcome)
    committed = result.unwrap()
    if committed.succeeded:
        return SavedJob(write, SaveOutcome.SAVED, committed.revision)
    return SavedJob(write, SaveOutcome.CONFLICT)


__all__ = [
    "JOBS_PREFIX",
    "CreateAudit",
    "JobStore",
    "JobWrite",
    "SaveOutcome",
    "SavedJob",
    "job_key",
    "pool_prefix",
]
