"""Controls one cell while this process holds it: jobs, workers and their runs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.pipeline import is_successful

from medlarspring_adapters.events import Event
from medlarspring_adapters.metrics import Metric
from medlarspring_adapters.prefix_follower import PrefixFollower
from medlarspring_daemon.scheduling.advice_fetcher import AdviceFetcher
from medlarspring_daemon.scheduling.job_feed import JobFeed
from medlarspring_daemon.scheduling.journal import WRITTEN_FOR_GOOD, Journal
from medlarspring_daemon.scheduling.load_reporter import LoadReporter
from medlarspring_daemon.scheduling.overload_detector import OverloadDetector
from medlarspring_daemon.scheduling.round_timer import RoundTimer
from medlarspring_daemon.scheduling.run_log import (
    log_job_ended,
    log_run_ended,
    log_run_lost,
    log_worker_quarantined,
    log_worker_restarted,
)
from medlarspring_daemon.scheduling.unrecorded_ends import UnrecordedEnds
from medlarspring_daemon.scheduling.vm_manager import VMManager
from medlarspring_daemon.scheduling.worker_feed import WorkerFeed
from medlarspring_daemon.scheduling.worker_link import WorkerLink
from medlarspring_daemon.scheduling.worker_liveness import WorkerLivenessMonitor
from medlarspring_daemon.tasks import Tasks
from medlarspring_systems.scheduling.crashes import note_worker_end
from medlarspring_systems.scheduling.jobs import (
    cancel_job,
    forget_job,
    open_due_occurrences,
)
from medlarspring_systems.scheduling.listings import list_jobs
from medlarspring_systems.scheduling.repair import plan_repairs
from medlarspring_systems.scheduling.rounds import plan_round
from medlarspring_systems.scheduling.runs import detach_run
from medlarspring_systems.scheduling.workers import begin_life, is_overfull
from medlarspring_tables.scheduling import (
    RunState,
    WorkTables,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarspring_adapters.store import Listing
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_daemon.scheduling.election import Tenure
    from medlarspring_daemon.scheduling.operator_records import OperatorRecords
    from medlarspring_systems.scheduling.listings import ListingOutcome
    from medlarspring_tables import PoolId, Seconds
    from medlarspring_tables.scheduling import (
        ActiveJob,
        Milliseconds,
        Run,
        Worker,
        WorkerId,
    )

TICK_SECONDS = 0.1
LOAD_RETRY_SECONDS = 0.05


class CellController:
    """Implements ``Term`` and ``LinkOwner``."""

    def __init__(
        self, node: SchedulingNode, directory: OperatorRecords, tenure: Tenure
    ) -> None:
        self._node = node
        self._directory = directory
        self._tenure = tenure
        self._tasks = Tasks(node.log)
        self._journal = Journal(node, tenure, self._note_written)
        self._links_by_id: dict[WorkerId, WorkerLink] = {}
        self._unrecorded = UnrecordedEnds()
        self._closing: set[asyncio.Task[None]] = set()
        self._followers: list[PrefixFollower] = []
        self._workers: WorkerFeed | None = None
        self._running = False
        self._load = OverloadDetector()
        assert directory.config is not None
        self.tables = WorkTables(config=directory.config)
        self._rounds = RoundTimer(self.tables, self._place)
        self._keeper = VMManager(node, tenure, directory, self)
        self._lives = WorkerLivenessMonitor(node, self)

    # Term

    async def start(self) -> None:
        """Take the cell over in the background."""
        self._tasks.start(self._take_over())

    async def stop(self, *, graceful: bool) -> None:
        """Stop deciding; a graceful end records what is known."""
        self._running = False
        self._rounds.cancel()
        await self._tasks.cancel()
        # First the links: while ends come in there is always more to record, and
        # the hand-over took 0.7 s of the lease instead of some milliseconds.
        links = list(self._links_by_id.values())
        await asyncio.gather(*(link.close() for link in links))
        await asyncio.gather(*(follower.stop() for follower in self._followers))
        await self._journal.close(flush=graceful)
        await asyncio.gather(*self._closing, return_exceptions=True)
        self._directory.listeners = [
            each for each in self._directory.listeners if each != self._take_config
        ]

    def is_overloaded(self) -> bool:
        """Tell whether this process can't keep up with the cell's work."""
        return self._load.is_overloaded()

    async def _take_over(self) -> None:
        """Read what is recorded, then follow the inbox and the workers."""
        began_at = self._node.clock.now()
        prefix = self._tenure.keys.progress_prefix
        progress = await self._read_until(prefix)
        records = {entry.key.removeprefix(prefix): entry for entry in progress.entries}
        feed = JobFeed(self._node, self._tenure, self, records)
        workers = self._workers = WorkerFeed(self._node, self)
        store, rng = self._node.store, self._node.rng
        inbox = self._tenure.keys.inbox_prefix
        self._followers = [
            PrefixFollower(store, inbox, feed, rng, LOAD_RETRY_SECONDS),
            PrefixFollower(
                store, self._node.codec.worker_prefix, workers, rng, LOAD_RETRY_SECONDS
            ),
        ]
        for follower in self._followers:
            follower.start()
        await asyncio.gather(feed.loaded.wait(), workers.loaded.wait())
        self._running = True
        for worker in list(self.tables.workers_by_id.values()):
            self.connect_worker(worker)
        self._directory.listeners.append(self._take_config)
        self._take_config()
        took_ms = (self._node.clock.now() - began_at) * 1_000
        self._node.metrics.timing(Metric.TAKEOVER_MS, took_ms)
        self._node.log.info(
            Event.CELL_LOADED,
            cell=self._tenure.cell_id,
            fence=self._tenure.fence,
            jobs=len(self.tables.jobs_by_id),
            workers=len(self.tables.workers_by_id),
            took_ms=round(took_ms),
        )
        self._tasks.keep(self._tick_forever)
        self._tasks.keep(LoadReporter(self._node, self._tenure, self.tables).run)
        self._tasks.keep(self._lives.run)
        self._tasks.keep(self._keeper.run)
        if self._node.adviser is not None:
            desk = AdviceFetcher(self._node, self._node.adviser, self)
            self._tasks.keep(desk.run)
        self.plan_all()

    async def _read_until(self, prefix: str) -> Listing:
        """Read a prefix, through an outage of the store if need be.

        The key may outlive an outage in which leases stand still. A controller
        that had stopped reading would then hold the cell and do nothing for it.
        """
        while True:
            listing = await self._node.store.read_prefix(prefix)
            if is_successful(listing):
                return listing.unwrap()
            await asyncio.sleep(LOAD_RETRY_SECONDS)

    # What the feeds tell

    def note_job(self, job: ActiveJob) -> None:
        """Open a job that was accepted or loaded."""
        now, wall_ms = self._node.clock.now(), self._node.clock.wall() * 1_000
        open_due_occurrences(self.tables, job, now, wall_ms)
        self._journal.mark(job)
        self.plan(job.queue.pool_id)

    def note_cancelled(self, job: ActiveJob) -> None:
        """Stop a job at its customer's wish."""
        cancel_job(job)
        self._settle_job(job)

    def connect_worker(self, worker: Worker) -> None:
        """Connect to a worker that the registry lists.

        Not before the recorded jobs are loaded: an end listed by the worker would
        find no task, be acknowledged as unknown, and its task would run again.
        """
        if not self._running:
            return
        link = self._links_by_id.get(worker.id)
        if link is not None and not link.uses_address(worker.address):
            self._leave_address(worker)
            link = None
        if link is None and worker.address:
            link = WorkerLink(self._node, self._tenure, self, worker)
            self._links_by_id[worker.id] = link
            link.start()
        elif link is not None and not worker.settled:
            link.poll()
        self.plan(worker.pool_id)

    def _leave_address(self, worker: Worker) -> None:
        """Close the connections to a worker that is at another address now.

        Nobody waits any more for the answers to orders that are on their way; left
        as ordered, their tasks would wait for good.
        """
        now = self._node.clock.now()
        for run in worker.runs.values():
            if run.state is RunState.ORDERED:
                run.state = RunState.UNKNOWN
                run.ordered_at = now
        self.close_link(worker)

    def handle_worker_restart(self, worker: Worker, born_ms: Milliseconds) -> None:
        """Note that a worker speaks from another life than the one that is known."""
        former_ms = worker.born_ms
        longest = self._node.limits.worker_lease
        now = self._node.clock.now()
        verdict = note_worker_end(self.tables, worker, now)
        over = begin_life(self.tables, worker, born_ms, longest, now)
        log_worker_restarted(self._node, worker, former_ms, len(over), verdict)
        for run in over:
            log_run_lost(self._node, run, "its worker started again")
        self.handle_lost_runs(over)
        for job in verdict.jobs:
            self._settle_job(job)

    def note_entry_gone(self, worker: Worker) -> None:
        """Look whether a worker that the registry dropped is still alive."""
        if worker.runs or worker.unanswered_since:
            self.handle_unresponsive_worker(worker)

    # LinkOwner

    def note_listing(self, worker: Worker, outcome: ListingOutcome) -> None:
        """Record what a listing changed, and plan anew."""
        for run, end in outcome.ended:
            log_run_ended(self._node, run, end)
        for run in outcome.lost:
            log_run_lost(self._node, run, "not on its worker")
        if outcome.newly_doubted:
            log_worker_quarantined(self._node, worker)
        self._unrecorded.note(worker.id, outcome.ends)
        for job_id in list_jobs(outcome):
            job = self.tables.jobs_by_id.get(job_id)
            if job is not None:
                self._settle_job(job)
        for run, _ in outcome.ended:
            self._stop_copies(run)
        self._stop_unwanted(worker)
        if outcome.ended or outcome.lost:
            self.plan(worker.pool_id)

    def handle_detached_run(self, worker: Worker, run: Run) -> None:
        """Record that a run is over or was refused, and plan anew."""
        self._journal.mark(run.task.step.job)
        self.plan(worker.pool_id)

    def handle_unresponsive_worker(self, worker: Worker) -> None:
        """Read the VM list: it tells whether a worker's life is over."""
        self.refresh_vm_list()

    def refresh_vm_list(self) -> None:
        """Read the VM list soon."""
        self._lives.refresh_soon()

    def record_order(self, *, answered: bool) -> None:
        """Note whether a worker answered an order in time."""
        self._load.record_order(answered=answered)

    def handle_superseded(self) -> None:
        """Stop: a controller with a higher fence has been at a worker."""
        self._tenure.end()

    # Planning

    def plan(self, pool_id: PoolId) -> None:
        """Place what waits in a pool, soon."""
        if self._running:
            self._rounds.plan(pool_id)

    def plan_all(self) -> None:
        """Place what waits in every pool."""
        for pool_id in list(self.tables.ready_by_pool):
            self.plan(pool_id)

    def stop_run(self, run: Run, reason: str) -> None:
        """Have a run stopped."""
        link = self._links_by_id.get(run.worker.id)
        if link is not None and run.state is not RunState.INTENDED:
            link.send_stop(run, reason)

    def _place(self, pool_id: PoolId) -> None:
        if not self._running or not self._tenure.holds():
            return
        for run in plan_round(self.tables, pool_id, self._node.clock.now()):
            self._journal.mark(run.task.step.job)

    def _note_written(self, job: ActiveJob) -> None:
        """Send the orders whose intents are now recorded."""
        if job.written_version == WRITTEN_FOR_GOOD:
            self._note_end_written(job)
            return
        for run in list(job.runs):
            self._send_if_recorded(run)
        self._wake_acknowledging(job)

    def _send_if_recorded(self, run: Run) -> None:
        if run.state is not RunState.INTENDED:
            return
        if run.version > run.task.step.job.written_version:
            return
        link = self._links_by_id.get(run.worker.id)
        # Its room may have shrunk while the intent was being recorded.
        closed = run.worker.gone or run.worker.draining or is_overfull(run.worker)
        if link is None or closed:
            detach_run(self.tables, run, self._node.clock.now())
            self.handle_detached_run(run.worker, run)
            return
        link.send_start(run)

    def _wake_acknowledging(self, job: ActiveJob) -> None:
        """Have ends acknowledged that the job's record holds now."""
        for worker_id in self._unrecorded.take(job):
            link = self._links_by_id.get(worker_id)
            if link is not None:
                link.acknowledge_ends()

    def _note_end_written(self, job: ActiveJob) -> None:
        forget_job(self.tables, job, self._node.clock.now())
        log_job_ended(self._node, job)
        self._wake_acknowledging(job)

    def _settle_job(self, job: ActiveJob) -> None:
        """Record a job, and stop what still runs of it once it has ended."""
        if job.outcome is None:
            self._journal.mark_ends(job)
            self.plan(job.queue.pool_id)
            return
        self._journal.mark(job)
        now = self._node.clock.now()
        for run in list(job.runs):
            if run.state is RunState.INTENDED:
                detach_run(self.tables, run, now)
            else:
                self.stop_run(run, f"job {job.outcome.value}")

    def _stop_unwanted(self, worker: Worker) -> None:
        """Stop the runs of jobs that have ended.

        A job may be cancelled while nobody controls the cell. Its end is recorded
        as soon as it is read, when its runs are known from the record only and
        there is no connection yet to stop them by.
        """
        for run in list(worker.runs.values()):
            job = run.task.step.job
            if job.outcome is not None and not run.stopping:
                self.stop_run(run, f"job {job.outcome.value}")

    def _stop_copies(self, ended: Run) -> None:
        if not ended.task.done:
            return
        for run in list(ended.task.runs):
            self.stop_run(run, "another copy finished")

    # Time

    async def _tick_forever(self) -> None:
        while True:
            slept_at = self._node.clock.now()
            await asyncio.sleep(TICK_SECONDS)
            late = self._node.clock.now() - slept_at - TICK_SECONDS
            self._load.record_timer_delay(late)
            if self._tenure.holds():
                self._tick()

    def _tick(self) -> None:
        now, wall_ms = self._node.clock.now(), self._node.clock.wall() * 1_000
        for job in list(self.tables.jobs_by_id.values()):
            if job.spec.occurrences and open_due_occurrences(
                self.tables, job, now, wall_ms
            ):
                self.plan(job.queue.pool_id)
        self._lives.expire_leases(now)
        self._repair(now)
        self.plan_all()

    def _repair(self, now: Seconds) -> None:
        repairs = plan_repairs(self.tables, now)
        for worker in repairs.doubted:
            log_worker_quarantined(self._node, worker)
        for run, reason in repairs.stops:
            self.stop_run(run, reason)
        for run in repairs.copies:
            self._journal.mark(run.task.step.job)
        for run, percent in repairs.paces:
            link = self._links_by_id.get(run.worker.id)
            if link is not None:
                link.send_pace(run, percent)

    def _take_config(self) -> None:
        """Take the operator's configuration over."""
        if self._directory.config is None:
            return
        self.tables.config = self._directory.config
        if self._workers is not None:
            self._workers.apply_config()

    # What the workers' lives tell

    def handle_lost_runs(self, runs: Iterable[Run]) -> None:
        """Record that runs are over without an end, and plan anew."""
        for job in dict.fromkeys(run.task.step.job for run in runs):
            if job.outcome is not None:
                self._settle_job(job)
                continue
            self._journal.mark(job)
            self.plan(job.queue.pool_id)

    def close_link(self, worker: Worker) -> None:
        """Close the connections to a worker that is gone."""
        link = self._links_by_id.pop(worker.id, None)
        if link is None:
            return
        task = asyncio.create_task(link.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


__all__ = ["CellController"]
