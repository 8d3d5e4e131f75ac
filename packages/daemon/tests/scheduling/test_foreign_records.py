"""Unreadable records in the store must not block takeovers, feeds or other jobs."""

from __future__ import annotations

import asyncio
import json
import random
from typing import TYPE_CHECKING, Any

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st

from medlarspring_adapters.events import Event
from medlarspring_bench.key_value_ops import PutOp, RangeOp, RangeReply

from .scenarios import run_scenario, submit, wait_for_end

if TYPE_CHECKING:
    from medlarspring_bench.platform_world.customers import Customers
    from medlarspring_bench.platform_world.world import World

SEED = 11
RECORD_UNREADABLE = Event.RECORD_UNREADABLE.number
TASK_FAILED = Event.TASK_FAILED.number

BAD_KEYS = (
    "op/wave/9",
    "op/wave/none",
    "servers/i-foreign",
    "servers/",
    "inbox/0/job/00000000000000aa",
    "inbox/0/cancel/00000000000000ab",
    "inbox/0/elsewhere",
    "progress/0/00000000000000ac",
    "waves/0/9",
    "sizes/0",
    "operations/0",
    "load/0",
    "usage/0",
)
NESTED = b'{"odd": ' + b"[" * 1_500 + b"]" * 1_500 + b"}"
DEEPLY_NESTED = b'{"odd": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"
HUGE = "9" * 311
ODD_NUMBERS = (HUGE, "9" * 5_000, "1e400", "-1", str(2**63))
ODD_FIELDS = (
    ("clockMs", '"clockMs": #'),
    ("born", '"born": #'),
    ("cpu", '"capacity": {"cpu": #, "memMb": 32768}'),
    ("memMb", '"capacity": {"cpu": 4000, "memMb": #}'),
    ("port", '"address": "10.0.0.1:#"'),
)
ODD_RECORDS = (
    (
        "inbox/0/job/00000000000000aa",
        '{"queue": {"id": "lookup", "pool_id": "lookup"}, "accepted_at_ms": 1,'
        ' "spec": {"payload": "", "steps": [{"count": 1, "estimate_ms": #}]}}',
    ),
    (
        "inbox/0/job/00000000000000aa",
        '{"queue": {"id": "lookup", "pool_id": "lookup"}, "accepted_at_ms": #,'
        ' "spec": {"payload": "", "steps": [{"count": 1}]}}',
    ),
    ("inbox/0/cancel/00000000000000ab", '{"requested_at_ms": #}'),
    ("progress/0/00000000000000ac", '{"steps": {"#.0": {}}, "occurrences_done": #}'),
    ("operations/0", '{"sent_ms_by_vm": {"m-1": #}}'),
    ("sizes/0", '{"vms_by_pool": {"lookup": #}}'),
    ("load/0", '{"at_ms": #, "waiting_by_queue": {"lookup": #}}'),
    ("load/1", '{"at_ms": #}'),
    ("usage/0", '{"at_ms": #, "use_by_partner": {"a": [#, #]}}'),
    ("op/wave/9", '{"wave": #, "machines": [], "deadlineS": #, "maxCount": #}'),
)


def put(world: World, key: str, value: bytes) -> None:
    world.state.apply(PutOp(key.encode(), value))


def read(world: World, key: str) -> bytes | None:
    reply = world.state.apply(RangeOp(key.encode()))
    assert isinstance(reply, RangeReply)
    return reply.kvs[0].value if reply.kvs else None


def read_lines(world: World) -> list[dict[str, Any]]:
    return [
        json.loads(line)
        for _, log in world.logs
        for line in log.getvalue().splitlines()
    ]


def list_unreadable_events(world: World, key: str) -> list[dict[str, Any]]:
    return [
        line
        for line in read_lines(world)
        if line.get("event") == RECORD_UNREADABLE and line.get("key") == key
    ]


async def complete_jobs(customers: Customers, count: int = 4) -> None:
    await wait_for_end(customers, await submit(customers, count))


async def replace_controller(world: World) -> None:
    controller = world.find_controller()
    assert controller is not None
    world.kill_node(controller)
    await world.start_node(controller)
    async with asyncio.timeout(10.0):
        while world.find_controller() is None:
            await asyncio.sleep(0.05)


