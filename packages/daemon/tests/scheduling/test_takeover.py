"""What a new controller does with what its predecessor left behind."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from medlarspring_bench.key_value_ops import PutOp, RangeOp, RangeReply
from medlarspring_bench.platform_world.weather import StoreMood

from .scenarios import run_scenario, submit, wait_for_end

if TYPE_CHECKING:
    from medlarspring_bench.platform_world.customers import Customers
    from medlarspring_bench.platform_world.world import World

SEED = 5
LEASE_SECONDS = 2.0


def cut_off_worker_and_kill_controller(world: World) -> None:
    """Cut a worker that runs tasks off from all entry VMs, and end the controller."""
    busy = next(
        worker.vm_id for worker in world.fleet.workers_by_id.values() if worker.runs
    )
    controller = world.find_controller()
    assert controller is not None
    world.weather.cut_links |= {(name, busy) for name in world.nodes_by_name}
    world.kill_node(controller)


def test_ends_listed_before_the_jobs_are_loaded_are_not_lost():
    """
    The controller is killed while tasks run; they end before its successor calls
    the workers. An end that met tables without jobs was acknowledged as unknown,
    and its task ran again.
    """

    async def scenario(world: World, customers: Customers) -> None:
        jobs = await submit(customers)
        await asyncio.sleep(0.3)
        controller = world.find_controller()
        assert controller is not None
        world.kill_node(controller)
        await wait_for_end(customers, jobs)

    run_scenario(scenario, SEED)


def test_killed_controller_is_replaced_within_its_lease():
    async def scenario(world: World, customers: Customers) -> None:
        controller = world.find_controller()
        assert controller is not None
        killed_at = world.clock.now()
        world.kill_node(controller)
        while world.find_controller() is None:
            await asyncio.sleep(0.05)
        assert world.clock.now() - killed_at < LEASE_SECONDS + 0.5

    run_scenario(scenario, SEED)


def test_stopped_controller_hands_over_at_once():
    async def scenario(world: World, customers: Customers) -> None:
        controller = world.find_controller()
        assert controller is not None
        jobs = await submit(customers)
        await world.stop_node(controller)
        stopped_at = world.clock.now()
        while world.find_controller() is None:
            await asyncio.sleep(0.02)
        assert world.clock.now() - stopped_at < 0.3
        await wait_for_end(customers, jobs)

    run_scenario(scenario, SEED)


def test_controller_resumes_after_an_outage_that_paused_leases():
    """
    The store answers nobody for some seconds. The controller stops by its own
    clock; when the store is back its key is still there. Waiting for a successor
    would cost another lease in which nothing starts.
    """

    async def scenario(world: World, customers: Customers) -> None:
        controller = world.find_controller()
        world.weather.leases_pause = True
        world.weather.store_mood = StoreMood.BUSY
        await asyncio.sleep(4.0)
        assert world.find_controller() is None
        world.weather.store_mood = StoreMood.WELL
        await asyncio.sleep(0.3)
        assert world.find_controller() == controller
        await wait_for_end(customers, await submit(customers))

    run_scenario(scenario, SEED)


def test_next_controller_delays_operations_on_vms_moved_before_it():
    """
    A controller moves a VM and is stopped. Its successor wants the VM elsewhere
    at once; the platform allows two holders' orders for one VM only some seconds
    apart, and does not check fences.
    """

    async def scenario(world: World, customers: Customers) -> None:
        await asyncio.sleep(8.0)
        world.order_wave(1, list(world.fleet.vms_by_id), 3, 25)
        await asyncio.sleep(1.0)
        for _ in range(4):
            controller = world.find_controller()
            assert controller is not None
            await world.stop_node(controller)
            await world.start_node(controller)
            await asyncio.sleep(2.5)
        holders = {operation.holder for operation in world.history.operations}
        assert len(holders) > 1

    run_scenario(scenario, SEED)


def test_tasks_on_an_unreachable_worker_wait_and_others_go_on():
    """
    The successor can't reach one worker that still runs tasks. Just these wait,
    because the record names the worker of each run; started elsewhere they would
    run twice, and held back altogether every job would be late.
    """

    async def scenario(world: World, customers: Customers) -> None:
        jobs = await submit(customers, 12)
        await asyncio.sleep(0.1)
        cut_off_worker_and_kill_controller(world)
        await asyncio.sleep(4.0)
        done = [job for job in jobs if await customers.ask(job) == "complete"]
        assert done
        world.weather.cut_links.clear()
        await wait_for_end(customers, jobs)

    run_scenario(scenario, SEED)


def test_tasks_on_a_worker_that_stays_unreachable_eventually_run_elsewhere():
    """
    The successor never reaches a worker that is up and listed, so it never learns
    its clock. The leases there end all the same, since nobody extends them; waited
    for by that clock, the tasks would wait as long as the cut lasts.
    """

    async def scenario(world: World, customers: Customers) -> None:
        jobs = await submit(customers, 12)
        await asyncio.sleep(0.1)
        cut_off_worker_and_kill_controller(world)
        await wait_for_end(customers, jobs)

    run_scenario(scenario, SEED)


def test_controller_cut_off_from_the_store_starts_no_more_tasks():
    """
    The store turns the controller away and gives its key to another one. Both
    reach the workers; what the first one still had in mind must not start.
    """

    async def scenario(world: World, customers: Customers) -> None:
        jobs = await submit(customers)
        controller = world.find_controller()
        assert controller is not None
        world.weather.moods_by_node[controller] = StoreMood.BUSY
        world.revoke_controller()
        await asyncio.sleep(3.0)
        assert world.find_controller() not in (None, controller)
        world.weather.moods_by_node.clear()
        await wait_for_end(customers, jobs)

    run_scenario(scenario, SEED)


def test_no_job_is_lost_when_all_entry_vms_are_killed():
    async def scenario(world: World, customers: Customers) -> None:
        jobs = await submit(customers)
        names = list(world.nodes_by_name)
        for name in names:
            world.kill_node(name)
        await asyncio.sleep(1.0)
        for name in names:
            await world.start_node(name)
        await wait_for_end(customers, jobs)

    run_scenario(scenario, SEED)


def test_hand_over_is_quick_while_ends_come_in():
    """
    The controller is stopped in the middle of a queue's turn. Waiting until
    nothing is left to record, it kept the cell while new ends came in, and let
    its lease lapse instead of giving the key back.
    """

    async def scenario(world: World, customers: Customers) -> None:
        world.weather.store_seconds = 0.04
        jobs = await submit(customers, 60)
        controller = world.find_controller()
        assert controller is not None
        stopped_at = world.clock.now()
        await world.stop_node(controller)
        assert world.clock.now() - stopped_at < 0.2
        await wait_for_end(customers, jobs)

    run_scenario(scenario, SEED)


def test_takeover_continues_after_a_store_outage():
    """
    A candidate wins the cell and the store falls silent before the records are
    read; leases stand still meanwhile. When the store is back the key is still
    the candidate's, so nobody else takes over: jobs wait without end unless the
    candidate reads on.
    """

    async def scenario(world: World, customers: Customers) -> None:
        jobs = await submit(customers)
        first = world.find_controller()
        assert first is not None
        world.kill_node(first)
        while world.find_controller() is None:
            await asyncio.sleep(0.001)
        world.weather.leases_pause = True
        world.weather.store_mood = StoreMood.BUSY
        await asyncio.sleep(4.0)
        world.weather.store_mood = StoreMood.WELL
        await wait_for_end(customers, jobs)

    run_scenario(scenario, SEED)


def test_complete_wave_stays_complete_after_a_takeover():
    """
    The operator was told that a wave is complete; then the controller is stopped.
    Its successor knew of all VMs but the last ones, told the operator that the
    wave was active again, and ordered their maintenance once more.
    """

    async def scenario(world: World, customers: Customers) -> None:
        vms = list(world.fleet.vms_by_id)
        world.order_wave(1, vms, len(vms), 25)
        while world.read_wave_state(1) != "complete":
            await asyncio.sleep(0.05)
        operations = len(world.history.operations)
        controller = world.find_controller()
        assert controller is not None
        await world.stop_node(controller)
        for _ in range(60):
            await asyncio.sleep(0.05)
            assert world.read_wave_state(1) == "complete"
        kinds = [each.kind for each in world.history.operations[operations:]]
        assert "maintain" not in kinds

    run_scenario(scenario, SEED)


def test_next_controller_moves_vms_without_waiting_for_a_whole_lease():
    """
    The controller is killed at the start of a queue's turn. Its last record names
    the VMs that it may still have operated on; the others are moved as soon as its
    successor knows the workers, and not 1.6 s later.
    """

    async def scenario(world: World, customers: Customers) -> None:
        await asyncio.sleep(8.0)
        controller = world.find_controller()
        assert controller is not None
        world.kill_node(controller)
        while world.find_controller() is None:
            await asyncio.sleep(0.01)
        elected_at = world.clock.now()
        jobs = await submit(customers, 60)
        await asyncio.sleep(1.0)
        moves = [each.at for each in world.history.operations if each.at >= elected_at]
        assert moves
        assert min(moves) < elected_at + 0.8
        await wait_for_end(customers, jobs)

    run_scenario(scenario, SEED)


def test_next_controller_delays_operations_on_vms_in_the_last_record():
    """
    The store takes a controller's key away while it moves VMs; by its own clock it
    holds the cell for another second and sends what it has recorded. Its successor
    begins at once, and with other VMs: two holders' orders for one VM would be
    less than the platform's 3 s apart.
    """

    async def scenario(world: World, customers: Customers) -> None:
        await asyncio.sleep(8.0)
        for _ in range(4):
            jobs = await submit(customers, 40)
            await asyncio.sleep(0.45)
            world.revoke_controller()
            await wait_for_end(customers, jobs)
            await asyncio.sleep(3.0)
        holders = {operation.holder for operation in world.history.operations}
        assert len(holders) > 1

    run_scenario(scenario, SEED)


def test_unreadable_record_of_operations_delays_the_next_controller():
    """
    The record of the last operations can't be read, so any VM may be one that the
    predecessor still operates on. None is touched until that is over for all.
    """

    async def scenario(world: World, customers: Customers) -> None:
        await asyncio.sleep(8.0)
        controller = world.find_controller()
        assert controller is not None
        world.kill_node(controller)
        world.state.apply(PutOp(b"operations/0", b"not a record"))
        while world.find_controller() is None:
            await asyncio.sleep(0.01)
        elected_at = world.clock.now()
        jobs = await submit(customers, 60)
        await wait_for_end(customers, jobs)
        moves = [each.at for each in world.history.operations if each.at >= elected_at]
        assert min(moves, default=elected_at + 9.0) > elected_at + 3.0

    run_scenario(scenario, SEED)


def test_next_controller_keeps_earlier_operations_in_the_record():
    """Guards against two holders' orders for one VM after two quick takeovers."""

    async def scenario(world: World, customers: Customers) -> None:
        await asyncio.sleep(8.0)
        controller = world.find_controller()
        assert controller is not None
        world.kill_node(controller)
        sent_ms = round(world.clock.wall() * 1_000)
        record = {"sent_ms_by_vm": {"m-000": sent_ms}}
        world.state.apply(PutOp(b"operations/0", json.dumps(record).encode()))
        jobs = await submit(customers, 60)
        operations = len(world.history.operations)
        while len(world.history.operations) == operations:
            await asyncio.sleep(0.05)
        reply = world.state.apply(RangeOp(b"operations/0"))
        assert isinstance(reply, RangeReply)
        kept = json.loads(reply.kvs[0].value)["sent_ms_by_vm"]
        assert kept["m-000"] == sent_ms
        assert len(kept) > 1
        await wait_for_end(customers, jobs)

    run_scenario(scenario, SEED)


