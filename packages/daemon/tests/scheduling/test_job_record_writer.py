"""Writing of job records: the number of writes, and writes under load."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import pytest
import uvloop
from returns.result import Failure, Success

from medlarspring_adapters.clock import SystemClock
from medlarspring_adapters.metrics import NoMetrics
from medlarspring_adapters.store import Committed, Expect, StoreUnavailable
from medlarspring_bench.platform_world.checks import check_history
from medlarspring_bench.platform_world.customers import Customers
from medlarspring_bench.platform_world.plans import WorldPlan
from medlarspring_bench.platform_world.virtual_time import run_virtual
from medlarspring_bench.platform_world.world import World
from medlarspring_daemon.scheduling.job_record_writer import JobRecordWriter
from medlarspring_daemon.scheduling.keys import CellKeys
from medlarspring_tables import JobId, PoolId, Revision
from medlarspring_tables.scheduling import (
    ActiveJob,
    CellId,
    JobSpec,
    QueueId,
    QueuePolicy,
    StepSpec,
)

if TYPE_CHECKING:
    from medlarspring_adapters.store import Transaction
    from medlarspring_bench.key_value_ops import Commit
    from medlarspring_bench.platform_world.virtual_time import VirtualClock

SEED = 21
JOBS = 60
MAX_WRITES_PER_RUN = 1.0


def test_ends_are_recorded_with_the_starts_that_follow_them():
    """
    Guards against separate writes for ends. 60 jobs in one second keep a pool full, so
    each end frees resources for a start. Written separately, ends took a third of the
    controller's writes, although only their acknowledgement waits for them.
    """
    writes = 0

    def count(commit: Commit) -> None:
        nonlocal writes
        writes += any(
            change.kv.key.startswith(b"progress/") for change in commit.changes
        )

    async def main(clock: VirtualClock) -> World:
        world = World(WorldPlan(), clock, SEED)
        await world.start()
        await asyncio.sleep(3.0)
        customers = Customers(world, world.rng)
        world.state.listeners.append(count)
        for _ in range(JOBS):
            job_id, spec = customers.create_batch()
            customers.send("lookup", job_id, spec)
            await asyncio.sleep(1.0 / JOBS)
        await asyncio.sleep(30.0)
        await world.stop()
        return world

    world = run_virtual(main)
    assert check_history(world.history) == []
    runs = len(world.history.runs)
    assert runs > 5 * JOBS
    assert writes < MAX_WRITES_PER_RUN * runs


def create_term(keys: CellKeys) -> Any:
    """Return a term that stays active."""
    return SimpleNamespace(
        keys=keys,
        is_active=lambda: True,
        expect=lambda: Expect(keys.controller, Revision(1)),
    )


@pytest.mark.parametrize("refusal", ["answer", "exception"])
def test_record_that_is_always_refused_does_not_block_others(refusal: str):
    """Guards against jobs that never start as their records share a refused write.

    The store refuses one job's record in each write, for instance as too large.
    """
    jobs = [create_job(number) for number in range(12)]
    refused = jobs[5]
    keys = CellKeys(CellId("0"))
    calls: list[int] = []

    async def commit(transaction: Transaction) -> Any:
        calls.append(len(transaction.writes))
        await asyncio.sleep(0.004)
        if any(write.key == keys.progress(refused.id) for write in transaction.writes):
            if refusal == "exception":
                raise ValueError
            return Failure(StoreUnavailable("HTTP status 413"))
        return Success(Committed(succeeded=True, revision=Revision(2), read_by_key={}))

    async def main(clock: VirtualClock) -> None:
        node: Any = SimpleNamespace(
            clock=clock,
            metrics=NoMetrics(),
            store=SimpleNamespace(commit=commit),
            log=SimpleNamespace(warning=lambda *_, **__: None),
            failures=SimpleNamespace(report=lambda *_: None),
        )
        writer = JobRecordWriter(node, create_term(keys), lambda job: None)
        for job in jobs:
            writer.schedule_write(job)
        await asyncio.sleep(1.0)
        await writer.close(flush=False)

    run_virtual(main)
    assert [job for job in jobs if not job.written_version] == [refused]
    assert len(calls) < 30


def create_job(number: int) -> ActiveJob:
    return ActiveJob(
        id=JobId(f"{number:016x}"),
        queue=QueuePolicy(id=QueueId("lookup"), pool_id=PoolId("consent")),
        spec=JobSpec(payload="", steps=(StepSpec(count=1),)),
        accepted_at_ms=0,
        job_revision=Revision(1),
        arrived_at=0.0,
        version=1,
    )


def test_all_records_are_written_when_more_change_than_fit_in_flight():
    """
    100 jobs change at once: four writes are in flight, and the others wait. More ends
    arrive while writes finish. On uvloop, the handle of a flush without delay has no
    due time. Reading it raised an error that ended the link which had listed the ends,
    and its jobs never went on.
    """
    jobs = [create_job(number) for number in range(100)]
    keys = CellKeys(CellId("0"))
    faults: list[dict[str, Any]] = []
    writer: JobRecordWriter

    async def commit(transaction: Transaction) -> Any:
        await asyncio.sleep(0)
        for job in jobs:
            if job.version < 4:
                job.version += 1
                writer.schedule_ends_write(job)
        return Success(Committed(succeeded=True, revision=Revision(2), read_by_key={}))

    async def main() -> None:
        nonlocal writer
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: faults.append(context)
        )
        node: Any = SimpleNamespace(
            clock=SystemClock(),
            metrics=NoMetrics(),
            store=SimpleNamespace(commit=commit),
        )
        writer = JobRecordWriter(node, create_term(keys), lambda job: None)
        for job in jobs:
            writer.schedule_write(job)
        async with asyncio.timeout(10.0):
            while any(job.written_version < job.version for job in jobs):
                await asyncio.sleep(0.005)
        await writer.close(flush=True)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())
    assert faults == []