@pytest.mark.parametrize(
    "value",
    [b"", b"\xff\xfe", b"[]", b"{}", b'{"wave": {}}', NESTED, DEEPLY_NESTED],
    ids=["empty", "bytes", "list", "object", "wave", "nested", "deeply-nested"],
)
def test_unreadable_records_do_not_block_takeover_or_jobs(value: bytes):
    """
    Another program writes unreadable values under every prefix that a controller
    reads. The controller is killed, and the next one reads all of them during its
    takeover. Jobs must be accepted and completed before, during and after that.
    """

    async def scenario(world: World, customers: Customers) -> None:
        for key in BAD_KEYS:
            put(world, key, value)
        await complete_jobs(customers)
        await replace_controller(world)
        await complete_jobs(customers)
        world.forget_history()
        await complete_jobs(customers)

    world = run_scenario(scenario, SEED)
    failed = [line for line in read_lines(world) if line["event"] == TASK_FAILED]
    assert failed == []


@pytest.mark.parametrize("number", ODD_NUMBERS, ids=lambda text: text[:6])
@pytest.mark.parametrize(
    ("key", "content"), ODD_RECORDS, ids=[key for key, _ in ODD_RECORDS]
)
def test_numbers_out_of_bounds_do_not_block_takeover_or_jobs(
    key: str, content: str, number: str
):
    """Guards against a follower or a takeover that ends on an OverflowError."""

    async def scenario(world: World, customers: Customers) -> None:
        put(world, key, content.replace("#", number).encode())
        await complete_jobs(customers, 2)
        await replace_controller(world)
        await complete_jobs(customers, 2)

    world = run_scenario(scenario, SEED, checked=number != "-1")
    failed = [line for line in read_lines(world) if line["event"] == TASK_FAILED]
    assert failed == []


@pytest.mark.parametrize(
    ("content", "number"),
    [
        *(
            (content, number)
            for _, content in ODD_FIELDS[:-1]
            for number in ODD_NUMBERS
        ),
        *((ODD_FIELDS[-1][1], port) for port in ("0", "65536", "99999")),
        ('"odd": #', "[" * 1_500 + "]" * 1_500),
        ('"odd": #', "[" * 100_000 + "]" * 100_000),
    ],
    ids=lambda text: text[:14],
)
def test_odd_entry_of_a_worker_is_reported_once_and_its_next_one_is_taken(
    content: str, number: str
):
    """Guards against a worker registry that isn't followed after an odd entry."""

    async def scenario(world: World, customers: Customers) -> None:
        worker = next(iter(world.fleet.workers_by_id.values()))
        key = f"servers/{worker.id}"
        entry = read(world, key)
        assert entry is not None
        odd = f"{content.replace('#', number)}}}".encode()
        put(world, key, entry[:-1] + b", " + odd)
        put(world, "servers/i-foreign", entry[:-1] + b", " + odd)
        await complete_jobs(customers, 2)
        await replace_controller(world)
        await complete_jobs(customers, 2)
        put(world, key, entry)
        before = len(world.history.runs)
        await complete_jobs(customers, 12)
        used = {run.worker_id for run in world.history.runs[before:]}
        assert worker.id in used

    world = run_scenario(scenario, SEED)
    failed = [line for line in read_lines(world) if line["event"] == TASK_FAILED]
    assert failed == []
    # Once by each of the two controllers.
    assert len(list_unreadable_events(world, "servers/i-foreign")) == 2


