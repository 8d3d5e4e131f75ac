"""Seeded histories of one pool's jobs under faults, on a virtual clock."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec
from returns.pipeline import is_successful

from medlarspring_adapters.clock import ManualClock
from medlarspring_adapters.decisions import DecisionLog
from medlarspring_adapters.job_store import JobStore, JobWrite, pool_prefix
from medlarspring_adapters.store import Expect, Put, Transaction
from medlarspring_bench.key_value_ops import RangeOp, RangeReply, prefix_end
from medlarspring_bench.key_value_state import KeyValueState
from medlarspring_bench.memory_store import MemoryStore
from medlarspring_bench.silent_faults import create_unreadable_records
from medlarspring_bench.worker_tasks import ActualTask, DirectWorkerControl, WorkerTasks
from medlarspring_daemon.jobs.controller import JobController
from medlarspring_systems.job_lifecycle import FINAL_STATES, cancel_job
from medlarspring_systems.job_records import put_partner, put_worker
from medlarspring_tables import (
    Job,
    JobId,
    JobState,
    JobUrgency,
    PartnerId,
    PartnerUse,
    PoolId,
    RackId,
    Revision,
    Size,
    VMId,
    Worker,
    ZoneId,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from medlarspring_adapters.store import CommitResult
    from medlarspring_adapters.worker_control import TaskOrder

POOL_ID = PoolId("survey")
HOLDER_KEY = f"holders/{POOL_ID}"
WORKER_SIZE = Size(32.0, 64.0, 1)
QUOTA = Size(200.0, 400.0, 4)
TICK_SECONDS = 0.5
SETTLE_SECONDS = 900.0


@dataclass(slots=True)
class JobHistory:
    """Result of one history."""

    seed: int
    violations: list[str] = field(default_factory=list)
    jobs: int = 0
    done: int = 0
    urgent_waits: list[float] = field(default_factory=list)
    """Seconds from submission to start, as recorded by the workers."""


class GatedStore(MemoryStore):
    """A store whose writes wait while the calling process is paused."""

    def __init__(self, state: KeyValueState) -> None:
        super().__init__(state)
        self.running = asyncio.Event()
        self.running.set()

    async def commit_each(
        self, transactions: Sequence[Transaction]
    ) -> list[CommitResult]:
        """Wait until the process resumes, then write as the base class does."""
        await self.running.wait()
        return await super().commit_each(transactions)


class Holder:
    """A process that holds the pool, or held it before it was paused."""

    def __init__(self, pool: FakePool) -> None:
        self.store = GatedStore(pool.state)
        self.fence: Expect | None = None
        self.round: asyncio.Task[None] | None = None
        self.controller = JobController(
            POOL_ID,
            JobStore(self.store, create_unreadable_records()),
            pool.control,
            pool.clock,
            DecisionLog(pool.clock, "entry", max_subjects=10),
            lambda: self.fence,
        )
        for worker in pool.list_workers():
            put_worker(self.controller.tables, worker)
        for partner in ("north", "south", "east"):
            use = PartnerUse(PartnerId(partner), 1.0, QUOTA)
            put_partner(self.controller.tables, use)
        self.controller.workers.set_addresses({VMId(v): v for v in pool.workers_by_id})

    async def acquire_pool(self) -> None:
        """Write the holder key, as the holder service does."""
        found = await self.store.read(HOLDER_KEY)
        if not is_successful(found):
            return
        entry = found.unwrap()
        old = entry.mod_revision if entry else Revision(0)
        write = Transaction((Expect(HOLDER_KEY, old),), (Put(HOLDER_KEY, b"x"),))
        wrote = await self.store.commit(write)
        if is_successful(wrote) and wrote.unwrap().succeeded:
            self.fence = Expect(HOLDER_KEY, wrote.unwrap().revision)

    async def run_round(self) -> None:
        """Run one tick unless the last one is still waiting."""
        if self.fence is None:
            await self.acquire_pool()
        if self.round is None or self.round.done():
            self.round = asyncio.create_task(self.controller.tick())
        for _ in range(60):
            if self.round.done():
                break
            await asyncio.sleep(0)
        if self.round.done():
            self.round.result()


class FakePool:
    """Workers, jobs, faults and checks of one history."""

    def __init__(self, seed: int, workers: int) -> None:
        self.rng = random.Random(seed)
        self.history = JobHistory(seed)
        self.clock = ManualClock()
        self.state = KeyValueState(self.clock)
        self.factors_by_kind = {
            f"kind-{number}": self.rng.choice((0.1, 0.3, 1.0, 2.0, 6.0))
            for number in range(4)
        }
        self.workers_by_id = {
            f"vm-{number}": WorkerTasks(
                f"vm-{number}", self.clock, self._create_actual_task
            )
            for number in range(workers)
        }
        self.control = DirectWorkerControl(self.workers_by_id)
        self.jobs_by_id: dict[JobId, Job] = {}
        self.holder = Holder(self)
        self.frozen: list[Holder] = []
        self.submitter = JobStore(MemoryStore(self.state), create_unreadable_records())

    def list_workers(self) -> list[Worker]:
        """Return new records of all workers."""
        return [
            Worker(VMId(vm_id), POOL_ID, RackId("r"), ZoneId("a"), WORKER_SIZE)
            for vm_id in self.workers_by_id
        ]

    def _create_actual_task(self, order: TaskOrder) -> ActualTask:
        job = self.jobs_by_id[order.job_id]
        factor = self.factors_by_kind[job.kind]
        size = Size(
            min(job.declared.cpus * factor, WORKER_SIZE.cpus),
            min(job.declared.memory_gb * factor, WORKER_SIZE.memory_gb),
        )
        rng = random.Random(f"{self.history.seed}/{job.id}")
        seconds = job.declared_seconds * rng.choice((0.1, 0.5, 1.0, 3.0))
        return ActualTask(size, seconds, fails=rng.random() < 0.03)

    async def submit(self, count: int) -> None:
        """Submit jobs of all partners; one in ten is urgent."""
        for _ in range(count):
            number = len(self.jobs_by_id)
            cpus = self.rng.choice((1.0, 2.0, 4.0, 8.0, 16.0))
            job = Job(
                id=JobId(f"job-{number:04}"),
                partner_id=PartnerId(self.rng.choice(("north", "south", "east"))),
                pool_id=POOL_ID,
                kind=f"kind-{self.rng.randrange(4)}",
                declared=Size(cpus, cpus * 2),
                declared_seconds=self.rng.choice((5.0, 20.0, 60.0)),
                urgency=self.rng.choices(list(JobUrgency), (1, 6, 3))[0],
                can_checkpoint=self.rng.random() < 0.7,
                submitted_at=self.clock.wall(),
            )
            self.jobs_by_id[job.id] = job
            await self.submitter.save([JobWrite(job, Revision(0))], None)
        self.holder.controller.schedule_reload()

    async def cancel(self, job_id: JobId) -> None:
        """Cancel a job as an operator does through any daemon."""
        found = (await self.submitter.read_job(POOL_ID, job_id)).unwrap()
        assert found is not None
        job = cancel_job(
            msgspec.json.decode(found.value, type=Job), "by operator", self.clock.wall()
        )
        if job is not None:
            await self.submitter.save([JobWrite(job, found.mod_revision)], None)
        self.holder.controller.schedule_reload()

    async def inject_fault(self) -> None:
        """Inject one random fault."""
        fault = self.rng.choice(
            ("lose_reply", "lose_request", "down", "cut", "reboot", "kill", "freeze")
        )
        faults = self.holder.store.faults
        if fault == "lose_reply":
            faults.lose_replies = self.rng.randint(1, 2)
        elif fault == "lose_request":
            faults.lose_requests = 1
        elif fault == "down":
            faults.down = not faults.down
        elif fault == "cut":
            self.control.unreachable ^= {self.rng.choice(list(self.workers_by_id))}
        elif fault == "reboot":
            self.rng.choice(list(self.workers_by_id.values())).fail()
        else:
            await self._replace_holder(freeze=fault == "freeze")

    async def _replace_holder(self, *, freeze: bool) -> None:
        if freeze:
            self.holder.store.running.clear()
            await self.holder.run_round()
            self.frozen.append(self.holder)
        self.clock.advance(self.rng.uniform(1.0, 12.0))
        self.holder = Holder(self)

    async def thaw(self) -> None:
        """Resume the paused holders where they stopped."""
        for holder in self.frozen:
            holder.store.running.set()
            if holder.round is not None:
                await holder.round
            await holder.controller.tick()
        self.frozen.clear()

    def clear_faults(self) -> None:
        """End all faults."""
        self.holder.store.faults.down = False
        self.control.unreachable.clear()

    def check_runs(self) -> None:
        """Record a violation for each job that ran twice at the same time."""
        spans: dict[JobId, list[tuple[float, float, str]]] = {}
        for vm_id, worker in self.workers_by_id.items():
            worker.step()
            for run in worker.runs:
                spans.setdefault(run.job_id, []).append((run.start, run.end, vm_id))
        for job_id, runs in spans.items():
            runs.sort()
            for before, after in zip(runs, runs[1:], strict=False):
                if after[0] < before[1]:
                    self.history.violations.append(f"{job_id} ran twice: {runs}")

    def check_quotas(self) -> None:
        """Record a violation for each partner over its quota by the stored records."""
        held: dict[PartnerId, Size] = {}
        for job in self.read_jobs():
            if job.attempt is not None:
                size = job.attempt.size
                held[job.partner_id] = held.get(job.partner_id, Size(0, 0)).plus(size)
        for partner_id, size in held.items():
            if not size.fits_in(QUOTA):
                self.history.violations.append(f"{partner_id} over quota: {size}")

    def read_jobs(self) -> list[Job]:
        """Return all job records in the store."""
        prefix = pool_prefix(POOL_ID).encode()
        reply = self.state.apply(RangeOp(prefix, prefix_end(prefix)))
        assert isinstance(reply, RangeReply)
        return [msgspec.json.decode(kv.value, type=Job) for kv in reply.kvs]


async def run_history(
    seed: int, *, workers: int = 6, rounds: int = 120, faults: float = 0.15
) -> JobHistory:
    """Run one history with faults, then end the faults and let all jobs end."""
    pool = FakePool(seed, workers)
    for _ in range(rounds):
        if pool.rng.random() < 0.3:
            await pool.submit(pool.rng.randint(1, 4))
        if pool.jobs_by_id and pool.rng.random() < 0.1:
            await pool.cancel(pool.rng.choice(list(pool.jobs_by_id)))
        if pool.rng.random() < faults:
            await pool.inject_fault()
        if pool.frozen and pool.rng.random() < 0.1:
            await pool.thaw()
        await pool.holder.run_round()
        pool.check_quotas()
        pool.clock.advance(TICK_SECONDS)
    await _settle(pool)
    return pool.history


async def _settle(pool: FakePool) -> None:
    await pool.thaw()
    pool.clear_faults()
    pool.holder = Holder(pool)
    until = pool.clock.now() + SETTLE_SECONDS
    while pool.clock.now() < until:
        await pool.holder.run_round()
        pool.clock.advance(TICK_SECONDS)
        if all(job.state in FINAL_STATES for job in pool.read_jobs()):
            break
    pool.check_runs()
    _check_ends(pool)


def _check_ends(pool: FakePool) -> None:
    history = pool.history
    jobs = pool.read_jobs()
    history.jobs = len(jobs)
    history.done = sum(job.state is JobState.DONE for job in jobs)
    if {job.id for job in jobs} != set(pool.jobs_by_id):
        history.violations.append("a job's record is lost")
    history.violations += [
        f"{job.id} never ended: {msgspec.json.encode(job).decode()}"
        for job in jobs
        if job.state not in FINAL_STATES
    ]
    first_start: dict[JobId, float] = {}
    for worker in pool.workers_by_id.values():
        for run in worker.runs:
            start = first_start.get(run.job_id, run.start)
            first_start[run.job_id] = min(start, run.start)
    history.urgent_waits = [
        first_start[job.id] - job.submitted_at
        for job in jobs
        if job.urgency is JobUrgency.URGENT and job.id in first_start
    ]


__all__ = ["FakePool", "Holder", "JobHistory", "run_history"]
