"""Accepts jobs and cancellations from customers, and reports the status of jobs."""

from __future__ import annotations

import asyncio
import math
from enum import Enum
from typing import TYPE_CHECKING, Any

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from medlarspring_adapters.events import Event
from medlarspring_adapters.group_commit import GroupCommit
from medlarspring_adapters.metrics import Metric
from medlarspring_adapters.store import (
    Expect,
    Put,
    StoreOutcomeUnknown,
    Transaction,
)
from medlarspring_daemon.scheduling.intake_errors import (
    ControllerLate,
    CountUnknown,
    IntakeError,
    JobOfOtherPartner,
    NoSuchJob,
    NotReady,
    OutcomeUnknown,
    ShareExceeded,
)
from medlarspring_daemon.scheduling.keys import CellKeys, find_cell
from medlarspring_daemon.scheduling.load_gate import LoadGate
from medlarspring_daemon.scheduling.load_view import LoadView
from medlarspring_systems.scheduling.quotas import JobExceedsQuota, check_quota
from medlarspring_tables import Revision
from medlarspring_tables.scheduling import (
    CancelRecord,
    JobOutcome,
    JobRecord,
)

if TYPE_CHECKING:
    from medlarspring_adapters.store import Committed, Entry
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_daemon.scheduling.operator_records import OperatorRecords
    from medlarspring_systems.scheduling.callers import Caller
    from medlarspring_systems.scheduling.load_admission import LoadRefusal
    from medlarspring_tables import JobId, Seconds
    from medlarspring_tables.scheduling import (
        JobSpec,
        LoadRecord,
        QueueId,
        QueuePolicy,
    )

MAX_ACCEPTED_PER_CALL = 16
"""Each job takes a condition and a write of a transaction's 32 entries."""
RETRY_SECONDS = 0.04
"""Pause before a call to the store is repeated, within the customer's deadline."""
STORE_LOST_SECONDS = 0.25
"""The store counts as lost after all calls have failed for this long. Calls on jobs are
then refused at once, without a call to the store. The watches detect its recovery."""
REFUSE_AFTER_SECONDS = 0.4
"""A call that the store has refused for this long is refused as not carried out.

A longer wait uses up time in which another entry VM could serve the customer.
"""
UNKNOWN_AFTER_SECONDS = 1.0
"""A write without a known outcome is reported as unknown after this time. If it waits
until the customer's deadline instead, the customer's retry with the same id comes three
seconds later."""
MIN_RETRY_AFTER_SECONDS = 1
MAX_RETRY_AFTER_SECONDS = 4
"""Whole seconds. An outage is expected to last as long again as it has lasted so far,
so that customers don't use up their few retries in the first seconds of a long one."""
ANSWER_MARGIN_SECONDS = 0.15
"""An answer is sent at least this long before the customer stops waiting."""
UNREADABLE_JOB = "the job's record can't be read"
MAX_LOAD_AGE_SECONDS = 0.5
"""Cached counts of waiting jobs are read again after this time."""
MAX_COUNT_AGE_SECONDS = 2.0
"""Older counts of waiting jobs are not told to customers."""
COUNT_POLL_SECONDS = 0.2
"""Pause between two reads of counts whose age isn't known yet. It adds to the age that
they certainly don't exceed."""
COUNT_WAIT_SECONDS = 1.6
"""Time to wait for counts that are certainly recent: two intervals of publication, as a
busy controller publishes late."""


SubmitError = IntakeError | JobExceedsQuota


class JobStatus(Enum):
    """Status of a job as reported to customers."""

    QUEUED = "queued"
    ACTIVE = "active"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"


STATUS_BY_OUTCOME = {
    JobOutcome.COMPLETE: JobStatus.COMPLETE,
    JobOutcome.FAILED: JobStatus.FAILED,
    JobOutcome.CANCELLED: JobStatus.CANCELLED,
}


