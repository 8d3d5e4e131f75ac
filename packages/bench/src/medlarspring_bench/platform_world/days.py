"""Seeded days of an emulated installation: load, faults, and a verdict."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

from medlarspring_bench.platform_world.calls import VM_CONTROL
from medlarspring_bench.platform_world.checks import Breach, check_history
from medlarspring_bench.platform_world.customers import Customers
from medlarspring_bench.platform_world.virtual_time import run_virtual
from medlarspring_bench.platform_world.weather import StoreMood
from medlarspring_bench.platform_world.worker_model import Temper
from medlarspring_bench.platform_world.world import World, WorldPlan
from medlarspring_daemon.scheduling.intake import JobStatus
from medlarspring_tables.scheduling import RunEnd

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from medlarspring_bench.platform_world.virtual_time import VirtualClock

WARM_UP_SECONDS = 3.0
TRAFFIC_SECONDS = 20.0
SETTLE_SECONDS = 40.0
JOBS_PER_SECOND = 2.0
CANCELLED_PART = 0.05
HOPELESS_PART = 0.03


@dataclass(slots=True)
class Verdict:
    """What came of a day."""

    seed: int
    breaches: list[Breach] = field(default_factory=list)
    accepted: int = 0
    complete: int = 0
    unfinished: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    logs: list[tuple[str, str]] = field(default_factory=list)


MIN_VMS = 8
"""VMs that are left in any case."""

FaultTable: TypeAlias = "tuple[tuple[str, Callable[[Day], Awaitable[None]]], ...]"


class Day:
    """One seeded day; faults are drawn from the table below."""

    def __init__(self, world: World, seed: int, table: FaultTable) -> None:
        self.world = world
        self._table = table
        self.rng = random.Random(seed)
        self.customers = Customers(world, random.Random(seed + 7))
        self.faults: list[str] = []

    async def play(self, fault_count: int) -> None:
        """Send load and faults, then wait until all is settled."""
        await asyncio.sleep(WARM_UP_SECONDS)
        lasting = self.customers.create_lasting()
        self.customers.send("archive", *lasting)
        faults = [asyncio.ensure_future(self._strike()) for _ in range(fault_count)]
        ends_at = self.world.clock.now() + TRAFFIC_SECONDS
        while self.world.clock.now() < ends_at:
            await asyncio.sleep(self.rng.expovariate(JOBS_PER_SECOND))
            self._send_one()
        await asyncio.gather(*faults)
        await asyncio.sleep(SETTLE_SECONDS)

    def _send_one(self) -> None:
        hopeless = self.rng.random() < HOPELESS_PART
        job_id, spec = self.customers.create_batch(hopeless=hopeless)
        queue = self.rng.choice(("lookup", "check"))
        self.customers.send(queue, job_id, spec)
        if self.rng.random() < CANCELLED_PART:
            asyncio.get_running_loop().call_later(
                self.rng.uniform(0.1, 2.0), self._cancel, job_id
            )

    def _cancel(self, job_id) -> None:  # type: ignore[no-untyped-def]
        if job_id in self.customers.accepted:
            asyncio.ensure_future(self.customers.cancel(job_id))

    async def _strike(self) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, TRAFFIC_SECONDS))
        name, fault = self.rng.choice(self._table)
        self.faults.append(f"{name} at {self.world.clock.now():.2f}")
        await fault(self)

    def choose_node(self) -> str | None:
        """Return a node, the controller as often as not."""
        controller = self.world.find_controller()
        if controller is not None and self.rng.random() < 0.5:  # noqa: PLR2004
            return controller
        names = sorted(self.world.nodes_by_name)
        return self.rng.choice(names) if names else None

    def choose_vm(self) -> str:
        """Return a VM."""
        return self.rng.choice(sorted(self.world.fleet.vms_by_id))


async def kill_node(day: Day) -> None:
    """End a process at once; another one takes its place."""
    name = day.choose_node()
    if name is None:
        return
    day.world.kill_node(name)
    await asyncio.sleep(day.rng.uniform(0.3, 3.0))
    await _start_again(day, name)


async def kill_all(day: Day) -> None:
    """End all processes at once."""
    names = list(day.world.nodes_by_name)
    for name in names:
        day.world.kill_node(name)
    await asyncio.sleep(day.rng.uniform(0.3, 2.0))
    for name in names:
        await _start_again(day, name)


async def stop_node(day: Day) -> None:
    """End a process gracefully."""
    name = day.choose_node()
    if name is None:
        return
    await day.world.stop_node(name)
    await asyncio.sleep(0.5)
    await _start_again(day, name)


async def _start_again(day: Day, name: str) -> None:
    if name not in day.world.nodes_by_name:
        await day.world.start_node(name)


async def freeze_node(day: Day) -> None:
    """Let nothing of a process out or in for a while."""
    name = day.choose_node()
    if name is None:
        return
    seconds = day.rng.uniform(1.0, 5.0)
    day.world.weather.frozen_until[name] = day.world.clock.now() + seconds
    await asyncio.sleep(seconds)


async def cut_store_from_node(day: Day) -> None:
    """Keep one node from the store."""
    name = day.choose_node()
    if name is None:
        return
    mood = day.rng.choice((StoreMood.BUSY, StoreMood.SILENT))
    day.world.weather.moods_by_node[name] = mood
    await asyncio.sleep(day.rng.uniform(1.0, 8.0))
    day.world.weather.moods_by_node.pop(name, None)


async def cut_node(day: Day) -> None:
    """Cut one node off from the store and from some workers, with its key taken."""
    name = day.choose_node()
    if name is None:
        return
    weather = day.world.weather
    weather.moods_by_node[name] = StoreMood.SILENT
    vms = [vm for vm in day.world.fleet.vms_by_id if day.rng.random() < 0.5]  # noqa: PLR2004
    links = {(name, vm) for vm in vms} | {(name, VM_CONTROL)}
    weather.cut_links |= links
    if day.rng.random() < 0.5:  # noqa: PLR2004
        await asyncio.sleep(0.05)
        day.world.revoke_controller()
    await asyncio.sleep(day.rng.uniform(1.0, 7.0))
    weather.moods_by_node.pop(name, None)
    weather.cut_links -= links


async def cut_worker(day: Day) -> None:
    """Cut one worker off from all nodes; it runs on."""
    vm = day.choose_vm()
    links = {(name, vm) for name in day.world.nodes_by_name}
    day.world.weather.cut_links |= links
    await asyncio.sleep(day.rng.uniform(1.0, 12.0))
    day.world.weather.cut_links -= links


async def take_store_down(day: Day) -> None:
    """Let the store answer nobody."""
    mood = day.rng.choice((StoreMood.BUSY, StoreMood.SILENT))
    day.world.weather.store_mood = mood
    await asyncio.sleep(day.rng.uniform(1.0, 5.0))
    day.world.weather.store_mood = StoreMood.WELL


async def pause_store(day: Day) -> None:
    """Let the store answer nobody, and its leases stand still meanwhile."""
    day.world.weather.leases_pause = True
    await take_store_down(day)
    day.world.weather.leases_pause = False


async def slow_store(day: Day) -> None:
    """Let the store answer late."""
    day.world.weather.store_seconds = 0.2
    await asyncio.sleep(day.rng.uniform(1.0, 5.0))
    day.world.weather.store_seconds = 0.004


async def lose_replies(day: Day) -> None:
    """Lose the answers to some writes, some of which come late."""
    day.world.weather.lost_replies = 0.35
    day.world.weather.late_writes = day.rng.choice((0.0, 0.5))
    await asyncio.sleep(day.rng.uniform(1.0, 5.0))
    day.world.weather.lost_replies = 0.0


async def lose_orders(day: Day) -> None:
    """Leave some orders unanswered, and carry them out seconds later."""
    day.world.weather.lost_orders = 0.15
    await asyncio.sleep(day.rng.uniform(1.0, 5.0))
    day.world.weather.lost_orders = 0.0


async def forget_history(day: Day) -> None:
    """Drop the store's history; watches are cut."""
    day.world.forget_history()


