"""Handles operators' job submissions, cancellations and queries on any entry VM."""

from __future__ import annotations

import asyncio
import uuid
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from medlarspring_adapters.job_api import (
    CancelAnswer,
    JobsAnswer,
    JobView,
    RefusedJob,
    SubmitAnswer,
)
from medlarspring_adapters.job_store import (
    JobStore,
    JobWrite,
    SaveOutcome,
)
from medlarspring_systems.job_admission import JobRefused, check_job
from medlarspring_systems.job_lifecycle import cancel_job
from medlarspring_systems.job_records import put_job
from medlarspring_systems.placement import explain_waiting
from medlarspring_tables import EditId, Job, JobState, JobTables, Revision
from medlarspring_tables.audit import AuditRecord, RowChange

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from medlarspring_adapters.clock import Clock
    from medlarspring_adapters.job_api import (
        CancelRequest,
        JobRequest,
        SubmitRequest,
    )
    from medlarspring_adapters.job_store import CreateAudit, SavedJob
    from medlarspring_adapters.store import StoreError
    from medlarspring_tables import JobId, PartnerId, PoolId

MAX_SHOWN = 200
MAX_SAVE_ROUNDS = 40
SAVE_PAUSE_SECONDS = 0.25
"""Pause between rounds of writes, to stay within the budget of store calls."""


class JobIdTaken(JobRefused):
    """Another job with this id exists."""

    code = "job-id-taken"

    def __init__(self, job_id: JobId) -> None:
        super().__init__(job_id)
        self.job_id = job_id

    def message(self) -> str:
        """Tell the operator to submit the job under another id."""
        return (
            f"Job {self.job_id} is on record with other content. Submit it under"
            " another id, or look at it with `medlarspring job show`."
        )


class JobNotSaved(JobRefused):
    """The store did not confirm the record."""

    code = "job-not-saved"

    def __init__(self, job_id: JobId) -> None:
        super().__init__(job_id)
        self.job_id = job_id

    def message(self) -> str:
        """Tell the operator to submit the job again under the same id."""
        return (
            f"The store did not confirm job {self.job_id}. Submit it again under"
            " the same id: it is recorded once."
        )


