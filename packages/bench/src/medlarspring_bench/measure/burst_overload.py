"""Replays a burst that exceeds the capacity of its pool, in virtual time.

Jobs of one queue arrive for four seconds at a rate beyond the pool's processors.
Their sizes, durations and estimates are as inaccurate as those of customers. The
product's tables and planning rounds place them; workers never fail and run each
task for its true duration. The measurement compares rules for the order of steps.

Command: ``python -m medlarspring_bench.measure turns``
"""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.jobs import (
    admit_job,
    forget_job,
    open_due_occurrences,
)
from medlarspring_systems.scheduling.ordering import rank_step
from medlarspring_systems.scheduling.rounds import plan_round
from medlarspring_systems.scheduling.runs import end_run
from medlarspring_systems.scheduling.workers import apply_entry
from medlarspring_tables import JobId, PoolId, RackId, Revision, VMId, ZoneId
from medlarspring_tables.scheduling import (
    JobOutcome,
    JobOwner,
    JobRecord,
    JobSpec,
    OperatorConfig,
    PoolPolicy,
    QueueId,
    QueuePolicy,
    Resources,
    RunEnd,
    RunState,
    StepSpec,
    WorkerCondition,
    WorkerEntry,
    WorkerId,
    WorkTables,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_systems.scheduling.ordering import Rank
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import Run, StepRun

    RankRule = Callable[[StepRun, Seconds, float], Rank]

POOL = PoolId("consent")
NO_OWNER = JobOwner()
QUEUE = QueuePolicy(
    id=QueueId("lookup"),
    pool_id=POOL,
    max_attempts=3,
    stretch=1.6,
    allowance_ms=600,
)
VM_RESOURCES = Resources(32_000, 65_536, 0)
BURST_SECONDS = 4.0
SETTLE_SECONDS = 12.0
"""Replayed time after the burst; jobs that end later count as not served."""
TICK_SECONDS = 0.015
START_DELAY_SECONDS = 0.03
"""Delay between the decision and the start of the run on the worker."""
LATE_VALUE_FRACTION = 0.07
"""Fraction of a job's value that remains up to three times its objective."""
LATE_FACTOR = 3.0


@dataclass(frozen=True, slots=True)
class LogNormal:
    """A log-normal distribution, capped at an upper limit."""

    mean: float
    coefficient_of_variation: float
    maximum: float

    def draw(self, rng: random.Random) -> float:
        """Return a random value from the distribution."""
        sigma = math.sqrt(math.log(1.0 + self.coefficient_of_variation**2))
        drawn = rng.lognormvariate(math.log(self.mean) - sigma**2 / 2.0, sigma)
        return min(drawn, self.maximum)


@dataclass(frozen=True, slots=True)
class JobKind:
    """Distributions from which the jobs of a queue are drawn."""

    steps: LogNormal
    width: LogNormal
    seconds: LogNormal
    cores: LogNormal
    memory_mb: LogNormal
    task_sigma: float
    """Standard deviation of the logarithm of task durations within a step."""
    estimate_sigma: float
    """Standard deviation of the logarithm of estimated over typical duration."""


SHORT_JOBS = JobKind(
    steps=LogNormal(1.6, 0.4, 4.0),
    width=LogNormal(8.0, 0.6, 32.0),
    seconds=LogNormal(0.64, 0.5, 1.6),
    cores=LogNormal(3.1, 0.45, 9.3),
    memory_mb=LogNormal(4_400.0, 0.6, 13_000.0),
    task_sigma=0.15,
    estimate_sigma=0.5,
)
LONG_JOBS = JobKind(
    steps=LogNormal(2.0, 0.4, 4.0),
    width=LogNormal(8.0, 0.6, 32.0),
    seconds=LogNormal(2.1, 0.5, 5.2),
    cores=LogNormal(6.7, 0.45, 20.0),
    memory_mb=LogNormal(9_600.0, 0.6, 29_000.0),
    task_sigma=0.3,
    estimate_sigma=0.2,
)


@dataclass(slots=True)
class SimulatedJob:
    """True durations and result of a job, which the scheduler cannot see."""

    arrived_at: Seconds
    seconds: list[list[Seconds]]
    """True durations by step and task."""
    objective: Seconds
    work: float
    """Core-seconds."""
    took: Seconds | None = None

    @property
    def served(self) -> float:
        """Fraction of the job's value that remains when it ends."""
        if self.took is None or self.took > LATE_FACTOR * self.objective:
            return 0.0
        return 1.0 if self.took <= self.objective else LATE_VALUE_FRACTION


@dataclass(frozen=True, slots=True)
class BurstOutcome:
    """Results of one replayed burst."""

    jobs: int
    in_time: float
    """Fraction of the jobs that ended within their objective."""
    value: float
    """Fraction of the total value earned; a job's value grows with its work."""
    largest: float
    """Fraction of value earned by the largest tenth of jobs, weighted equally."""


@dataclass(slots=True)
class Replay:
    """State of a burst during its replay."""

    kind: JobKind
    rng: random.Random
    tables: WorkTables
    jobs_by_id: dict[JobId, SimulatedJob] = field(default_factory=dict)
    ends: list[tuple[Seconds, int, Run]] = field(default_factory=list)

    def add_job(
        self,
        number: int,
        arrived_at: Seconds,
        now: Seconds,
        owner: JobOwner = NO_OWNER,
    ) -> None:
        """Draw a job and admit it to the tables."""
        count = max(round(self.kind.steps.draw(self.rng)), 1)
        typical_seconds = self.kind.seconds.draw(self.rng)
        steps = tuple(self._draw_step(index, typical_seconds) for index in range(count))
        true = [self._draw_seconds(step, typical_seconds) for step in steps]
        job_id = JobId(f"{number:016x}")
        record = JobRecord(
            queue=QUEUE,
            accepted_at_ms=round(arrived_at * 1_000),
            spec=JobSpec(payload="", steps=steps),
            owner=owner,
        )
        chain = sum(max(seconds) for seconds in true)
        work = sum(
            sum(seconds) * step.cpu_millis / 1_000.0
            for seconds, step in zip(true, steps, strict=True)
        )
        objective = QUEUE.stretch * chain + QUEUE.allowance_ms / 1_000.0
        self.jobs_by_id[job_id] = SimulatedJob(arrived_at, true, objective, work)
        job = admit_job(self.tables, job_id, record, Revision(1), arrived_at)
        open_due_occurrences(self.tables, job, now, now * 1_000)

    def _draw_step(self, index: int, typical_seconds: Seconds) -> StepSpec:
        error = math.exp(self.rng.gauss(0.0, self.kind.estimate_sigma))
        return StepSpec(
            count=max(round(self.kind.width.draw(self.rng)), 1),
            cpu_millis=round(self.kind.cores.draw(self.rng) * 1_000),
            memory_mb=round(self.kind.memory_mb.draw(self.rng)),
            estimate_ms=round(typical_seconds * error * 1_000),
            after=(index - 1,) if index else (),
        )

    def _draw_seconds(self, step: StepSpec, typical_seconds: Seconds) -> list[Seconds]:
        return [
            typical_seconds * math.exp(self.rng.gauss(0.0, self.kind.task_sigma))
            for _ in range(step.count)
        ]

    def start(self, run: Run, now: Seconds) -> None:
        """Start a run and schedule its end after the true duration."""
        step = run.task.step
        run.state = RunState.RUNNING
        run.confirmed_at = now + START_DELAY_SECONDS
        true = self.jobs_by_id[step.job.id].seconds[step.index][run.task.index]
        entry = (run.confirmed_at + true, id(run), run)
        heapq.heappush(self.ends, entry)

    def end_due(self, now: Seconds) -> None:
        """Apply the ends of all runs that are due by ``now``."""
        while self.ends and self.ends[0][0] <= now:
            run = heapq.heappop(self.ends)[2]
            end_run(self.tables, run, RunEnd.DONE, "", now)
            job = run.task.step.job
            if job.outcome is JobOutcome.COMPLETE:
                true = self.jobs_by_id[job.id]
                true.took = now - true.arrived_at
                forget_job(self.tables, job, now)


def rank_by_latest_start(step: StepRun, now: Seconds, _: float) -> Rank:
    """Return the rank by latest start alone, without regard to job size."""
    return rank_step(step, now, 0.0)


def replay_burst(
    kind: JobKind,
    seed: int,
    vms: int,
    jobs_per_second: float,
    rule: RankRule = rank_step,
) -> BurstOutcome:
    """Replay one burst on a pool of ``vms`` VMs."""
    rng = random.Random(seed)
    replay = Replay(kind, rng, create_tables(vms))
    arrived_at = rng.expovariate(jobs_per_second)
    ticks = round((BURST_SECONDS + SETTLE_SECONDS) / TICK_SECONDS)
    number = 0
    for tick in range(ticks):
        now = tick * TICK_SECONDS
        while arrived_at <= min(now, BURST_SECONDS):
            replay.add_job(number, arrived_at, now)
            number += 1
            arrived_at += rng.expovariate(jobs_per_second)
        replay.end_due(now)
        for run in plan_round(replay.tables, POOL, now, rule):
            replay.start(run, now)
    return compute_outcome(list(replay.jobs_by_id.values()))


def create_tables(vms: int) -> WorkTables:
    """Return tables with one pool of ``vms`` equal workers."""
    config = OperatorConfig(
        version=1,
        pools_by_id={POOL: PoolPolicy(POOL)},
        queues_by_id={QUEUE.id: QUEUE},
    )
    tables = WorkTables(config=config)
    for number in range(vms):
        entry = WorkerEntry(
            id=WorkerId(f"i-{number}"),
            vm_id=VMId(f"m-{number}"),
            pool_id=POOL,
            zone_id=ZoneId("zone-a"),
            address="127.0.0.1:1",
            condition=WorkerCondition.READY,
            resources=VM_RESOURCES,
            labels=(),
            rack_id=RackId(f"r1-{number // 8}"),
            clock_ms=0,
        )
        worker = apply_entry(tables, entry, 0.0)
        assert worker is not None
        worker.reconciled = True
    return tables


def compute_outcome(jobs: list[SimulatedJob]) -> BurstOutcome:
    """Return the results of the replayed jobs."""
    mean = sum(job.work for job in jobs) / len(jobs)
    total_value = earned = 0.0
    for job in jobs:
        value = min(0.3 + 0.7 * job.work / mean, 4.0)
        total_value += value
        earned += value * job.served
    largest = sorted(jobs, key=lambda job: job.work)[-max(len(jobs) // 10, 1) :]
    return BurstOutcome(
        jobs=len(jobs),
        in_time=sum(job.served == 1.0 for job in jobs) / len(jobs),
        value=earned / total_value,
        largest=sum(job.served for job in largest) / len(largest),
    )


CASES = (
    ("short jobs, 1.0 of the pool", SHORT_JOBS, 100.0),
    ("short jobs, 1.5 of the pool", SHORT_JOBS, 150.0),
    ("short jobs, 2.2 of the pool", SHORT_JOBS, 220.0),
    ("long jobs, 1.0 of the pool", LONG_JOBS, 24.0),
    ("long jobs, 1.7 of the pool", LONG_JOBS, 40.0),
)
VMS = 60
SEEDS = range(4)


def main() -> None:
    """Print the results of each ranking rule for the replayed bursts."""
    rules: tuple[tuple[str, RankRule], ...] = (
        ("latest start alone", rank_by_latest_start),
        ("latest start and size", rank_step),
    )
    for title, kind, rate in CASES:
        print(title)
        for name, rule in rules:
            outcomes = [replay_burst(kind, seed, VMS, rate, rule) for seed in SEEDS]
            count = len(outcomes)
            in_time = sum(each.in_time for each in outcomes) / count
            value = sum(each.value for each in outcomes) / count
            largest = sum(each.largest for each in outcomes) / count
            print(
                f"  {name:24} in time {in_time:.3f}  worth {value:.3f}"
                f"  largest tenth {largest:.3f}"
            )


if __name__ == "__main__":
    main()


__all__ = [
    "BURST_SECONDS",
    "LONG_JOBS",
    "POOL",
    "QUEUE",
    "SETTLE_SECONDS",
    "SHORT_JOBS",
    "TICK_SECONDS",
    "BurstOutcome",
    "JobKind",
    "Replay",
    "compute_outcome",
    "create_tables",
    "main",
    "rank_by_latest_start",
    "replay_burst",
]