async def crash_worker(day: Day) -> None:
    """End a worker without notice."""
    day.world.fleet.crash(day.choose_vm(), day.rng.uniform(1.0, 6.0))  # type: ignore[arg-type]


async def drain_worker(day: Day) -> None:
    """Let a worker leave after its notice."""
    day.world.fleet.drain(day.choose_vm(), day.rng.uniform(2.0, 6.0))  # type: ignore[arg-type]


async def spoil_worker(day: Day) -> None:
    """Let a worker fail or keep all that it starts."""
    vm = day.world.fleet.vms_by_id[day.choose_vm()]  # type: ignore[index]
    worker = vm.worker
    if worker is None:
        return
    worker.temper = day.rng.choice((Temper.FAILING, Temper.HANGING))
    await asyncio.sleep(day.rng.uniform(2.0, 6.0))
    worker.temper = Temper.SOUND


async def order_wave(day: Day) -> None:
    """Order maintenance of half of the VMs."""
    vms = [vm for vm in day.world.fleet.vms_by_id if day.rng.random() < 0.5]  # noqa: PLR2004
    if vms:
        number = len(day.world.fleet.waves) + 1
        day.world.order_wave(number, vms, day.rng.randint(1, 4), 25)


async def remove_worker(day: Day) -> None:
    """End a VM for good, without notice."""
    if len(day.world.fleet.vms_by_id) > MIN_VMS:
        day.world.fleet.remove(day.choose_vm())  # type: ignore[arg-type]