def test_late_write_does_not_replace_a_newer_record_of_operations():
    """Guards against operations that no successor knows of."""

    async def scenario(world: World, customers: Customers) -> None:
        await asyncio.sleep(8.0)
        world.weather.lost_replies, world.weather.late_writes = 0.6, 1.0
        jobs = await submit(customers, 60)
        known: dict[str, int] = {}
        for _ in range(400):
            await asyncio.sleep(0.05)
            reply = world.state.apply(RangeOp(b"operations/0"))
            assert isinstance(reply, RangeReply)
            for kv in reply.kvs:
                sent_ms = json.loads(kv.value)["sent_ms_by_vm"]
                assert all(sent_ms.get(vm, at) >= at for vm, at in known.items())
                known = sent_ms
        world.weather.lost_replies = 0.0
        await wait_for_end(customers, jobs)
        assert known

    for seed in range(SEED, SEED + 4):
        run_scenario(scenario, seed)


def test_wave_is_reported_complete_after_writes_without_answers():
    """Guards against reports that wait for a record that nobody writes any more."""

    async def scenario(world: World, customers: Customers) -> None:
        await asyncio.sleep(8.0)
        world.weather.lost_replies, world.weather.late_writes = 0.6, 0.5
        world.order_wave(1, list(world.fleet.vms_by_id)[:4], 2, 25)
        await asyncio.sleep(12.0)
        world.weather.lost_replies = 0.0
        async with asyncio.timeout(20.0):
            while world.read_wave_state(1) != "complete":
                await asyncio.sleep(0.2)

    for seed in range(SEED, SEED + 4):
        run_scenario(scenario, seed)
