"""One run: the queues have bursts of load in rotation, while faults are injected.

The emulated platform runs the real controller in virtual time. The run measures what
users and operators see: the jobs complete within their objective, the VMs paid for,
and the moves of VMs between pools.
"""

from __future__ import annotations

import asyncio
import math
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from medlarspring_bench.platform_world.checks import check_history
from medlarspring_bench.platform_world.customers import Customers
from medlarspring_bench.platform_world.plans import (
    STANDBY_POOL,
    QueuePlan,
    WorldPlan,
)
from medlarspring_bench.platform_world.virtual_time import run_virtual
from medlarspring_bench.platform_world.worker_model import TaskFacts
from medlarspring_bench.platform_world.world import World
from medlarspring_tables import PoolId
from medlarspring_tables.scheduling import JobSpec, Resources, StepSpec

if TYPE_CHECKING:
    from medlarspring_bench.platform_world.checks import Breach
    from medlarspring_bench.platform_world.virtual_time import VirtualClock
    from medlarspring_tables import JobId, Seconds

WARM_UP_SECONDS = 9.0
"""The first sizes of the pools are known after 6 s."""
SETTLE_SECONDS = 20.0
SETTLE_TASKS = 8.0
"""Settling time in median task durations; longer than the objective of a job."""
SAMPLE_SECONDS = 0.1
WINDOW_SECONDS = 2.0
IDLE_LOAD_RATIO = 0.05
"""Load of a queue between its bursts, as a fraction of its peak."""
VM_MILLIS = 16_000
RESTART_SECONDS = 0.8


@dataclass(frozen=True, slots=True)
class BurstPlan:
    """Size of the fleet, and the load over time."""

    queues: int = 3
    vms_per_pool: int = 4
    standby_vms: int = 4
    burst_seconds: float = 6.0
    """Duration of each burst; with 0 all queues have their mean load all the time."""
    cycles: int = 2
    peak_vms: float = 6.0
    """VMs that a queue's burst keeps busy if its tasks start without delay."""
    task_seconds: float = 0.6
    """Median; jobs have one to three steps."""
    task_millis: int = 2_000
    tasks: int = 5
    """Average number of tasks of a step."""
    estimate_error: float = 0.4
    """Standard deviation of the logarithm of the submitters' estimates."""
    kills: tuple[float, ...] = ()
    """Times from the start of the load at which the controller is killed."""
    restarts: tuple[float, ...] = ()
    """Times from the start of the load at which all processes are killed."""

    @property
    def traffic_seconds(self) -> Seconds:
        """Duration for which customers submit jobs."""
        return max(self.burst_seconds, 4.0) * self.queues * self.cycles

    @property
    def jobs_per_second(self) -> float:
        """Submission rate of a queue during its burst."""
        cores = self.peak_vms * VM_MILLIS / self.task_millis
        return cores / (self.tasks * 2 * self.task_seconds)

    def create_world_plan(self) -> WorldPlan:
        """Return the emulated installation."""
        names = [f"queue-{number}" for number in range(self.queues)]
        return WorldPlan(
            pools=tuple(f"pool-{name}" for name in names),
            vms_per_pool=self.vms_per_pool,
            standby_vms=self.standby_vms,
            resources=Resources(VM_MILLIS, 65_536, 0),
            queues=tuple(QueuePlan(name, f"pool-{name}") for name in names),
        )


@dataclass(slots=True)
class BurstOutcome:
    """Measurements of a run."""

    jobs: int = 0
    in_time: int = 0
    worst_window: float = 1.0
    """Lowest fraction of jobs in time among those sent in one window of 2 s."""
    paid_vm_seconds: float = 0.0
    moves: int = 0
    breaches: list[Breach] = field(default_factory=list)

    @property
    def in_time_part(self) -> float:
        """Fraction of all jobs that were complete within their objective."""
        return self.in_time / max(self.jobs, 1)


@dataclass(slots=True)
class SentJob:
    """When a job was sent, and its objective in seconds."""

    sent_at: Seconds
    objective: Seconds


