"""Writes the progress and the ends of a cell's jobs, many in one transaction."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from returns.pipeline import is_successful

from medlarspring_adapters.metrics import Metric
from medlarspring_adapters.store import (
    Delete,
    Expect,
    Put,
    StoreOutcomeUnknown,
    Transaction,
)
from medlarspring_systems.scheduling.progress_records import encode_progress
from medlarspring_tables import Revision
from medlarspring_tables.scheduling import JobRecord

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_adapters.store import Committed
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_daemon.scheduling.election import Tenure
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import ActiveJob

MAX_ENTRIES = 32
"""Conditions, writes and deletions that one transaction of the store takes."""
MAX_IN_FLIGHT = 4
"""One call that hangs must not hold up all that come after it."""
GATHER_SECONDS = 0.002
"""Changes of one moment share a transaction; starts wait no longer for it."""
ENDS_GATHER_SECONDS = 0.02
"""Ends free room, and the starts that take it are recorded some milliseconds later:
0.9 writes a run in place of 1.3 when sixty jobs keep a pool full."""
RETRY_SECONDS = 0.05
FLUSH_SECONDS = 0.3
"""Longest wait for records when the cell is handed over; what is not recorded the
successor hears from the workers."""


WRITTEN_FOR_GOOD = 1 << 62
"""Version of a job whose end is recorded; nothing of it is written any more."""


@dataclass(frozen=True, slots=True)
class Part:
    """What one transaction writes of one job."""

    job: ActiveJob
    version: int
    ends: bool
    """Whether it records the job's end."""
    transaction: Transaction


