"""Answers to customers while the store is down, or its replies are lost."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import pytest
from returns.pipeline import is_successful

from medlarspring_adapters.group_commit import MAX_CALLS_AT_ONCE
from medlarspring_bench.key_value_ops import RangeOp
from medlarspring_bench.platform_world.customers import Customers
from medlarspring_bench.platform_world.fault_state import StoreMode, WriteFault
from medlarspring_bench.platform_world.plans import HOST, WorldPlan
from medlarspring_bench.platform_world.virtual_time import run_virtual
from medlarspring_bench.platform_world.world import World
from medlarspring_daemon.scheduling.intake_errors import NotReady, OutcomeUnknown
from medlarspring_daemon.scheduling.keys import InboxKind
from medlarspring_systems.scheduling.callers import Caller

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from medlarspring_bench.platform_world.virtual_time import VirtualClock
    from medlarspring_tables import JobId
    from medlarspring_tables.scheduling import JobSpec

TIMEOUT_SECONDS = 3.0
MAX_ANSWER_SECONDS = 1.5
GROUP_SIZE = 5
MANY_CALLS = 1_000
SETTLE_SECONDS = 15.0
READ_SECONDS = 0.007
"""Time of one call to the emulated store."""
NO_WORKERS = WorldPlan(vms_per_pool=0, standby_vms=0)
"""No job starts, so that submissions make all the writes to the inbox."""


def run_scenario(
    scenario: Callable[[World, Customers], Awaitable[None]],
    plan: WorldPlan | None = None,
) -> None:
    async def main(clock: VirtualClock) -> None:
        world = World(plan or WorldPlan(), clock, 3)
        await world.start()
        await asyncio.sleep(3.0)
        await scenario(world, Customers(world, world.rng))
        await world.stop()

    run_virtual(main)


async def submit(world: World, customers: Customers):  # type: ignore[no-untyped-def]
    """Submit a job to the first entry VM; return the answer and the seconds it took."""
    return await submit_job(world, *customers.create_batch())


async def submit_job(world: World, job_id: JobId, spec: JobSpec):  # type: ignore[no-untyped-def]
    service = world.nodes_by_name["entry-0"].service
    call = service.operator_records.admit(HOST, f"/lookup/{job_id}", "").unwrap()
    sent_at = world.clock.now()
    answer = await service.intake.submit(
        call.match.queue, job_id, spec, call.caller, TIMEOUT_SECONDS
    )
    return answer, world.clock.now() - sent_at


@pytest.mark.parametrize("mood", [StoreMode.BUSY, StoreMode.SILENT])
def test_calls_are_refused_at_once_while_the_store_is_lost(mood: StoreMode):
    """
    The store is down for some seconds. A call that waits until the customer's deadline
    gets no answer in time. An immediate refusal tells the customer when to retry.
    """

    async def scenario(world: World, customers: Customers) -> None:
        world.fault_state.store_mode = mood
        await submit(world, customers)
        answer, took = await submit(world, customers)
        assert isinstance(answer.failure(), NotReady)
        assert took < 0.05
        job_id, _ = customers.create_batch()
        intake = world.nodes_by_name["entry-0"].service.intake
        asked_at = world.clock.now()
        status = await intake.find_status(job_id, Caller(), TIMEOUT_SECONDS)
        assert isinstance(status.failure(), NotReady)
        assert world.clock.now() - asked_at < 0.05
        log = world.nodes_by_name["entry-0"].log.getvalue()
        refused = [line for line in log.splitlines() if '"job_call_refused"' in line]
        assert any(job_id in line and '"call": "status"' in line for line in refused)

    run_scenario(scenario)


def test_retry_after_grows_with_the_length_of_an_outage():
    async def scenario(world: World, customers: Customers) -> None:
        world.fault_state.store_mode = StoreMode.BUSY
        first, _ = await submit(world, customers)
        assert first.failure().retry_after == 1
        await asyncio.sleep(3.0)
        later, _ = await submit(world, customers)
        assert 3 <= later.failure().retry_after <= 4

    run_scenario(scenario)


def test_calls_succeed_as_soon_as_the_store_recovers():
    async def scenario(world: World, customers: Customers) -> None:
        world.fault_state.store_mode = StoreMode.SILENT
        await submit(world, customers)
        await asyncio.sleep(2.0)
        world.fault_state.store_mode = StoreMode.WELL
        await asyncio.sleep(0.3)
        answer, took = await submit(world, customers)
        assert is_successful(answer)
        assert took < 0.1

    run_scenario(scenario)


def test_submission_interrupted_by_an_outage_is_soon_reported_unknown():
    """
    The store receives the write and then stops answering. The write may have been
    applied, so the outcome must be reported as unknown, and soon enough for the
    customer to retry at another entry VM.
    """

    async def scenario(world: World, customers: Customers) -> None:
        world.fault_state.store_mode = StoreMode.SILENT
        answer, took = await submit(world, customers)
        assert isinstance(answer.failure(), OutcomeUnknown)
        assert took < MAX_ANSWER_SECONDS

    run_scenario(scenario)


def test_submission_is_repeated_after_a_lost_reply_until_the_job_is_found():
    async def scenario(world: World, customers: Customers) -> None:
        world.fault_state.lost_replies = 1.0
        task = asyncio.ensure_future(submit(world, customers))
        await asyncio.sleep(0.2)
        world.fault_state.lost_replies = 0.0
        answer, _ = await task
        assert is_successful(answer)

    run_scenario(scenario)


def is_stored(world: World, job_id: JobId, kind: InboxKind = InboxKind.JOB) -> bool:
    found = world.state.apply(RangeOp(b"inbox/", b"inbox0"))
    end = f"/{kind.value}/{job_id}"
    return any(kv.key.decode().endswith(end) for kv in found.kvs)  # type: ignore[union-attr]


@pytest.mark.parametrize("fault", WriteFault)
@pytest.mark.parametrize("failing_calls", [1, MANY_CALLS])
@pytest.mark.parametrize("first_failed", range(GROUP_SIZE + 1))
def test_refused_submission_of_an_interrupted_group_is_never_stored(
    first_failed: int, failing_calls: int, fault: WriteFault
):
    """Guards against a job that runs after its customer was told that it never will.

    A repeat of a known job splits its group of submissions into calls of their own,
    and the store fails after some of them.
    """

    async def scenario(world: World, customers: Customers) -> None:
        known = customers.create_batch()
        await submit_job(world, *known)
        count = MAX_CALLS_AT_ONCE + GROUP_SIZE - 1
        jobs = [customers.create_batch() for _ in range(count)]
        jobs.insert(MAX_CALLS_AT_ONCE + GROUP_SIZE // 2, known)
        passing = [None] * (MAX_CALLS_AT_ONCE + first_failed)
        faults = deque([*passing, *[fault] * failing_calls])
        world.fault_state.write_faults_by_prefix["inbox/"] = faults
        answers = await asyncio.gather(*(submit_job(world, *each) for each in jobs))
        world.fault_state.clear()
        await asyncio.sleep(SETTLE_SECONDS)
        for (job_id, _), (answer, _) in zip(jobs, answers, strict=True):
            if is_successful(answer):
                assert is_stored(world, job_id)
                continue
            assert failing_calls == MANY_CALLS
            if isinstance(answer.failure(), NotReady):
                assert job_id == known[0] or not is_stored(world, job_id)
            else:
                assert fault is not WriteFault.REFUSED

    run_scenario(scenario, NO_WORKERS)


@pytest.mark.parametrize("first_failed", range(1, GROUP_SIZE + 1))
def test_refused_cancel_of_an_interrupted_group_is_never_carried_out(
    first_failed: int,
):
    """Guards against a job that is cancelled after its cancel was refused."""

    async def scenario(world: World, customers: Customers) -> None:
        intake = world.nodes_by_name["entry-0"].service.intake
        known = [customers.create_batch() for _ in range(GROUP_SIZE)]
        for each in known:
            await submit_job(world, *each)
        # The controller learns of no cancel, so that it writes nothing meanwhile.
        world.fault_state.stalled_watches.update(world.nodes_by_name)
        cancels = [
            asyncio.ensure_future(intake.cancel(job_id, Caller(), TIMEOUT_SECONDS))
            for job_id, _ in known[1:]
        ]
        # The submissions use up the call slots just before the cancels, which read
        # the jobs first, are written in one group with the repeat.
        await asyncio.sleep(READ_SECONDS - 0.0005)
        earlier = [customers.create_batch() for _ in range(MAX_CALLS_AT_ONCE)]
        slots = [asyncio.ensure_future(submit_job(world, *each)) for each in earlier]
        await asyncio.sleep(0.001)
        repeat = asyncio.ensure_future(submit_job(world, *known[0]))
        faults = deque([*[None] * first_failed, *[WriteFault.REFUSED] * MANY_CALLS])
        world.fault_state.write_faults_by_prefix["inbox/"] = faults
        await asyncio.gather(*slots, repeat)
        answers = await asyncio.gather(*cancels)
        recorded = [is_stored(world, each, InboxKind.CANCEL) for each, _ in known[1:]]
        assert [is_successful(answer) for answer in answers] == recorded
        assert sum(recorded) == first_failed - 1

    run_scenario(scenario, NO_WORKERS)
