"""Model of a pool of workers on a virtual clock, run by the job systems alone."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field

from medlarspring_systems.job_lifecycle import (
    AttemptEnd,
    confirm_running,
    end_attempt,
    release_stale_reservations,
)
from medlarspring_systems.job_records import put_job, put_partner, put_worker
from medlarspring_systems.placement import place_jobs
from medlarspring_systems.preemption import plan_preemptions
from medlarspring_tables import (
    Job,
    JobId,
    JobState,
    JobTables,
    JobUrgency,
    PartnerId,
    PartnerUse,
    PoolId,
    RackId,
    Size,
    VMId,
    Worker,
    ZoneId,
)

WORKER_SIZE = Size(32.0, 64.0, 1)
TICK_SECONDS = 0.25
CHECKPOINT_SECONDS = 0.5
ORDER_SECONDS = 0.1
"""Delay from the placement decision to the start on the worker."""
POOL_ID = PoolId("pool")


@dataclass(slots=True)
class PoolMetrics:
    """Metrics of one run of the model."""

    done: int = 0
    useful_cpu_seconds: float = 0.0
    """Actual processor time of the jobs that finished."""
    lost_cpu_seconds: float = 0.0
    """Processor time of attempts that the worker ended because memory ran out."""
    memory_kills: int = 0
    urgent_waits: list[float] = field(default_factory=list)
    large_waits: list[float] = field(default_factory=list)
    offered_cpu_seconds: float = 0.0
    preemptions: int = 0

    def used_part(self) -> float:
        """Return the fraction of all processor time spent on finished jobs."""
        return self.useful_cpu_seconds / self.offered_cpu_seconds


@dataclass(slots=True)
class ActualNeed:
    """Size and run time that a job actually needs."""

    size: Size
    seconds_left: float
    seconds: float = 0.0

    def __post_init__(self) -> None:
        self.seconds = self.seconds_left


class PoolModel:
    """Workers that run the placed jobs and end tasks when memory runs out.

    Processors are shared: when the actual need on a worker exceeds its capacity,
    all its tasks slow down by the same factor.
    """

    def __init__(
        self, seed: int, workers: int, partners: int, *, learn: bool = True
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.learn = learn
        self.figures = PoolMetrics()
        self.tables = JobTables()
        self.needs_by_id: dict[JobId, ActualNeed] = {}
        self.stops: list[tuple[float, JobId, int]] = []
        for number in range(partners):
            quota = Size(32.0 * workers, 64.0 * workers, workers)
            partner = PartnerUse(PartnerId(f"partner-{number:03}"), 1.0, quota)
            put_partner(self.tables, partner)
        for number in range(workers):
            put_worker(
                self.tables,
                Worker(
                    VMId(f"vm-{number:03}"),
                    POOL_ID,
                    RackId(f"rack-{number // 4}"),
                    ZoneId("zone"),
                    WORKER_SIZE,
                ),
            )

    def submit(self, job: Job, need: ActualNeed) -> None:
        """Submit a job with its actual need."""
        self.needs_by_id[job.id] = need
        put_job(self.tables, job)

    def step(self) -> None:
        """Advance by one tick: run tasks, then place waiting jobs."""
        self.run_workers()
        self.place()
        self.now += TICK_SECONDS

    def run_workers(self) -> None:
        """Run the tasks on all workers for one tick."""
        self._finish_stops()
        for worker in self.tables.workers_by_id.values():
            self.figures.offered_cpu_seconds += worker.capacity.cpus * TICK_SECONDS
            if worker.job_ids:
                self._run_worker(worker)

    def place(self) -> None:
        """Run the systems that a holder runs in each tick."""
        release_stale_reservations(self.tables)
        for start in place_jobs(self.tables, self.now, 1000):
            self._note_start(start.job)
        for stop in plan_preemptions(self.tables, self.now):
            assert stop.job.attempt is not None
            self.figures.preemptions += 1
            due = self.now + ORDER_SECONDS + CHECKPOINT_SECONDS
            heapq.heappush(self.stops, (due, stop.job.id, stop.job.attempt.number))
        self.tables.originals_by_id.clear()

    def _note_start(self, job: Job) -> None:
        assert job.attempt is not None
        confirm_running(self.tables, job.id, job.attempt.number)
        if job.attempt.number > 1:
            return
        wait = self.now + ORDER_SECONDS - job.submitted_at
        if job.urgency is JobUrgency.URGENT:
            self.figures.urgent_waits.append(wait)
        if job.declared.cpus >= WORKER_SIZE.cpus:
            self.figures.large_waits.append(wait)

    def _finish_stops(self) -> None:
        while self.stops and self.stops[0][0] <= self.now:
            _, job_id, number = heapq.heappop(self.stops)
            end_attempt(self.tables, job_id, number, AttemptEnd.CHECKPOINTED, self.now)

    def _run_worker(self, worker: Worker) -> None:
        jobs = [self.tables.jobs_by_id[job_id] for job_id in sorted(worker.job_ids)]
        jobs = self._kill_for_memory(worker, jobs)
        wanted = sum(self.needs_by_id[job.id].size.cpus for job in jobs)
        speed = min(1.0, worker.capacity.cpus / wanted) if wanted else 1.0
        for job in jobs:
            self._run_job(job, speed)

    def _kill_for_memory(self, worker: Worker, jobs: list[Job]) -> list[Job]:
        """End the newest tasks until the memory actually used fits."""
        jobs.sort(key=lambda job: job.attempt.started_at if job.attempt else 0.0)
        used = sum(self.needs_by_id[job.id].size.memory_gb for job in jobs)
        while used > worker.capacity.memory_gb and len(jobs) > 1:
            job = jobs.pop()
            assert job.attempt is not None
            need = self.needs_by_id[job.id]
            used -= need.size.memory_gb
            ran = self.now - job.attempt.started_at
            self.figures.memory_kills += 1
            self.figures.lost_cpu_seconds += ran * need.size.cpus
            need.seconds_left += ran
            number = job.attempt.number
            end = AttemptEnd.OUT_OF_MEMORY if self.learn else AttemptEnd.STOPPED
            end_attempt(self.tables, job.id, number, end, self.now, peak=need.size)
        return jobs

    def _run_job(self, job: Job, speed: float) -> None:
        assert job.attempt is not None
        need = self.needs_by_id[job.id]
        need.seconds_left -= TICK_SECONDS * speed
        if need.seconds_left > 0:
            return
        number = job.attempt.number
        peak = need.size if self.learn else None
        end_attempt(
            self.tables, job.id, number, AttemptEnd.SUCCEEDED, self.now, peak=peak
        )
        self.figures.done += 1
        self.figures.useful_cpu_seconds += need.seconds * need.size.cpus

    def count_waiting(self) -> int:
        """Return the number of queued jobs, including cancelled ones."""
        queues = self.tables.waiting_by_partner
        return sum(len(queue) for queue in queues.values())

    def count(self, state: JobState) -> int:
        """Return how many jobs are in a state."""
        return sum(job.state is state for job in self.tables.jobs_by_id.values())


__all__ = ["POOL_ID", "PoolMetrics", "PoolModel", "ActualNeed"]