async def cancel_without_controller(day: Day) -> None:
    """End the controller and cancel jobs while nobody controls the cell."""
    name = day.world.find_controller()
    if name is None:
        return
    day.world.kill_node(name)
    for job_id in day.customers.list_open()[:3]:
        await day.customers.cancel(job_id)
    await asyncio.sleep(day.rng.uniform(0.3, 3.0))
    await _start_again(day, name)


FIRST_FAULTS: FaultTable = (
    ("kill a node", kill_node),
    ("kill a node", kill_node),
    ("kill all nodes", kill_all),
    ("stop a node", stop_node),
    ("freeze a node", freeze_node),
    ("keep a node from the store", cut_store_from_node),
    ("cut a node off", cut_node),
    ("cut a worker off", cut_worker),
    ("store down", take_store_down),
    ("store slow", slow_store),
    ("replies lost", lose_replies),
    ("orders lost", lose_orders),
    ("history forgotten", forget_history),
    ("worker crashes", crash_worker),
    ("worker leaves", drain_worker),
    ("worker spoilt", spoil_worker),
    ("wave", order_wave),
)
"""Names and faults; controllers' faults stand twice.

The seeds of days that once failed draw from the table of their time, so that they
stay the same days.
"""

SECOND_FAULTS: FaultTable = (
    *FIRST_FAULTS,
    ("worker removed", remove_worker),
    ("cancelled without controller", cancel_without_controller),
)
THIRD_FAULTS: FaultTable = (*SECOND_FAULTS, ("store paused", pause_store))
FAULTS = THIRD_FAULTS


def play_day(
    seed: int,
    fault_count: int = 4,
    plan: WorldPlan | None = None,
    table: FaultTable | None = None,
) -> Verdict:
    """Play the day of a seed under virtual time."""

    async def main(clock: VirtualClock) -> Verdict:
        world = World(plan or WorldPlan(), clock, seed)
        day = Day(world, seed, FAULTS if table is None else table)
        await world.start()
        await day.play(fault_count)
        verdict = await _judge(day, seed)
        await world.stop()
        return verdict

    return run_virtual(main)


async def _judge(day: Day, seed: int) -> Verdict:
    customers = day.customers
    verdict = Verdict(seed, faults=day.faults, accepted=len(customers.accepted))
    for job_id in sorted(customers.accepted):
        status = await customers.ask(job_id)
        if status == JobStatus.COMPLETE.value:
            verdict.complete += 1
        elif not _is_explained(day, job_id, status):
            verdict.unfinished.append(f"{job_id}: {status}")
    verdict.breaches = check_history(day.world.history)
    verdict.breaches += _check_left_running(day)
    verdict.logs = [(name, log.getvalue()) for name, log in day.world.logs]
    return verdict


def _check_left_running(day: Day) -> list[Breach]:
    """Nothing of a cancelled job runs on, long after the last fault."""
    return [
        Breach("cancelled", run.task_id, f"still on {worker.id}")
        for worker in day.world.fleet.workers_by_id.values()
        for run in worker.runs.values()
        if run.task_id.partition(".")[0] in day.customers.cancelled
        and run.task_id.partition(".")[0] in day.customers.accepted
    ]


def _is_explained(day: Day, job_id, status: str) -> bool:  # type: ignore[no-untyped-def]
    """Tell whether an end other than complete, or none, is right for a job."""
    spec = day.world.history.specs_by_id[job_id]
    if status == JobStatus.CANCELLED.value:
        return job_id in day.customers.cancelled
    if any(step.long_running for step in spec.steps):
        return status == JobStatus.ACTIVE.value
    if status != JobStatus.FAILED.value:
        return False
    most = day.world.history.max_attempts_by_id[job_id]
    failures: dict[str, int] = {}
    for run in day.world.history.runs:
        if run.task_id.startswith(job_id) and run.end is RunEnd.FAILED:
            failures[run.task_id] = failures.get(run.task_id, 0) + 1
    return max(failures.values(), default=0) >= most


__all__ = [
    "FAULTS",
    "FaultTable",
    "FIRST_FAULTS",
    "SECOND_FAULTS",
    "THIRD_FAULTS",
    "Verdict",
    "play_day",
]
