"""Runs the jobs of one pool: writes each intent, then sends the order to the worker."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from returns.pipeline import is_successful

from medlarspring_adapters.decisions import Subject
from medlarspring_adapters.entry_attempts import EntriesNotApplied, EntryAttempts
from medlarspring_adapters.job_store import (
    JobStore,
    JobWrite,
    SaveOutcome,
    decode_job,
)
from medlarspring_adapters.worker_control import Renewal, TaskState
from medlarspring_daemon.jobs.workers import JobWorkers
from medlarspring_systems.job_lifecycle import (
    FINAL_STATES,
    AttemptEnd,
    confirm_running,
    end_attempt,
    plan_drain_stops,
    release_stale_reservations,
)
from medlarspring_systems.job_records import (
    forget_job,
    put_job,
    resize_attempt,
    revert_job,
)
from medlarspring_systems.placement import place_jobs
from medlarspring_systems.preemption import plan_preemptions
from medlarspring_systems.size_estimates import correct_attempt_size
from medlarspring_tables import AttemptState, JobId, JobTables, Revision

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_adapters.clock import Clock
    from medlarspring_adapters.decisions import DecisionLog
    from medlarspring_adapters.store import Expect, Listing, WatchBatch
    from medlarspring_adapters.worker_control import TaskReport, WorkerControl
    from medlarspring_daemon.jobs.workers import WorkerAnswer
    from medlarspring_tables import Job, PoolId, Seconds

MAX_STARTS_PER_TICK = 256

END_BY_STATE = {
    TaskState.SUCCEEDED: AttemptEnd.SUCCEEDED,
    TaskState.FAILED: AttemptEnd.FAILED,
    TaskState.CHECKPOINTED: AttemptEnd.CHECKPOINTED,
    TaskState.OUT_OF_MEMORY: AttemptEnd.OUT_OF_MEMORY,
    TaskState.STOPPED: AttemptEnd.STOPPED,
}


class JobController:
    """Runs the jobs of one pool while this process holds the pool.

    The record of a job in the store decides which worker runs it. Every change is
    written with the record's expected revision before any order is sent to a
    worker, and reverted in memory if the store refuses it.
    """

    def __init__(
        self,
        pool_id: PoolId,
        jobs: JobStore,
        workers: WorkerControl,
        clock: Clock,
        decisions: DecisionLog,
        fence: Callable[[], Expect | None],
    ) -> None:
        self.pool_id = pool_id
        self.tables = JobTables()
        self.workers = JobWorkers(self.tables, workers, clock)
        self._jobs = jobs
        self._clock = clock
        self._decisions = decisions
        self._fence = fence
        self._is_reload_needed = True

    def schedule_reload(self) -> None:
        """Make the next round read all records again."""
        self._is_reload_needed = True

    async def load(self) -> bool:
        """Read all records; return False if the store does not answer.

        This is also done after a write with an unknown outcome or a conflict,
        because the store is authoritative, not the records in memory.
        """
        listing = await self._jobs.read_pool(self.pool_id)
        if not is_successful(listing):
            return False
        # The pool's follower reports the records that can't be applied. A write that
        # was decided from an older version of one is refused by the store.
        with suppress(EntriesNotApplied):
            self.apply_listing(listing.unwrap())
        self._is_reload_needed = False
        return True

    def apply_listing(self, listing: Listing) -> None:
        """Apply a listing of all records; known jobs that it lacks are removed."""
        attempts = EntryAttempts()
        seen: set[JobId] = set()
        for entry in listing.entries:
            seen.add(_find_job_id(entry.key))
            attempts.run(entry.key, self.apply_record, entry.value, entry.mod_revision)
        revisions = self.tables.revisions_by_id
        for job_id in [key for key in self.tables.jobs_by_id if key not in seen]:
            if revisions.get(job_id, Revision(0)) <= listing.revision:
                attempts.run(job_id, forget_job, self.tables, job_id)
        attempts.raise_failed()

    def apply_batch(self, batch: WatchBatch) -> None:
        """Apply the changes that a watch reported."""
        attempts = EntryAttempts()
        for entry in batch.changed:
            attempts.run(entry.key, self.apply_record, entry.value, entry.mod_revision)
        for key in batch.deleted:
            attempts.run(key, forget_job, self.tables, _find_job_id(key))
        attempts.raise_failed()

    def apply_record(self, value: bytes, revision: Revision) -> JobId:
        """Apply a record from the store unless a newer one is known; return its id."""
        job = decode_job(value)
        known = self.tables.revisions_by_id.get(job.id, Revision(0))
        if revision > known:
            put_job(self.tables, job)
            self.tables.revisions_by_id[job.id] = revision
            # A write in flight will be refused. Reverting it would restore the
            # record from before this one and undo a cancellation.
            self.tables.originals_by_id.pop(job.id, None)
            if job.attempt is not None:
                self.workers.schedule_poll(job.attempt.vm_id)
        return job.id

    async def tick(self) -> None:
        """Run one round: poll workers, decide, write records, send orders.

        While the store is unreachable, task leases are still renewed so that
        running tasks continue, but no new decisions are made.
        """
        self.tables.originals_by_id.clear()
        if self._is_reload_needed:
            await self.load()
        for answer in await self.workers.poll_due_workers():
            await self._apply_answer(answer)
        if self._is_reload_needed or self._fence() is None:
            return
        await self._decide()

    async def delete_ended_jobs(self, kept_seconds: Seconds) -> None:
        """Delete the records of jobs that ended more than ``kept_seconds`` ago."""
        fence = self._fence()
        oldest = self._clock.wall() - kept_seconds
        ended = [
            JobWrite(job, self.tables.revisions_by_id[job.id])
            for job in self.tables.jobs_by_id.values()
            if job.state in FINAL_STATES and job.ended_at < oldest
        ]
        if fence is not None and ended:
            await self._jobs.delete(ended, fence)

    async def _decide(self) -> None:
        now = self._clock.wall()
        release_stale_reservations(self.tables)
        stops = plan_drain_stops(self.tables)
        starts = place_jobs(self.tables, now, MAX_STARTS_PER_TICK)
        stops += plan_preemptions(self.tables, now)
        decided = [(start.job, "start", start.reason) for start in starts]
        decided += [(stop.job, "stop", stop.reason) for stop in stops]
        saved_ids = await self._save([job for job, _, _ in decided])
        orders = []
        for job, action, reason in decided:
            if job.id not in saved_ids:
                continue
            self._record(job, action, reason)
            is_start = action == "start"
            send = self.workers.send_start if is_start else self.workers.send_stop
            orders.append(send(job))
        await asyncio.gather(*orders)

    async def _save(self, jobs: list[Job]) -> set[JobId]:
        """Write changed records and return the ids of those saved.

        Records that were not saved are reverted in memory.
        """
        fence = self._fence()
        if fence is None or self._is_reload_needed:
            for job in jobs:
                revert_job(self.tables, job.id)
            return set()
        revisions = self.tables.revisions_by_id
        writes = [JobWrite(job, revisions.get(job.id, Revision(0))) for job in jobs]
        saved_ids: set[JobId] = set()
        for saved in await self._jobs.save(writes, fence):
            job_id = saved.write.job.id
            if saved.outcome is SaveOutcome.SAVED:
                revisions[job_id] = max(revisions[job_id], saved.revision)
                self.tables.originals_by_id.pop(job_id, None)
                saved_ids.add(job_id)
                continue
            revert_job(self.tables, job_id)
            if saved.outcome is not SaveOutcome.NOT_APPLIED:
                self._is_reload_needed = True
        return saved_ids

    async def _apply_answer(self, answer: WorkerAnswer) -> None:
        if not is_successful(answer.reply):
            if self.workers.have_leases_expired(answer.link):
                await self._end_lost_attempts(answer.job_ids)
            return
        reports = {report.job_id: report for report in answer.reply.unwrap().reports}
        jobs = [
            await self._apply_report(self.tables.jobs_by_id[job_id], reports)
            for job_id in sorted(answer.job_ids)
            if job_id in self.tables.jobs_by_id
        ]
        await self._save([job for job in jobs if job is not None])
        for report in reports.values():
            if report.state is not TaskState.RUNNING and self._is_end_recorded(report):
                answer.link.forget.add(Renewal(report.job_id, report.attempt))

    async def _end_lost_attempts(self, job_ids: frozenset[JobId]) -> None:
        jobs = [self.tables.jobs_by_id[job_id] for job_id in sorted(job_ids)]
        ended = [self._end(job, AttemptEnd.LOST, "worker is silent") for job in jobs]
        await self._save([job for job in ended if job is not None])

    def _is_end_recorded(self, report: TaskReport) -> bool:
        """Return whether the record shows that this attempt ended.

        The worker may then discard the task.
        """
        job = self.tables.jobs_by_id.get(report.job_id)
        if job is None or job.attempt is None:
            return True
        return job.attempt.number > report.attempt

    async def _apply_report(
        self, job: Job, reports: dict[JobId, TaskReport]
    ) -> Job | None:
        """Return the job's new record if its worker's report changes it."""
        if job.attempt is None:
            return None
        report = reports.get(job.id)
        if report is None or report.attempt != job.attempt.number:
            return await self._handle_unknown_attempt(job)
        if report.state is TaskState.RUNNING:
            return await self._apply_running_report(job, report)
        return self._end(job, END_BY_STATE[report.state], "worker's report", report)

    async def _apply_running_report(self, job: Job, report: TaskReport) -> Job | None:
        assert job.attempt is not None
        if job.attempt.state is AttemptState.STOPPING:
            await self.workers.send_stop(job)
            return None
        size = correct_attempt_size(job, report.used)
        if size is not None:
            resize_attempt(self.tables, job, size)
        return confirm_running(self.tables, job.id, job.attempt.number)

    async def _handle_unknown_attempt(self, job: Job) -> Job | None:
        """Handle an attempt that is missing from its worker's report.

        Its order may be lost or delayed. A start is sent again. If the attempt is
        to be stopped, the stop order keeps a delayed start from running, so the
        attempt ends only once the worker has confirmed the stop.
        """
        assert job.attempt is not None
        if job.attempt.state is AttemptState.INTENDED:
            if await self.workers.send_start(job):
                return None
            return self._end(job, AttemptEnd.LOST, "worker refused it")
        if job.attempt.state is AttemptState.RUNNING:
            return self._end(job, AttemptEnd.LOST, "worker does not know it")
        if not await self.workers.send_stop(job):
            return None
        return self._end(job, AttemptEnd.STOPPED, "worker does not run it")

    def _end(
        self, job: Job, end: AttemptEnd, rule: str, report: TaskReport | None = None
    ) -> Job | None:
        assert job.attempt is not None
        self._record(job, end.value, rule)
        return end_attempt(
            self.tables,
            job.id,
            job.attempt.number,
            end,
            self._clock.wall(),
            peak=report.peak if report else None,
            checkpoint=report.checkpoint if report else "",
        )

    def _record(self, job: Job, decided: str, rule: str) -> None:
        assert job.attempt is not None
        self._decisions.record(
            Subject.JOB,
            job.id,
            decided,
            rule,
            pool=self.pool_id,
            vm=job.attempt.vm_id,
            attempt=job.attempt.number,
        )


def _find_job_id(key: str) -> JobId:
    return JobId(key.rpartition("/")[2])


__all__ = ["JobController"]
