from __future__ import annotations

from unittest.mock import AsyncMock

import pytest

from medlarspring_adapters.job_store import JobWrite
from medlarspring_adapters.worker_control import StopOrder, TaskOrder
from medlarspring_bench.job_histories import FakePool, Holder, run_history
from medlarspring_tables import (
    AttemptState,
    Job,
    JobId,
    JobState,
    JobUrgency,
    PartnerId,
    PoolId,
    Revision,
    Size,
)


async def submit(pool: FakePool, *ids: str, cpus: float = 8.0, **fields) -> None:
    for id in ids:
        job = Job(
            id=JobId(id),
            partner_id=PartnerId("north"),
            pool_id=PoolId("survey"),
            kind="kind-0",
            declared=Size(cpus, cpus),
            declared_seconds=1000.0,
            submitted_at=pool.clock.wall(),
            **fields,
        )
        pool.jobs_by_id[job.id] = job
        await pool.submitter.save([JobWrite(job, Revision(0))], None)
    pool.holder.controller.schedule_reload()


def read_job(pool: FakePool, id: str) -> Job:
    return next(job for job in pool.read_jobs() if job.id == id)


async def run_rounds(pool: FakePool, rounds: int = 4) -> None:
    for _ in range(rounds):
        await pool.holder.run_round()
        pool.clock.advance(0.5)


@pytest.mark.parametrize("seed", range(25))
async def test_no_job_is_lost_or_run_twice_in_a_seeded_history(seed):
    """
    In seeded order, holders are killed and frozen, store requests and replies are
    lost, the store goes down, and workers are partitioned and reboot. After the
    recovery every job has ended, no job ran on two workers at once and no partner
    exceeded its quota.
    """
    history = await run_history(seed)
    assert history.violations == []
    assert history.jobs > 0


async def test_late_write_of_a_frozen_holder_does_not_break_a_quota():
    """
    A holder freezes between its decision and its write; the next holder uses up
    the partner's quota with another job. The record in the late write is
    unchanged, so only the expected revision of the holder key can refuse it.
    """
    pool = FakePool(seed=1, workers=8)
    await submit(pool, "early", cpus=31.0)
    await run_rounds(pool)
    await submit(pool, *(f"late-{number}" for number in range(3)), cpus=31.0)
    frozen = pool.holder
    frozen.store.running.clear()
    await frozen.run_round()
    await submit(pool, *(f"ahead-{number}" for number in range(5)), cpus=31.0)
    pool.holder = Holder(pool)
    await run_rounds(pool)
    pool.frozen = [frozen]
    await pool.thaw()
    pool.check_quotas()
    assert read_job(pool, "ahead-4").state is JobState.RUNNING
    assert pool.history.violations == []


async def test_start_is_found_again_after_the_reply_of_its_write_was_lost():
    """
    The write of a start intent takes effect and its reply is lost. The job is
    "waiting" in memory but "placed" in the store: unless the records are read
    again, every later write of the job is refused and it never runs.
    """
    pool = FakePool(seed=1, workers=2)
    await submit(pool, "first")
    await run_rounds(pool)
    await submit(pool, "second")
    await pool.holder.controller.load()
    pool.holder.store.faults.lose_replies = 1
    await run_rounds(pool)
    attempt = read_job(pool, "second").attempt
    assert attempt is not None
    assert attempt.state is AttemptState.RUNNING


async def test_stopped_attempt_is_not_placed_again_while_its_start_may_arrive():
    """
    A start is written while its worker is partitioned, then the job is cancelled in
    favour of urgent work elsewhere. Until the worker has confirmed the stop, a
    delayed start could run there while the job runs on another worker.
    """
    pool = FakePool(seed=1, workers=2)
    pool.control.unreachable.update(pool.workers_by_id)
    await submit(pool, "job", can_checkpoint=True)
    await run_rounds(pool, 1)
    placed = read_job(pool, "job")
    order = TaskOrder(
        job_id=placed.id,
        attempt=placed.attempt.number,
        size=placed.attempt.size,
        declared_seconds=1000.0,
        lease_seconds=30.0,
    )
    await pool.cancel(placed.id)
    pool.control.unreachable.clear()
    await run_rounds(pool)
    worker = pool.workers_by_id[placed.attempt.vm_id]
    assert read_job(pool, "job").state is JobState.CANCELLED
    assert worker.start(order) is False


async def test_cancellation_that_a_watch_reports_during_a_write_is_not_undone():
    """
    An operator's cancellation is written before the holder's write of "placed", and
    the watch reports it before that write is refused. Reverting the refused change
    must not restore the waiting job.
    """
    pool = FakePool(seed=1, workers=2)
    await submit(pool, "job")
    holder = pool.holder
    holder.store.running.clear()
    await holder.run_round()
    await pool.cancel(JobId("job"))
    entry = (await pool.submitter.read_job(PoolId("survey"), JobId("job"))).unwrap()
    holder.controller.apply_record(entry)
    holder.store.running.set()
    await run_rounds(pool)
    assert read_job(pool, "job").state is JobState.CANCELLED


async def test_running_work_goes_on_through_a_long_store_outage():
    """
    The store is down for ten minutes. No job is placed, but task leases must be
    renewed so that running tasks are not stopped and started again.
    """
    pool = FakePool(seed=1, workers=2)
    await submit(pool, "job")
    await run_rounds(pool)
    fence = pool.holder.fence
    pool.holder.fence = None
    pool.holder.store.faults.down = True
    pool.holder.acquire_pool = AsyncMock()
    await run_rounds(pool, 1200)
    pool.holder.store.faults.down = False
    pool.holder.fence = fence
    await run_rounds(pool, 40)
    assert read_job(pool, "job").attempts_made == 1


async def test_job_does_not_run_twice_while_answers_of_its_worker_are_lost():
    """Guards against renewals that reach a worker which counts as unresponsive."""
    pool = FakePool(seed=1, workers=2)
    await submit(pool, "job")
    await run_rounds(pool)
    placed = read_job(pool, "job").attempt
    assert placed is not None
    pool.control.renewal_answers_lost.add(placed.vm_id)
    (task,) = pool.workers_by_id[placed.vm_id].tasks_by_id.values()
    while read_job(pool, "job").attempts_made == 1:
        await run_rounds(pool, 1)
    assert task.lease_until <= pool.clock.now()


async def test_urgent_job_starts_within_two_seconds_on_a_full_pool():
    """
    An urgent job arrives while every worker is full of jobs that can checkpoint.
    One attempt is checkpointed and the urgent job starts on its worker.
    """
    pool = FakePool(seed=1, workers=4)
    ids = [f"soft-{number:02}" for number in range(12)]
    await submit(pool, *ids, cpus=16.0, can_checkpoint=True)
    await run_rounds(pool, 10)
    asked_at = pool.clock.now()
    await submit(pool, "urgent", cpus=16.0, urgency=JobUrgency.URGENT)
    for _ in range(20):
        await run_rounds(pool, 1)
        job = read_job(pool, "urgent")
        if job.attempt and job.attempt.state is AttemptState.RUNNING:
            break
    assert job.attempt.started_at - asked_at <= 2.0


def test_stop_received_before_its_start_keeps_the_start_from_running():
    pool = FakePool(seed=1, workers=1)
    worker = pool.workers_by_id["vm-0"]
    worker.stop(JobId("job"), StopOrder(1, checkpoint=False))
    order = TaskOrder(
        job_id=JobId("job"),
        attempt=1,
        size=Size(1, 1),
        declared_seconds=1.0,
        lease_seconds=30.0,
    )
    assert worker.start(order) is False