class JobRequestHandler:
    """Reads and writes job records; does not need to hold their pools."""

    def __init__(
        self,
        jobs: JobStore,
        clock: Clock,
        build_tables: Callable[[PoolId], JobTables],
        table_revision: Callable[[], Revision],
    ) -> None:
        self._jobs = jobs
        self._clock = clock
        self._build_tables = build_tables
        self._table_revision = table_revision

    async def submit(self, request: SubmitRequest, origin: str) -> SubmitAnswer:
        """Accept or refuse each job individually."""
        now = self._clock.wall()
        refused: list[RefusedJob] = []
        writes: list[JobWrite] = []
        tables_by_pool: dict[PoolId, JobTables] = {}
        for job_request in request.jobs:
            if job_request.pool_id not in tables_by_pool:
                tables_by_pool[job_request.pool_id] = self._build_tables(
                    job_request.pool_id
                )
            job = _create_job(job_request, request.operator, now)
            checked = check_job(tables_by_pool[job_request.pool_id], job)
            if is_successful(checked):
                writes.append(JobWrite(job, Revision(0)))
            else:
                refused.append(_describe_refusal(job, checked.failure()))
        audit = partial(self._create_audit, "job submit", request.operator, origin)
        return await self._save_submitted(writes, refused, audit)

    async def cancel(
        self, request: CancelRequest, origin: str
    ) -> Result[CancelAnswer, StoreError]:
        """Cancel matching jobs of a pool; conflicts with the holder are retried."""
        audit = partial(self._create_audit, "job cancel", request.operator, origin)
        cancelled: set[JobId] = set()
        ended = remaining = 0
        for _ in range(MAX_SAVE_ROUNDS):
            listing = await self._jobs.read_pool(request.pool_id)
            if not is_successful(listing):
                return Failure(listing.failure())
            entries = listing.unwrap().entries
            matching = [
                (job, entry.mod_revision)
                for entry in entries
                if (job := self._jobs.decode(entry)) and _matches(job, request)
            ]
            writes, ended = self._plan_cancels(matching, request, cancelled)
            saved = await self._jobs.save(writes, None, audit)
            cancelled |= _list_saved(saved)
            remaining = len(writes) - len(_list_saved(saved))
            if not remaining:
                break
            await asyncio.sleep(SAVE_PAUSE_SECONDS)
        return Success(
            CancelAnswer(
                cancelled=len(cancelled), already_ended=ended, remaining=remaining
            )
        )

    async def list_jobs(
        self, pool_id: PoolId, partner_id: PartnerId | None, state: JobState | None
    ) -> Result[JobsAnswer, StoreError]:
        """Return the newest matching jobs of a pool, and its job counts by state."""
        read = await self._read_tables(pool_id)
        if not is_successful(read):
            return Failure(read.failure())
        tables = read.unwrap()
        jobs = [
            job
            for job in tables.jobs_by_id.values()
            if partner_id in (None, job.partner_id) and state in (None, job.state)
        ]
        jobs.sort(key=lambda job: job.submitted_at, reverse=True)
        counts = Counter(job.state.value for job in tables.jobs_by_id.values())
        shown = tuple(self._view(tables, job) for job in jobs[:MAX_SHOWN])
        return Success(JobsAnswer(jobs=shown, counts_by_state=dict(counts)))

    async def find_job(
        self, pool_id: PoolId, job_id: JobId
    ) -> Result[JobView | None, StoreError]:
        """Return one job, with the reason if it waits; None if it does not exist."""
        read = await self._read_tables(pool_id)
        if not is_successful(read):
            return Failure(read.failure())
        tables = read.unwrap()
        job = tables.jobs_by_id.get(job_id)
        return Success(self._view(tables, job) if job else None)

    async def _read_tables(self, pool_id: PoolId) -> Result[JobTables, StoreError]:
        listing = await self._jobs.read_pool(pool_id)
        if not is_successful(listing):
            return Failure(listing.failure())
        tables = self._build_tables(pool_id)
        for entry in listing.unwrap().entries:
            job = self._jobs.decode(entry)
            if job is not None:
                put_job(tables, job)
        return Success(tables)

    def _view(self, tables: JobTables, job: Job) -> JobView:
        if job.state is not JobState.WAITING:
            return JobView(job=job)
        if job.partner_id not in tables.partners_by_id:
            return JobView(job=job, waits_for="its partner has no row in the table")
        block = explain_waiting(tables, job, self._clock.wall())
        return JobView(job=job, waits_for=block.value if block else "its turn")

    def _plan_cancels(
        self,
        matching: list[tuple[Job, Revision]],
        request: CancelRequest,
        cancelled: set[JobId],
    ) -> tuple[list[JobWrite], int]:
        reason = f"cancelled by {request.operator}"
        if request.reason:
            reason = f"{reason}: {request.reason}"
        now = self._clock.wall()
        writes: list[JobWrite] = []
        ended = 0
        for job, revision in matching:
            if job.id in cancelled or job.reason:
                continue
            record = cancel_job(job, reason, now)
            if record is None:
                ended += 1
            else:
                writes.append(JobWrite(record, revision))
        return writes, ended

    async def _save_submitted(
        self,
        writes: list[JobWrite],
        refused: list[RefusedJob],
        create_audit: CreateAudit,
    ) -> SubmitAnswer:
        accepted: list[JobId] = []
        repeated: list[JobId] = []
        for saved in await self._jobs.save(writes, None, create_audit):
            job = saved.write.job
            if saved.outcome is SaveOutcome.SAVED:
                accepted.append(job.id)
                continue
            answer = await self._find_identical_job(job)
            if is_successful(answer):
                repeated.append(job.id)
            else:
                refused.append(_describe_refusal(job, answer.failure()))
        return SubmitAnswer(
            accepted=tuple(accepted), repeated=tuple(repeated), refused=tuple(refused)
        )

    def _create_audit(
        self, action: str, operator: str, origin: str, writes: Sequence[JobWrite]
    ) -> AuditRecord:
        """Return the audit record of the requested changes of one batch.

        It is written in the same store call as the jobs. A job that was not saved
        because another writer changed it first is listed nevertheless.
        """
        return AuditRecord(
            revision=self._table_revision(),
            edit_id=EditId(uuid.uuid4().hex),
            at=self._clock.wall(),
            operator=operator,
            origin=origin,
            action=action,
            changes=tuple(
                RowChange(
                    kind="job",
                    id=write.job.id,
                    after={
                        "pool_id": write.job.pool_id,
                        "partner_id": write.job.partner_id,
                        "state": write.job.state.value,
                        "reason": write.job.reason,
                    },
                )
                for write in writes
            ),
        )

    async def _find_identical_job(self, job: Job) -> Result[Job, JobRefused]:
        """Return the recorded job with this id if its content is identical.

        After a lost reply a retry finds its own job, which must not be reported
        as another job with the same id.
        """
        found = await self._jobs.read_job(job.pool_id, job.id)
        if not is_successful(found):
            return Failure(JobNotSaved(job.id))
        entry = found.unwrap()
        if entry is None:
            return Failure(JobNotSaved(job.id))
        recorded = self._jobs.decode(entry)
        if recorded is None or _list_content(recorded) != _list_content(job):
            return Failure(JobIdTaken(job.id))
        return Success(recorded)


def _create_job(job_request: JobRequest, operator: str, now: float) -> Job:
    return Job(
        id=job_request.id,
        partner_id=job_request.partner_id,
        pool_id=job_request.pool_id,
        kind=job_request.kind,
        declared=job_request.declared,
        declared_seconds=job_request.declared_seconds,
        urgency=job_request.urgency,
        can_checkpoint=job_request.can_checkpoint,
        can_throttle=job_request.can_throttle,
        submitted_at=now,
        submitted_by=operator,
    )


def _list_content(job: Job) -> tuple[object, ...]:
    return (
        job.partner_id,
        job.kind,
        job.declared,
        job.declared_seconds,
        job.urgency,
        job.can_checkpoint,
        job.can_throttle,
    )


def _describe_refusal(job: Job, error: JobRefused) -> RefusedJob:
    return RefusedJob(job.id, error.code, error.message())


def _matches(job: Job, request: CancelRequest) -> bool:
    return (
        (not request.ids or job.id in request.ids)
        and request.partner_id in (None, job.partner_id)
        and request.kind in (None, job.kind)
    )


def _list_saved(saved: list[SavedJob]) -> set[JobId]:
    return {each.write.job.id for each in saved if each.outcome is SaveOutcome.SAVED}


__all__ = ["JobRequestHandler", "JobIdTaken", "JobNotSaved"]
