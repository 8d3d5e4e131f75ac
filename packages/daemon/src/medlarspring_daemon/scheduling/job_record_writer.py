"""Writes the progress and outcomes of a cell's jobs in batched transactions."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from returns.pipeline import is_successful

from medlarspring_adapters.cancellation import is_cancellation_requested
from medlarspring_adapters.events import Event
from medlarspring_adapters.metrics import Metric
from medlarspring_adapters.store import (
    Delete,
    Expect,
    Put,
    StoreOutcomeUnknown,
    Transaction,
)
from medlarspring_daemon.scheduling.failure_log import Step
from medlarspring_systems.scheduling.progress_records import encode_progress
from medlarspring_tables import Revision
from medlarspring_tables.scheduling import JobRecord

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from medlarspring_adapters.store import Committed
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_daemon.scheduling.election import Term
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import ActiveJob

MAX_TRANSACTION_ENTRIES = 32
"""Conditions, writes and deletions that one transaction of the store takes."""
MAX_BATCH_JOBS = 16
"""Jobs whose records one transaction writes; most take two of its entries."""
MAX_WRITES_IN_FLIGHT = 4
"""A call that hangs must not block all later writes."""
BATCH_WINDOW_SECONDS = 0.002
"""Changes within this time share a transaction; no start waits longer for it."""
ENDS_BATCH_WINDOW_SECONDS = 0.02
"""Lets ends share a transaction with the starts that use the freed resources, which
follow some milliseconds later. With a pool kept full by 60 jobs, this takes 0.9 writes
per run instead of 1.3."""
RETRY_SECONDS = 0.05
FAILED_RETRY_SECONDS = 1.0
"""Pause before a job is tried again whose record alone can't be encoded or written."""
MAX_REFUSALS = 3
"""Failed writes of a job alone, with writes of others between, until it is paused."""
FLUSH_SECONDS = 0.3
"""Longest wait for pending writes when the cell is released. The next controller
learns from the workers what was not written."""


FINAL_VERSION = 1 << 62
"""Written version of a job whose outcome is recorded; no write follows it."""


@dataclass(frozen=True, slots=True)
class JobUpdate:
    """The part of a transaction that writes one job."""

    job: ActiveJob
    version: int
    is_final: bool
    """Whether it records the job's outcome."""
    transaction: Transaction


@dataclass(slots=True)
class _Refusals:
    """Failed writes of one job alone, each with a write of others before it."""

    count: int = 0
    failed_at: Seconds = float("-inf")