@settings(
    max_examples=15,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(seed=st.integers(0, 2**32))
def test_corrupted_copies_of_records_do_not_block_jobs(seed: int):
    """
    While jobs run, copies of real job, progress and worker records are written under
    new ids, with bytes removed, changed or replaced. The next controller reads all
    of them, and every real job must still complete.
    """
    rng = random.Random(seed)

    def corrupt(value: bytes) -> bytes:
        at = rng.randrange(len(value) + 1)
        choices = (
            value[:at],
            value[:at] + bytes([rng.randrange(256)]) + value[at + 1 :],
            value.replace(b"0", b"-9"),
            value.replace(b"1", b'"x"', 1),
            value.replace(b":", b":[", 1),
        )
        return rng.choice(choices)

    async def scenario(world: World, customers: Customers) -> None:
        job_id, spec = customers.create_batch()
        assert await customers.submit("lookup", job_id, spec)
        await asyncio.sleep(0.4)
        for prefix in ("inbox/0/job/", "progress/0/", "servers/"):
            reply = world.state.apply(
                RangeOp(prefix.encode(), prefix.encode() + b"\xff")
            )
            assert isinstance(reply, RangeReply)
            for number, kv in enumerate(reply.kvs[:4]):
                copy = f"{prefix}{number:016x}"
                put(world, copy, corrupt(kv.value))
        await replace_controller(world)
        await complete_jobs(customers, 2)

    # A corrupted copy may still be a valid job that no customer submitted.
    run_scenario(scenario, SEED, checked=False)


def test_job_whose_progress_is_unreadable_does_not_start_over():
    """
    Guards against tasks that run again after they were done. A controller passes over
    a job whose progress it can't read, and reads all jobs again when the store drops
    its history.
    """

    async def scenario(world: World, customers: Customers) -> None:
        job_id, spec = customers.create_long_running()
        assert await customers.submit("archive", job_id, spec)
        await asyncio.sleep(0.5)
        put(world, f"progress/0/{job_id}", b"not a record")
        await replace_controller(world)
        started = len(world.history.runs)
        world.forget_history()
        await complete_jobs(customers)
        again = [
            run
            for run in world.history.runs[started:]
            if run.task_id.startswith(job_id)
        ]
        assert again == []

    run_scenario(scenario, SEED)


def test_unreadable_record_is_logged_once():
    """
    A worker rewrites its entry every 1.5 s. An unreadable entry must be logged once,
    not at each write and each listing.
    """

    async def scenario(world: World, customers: Customers) -> None:
        for _ in range(5):
            put(world, "servers/i-foreign", b"{}")
            await asyncio.sleep(0.5)
        world.forget_history()
        await asyncio.sleep(1.0)

    world = run_scenario(scenario, SEED)
    assert len(list_unreadable_events(world, "servers/i-foreign")) == 1


def test_worker_whose_entry_turns_unreadable_gets_no_new_tasks_and_keeps_its_own():
    """
    A worker's entry becomes unreadable while tasks run there. They must end there as
    usual, and new tasks go to other workers until the entry is readable again.
    """

    async def scenario(world: World, customers: Customers) -> None:
        job_id, spec = customers.create_batch()
        assert await customers.submit("lookup", job_id, spec)
        await asyncio.sleep(0.3)
        busy = next(each for each in world.fleet.workers_by_id.values() if each.runs)
        kept = set(busy.runs)
        key = f"servers/{busy.id}"
        entry = read(world, key)
        assert entry is not None
        put(world, key, b'{"state": "unheard-of"}')
        await asyncio.sleep(0.1)
        before = {
            (run.task_id, run.number)
            for run in world.history.runs
            if run.worker_id == busy.id
        }
        await complete_jobs(customers, 6)
        after = {
            (run.task_id, run.number)
            for run in world.history.runs
            if run.worker_id == busy.id
        }
        assert before == after
        assert kept
        put(world, key, entry)
        await complete_jobs(customers, 6)

    run_scenario(scenario, SEED)


def test_worker_entry_is_used_once_its_pool_is_configured():
    """
    A worker registers for a pool that the configuration does not have yet, so its
    entry is ignored. Once a configuration with that pool arrives, the worker must be
    used without writing its entry again.
    """

    async def scenario(world: World, customers: Customers) -> None:
        busy = next(iter(world.fleet.workers_by_id.values()))
        entry = json.loads(read(world, f"servers/{busy.id}") or b"{}")
        put(
            world,
            "servers/i-later",
            json.dumps(entry | {"service": "later", "machineId": "m-x"}).encode(),
        )
        await asyncio.sleep(0.3)
        assert len(list_unreadable_events(world, "servers/i-later")) == 1
        controller = world.find_controller()
        assert controller is not None
        config = json.loads(read(world, "op/config") or b"{}")
        config["version"] += 1
        config["services"].append({"name": "later"})
        put(world, "op/config", json.dumps(config).encode())
        await asyncio.sleep(0.3)
        log = world.nodes_by_name[controller].log.getvalue()
        assert any(
            json.loads(line).get("worker") == "i-later" for line in log.splitlines()
        )

    run_scenario(scenario, SEED)


def test_job_with_unreadable_progress_is_not_restarted():
    """
    The controller is killed, and the progress record of a job with finished tasks is
    overwritten. Restarting the job would run those tasks twice. The job must be
    skipped and its record logged, while other jobs go on.
    """

    async def scenario(world: World, customers: Customers) -> None:
        job_id, spec = customers.create_batch()
        assert await customers.submit("lookup", job_id, spec)
        await asyncio.sleep(0.4)
        controller = world.find_controller()
        assert controller is not None
        world.kill_node(controller)
        assert read(world, f"progress/0/{job_id}") is not None
        put(world, f"progress/0/{job_id}", b'{"steps": {"0.0": {"done": "zz"}}}')
        starts = len(world.history.runs)
        await asyncio.sleep(4.0)
        assert len(world.history.runs) == starts
        assert list_unreadable_events(world, f"progress/0/{job_id}")
        await complete_jobs(customers)

    run_scenario(scenario, SEED)


def test_tasks_of_a_worker_whose_entry_is_lost_run_again_after_their_lease():
    """
    The controller is killed, and the entry of a worker with running tasks becomes
    unreadable before the next controller reads it. The worker still runs but can't be
    called. Its tasks must run again once their leases have certainly expired, and
    never in parallel with their first runs.
    """

    async def scenario(world: World, customers: Customers) -> None:
        job_id, spec = customers.create_batch()
        assert await customers.submit("lookup", job_id, spec)
        await asyncio.sleep(0.3)
        busy = next(each for each in world.fleet.workers_by_id.values() if each.runs)
        controller = world.find_controller()
        assert controller is not None
        world.kill_node(controller)
        put(world, f"servers/{busy.id}", b"{}")
        async with asyncio.timeout(30.0):
            while await customers.ask(job_id) != "complete":
                await asyncio.sleep(0.2)

    run_scenario(scenario, SEED)


@pytest.mark.parametrize(
    "progress",
    [
        {"steps": {f"{'9' * 5_000}.0": {}}},
        {"steps": {f"0.{'9' * 5_000}": {}}},
        {"steps": {"0.0": {"failures": {HUGE: 1}}}},
        {"steps": {"0.0": {"done": "f" * 10_000}}, "occurrences_done": 2**63},
        {"steps": {}, "done_beyond": [2**53]},
    ],
    ids=["occurrence", "step", "task", "occurrences-done", "done-beyond"],
)
def test_odd_progress_of_a_running_job_does_not_block_the_others(
    progress: dict[str, Any],
):
    """Guards against a takeover that ends on the progress of one job."""

    async def scenario(world: World, customers: Customers) -> None:
        job_id, spec = customers.create_long_running()
        assert await customers.submit("archive", job_id, spec)
        await asyncio.sleep(0.5)
        put(world, f"progress/0/{job_id}", json.dumps(progress).encode())
        await replace_controller(world)
        await complete_jobs(customers)
        assert list_unreadable_events(world, f"progress/0/{job_id}")

    world = run_scenario(scenario, SEED, checked=False)
    assert [line for line in read_lines(world) if line["event"] == TASK_FAILED] == []


@pytest.mark.parametrize("odd", [NESTED, b'{"version": ' + HUGE.encode() + b"}", b""])
def test_start_with_an_odd_configuration_waits_for_a_readable_one(odd: bytes):
    """Guards against an entry VM that isn't usable after an odd configuration."""

    async def scenario(world: World, customers: Customers) -> None:
        config = read(world, "op/config")
        assert config is not None
        put(world, "op/config", odd)
        await complete_jobs(customers, 2)
        names = list(world.nodes_by_name)
        for name in names:
            world.kill_node(name)
        for name in names:
            await world.start_node(name)
        await asyncio.sleep(2.0)
        put(world, "op/config", config)
        await asyncio.sleep(2.0)
        await complete_jobs(customers, 2)

    world = run_scenario(scenario, SEED)
    assert [line for line in read_lines(world) if line["event"] == TASK_FAILED] == []
    assert list_unreadable_events(world, "op/config")