class Intake:
    """Handles the submissions, cancellations and queries that one entry VM receives."""

    def __init__(self, node: SchedulingNode, operator_records: OperatorRecords) -> None:
        self._node = node
        self._commits = GroupCommit(
            node.store, node.clock, node.log, lambda: 0.0, MAX_ACCEPTED_PER_CALL
        )
        self._loads = LoadView(node)
        self._gate = LoadGate(node, operator_records, self._loads)

    async def stop(self) -> None:
        """Stop the reads in the background."""
        await self._gate.stop()
        await self._loads.stop()

    async def submit(
        self,
        queue: QueuePolicy,
        job_id: JobId,
        spec: JobSpec,
        caller: Caller,
        timeout: Seconds,
    ) -> Result[None, SubmitError]:
        """Accept a job.

        A job of the caller's partner that already has this id is taken to be the same
        one. ``timeout`` is how long the customer waits for the answer, in seconds.
        """
        received_at = self._node.clock.now()
        answer = await self._submit(queue, job_id, spec, caller, timeout)
        self._log_submission(queue, job_id, caller, answer, received_at)
        return answer.map(lambda _: None)

    async def _submit(
        self,
        queue: QueuePolicy,
        job_id: JobId,
        spec: JobSpec,
        caller: Caller,
        timeout: Seconds,
    ) -> Result[bool, SubmitError]:
        """Return whether the job is new, or why it was not accepted."""
        fault = check_quota(caller.policy, spec)
        if fault is not None:
            return Failure(fault)
        keys = self._keys(job_id)
        refusal = await self._gate.find_refusal(queue, job_id, spec, caller, keys)
        if refusal is not None:
            return Failure(ShareExceeded(refusal))
        retry_after = await self._gate.find_late_retry(queue, job_id, spec, keys)
        if retry_after is not None:
            return Failure(ControllerLate(retry_after))
        record = JobRecord(
            queue=queue,
            spec=spec,
            accepted_at_ms=round(self._node.clock.wall() * 1_000),
            owner=caller.owner,
        )
        key = keys.job(job_id)
        transaction = Transaction(
            expects=(Expect(key, Revision(0)),),
            writes=(Put(key, msgspec.json.encode(record)),),
            read_on_failure=(key,),
        )
        unsettled = self._gate.unsettled
        unsettled.add(job_id, self._node.clock.now())
        answer = await self._commit_until(transaction, timeout)
        if not is_successful(answer):
            if not isinstance(answer.failure(), OutcomeUnknown):
                unsettled.withdraw(job_id)
            return Failure(answer.failure())
        unsettled.settle(job_id)
        committed = answer.unwrap()
        existing = committed.read_by_key.get(key)
        if not committed.succeeded and existing is not None:
            known = self._node.unreadable.decode(existing, JobRecord)
            if known is not None and not caller.may_access(known.owner):
                return Failure(JobOfOtherPartner())
        return Success(committed.succeeded)

    async def cancel(
        self, job_id: JobId, caller: Caller, timeout: Seconds
    ) -> Result[None, IntakeError]:
        """Record a request to cancel a job; its controller stops the tasks."""
        answer = await self._cancel(job_id, caller, timeout)
        self._log_refused_call("cancel", job_id, answer)
        return answer

    async def _cancel(
        self, job_id: JobId, caller: Caller, timeout: Seconds
    ) -> Result[None, IntakeError]:
        keys = self._keys(job_id)
        deadline = self._node.clock.now() + timeout
        while True:
            found = await self._read(keys.job(job_id), deadline)
            if not is_successful(found):
                return Failure(found.failure())
            entry = found.unwrap()
            if entry is None:
                return Failure(NoSuchJob())
            record = self._node.unreadable.decode(entry, JobRecord)
            if record is None:
                return Failure(self._create_refusal(UNREADABLE_JOB))
            if not caller.may_access(record.owner):
                return Failure(JobOfOtherPartner())
            if record.outcome is not None:
                return Success(None)
            request = CancelRecord(
                requested_at_ms=round(self._node.clock.wall() * 1_000)
            )
            transaction = Transaction(
                expects=(Expect(entry.key, entry.mod_revision),),
                writes=(Put(keys.cancel(job_id), msgspec.json.encode(request)),),
            )
            remaining = deadline - self._node.clock.now()
            answer = await self._commit_until(transaction, remaining)
            if not is_successful(answer):
                return Failure(answer.failure())
            if answer.unwrap().succeeded:
                self._node.log.info(
                    Event.JOB_CANCEL_ACCEPTED, job=job_id, revision=entry.mod_revision
                )
                return Success(None)
            # The job ended between the read and the write; read again.

    async def find_status(
        self, job_id: JobId, caller: Caller, timeout: Seconds
    ) -> Result[JobStatus, IntakeError]:
        """Return the status of a job."""
        answer = await self._find_status(job_id, caller, timeout)
        self._log_refused_call("status", job_id, answer)
        return answer

    async def _find_status(
        self, job_id: JobId, caller: Caller, timeout: Seconds
    ) -> Result[JobStatus, IntakeError]:
        keys = self._keys(job_id)
        deadline = self._node.clock.now() + timeout
        found = await self._read(keys.job(job_id), deadline)
        if not is_successful(found):
            return Failure(found.failure())
        entry = found.unwrap()
        if entry is None:
            return Failure(NoSuchJob())
        record = self._node.unreadable.decode(entry, JobRecord)
        if record is None:
            return Failure(self._create_refusal(UNREADABLE_JOB))
        if not caller.may_access(record.owner):
            return Failure(JobOfOtherPartner())
        if record.outcome is not None:
            return Success(STATUS_BY_OUTCOME[record.outcome])
        progress = await self._read(keys.progress(job_id), deadline)
        if not is_successful(progress):
            return Failure(progress.failure())
        started = progress.unwrap() is not None
        return Success(JobStatus.ACTIVE if started else JobStatus.QUEUED)

    async def count_waiting(
        self, queue_id: QueueId, timeout: Seconds
    ) -> Result[int, IntakeError]:
        """Return how many accepted jobs of a queue have not started yet."""
        wait = min(timeout - ANSWER_MARGIN_SECONDS, COUNT_WAIT_SECONDS)
        deadline = self._node.clock.now() + wait
        loads = await asyncio.gather(
            *(self._read_load(CellKeys(each), deadline) for each in self._node.cells)
        )
        total = 0
        for load in loads:
            if not is_successful(load):
                self._node.metrics.count(Metric.COUNTS_REFUSED)
                return Failure(load.failure())
            total += load.unwrap().waiting_by_queue.get(queue_id, 0)
        return Success(total)

    async def _read_load(
        self, keys: CellKeys, deadline: Seconds
    ) -> Result[LoadRecord, IntakeError]:
        """Return a cell's load, once it is certain to be recent enough to be told.

        A write that this process finds for the first time has no known age; the next
        one has, so the record is read until it is written again.
        """
        clock, max_age = self._node.clock, MAX_LOAD_AGE_SECONDS
        while True:
            if self._loads.find_recent(keys.cell_id, max_age) is None:
                sent_at = clock.now()
                found = await self._read(keys.load, deadline)
                if not is_successful(found):
                    return Failure(found.failure())
                self._loads.record(keys.cell_id, found.unwrap(), sent_at)
            current = self._loads.find_current(keys.cell_id, MAX_COUNT_AGE_SECONDS)
            if current is not None:
                return Success(current)
            if clock.now() + COUNT_POLL_SECONDS >= deadline:
                return Failure(CountUnknown(self._find_retry_after()))
            await asyncio.sleep(COUNT_POLL_SECONDS)
            max_age = COUNT_POLL_SECONDS

    def _keys(self, job_id: JobId) -> CellKeys:
        return CellKeys(find_cell(job_id, self._node.cells))

    async def _read(
        self, key: str, deadline: Seconds
    ) -> Result[Entry | None, IntakeError]:
        clock = self._node.clock
        refuse_at = min(clock.now() + REFUSE_AFTER_SECONDS, deadline)
        while not self._is_store_lost():
            answer = await self._node.store.read(key)
            if is_successful(answer):
                return Success(answer.unwrap())
            if clock.now() + RETRY_SECONDS >= refuse_at:
                break
            await asyncio.sleep(RETRY_SECONDS)
        return Failure(self._create_refusal("the store gives no answer"))

    async def _commit_until(
        self, transaction: Transaction, timeout: Seconds
    ) -> Result[Committed, IntakeError]:
        """Commit a transaction, retrying until the outcome is known.

        A write whose answer was lost may still be applied later, so it can't be
        refused as not carried out. From then on the write is repeated under the same
        conditions until it is found applied, or its outcome is reported as unknown.
        """
        clock = self._node.clock
        deadline = clock.now() + timeout - ANSWER_MARGIN_SECONDS
        refuse_at = min(clock.now() + REFUSE_AFTER_SECONDS, deadline)
        unknown_at = min(clock.now() + UNKNOWN_AFTER_SECONDS, deadline)
        may_be_applied = False
        while may_be_applied or not self._is_store_lost():
            answer = await self._commits.commit(transaction)
            if is_successful(answer):
                return Success(answer.unwrap())
            error = answer.failure()
            may_be_applied = may_be_applied or isinstance(error, StoreOutcomeUnknown)
            now = clock.now()
            if may_be_applied and now >= unknown_at:
                return Failure(OutcomeUnknown())
            if not may_be_applied and now >= refuse_at:
                break
            await asyncio.sleep(RETRY_SECONDS)
        detail = "the store takes no writes from this entry VM"
        return Failure(self._create_refusal(detail))

    def _is_store_lost(self) -> bool:
        return self._measure_outage() >= STORE_LOST_SECONDS

    def _measure_outage(self) -> Seconds:
        failing_since = self._node.store_health.failing_since
        if failing_since is None:
            return 0.0
        return self._node.clock.now() - failing_since

    def _create_refusal(self, detail: str) -> NotReady:
        """Return a refusal whose ``retry_after`` grows with the outage's length."""
        return NotReady(detail, self._find_retry_after())

    def _find_retry_after(self) -> int:
        seconds = math.ceil(self._measure_outage())
        return min(max(seconds, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)

    def _log_refused_call(
        self, call: str, job_id: JobId, answer: Result[Any, IntakeError]
    ) -> None:
        if is_successful(answer) or isinstance(answer.failure(), NoSuchJob):
            return
        self._node.log.warning(
            Event.JOB_CALL_REFUSED,
            job=job_id,
            call=call,
            outcome=answer.failure().code,
            store_failing_ms=round(self._measure_outage() * 1_000),
        )

    def _log_submission(
        self,
        queue: QueuePolicy,
        job_id: JobId,
        caller: Caller,
        answer: Result[bool, SubmitError],
        received_at: Seconds,
    ) -> None:
        took_ms = (self._node.clock.now() - received_at) * 1_000
        metrics = self._node.metrics
        metrics.timing(Metric.JOB_ACCEPT_MS, took_ms)
        if is_successful(answer):
            metrics.count(Metric.JOBS_ACCEPTED)
            self._node.log.info(
                Event.JOB_ACCEPTED,
                job=job_id,
                queue=queue.id,
                partner=caller.owner.partner_id,
                repeat=not answer.unwrap(),
                took_ms=round(took_ms),
            )
            return
        error = answer.failure()
        if isinstance(error, ShareExceeded):
            self._log_load_refusal(queue, job_id, caller, error.refusal)
            return
        is_unknown = isinstance(error, OutcomeUnknown)
        metrics.count(Metric.JOBS_UNKNOWN if is_unknown else Metric.JOBS_REFUSED)
        self._node.log.warning(
            Event.JOB_REFUSED,
            job=job_id,
            queue=queue.id,
            partner=caller.owner.partner_id,
            outcome=error.code,
            took_ms=round(took_ms),
            store_failing_ms=round(self._measure_outage() * 1_000),
            fault=error.message(),
        )

    def _log_load_refusal(
        self, queue: QueuePolicy, job_id: JobId, caller: Caller, refusal: LoadRefusal
    ) -> None:
        self._node.metrics.count(Metric.JOBS_REFUSED_FOR_LOAD)
        self._node.log.info(
            Event.JOB_REFUSED_FOR_LOAD,
            job=job_id,
            queue=queue.id,
            partner=caller.owner.partner_id,
            expected_wait_ms=round(refusal.expected_wait * 1_000),
            path_ms=round(refusal.path * 1_000),
            limit_ms=round(refusal.limit * 1_000),
            record_age_ms=round(refusal.record_age * 1_000),
            retry_after=refusal.retry_after,
        )


__all__ = ["Intake", "JobStatus"]