class Journal:
    """Keeps the store's records of jobs up to the tables.

    Every write carries the controller's key and the record's own revision as
    conditions. The first keeps a superseded controller from writing; the second
    keeps a write whose answer was lost from being carried out later, on top of a
    newer one.
    """

    def __init__(
        self,
        node: SchedulingNode,
        tenure: Tenure,
        note_written: Callable[[ActiveJob], None],
    ) -> None:
        self._node = node
        self._tenure = tenure
        self._keys = tenure.keys
        self._note_written = note_written
        self._urgent_by_job: dict[ActiveJob, bool] = {}
        """Jobs to be written; a start or an end of the whole job can't wait."""
        self._writes: set[asyncio.Task[None]] = set()
        self._timer: asyncio.Handle | None = None
        self._flush_at: Seconds = 0.0
        """When the timer is due; uvloop's handles of calls without a wait don't say."""
        self._closed = False

    def mark(self, job: ActiveJob) -> None:
        """Have a job's record written."""
        self._mark(job, urgent=True)

    def mark_ends(self, job: ActiveJob) -> None:
        """Have ends of a job that goes on written, with the next starts if any come.

        Nothing waits for such a record but the worker, which lists the ends until
        they are acknowledged.
        """
        self._mark(job, urgent=False)

    def _mark(self, job: ActiveJob, *, urgent: bool) -> None:
        if self._closed or job.written_version >= job.version or job.writing:
            return
        self._urgent_by_job[job] = urgent or self._urgent_by_job.get(job, False)
        self._plan_flush(GATHER_SECONDS if urgent else ENDS_GATHER_SECONDS)

    async def close(self, *, flush: bool) -> None:
        """Stop writing; with ``flush``, first write the marked jobs for a moment."""
        ends_at = self._node.clock.now() + FLUSH_SECONDS
        while flush and (self._urgent_by_job or self._writes):
            if not self._tenure.holds() or self._node.clock.now() > ends_at:
                break
            self._flush()
            await asyncio.sleep(GATHER_SECONDS)
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        for write in list(self._writes):
            write.cancel()
        await asyncio.gather(*self._writes, return_exceptions=True)

    def _plan_flush(self, wait: Seconds) -> None:
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
        while self._urgent_by_job and len(self._writes) < MAX_IN_FLIGHT:
            write = asyncio.create_task(self._write(self._take_batch()))
            self._writes.add(write)
            write.add_done_callback(self._end_write)

    def _end_write(self, write: asyncio.Task[None]) -> None:
        self._writes.discard(write)
        if any(self._urgent_by_job.values()):
            self._plan_flush(0.0)
        elif self._urgent_by_job:
            self._plan_flush(ENDS_GATHER_SECONDS)

    def _take_batch(self) -> list[Part]:
        batch: list[Part] = []
        entries = 1
        for job in list(self._urgent_by_job):
            ends = job.outcome is not None
            part = Part(job, job.version, ends, self._encode(job))
            size = len(part.transaction.expects) + len(part.transaction.writes)
            if entries + size > MAX_ENTRIES:
                break
            entries += size
            del self._urgent_by_job[job]
            job.writing = True
            batch.append(part)
        return batch

    def _encode(self, job: ActiveJob) -> Transaction:
        progress_key = self._keys.progress(job.id)
        expect_progress = Expect(progress_key, job.progress_revision)
        if job.outcome is None:
            value = msgspec.json.encode(encode_progress(job))
            return Transaction((expect_progress,), (Put(progress_key, value),))
        end = JobRecord(
            queue=job.queue,
            accepted_at_ms=job.accepted_at_ms,
            outcome=job.outcome,
            ended_at_ms=round(self._node.clock.wall() * 1_000),
            reason=job.reason,
        )
        job_key = self._keys.job(job.id)
        expects = [Expect(job_key, job.job_revision)]
        writes: list[Put | Delete] = [Put(job_key, msgspec.json.encode(end))]
        if job.progress_revision:
            expects.append(expect_progress)
            writes.append(Delete(progress_key))
        if job.cancelled:
            writes.append(Delete(self._keys.cancel(job.id)))
        return Transaction(tuple(expects), tuple(writes))

    async def _write(self, batch: list[Part]) -> None:
        expects = [self._tenure.expect()]
        writes: list[Put | Delete] = []
        for part in batch:
            expects += part.transaction.expects
            writes += part.transaction.writes
        transaction = Transaction(
            tuple(expects), tuple(writes), tuple(each.key for each in expects)
        )
        sent_at = self._node.clock.now()
        answer = await self._node.store.commit(transaction)
        took_ms = (self._node.clock.now() - sent_at) * 1_000
        self._node.metrics.timing(Metric.RECORD_WRITE_MS, took_ms)
        for part in batch:
            part.job.writing = False
        if not is_successful(answer):
            self._node.metrics.count(Metric.RECORDS_REPEATED)
            if not isinstance(answer.failure(), StoreOutcomeUnknown):
                await asyncio.sleep(RETRY_SECONDS)
            self._mark_again(batch)
            return
        committed = answer.unwrap()
        if not committed.succeeded:
            self._take_conflict(batch, committed)
            return
        for part in batch:
            self._take_success(part, committed.revision)

    def _take_success(self, part: Part, revision: Revision) -> None:
        job = part.job
        if part.ends:
            job.written_version = WRITTEN_FOR_GOOD
            job.job_revision = revision
            job.progress_revision = Revision(0)
        else:
            job.written_version = max(job.written_version, part.version)
            job.progress_revision = revision
        self._note_written(job)
        self.mark(job)

    def _take_conflict(self, batch: list[Part], committed: Committed) -> None:
        """Learn from a refusal which revisions stand, and write again.

        An earlier write of ours whose answer was lost moved a record's revision;
        another controller's key means that this one is superseded.
        """
        if not self._tenure.outlives(committed):
            return
        for part in batch:
            job = part.job
            for expect in part.transaction.expects:
                found = committed.read_by_key.get(expect.key)
                revision = found.mod_revision if found else Revision(0)
                if expect.key == self._keys.progress(job.id):
                    job.progress_revision = revision
                else:
                    job.job_revision = revision
        self._mark_again(batch)

    def _mark_again(self, batch: list[Part]) -> None:
        for part in batch:
            self.mark(part.job)


__all__ = ["WRITTEN_FOR_GOOD", "Journal"]
