"""The record of partners' recent use, through takeovers and faults of the store."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from medlarspring_adapters.events import Event
from medlarspring_bench.key_value_ops import PutOp, RangeOp, RangeReply
from medlarspring_bench.platform_world.fault_state import StoreMode
from medlarspring_bench.platform_world.partners import PartnerPlan
from medlarspring_bench.platform_world.plans import WorldPlan
from medlarspring_tables import PartnerId
from medlarspring_tables.scheduling import PartnerUse, StepSpec, UsageRecord

from .scenarios import run_scenario, wait_for_end

if TYPE_CHECKING:
    from medlarspring_bench.platform_world.customers import Customers
    from medlarspring_bench.platform_world.world import World
    from medlarspring_tables import JobId

SEED = 7
KEY = b"usage/0"
ZIWA = PartnerId("ziwa")
PLAN = WorldPlan(
    partners=(PartnerPlan("ziwa", ("ziwa-key",)), PartnerPlan("pwani", ("pwani-key",)))
)
STEP = StepSpec(count=8, cpu_millis=4_000, memory_mb=512, estimate_ms=1_500)


async def submit(customers: Customers, count: int = 6) -> list[JobId]:
    """Submit jobs of one partner that keep several workers busy."""
    jobs = []
    for _ in range(count):
        job_id, spec = customers.create_job(STEP)
        customers.assign(job_id, ZIWA)
        assert await customers.submit("lookup", job_id, spec)
        jobs.append(job_id)
    return jobs


def read_record(world: World) -> UsageRecord | None:
    reply = world.state.apply(RangeOp(KEY))
    assert isinstance(reply, RangeReply)
    if not reply.kvs:
        return None
    return msgspec.json.decode(reply.kvs[0].value, type=UsageRecord)


def list_outcomes(world: World) -> list[dict[str, Any]]:
    """Return the log lines of 9018 with the process that wrote them, by time."""
    lines = [
        json.loads(line)
        for _, log in world.logs
        for line in log.getvalue().splitlines()
    ]
    return [line for line in lines if line["event"] == Event.USAGE_RECORD.number]


async def replace_controller(world: World, wait_seconds: float = 0.5) -> None:
    """Kill the controller, and wait until the next one has read the record."""
    controller = world.find_controller()
    assert controller is not None
    world.kill_node(controller)
    async with asyncio.timeout(10.0):
        while world.find_controller() is None:
            await asyncio.sleep(0.02)
    await asyncio.sleep(wait_seconds)


def test_next_controller_knows_what_the_former_one_counted():
    """Guards against a takeover after which the largest user begins at 0."""

    async def scenario(world: World, customers: Customers) -> None:
        jobs = await submit(customers)
        await asyncio.sleep(2.5)
        before = read_record(world)
        assert before is not None
        assert before.use_by_partner[ZIWA].core_seconds > 0.0
        await replace_controller(world, 1.5)
        after = read_record(world)
        assert after is not None
        assert after.at_ms > before.at_ms
        assert after.use_by_partner[ZIWA].core_seconds > 0.0
        await wait_for_end(customers, jobs)

    world = run_scenario(scenario, SEED, plan=PLAN)
    restored = [each for each in list_outcomes(world) if each["outcome"] == "restored"]
    assert len(restored) == 1
    assert restored[0]["partners"] == 1
    assert 0.0 <= restored[0]["age_s"] < 5.0


def test_controller_killed_between_two_writes_leaves_the_older_record():
    """Guards against a record that counts for more than its age allows."""

    async def scenario(world: World, customers: Customers) -> None:
        jobs = await submit(customers)
        await asyncio.sleep(1.6)
        before = read_record(world)
        assert before is not None
        jobs += await submit(customers)
        await replace_controller(world)
        await wait_for_end(customers, jobs)
        assert read_record(world) != before

    world = run_scenario(scenario, SEED, plan=PLAN)
    assert [each["outcome"] for each in list_outcomes(world)].count("restored") == 1


@pytest.mark.parametrize(
    ("value", "outcome"),
    [
        (b'{"at_ms": 1, "use_by', "unreadable"),
        (b"\xff\x00", "unreadable"),
        (b'{"at_ms": 1, "use_by_partner": {"ziwa": [-4.0, 1.0]}}', "unreadable"),
        (b'{"at_ms": 1, "use_by_partner": {"ziwa": [1e300, 1.0]}}', "unreadable"),
        (b'{"at_ms": 1, "use_by_partner": {"ziwa": [4.0, 1.0]}}', "old"),
        (
            b'{"at_ms": 1000000000000000, "use_by_partner": {"ziwa": [4.0, 1.0]}}',
            "restored",
        ),
    ],
    ids=["torn", "bytes", "negative", "huge", "old", "future"],
)
def test_bad_record_delays_no_takeover(value: bytes, outcome: str):
    """Guards against a takeover that stops at the record, or believes any of it."""

    async def scenario(world: World, customers: Customers) -> None:
        world.state.apply(PutOp(KEY, value))
        await replace_controller(world)
        await wait_for_end(customers, await submit(customers, 2))

    world = run_scenario(scenario, SEED, plan=PLAN)
    assert outcome in [each["outcome"] for each in list_outcomes(world)]


def test_refused_write_is_logged_and_made_up_for():
    """Guards against a store's refusal after which use is never recorded again."""

    async def scenario(world: World, customers: Customers) -> None:
        jobs = await submit(customers)
        controller = world.find_controller()
        assert controller is not None
        for _ in range(4):
            # Shorter than the lease, so that the controller stays in office.
            world.fault_state.store_modes_by_node[controller] = StoreMode.BUSY
            await asyncio.sleep(0.7)
            world.fault_state.store_modes_by_node.clear()
            await asyncio.sleep(0.65)
        assert world.find_controller() == controller
        await asyncio.sleep(1.5)
        assert read_record(world) is not None
        await wait_for_end(customers, jobs)

    world = run_scenario(scenario, SEED, plan=PLAN)
    outcomes = [each["outcome"] for each in list_outcomes(world)]
    assert 1 <= outcomes.count("not_written") <= 4


def test_use_is_written_at_most_once_a_second():
    """Load: twelve seconds of one partner's jobs, then none."""
    written: set[int] = set()
    idle: set[int] = set()

    async def scenario(world: World, customers: Customers) -> None:
        jobs = await submit(customers)
        for _ in range(240):
            await asyncio.sleep(0.05)
            record = read_record(world)
            if record is not None:
                written.add(record.at_ms)
        await wait_for_end(customers, jobs)
        await asyncio.sleep(3.0)
        for _ in range(80):
            await asyncio.sleep(0.05)
            record = read_record(world)
            assert record is not None
            idle.add(record.at_ms)

    run_scenario(scenario, SEED, plan=PLAN)
    assert 2 <= len(written) <= 13
    assert len(idle) == 1


def test_without_partners_nothing_is_read_or_written():
    """Guards against store calls of a deployment that has no shares."""

    async def scenario(world: World, customers: Customers) -> None:
        job_id, spec = customers.create_job(STEP)
        assert await customers.submit("lookup", job_id, spec)
        await wait_for_end(customers, [job_id])
        assert read_record(world) is None

    world = run_scenario(scenario, SEED)
    assert list_outcomes(world) == []


def test_record_of_fifty_partners_is_small():
    use = {
        PartnerId(f"partner-{number:04}"): PartnerUse(123.4, 56789.1)
        for number in range(50)
    }
    assert len(msgspec.json.encode(UsageRecord(at_ms=1, use_by_partner=use))) < 2_500
