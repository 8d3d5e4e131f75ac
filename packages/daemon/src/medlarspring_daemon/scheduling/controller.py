"""Controls the jobs, workers and runs of one cell during a leadership term."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.pipeline import is_successful

from medlarspring_adapters.background_tasks import BackgroundTasks
from medlarspring_adapters.events import Event
from medlarspring_adapters.failure_streak import format_trace
from medlarspring_adapters.metrics import Metric
from medlarspring_adapters.prefix_follower import (
    MAX_SILENCE_SECONDS,
    PrefixFollower,
)
from medlarspring_daemon.scheduling.advice import start_advice
from medlarspring_daemon.scheduling.election import ControllerFailure
from medlarspring_daemon.scheduling.failure_log import Step
from medlarspring_daemon.scheduling.job_feed import JobFeed
from medlarspring_daemon.scheduling.job_record_writer import (
    FINAL_VERSION,
    JobRecordWriter,
)
from medlarspring_daemon.scheduling.lateness_reporter import LatenessReporter
from medlarspring_daemon.scheduling.load_reporter import LoadReporter
from medlarspring_daemon.scheduling.overload_detector import OverloadDetector
from medlarspring_daemon.scheduling.registry_view import RegistryView
from medlarspring_daemon.scheduling.round_timer import RoundTimer
from medlarspring_daemon.scheduling.run_log import (
    log_job_ended,
    log_run_ended,
    log_run_lost,
    log_straggler,
    log_unknown_end,
    log_worker_quarantined,
    log_worker_restarted,
)
from medlarspring_daemon.scheduling.stall_detector import (
    STALL_SECONDS,
    TAKEOVER_STALL_SECONDS,
    StallDetector,
)
from medlarspring_daemon.scheduling.unrecorded_ends import UnrecordedEnds
from medlarspring_daemon.scheduling.usage_recorder import UsageRecorder
from medlarspring_daemon.scheduling.vm_manager import VMManager
from medlarspring_daemon.scheduling.worker_feed import WorkerFeed
from medlarspring_daemon.scheduling.worker_links import WorkerLinks
from medlarspring_daemon.scheduling.worker_liveness import (
    WorkerLivenessMonitor,
    assess_worker_end,
)
from medlarspring_systems.scheduling.answer_times import AnswerTimes
from medlarspring_systems.scheduling.crash_timing import is_at_crash_risk
from medlarspring_systems.scheduling.jobs import (
    cancel_job,
    forget_job,
    open_due_occurrences,
)
from medlarspring_systems.scheduling.listings import (
    list_changed_jobs,
    list_ended_tasks,
)
from medlarspring_systems.scheduling.loop_delay import LoopDelay
from medlarspring_systems.scheduling.poll_rates import PollRates
from medlarspring_systems.scheduling.quotas import apply_quotas
from medlarspring_systems.scheduling.repair import plan_repairs
from medlarspring_systems.scheduling.rounds import plan_round
from medlarspring_systems.scheduling.runs import detach_run, drop_needless_runs
from medlarspring_systems.scheduling.stragglers import (
    SLOW_WORKER_REASON,
    StragglerAction,
)
from medlarspring_systems.scheduling.workers import begin_incarnation, is_overcommitted
from medlarspring_tables.scheduling import (
    RunState,
    WorkTables,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarspring_adapters.store import Listing
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_daemon.scheduling.election import Term
    from medlarspring_daemon.scheduling.operator_records import OperatorRecords
    from medlarspring_systems.scheduling.listings import ListingOutcome
    from medlarspring_tables import PoolId, Seconds
    from medlarspring_tables.scheduling import (
        ActiveJob,
        Milliseconds,
        Run,
        Worker,
    )

TICK_SECONDS = 0.1
RECORD_CHECK_SECONDS = 1.0
"""Interval between checks for records that are outdated without a write scheduled."""
REGISTRY_GATHER_SECONDS = 0.03
"""Changes of the worker registry within this time come in one watch call. The workers
of a large fleet change their entries a hundred times a second, and a VM takes over a
second to arrive, so that its first task is hardly later."""
LOAD_RETRY_SECONDS = 0.05
MAX_LOAD_RETRY_SECONDS = 0.5
"""Longest pause before a prefix is listed again. While nothing but listings is applied,
the view of the workers must not get older than tasks may be started from."""


class CellController:
    """Controls one cell; implements ``Controller`` and ``LinkOwner``."""

    def __init__(
        self, node: SchedulingNode, operator_records: OperatorRecords, term: Term
    ) -> None:
        self._node = node
        self._operator_records = operator_records
        self._term = term
        self._tasks = BackgroundTasks(node.log)
        self._record_writer = JobRecordWriter(node, term, self._handle_record_written)
        self._links = WorkerLinks(node, term, self)
        self._unrecorded_ends = UnrecordedEnds()
        self._followers: list[PrefixFollower] = []
        self._workers: WorkerFeed | None = None
        self._registry_view: RegistryView | None = None
        """None until the registry is followed."""
        self._running = False
        self._unsent_runs: dict[Run, None] = {}
        """Recorded runs whose start order is still to be sent."""
        self._failure: ControllerFailure | None = None
        self._overload_detector = OverloadDetector()
        self._stall_detector = StallDetector(node.clock.now())
        self.order_times = AnswerTimes()
        self.hold_times = AnswerTimes()
        self.loop_delay = LoopDelay()
        self.poll_rates = PollRates(self.loop_delay)
        assert operator_records.config is not None
        self.tables = WorkTables(
            operator_records.config, predecessors_until=term.predecessors_until
        )
        self._lateness = LatenessReporter(node, self.tables)
        self._rounds = RoundTimer(self.tables, self._attempt_round)
        self._usage_recorder = UsageRecorder(node, term, self.tables, self._tasks)
        self._vm_manager = VMManager(node, term, operator_records, self)
        self._liveness_monitor = WorkerLivenessMonitor(node, self)

    # Controller

    async def start(self) -> None:
        """Start to take over the cell, in the background."""
        self._tasks.start(self._take_over_or_fail())

    async def stop(self, *, graceful: bool) -> None:
        """Stop all work for the cell; if ``graceful``, write pending records first."""
        self._running = False
        self._rounds.cancel()
        await self._tasks.cancel()
        # Close the links first. While they report ends there is always more to
        # record, and the handover took 0.7 s of the lease instead of milliseconds.
        await self._links.close_all()
        self._operator_records.listeners = [
            each
            for each in self._operator_records.listeners
            if each != self._apply_config
        ]
        await self._stop_followers()
        await self._record_writer.close(flush=graceful)
        await self._links.wait_until_closed()

    async def _stop_followers(self) -> None:
        """Stop all followers; one that failed must not keep the cell from release."""
        stops = (follower.stop() for follower in self._followers)
        for result in await asyncio.gather(*stops, return_exceptions=True):
            if isinstance(result, Exception):
                trace = format_trace(result)
                self._node.log.error(Event.TASK_FAILED, trace=trace)

    def is_overloaded(self) -> bool:
        """Return whether this process can't keep up with the cell's work."""
        return self._overload_detector.is_overloaded()

    def check_failure(self) -> ControllerFailure | None:
        """Return why this process doesn't do the cell's work; None if it does."""
        now, is_active = self._node.clock.now(), self._term.is_active()
        limit = STALL_SECONDS if self._running else TAKEOVER_STALL_SECONDS
        is_stalled = self._stall_detector.check(now, is_active=is_active, limit=limit)
        if self._failure is None and is_stalled:
            return ControllerFailure.STALLED
        return self._failure

    async def _take_over_or_fail(self) -> None:
        try:
            await self._take_over()
        except Exception:
            # The takeover can't be repeated here: the tables may be half filled. A
            # new term begins with empty ones.
            self._failure = ControllerFailure.TAKEOVER
            self._running = False
            raise

    async def _take_over(self) -> None:
        """Load the records, then follow the inbox and the worker registry."""
        began_at = self._node.clock.now()
        self._usage_recorder.start_if_shared()
        prefix = self._term.keys.progress_prefix
        progress = await self._read_with_retries(prefix)
        self._stall_detector.record_progress()
        records = {entry.key.removeprefix(prefix): entry for entry in progress.entries}
        feed = JobFeed(self._node, self._term, self, records)
        workers = self._workers = WorkerFeed(self._node, self)
        node, store = self._node, self._node.store
        inbox, registry = self._term.keys.inbox_prefix, node.codec.worker_prefix
        self._followers = [
            PrefixFollower(
                node,
                store,
                inbox,
                feed,
                LOAD_RETRY_SECONDS,
                MAX_LOAD_RETRY_SECONDS,
                max_silence_seconds=MAX_SILENCE_SECONDS,
            ),
            PrefixFollower(
                node,
                store,
                registry,
                workers,
                LOAD_RETRY_SECONDS,
                MAX_LOAD_RETRY_SECONDS,
                max_silence_seconds=MAX_SILENCE_SECONDS,
                gather_seconds=REGISTRY_GATHER_SECONDS,
            ),
        ]
        self._registry_view = RegistryView(self._node, self._followers[1])
        for follower in self._followers:
            follower.start()
        await asyncio.gather(feed.loaded.wait(), workers.loaded.wait())
        self._running = True
        for worker in list(self.tables.workers_by_id.values()):
            self.connect_worker(worker)
        self._operator_records.listeners.append(self._apply_config)
        self._apply_config()
        took_ms = (self._node.clock.now() - began_at) * 1_000
        self._node.metrics.timing(Metric.TAKEOVER_MS, took_ms)
        self._node.log.info(
            Event.CELL_LOADED,
            cell=self._term.cell_id,
            fence=self._term.fence,
            jobs=len(self.tables.jobs_by_id),
            workers=len(self.tables.workers_by_id),
            runs=sum(len(job.runs) for job in self.tables.jobs_by_id.values()),
            took_ms=round(took_ms),
        )
        self._tasks.run_with_restart(self._tick_forever)
        self._tasks.run_with_restart(self._check_records_forever)
        self._tasks.run_with_restart(
            LoadReporter(
                self._node,
                self._term,
                self.tables,
                self._followers[0],
                self._lateness.get_reported_ms,
            ).run
        )
        self._tasks.run_with_restart(self._liveness_monitor.run)
        self._tasks.run_with_restart(self._vm_manager.run)
        start_advice(self._tasks, self._node, self)
        self.plan_all()

    async def _read_with_retries(self, prefix: str) -> Listing:
        """Read a prefix, retrying until the store answers.

        The controller's key may survive an outage that pauses leases. A controller
        that stopped reading would then hold the cell without doing any work.
        """
        while True:
            listing = await self._node.store.read_prefix(prefix)
            if is_successful(listing):
                return listing.unwrap()
            await asyncio.sleep(LOAD_RETRY_SECONDS)

    # Callbacks of the feeds

    def open_job(self, job: ActiveJob) -> None:
        """Start scheduling a job that was accepted or loaded."""
        now, wall_ms = self._node.clock.now(), self._node.clock.wall() * 1_000
        open_due_occurrences(self.tables, job, now, wall_ms)
        self._record_writer.schedule_write(job)
        self.plan(job.queue.pool_id)

    def stop_cancelled_job(self, job: ActiveJob) -> None:
        """Cancel a job and stop its runs, on the customer's request."""
        cancel_job(job)
        self._record_job(job)

    def connect_worker(self, worker: Worker) -> None:
        """Connect to a worker that the registry lists.

        Does nothing until the recorded jobs are loaded. Otherwise an end listed by
        the worker would be acknowledged as unknown, and its task would run again.
        """
        if not self._running:
            return
        self._links.connect(worker)
        self.plan(worker.pool_id)

    def handle_worker_restart(self, worker: Worker, born_ms: Milliseconds) -> None:
        """Handle a worker whose incarnation is not the known one."""
        former_ms = worker.born_ms
        longest = self._node.limits.worker_lease
        now = self._node.clock.now()
        verdict = assess_worker_end(self._node, self.tables, worker, now)
        lost_runs = begin_incarnation(self.tables, worker, born_ms, longest, now)
        self.handle_lost_runs(lost_runs)
        attempt = self._node.failures.attempt
        for job in verdict.jobs:
            attempt(Step.WORKER_END, self._record_job, job)
        lost = len(lost_runs)
        attempt(
            Step.WORKER_END,
            log_worker_restarted,
            self._node,
            worker,
            former_ms,
            lost,
            verdict,
        )
        for run in lost_runs:
            attempt(
                Step.LOST_RUNS, log_run_lost, self._node, run, "its worker restarted"
            )

    def record_entry_gone(self, worker: Worker) -> None:
        """Check whether a worker that left the registry is still alive."""
        if worker.runs or worker.unanswered_since:
            self.handle_unresponsive_worker(worker)

    # LinkOwner

    def handle_listing(self, worker: Worker, outcome: ListingOutcome) -> None:
        """Record the changes from a listing, and schedule a placement round."""
        self._unrecorded_ends.add_ends(worker.id, outcome.ends)
        attempt = self._node.failures.attempt
        # The next listing does not call for these again.
        for job_id in list_changed_jobs(outcome):
            job = self.tables.jobs_by_id.get(job_id)
            if job is not None:
                attempt(Step.LISTING, self._record_job, job)
        attempt(Step.LISTING, self._log_listing, worker, outcome)
        if outcome.ends:
            attempt(Step.LISTING, self._end_needless_runs, outcome)
        self._stop_runs_of_ended_jobs(worker)
        if outcome.serving:
            self._vm_manager.plan_moves_soon()
        # Where starts are staggered, a listing may end the probation of runs.
        if (
            outcome.ended
            or outcome.lost
            or is_at_crash_risk(worker, self._node.clock.now())
        ):
            self.plan(worker.pool_id)

    def _log_listing(self, worker: Worker, outcome: ListingOutcome) -> None:
        for run, end in outcome.ended:
            log_run_ended(self._node, run, end)
        for run in outcome.lost:
            log_run_lost(self._node, run, "not listed by its worker")
        for unknown in outcome.unknown_ends:
            log_unknown_end(self._node, worker, unknown)
        if outcome.newly_quarantined:
            log_worker_quarantined(self._node, worker)

    def handle_detached_run(self, worker: Worker, run: Run) -> None:
        """Record that a run ended or was refused, and schedule a placement round."""
        self._record_writer.schedule_write(run.task.step.job)
        self.plan(worker.pool_id)

    def handle_unresponsive_worker(self, worker: Worker) -> None:
        """Read the VM list, which shows whether the worker's incarnation has ended."""
        self.refresh_vm_list()

    def refresh_vm_list(self) -> None:
        """Request an early read of the VM list."""
        self._liveness_monitor.refresh_soon()

    def record_order(self, *, answered: bool) -> None:
        """Record whether a worker answered an order in time."""
        self._overload_detector.record_order(answered=answered)

    def handle_superseded(self) -> None:
        """End the term: a worker has seen a controller with a higher fence."""
        self._term.end()

    # Planning

    def plan(self, pool_id: PoolId) -> None:
        """Schedule a placement round for a pool."""
        if self._running:
            self._rounds.plan(pool_id)

    def plan_all(self) -> None:
        """Schedule placement rounds for all pools with ready steps."""
        for pool_id in list(self.tables.ready_by_pool):
            self.plan(pool_id)

    def stop_run(self, run: Run, reason: str) -> None:
        """Order a run to stop, if it was sent to its worker."""
        link = self._links.find(run.worker.id)
        if link is not None and run.state is not RunState.INTENDED:
            link.send_stop(run, reason)

    def _attempt_round(self, pool_id: PoolId) -> None:
        """Run a round; the tick plans a pool again whose round failed."""
        self._node.failures.attempt(Step.ROUND, self._run_round, pool_id)

    def _run_round(self, pool_id: PoolId) -> None:
        if not self._running or not self._term.is_active():
            return
        if not self._allows_starts():
            return
        try:
            runs = plan_round(self.tables, pool_id, self._node.clock.now())
        except Exception:
            # The round may have placed runs before it failed, whose intents must be
            # recorded all the same.
            self._node.failures.report(Step.ROUND)
            runs = self._list_intended_runs(pool_id)
        for run in runs:
            self._record_writer.schedule_write(run.task.step.job)

    def _list_intended_runs(self, pool_id: PoolId) -> list[Run]:
        workers = self.tables.workers_by_pool.get(pool_id, {}).values()
        return [
            run
            for worker in workers
            for run in worker.runs.values()
            if run.state is RunState.INTENDED
        ]

    def _handle_record_written(self, job: ActiveJob) -> None:
        """Send the start orders whose intents are now recorded."""
        if job.written_version == FINAL_VERSION:
            self._handle_final_record_written(job)
            return
        intended = [run for run in job.runs if run.state is RunState.INTENDED]
        for run in intended:
            self._send_or_keep(run)
        self._acknowledge_recorded_ends(job)

    def _send_or_keep(self, run: Run) -> None:
        if not self._node.failures.attempt(Step.START, self._send_if_recorded, run):
            self._unsent_runs[run] = None

    def _send_kept_runs(self) -> None:
        runs, self._unsent_runs = self._unsent_runs, {}
        for run in runs:
            if run in run.task.step.job.runs:
                self._send_or_keep(run)

    def _send_if_recorded(self, run: Run) -> None:
        if run.state is not RunState.INTENDED:
            return
        if run.version > run.task.step.job.written_version:
            return
        link = self._links.find(run.worker.id)
        # The worker may have left, or its resources shrunk, while the intent was
        # recorded or its order was held back.
        worker = run.worker
        has_left = worker.gone or worker.draining or not worker.listed
        is_unavailable = has_left or is_overcommitted(worker)
        if link is None or is_unavailable or run.task.done:
            detach_run(self.tables, run, self._node.clock.now())
            self.handle_detached_run(run.worker, run)
            return
        if not self._allows_starts():
            # The tick sends it once the view is confirmed.
            self._unsent_runs[run] = None
            return
        link.send_start(run)

    def _allows_starts(self) -> bool:
        """Return whether the view of the registry is current enough to start tasks.

        From an old view, tasks would start on workers that have been leaving for longer
        than the contract allows.
        """
        return self._registry_view is not None and self._registry_view.allows_starts()

    def _acknowledge_recorded_ends(self, job: ActiveJob) -> None:
        """Have the links acknowledge the ends that the job's record now contains."""
        for worker_id in self._unrecorded_ends.collect_waiting_workers(job):
            link = self._links.find(worker_id)
            if link is not None:
                link.acknowledge_ends()

    def _handle_final_record_written(self, job: ActiveJob) -> None:
        forget_job(self.tables, job, self._node.clock.now())
        log_job_ended(self._node, job)
        self._acknowledge_recorded_ends(job)

    def _record_job(self, job: ActiveJob) -> None:
        """Schedule a write of a job's record, and stop its runs if it has ended."""
        if job.outcome is None:
            self._record_writer.schedule_ends_write(job)
            self.plan(job.queue.pool_id)
            return
        self._record_writer.schedule_write(job)
        now = self._node.clock.now()
        for run in list(job.runs):
            if run.state is RunState.INTENDED:
                detach_run(self.tables, run, now)
            else:
                self.stop_run(run, f"job {job.outcome.value}")

    def _stop_runs_of_ended_jobs(self, worker: Worker) -> None:
        """Stop the runs of jobs that have ended.

        A job may be cancelled while no process controls the cell. The next
        controller records the outcome as soon as it reads the request. At that
        time it knows the runs from the record only, and has no connection to
        their workers yet.
        """
        needless = [
            (run, outcome)
            for run in worker.runs.values()
            if (outcome := run.task.step.job.outcome) is not None and not run.stopping
        ]
        for run, outcome in needless:
            self.stop_run(run, f"job {outcome.value}")

    def _end_needless_runs(self, outcome: ListingOutcome) -> None:
        """Stop or drop the runs that tasks still have although they are done."""
        now = self._node.clock.now()
        for task in list_ended_tasks(outcome):
            for run in drop_needless_runs(self.tables, task, now):
                self.stop_run(run, "its task is done")

    # Periodic work

    async def _tick_forever(self) -> None:
        while True:
            sleep_started_at = self._node.clock.now()
            await asyncio.sleep(TICK_SECONDS)
            self._stall_detector.record_progress()
            timer_delay = self._node.clock.now() - sleep_started_at - TICK_SECONDS
            self._overload_detector.record_timer_delay(timer_delay)
            self.loop_delay.record(timer_delay)
            self._lateness.record_delay(timer_delay, TICK_SECONDS)
            if self._term.is_active():
                self._tick()

    async def _check_records_forever(self) -> None:
        """Write records that an exception left outdated.

        Their ends would be acknowledged later, with those of other jobs.
        """
        while True:
            await asyncio.sleep(RECORD_CHECK_SECONDS)
            self._record_writer.schedule_outdated(list(self.tables.jobs_by_id.values()))

    def _tick(self) -> None:
        now = self._node.clock.now()
        attempt = self._node.failures.attempt
        for job in list(self.tables.jobs_by_id.values()):
            if job.spec.occurrences:
                attempt(Step.OCCURRENCES, self._open_due_occurrences, job, now)
        attempt(Step.LEASES, self._liveness_monitor.expire_leases, now)
        attempt(Step.REPAIRS, self._repair, now)
        if self._registry_view is not None:
            self._registry_view.update_metrics()
        self._send_kept_runs()
        self.plan_all()

    def _open_due_occurrences(self, job: ActiveJob, now: Seconds) -> None:
        wall_ms = self._node.clock.wall() * 1_000
        if open_due_occurrences(self.tables, job, now, wall_ms):
            self.plan(job.queue.pool_id)

    def _repair(self, now: Seconds) -> None:
        repairs = plan_repairs(self.tables, now)
        # The copies are placed already and would else stay intended.
        for run in repairs.copies:
            self._node.metrics.count(Metric.RUNS_COPIED)
            self._record_writer.schedule_write(run.task.step.job)
        for worker in repairs.quarantined:
            log_worker_quarantined(self._node, worker)
        for run, reason in repairs.stops:
            self._node.failures.attempt(Step.REPAIRS, self.stop_run, run, reason)
        for straggler in repairs.stragglers:
            run = straggler.projection.run
            # A stop without a connection to the worker is decided again later.
            is_copied = straggler.action is StragglerAction.COPY
            if is_copied or run.stop_reason == SLOW_WORKER_REASON:
                log_straggler(self._node, straggler)
        for run, percent in repairs.paces:
            link = self._links.find(run.worker.id)
            if link is not None:
                link.send_pace(run, percent)

    def _apply_config(self) -> None:
        """Apply the operator's configuration."""
        if self._operator_records.config is None:
            return
        self.tables.config = self._operator_records.config
        apply_quotas(self.tables, self.tables.config)
        self._usage_recorder.start_if_shared()
        if self._workers is not None:
            self._workers.apply_config()

    # Callbacks of the worker liveness check

    def handle_lost_runs(self, runs: Iterable[Run]) -> None:
        """Record that runs were lost, and schedule placement rounds."""
        for job in dict.fromkeys(run.task.step.job for run in runs):
            self._node.failures.attempt(Step.LOST_RUNS, self._record_lost_runs, job)

    def _record_lost_runs(self, job: ActiveJob) -> None:
        if job.outcome is not None:
            self._record_job(job)
            return
        self._record_writer.schedule_write(job)
        self.plan(job.queue.pool_id)

    def close_link(self, worker: Worker) -> None:
        """Close the connections to a worker."""
        self._links.close(worker)


__all__ = ["CellController"]