class JobRecordWriter:
    """Keeps the job records in the store up to date with the tables.

    Every write is conditional on the controller's key and on the revision of the
    record. The key prevents writes of a superseded controller. The revision
    prevents a delayed write whose answer was lost from replacing a newer record.
    """

    def __init__(
        self,
        node: SchedulingNode,
        term: Term,
        on_written: Callable[[ActiveJob], None],
    ) -> None:
        self._node = node
        self._term = term
        self._keys = term.keys
        self._on_written = on_written
        self._urgent_by_job: dict[ActiveJob, bool] = {}
        """Jobs to write; starts and the outcome of a job are urgent."""
        self._writes: set[asyncio.Task[None]] = set()
        self._timer: asyncio.Handle | None = None
        self._flush_at: Seconds = 0.0
        """When the timer is due; uvloop's handles of calls without delay don't tell."""
        self._failed_jobs: dict[ActiveJob, None] = {}
        """Jobs whose records failed by themselves; they are tried again later."""
        self._batch_limit = MAX_BATCH_JOBS
        """Halved by each failed write, so that one record can't block others for good.
        """
        self._refusals_by_job: dict[ActiveJob, _Refusals] = {}
        """Jobs whose last write failed although it wrote no other job."""
        self._succeeded_at: Seconds = float("-inf")
        self._retry_timer: asyncio.Handle | None = None
        self._closed = False

    def schedule_write(self, job: ActiveJob) -> None:
        """Schedule an urgent write of a job's record."""
        self._schedule(job, urgent=True)

    def schedule_ends_write(self, job: ActiveJob) -> None:
        """Schedule a write of the ends of an active job, if possible with later starts.

        Such a write is not urgent: only the worker waits for it, which lists the
        ends until they are acknowledged.
        """
        self._schedule(job, urgent=False)

    def schedule_outdated(self, jobs: Iterable[ActiveJob]) -> None:
        """Schedule writes of all records that lack a change of their jobs."""
        for job in jobs:
            if job not in self._failed_jobs:
                self.schedule_ends_write(job)

    def _schedule(self, job: ActiveJob, *, urgent: bool) -> None:
        if self._closed or job.written_version >= job.version or job.writing:
            return
        self._urgent_by_job[job] = urgent or self._urgent_by_job.get(job, False)
        self._schedule_flush(
            BATCH_WINDOW_SECONDS if urgent else ENDS_BATCH_WINDOW_SECONDS
        )

    async def close(self, *, flush: bool) -> None:
        """Stop writing; if ``flush``, write pending jobs first, within a time limit."""
        deadline = self._node.clock.now() + FLUSH_SECONDS
        while flush and (self._urgent_by_job or self._writes):
            if not self._term.is_active() or self._node.clock.now() > deadline:
                break
            self._flush()
            await asyncio.sleep(BATCH_WINDOW_SECONDS)
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        for write in list(self._writes):
            write.cancel()
        await asyncio.gather(*self._writes, return_exceptions=True)

    def _schedule_flush(self, wait: Seconds) -> None:
        if self._closed:
            return
        flush_at = self._node.clock.now() + wait
        if self._timer is not None:
            if self._flush_at <= flush_at:
                return
            self._timer.cancel()
        self._flush_at = flush_at
        self._timer = asyncio.get_running_loop().call_later(wait, self._flush)

    def _flush(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._urgent_by_job and len(self._writes) < MAX_WRITES_IN_FLIGHT:
            batch = self._build_batch()
            if not batch:
                return
            write = asyncio.create_task(self._write(batch))
            self._writes.add(write)
            write.add_done_callback(self._finish_write)

    def _finish_write(self, write: asyncio.Task[None]) -> None:
        self._writes.discard(write)
        if any(self._urgent_by_job.values()):
            self._schedule_flush(0.0)
        elif self._urgent_by_job:
            self._schedule_flush(ENDS_BATCH_WINDOW_SECONDS)

    def _build_batch(self) -> list[JobUpdate]:
        batch: list[JobUpdate] = []
        entries = 1
        for job in list(self._urgent_by_job):
            if len(batch) >= self._batch_limit:
                break
            update = self._create_update(job)
            if update is None:
                continue
            size = len(update.transaction.expects) + len(update.transaction.writes)
            if entries + size > MAX_TRANSACTION_ENTRIES:
                break
            entries += size
            del self._urgent_by_job[job]
            job.writing = True
            batch.append(update)
        return batch

    def _create_update(self, job: ActiveJob) -> JobUpdate | None:
        """Return the update of a job's record; None if it can't be encoded now."""
        try:
            transaction = self._encode(job)
        except Exception:
            self._node.failures.report(Step.ENCODING)
            del self._urgent_by_job[job]
            self._retry_later(job)
            return None
        return JobUpdate(job, job.version, job.outcome is not None, transaction)

    def _retry_later(self, job: ActiveJob) -> None:
        self._failed_jobs[job] = None
        if self._retry_timer is None and not self._closed:
            loop = asyncio.get_running_loop()
            self._retry_timer = loop.call_later(
                FAILED_RETRY_SECONDS, self._retry_failed
            )

    def _retry_failed(self) -> None:
        self._retry_timer = None
        jobs, self._failed_jobs = self._failed_jobs, {}
        for job in jobs:
            self.schedule_write(job)

    def _encode(self, job: ActiveJob) -> Transaction:
        progress_key = self._keys.progress(job.id)
        expect_progress = Expect(progress_key, job.progress_revision)
        if job.outcome is None:
            value = msgspec.json.encode(encode_progress(job))
            return Transaction((expect_progress,), (Put(progress_key, value),))
        final_record = JobRecord(
            queue=job.queue,
            accepted_at_ms=job.accepted_at_ms,
            outcome=job.outcome,
            ended_at_ms=round(self._node.clock.wall() * 1_000),
            reason=job.reason,
            owner=job.owner,
        )
        job_key = self._keys.job(job.id)
        expects = [Expect(job_key, job.job_revision)]
        writes: list[Put | Delete] = [Put(job_key, msgspec.json.encode(final_record))]
        if job.progress_revision:
            expects.append(expect_progress)
            writes.append(Delete(progress_key))
        if job.cancelled:
            writes.append(Delete(self._keys.cancel(job.id)))
        return Transaction(tuple(expects), tuple(writes))

    async def _write(self, batch: list[JobUpdate]) -> None:
        try:
            await self._commit(batch)
        except Exception:
            await self._repeat_later(batch)
        except asyncio.CancelledError:
            if is_cancellation_requested():
                raise
            await self._repeat_later(batch)

    async def _repeat_later(self, batch: list[JobUpdate]) -> None:
        """Report a write that raised, and write its jobs again.

        It may have been applied. Its retry is refused then, and takes the revisions of
        the records from the refusal.
        """
        self._node.failures.report(Step.RECORD_WRITE)
        for update in batch:
            update.job.writing = False
        await asyncio.sleep(RETRY_SECONDS)
        self._split_failed(batch, "the write raised an exception")

    async def _commit(self, batch: list[JobUpdate]) -> None:
        expects = [self._term.expect()]
        writes: list[Put | Delete] = []
        for update in batch:
            expects += update.transaction.expects
            writes += update.transaction.writes
        transaction = Transaction(
            tuple(expects), tuple(writes), tuple(each.key for each in expects)
        )
        sent_at = self._node.clock.now()
        answer = await self._node.store.commit(transaction)
        took_ms = (self._node.clock.now() - sent_at) * 1_000
        self._node.metrics.timing(Metric.RECORD_WRITE_MS, took_ms)
        for update in batch:
            update.job.writing = False
        if not is_successful(answer):
            self._node.metrics.count(Metric.RECORDS_REPEATED)
            if not isinstance(answer.failure(), StoreOutcomeUnknown):
                await asyncio.sleep(RETRY_SECONDS)
            self._split_failed(batch, answer.failure().message())
            return
        committed = answer.unwrap()
        if not committed.succeeded:
            self._handle_conflict(batch, committed)
            return
        self._succeeded_at = self._node.clock.now()
        self._batch_limit = min(2 * self._batch_limit, MAX_BATCH_JOBS)
        for update in batch:
            self._handle_success(update, committed.revision)

    def _split_failed(self, batch: list[JobUpdate], fault: str) -> None:
        """Write the jobs of a failed write again, in smaller transactions.

        A record that fails alone, again and again while others are written, waits
        longer, as it would fail again at once.
        """
        self._batch_limit = max(len(batch) // 2, 1)
        if len(batch) > 1 or not self._is_refused_alone(batch[0].job):
            self._schedule_again(batch)
            return
        job = batch[0].job
        self._node.log.warning(Event.RECORD_NOT_WRITTEN, job=job.id, fault=fault)
        self._retry_later(job)

    def _is_refused_alone(self, job: ActiveJob) -> bool:
        """Count a failed write of one job; return whether the fault is the job's."""
        refusals = self._refusals_by_job.setdefault(job, _Refusals())
        if self._succeeded_at > refusals.failed_at:
            refusals.count += 1
        refusals.failed_at = self._node.clock.now()
        return refusals.count >= MAX_REFUSALS

    def _handle_success(self, update: JobUpdate, revision: Revision) -> None:
        job = update.job
        self._refusals_by_job.pop(job, None)
        if update.is_final:
            job.written_version = FINAL_VERSION
            job.job_revision = revision
            job.progress_revision = Revision(0)
        else:
            job.written_version = max(job.written_version, update.version)
            job.progress_revision = revision
        try:
            self._on_written(job)
        except Exception:
            self._node.failures.report(Step.RECORD_WRITTEN)
        self.schedule_write(job)

    def _handle_conflict(self, batch: list[JobUpdate], committed: Committed) -> None:
        """Take the current revisions from a refused transaction, and retry.

        A record's revision changes when an earlier write succeeded but its answer
        was lost. If the controller's key has changed, the term is over instead.
        """
        if not self._term.check_still_holder(committed):
            return
        for update in batch:
            job = update.job
            for expect in update.transaction.expects:
                found = committed.read_by_key.get(expect.key)
                revision = found.mod_revision if found else Revision(0)
                if expect.key == self._keys.progress(job.id):
                    job.progress_revision = revision
                else:
                    job.job_revision = revision
        self._schedule_again(batch)

    def _schedule_again(self, batch: list[JobUpdate]) -> None:
        for update in batch:
            self.schedule_write(update.job)


__all__ = ["FINAL_VERSION", "JobRecordWriter"]