class BurstRun:
    """Sends the load of a plan to an emulated installation, and measures."""

    def __init__(self, plan: BurstPlan, world: World, seed: int) -> None:
        self._plan = plan
        self._world = world
        self._rng = random.Random(seed)
        self._customers = Customers(world, random.Random(seed + 1))
        self._sent_by_id: dict[JobId, SentJob] = {}
        self._paid = 0.0

    async def run(self) -> BurstOutcome:
        """Run the plan to its end and return the measurements."""
        await asyncio.sleep(WARM_UP_SECONDS)
        began_at = self._world.clock.now()
        faults = [asyncio.ensure_future(self._kill(at)) for at in self._plan.kills]
        faults += [
            asyncio.ensure_future(self._restart(at)) for at in self._plan.restarts
        ]
        sampling = asyncio.ensure_future(self._sample())
        loads = [
            asyncio.ensure_future(self._load(number, began_at))
            for number in range(self._plan.queues)
        ]
        await asyncio.gather(*loads, *faults)
        settle = SETTLE_TASKS * self._plan.task_seconds
        await asyncio.sleep(max(settle, SETTLE_SECONDS))
        sampling.cancel()
        return self._measure()

    async def _load(self, number: int, began_at: Seconds) -> None:
        plan, clock = self._plan, self._world.clock
        ends_at = began_at + plan.traffic_seconds
        while clock.now() < ends_at:
            rate = self._find_load_ratio(number, clock.now() - began_at)
            await asyncio.sleep(self._rng.expovariate(plan.jobs_per_second))
            if self._rng.random() < rate:
                self._send(number)

    def _find_load_ratio(self, number: int, at: Seconds) -> float:
        """Return the load of a queue as a fraction of its peak."""
        plan = self._plan
        if not plan.burst_seconds:
            return 1.0 / plan.queues
        in_turn = int(at / plan.burst_seconds) % plan.queues == number
        return 1.0 if in_turn else IDLE_LOAD_RATIO

    def _send(self, number: int) -> None:
        job_id = self._customers.create_job_id()
        steps = tuple(
            self._draw_step(index) for index in range(self._rng.randint(1, 3))
        )
        spec = JobSpec(payload=job_id, steps=steps)
        chain = self._add_facts(job_id, spec)
        queue = self._world.plan.queues[number]
        objective = queue.stretch * chain + queue.allowance_ms / 1_000.0
        self._sent_by_id[job_id] = SentJob(self._world.clock.now(), objective)
        self._customers.send(queue.name, job_id, spec)

    def _draw_step(self, index: int) -> StepSpec:
        error = math.exp(self._rng.gauss(0.0, self._plan.estimate_error))
        return StepSpec(
            count=self._rng.randint(1, 2 * self._plan.tasks - 1),
            cpu_millis=round(self._plan.task_millis * self._rng.uniform(0.5, 1.5)),
            memory_mb=512,
            estimate_ms=max(round(self._plan.task_seconds * error * 1_000), 1),
            after=(index - 1,) if index else (),
            checkpoints=True,
        )

    def _add_facts(self, job_id: JobId, spec: JobSpec) -> Seconds:
        """Draw the task durations; return that of the longest chain of tasks."""
        chain = 0.0
        self._world.history.specs_by_id[job_id] = spec
        for index, step in enumerate(spec.steps):
            usual = self._plan.task_seconds * math.exp(self._rng.gauss(0.0, 0.3))
            longest = 0.0
            for number in range(step.count):
                seconds = usual * self._rng.uniform(0.8, 1.2)
                longest = max(longest, seconds)
                task_id = f"{job_id}.0.{index}.{number}"
                self._world.facts_by_task[task_id] = TaskFacts(step, seconds)
            chain += longest
        return chain

    async def _kill(self, at: Seconds) -> None:
        await asyncio.sleep(at)
        name = self._world.find_controller()
        if name is not None:
            await self._world.replace_nodes([name], RESTART_SECONDS)

    async def _restart(self, at: Seconds) -> None:
        await asyncio.sleep(at)
        names = list(self._world.nodes_by_name)
        await self._world.replace_nodes(names, RESTART_SECONDS)

    async def _sample(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_SECONDS)
            paid = sum(
                1
                for vm in self._world.fleet.vms_by_id.values()
                if vm.pool_id != PoolId(STANDBY_POOL)
            )
            self._paid += paid * SAMPLE_SECONDS

    def _measure(self) -> BurstOutcome:
        ended_at = find_job_ends(self._world)
        outcome = BurstOutcome(jobs=len(self._sent_by_id), paid_vm_seconds=self._paid)
        by_window: dict[int, list[bool]] = {}
        for job_id, sent in self._sent_by_id.items():
            end = ended_at.get(job_id)
            in_time = end is not None and end - sent.sent_at <= sent.objective
            outcome.in_time += in_time
            window = by_window.setdefault(int(sent.sent_at / WINDOW_SECONDS), [])
            window.append(in_time)
        outcome.worst_window = min(
            (sum(each) / len(each) for each in by_window.values()), default=1.0
        )
        outcome.moves = sum(
            1 for each in self._world.history.operations if each.kind == "move"
        )
        outcome.breaches = check_history(self._world.history)
        return outcome


def find_job_ends(world: World) -> dict[JobId, Seconds]:
    """Return when the last task of each job was done."""
    tasks_done: dict[str, Seconds] = {}
    for run in world.history.runs:
        if run.end is not None and run.end.value == "done" and run.ended_at is not None:
            tasks_done.setdefault(run.task_id, run.ended_at)
    ends: dict[JobId, Seconds] = {}
    for job_id, spec in world.history.specs_by_id.items():
        names = [
            f"{job_id}.0.{index}.{number}"
            for index, step in enumerate(spec.steps)
            for number in range(step.count)
        ]
        if all(name in tasks_done for name in names):
            ends[job_id] = max(tasks_done[name] for name in names)
    return ends


def run_bursts(plan: BurstPlan, seed: int) -> BurstOutcome:
    """Run a plan in virtual time; the same seed gives the same outcome."""

    async def main(clock: VirtualClock) -> BurstOutcome:
        world = World(plan.create_world_plan(), clock, seed)
        await world.start()
        outcome = await BurstRun(plan, world, seed).run()
        await world.stop()
        return outcome

    return run_virtual(main)


__all__ = ["BurstOutcome", "BurstPlan", "BurstRun", "run_bursts"]
