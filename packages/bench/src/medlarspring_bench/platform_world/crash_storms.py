"""Scenarios in which a large part of two queues' jobs crash their workers."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from medlarspring_bench.platform_world.checks import check_history
from medlarspring_bench.platform_world.customers import Customers
from medlarspring_bench.platform_world.faults import CRASH_SECONDS
from medlarspring_bench.platform_world.outcomes import find_unfinished
from medlarspring_bench.platform_world.plans import WorldPlan
from medlarspring_bench.platform_world.starvation import StarvationWatch
from medlarspring_bench.platform_world.virtual_time import run_virtual
from medlarspring_bench.platform_world.world import World
from medlarspring_tables.scheduling import JobSpec, Resources, StepSpec

if TYPE_CHECKING:
    from medlarspring_bench.platform_world.history import Breach
    from medlarspring_bench.platform_world.virtual_time import VirtualClock
    from medlarspring_tables import JobId

WARM_UP_SECONDS = 9.0
"""Time after which the controller knows the pools' initial sizes."""
BURST_SECONDS = 4.0
BURSTS = ("lookup", "check", "lookup", "check")
"""Queue of each burst; the queues take turns."""
SETTLE_SECONDS = 40.0
RECOVERY_SECONDS = 11.0
"""Time after the last burst from which no job may wait beside free room."""
TASK_SECONDS = (0.5, 0.8)
PLAN = WorldPlan(
    vms_per_pool=8,
    standby_vms=8,
    zones=4,
    resources=Resources(32_000, 64_000, 0),
    resets_connections=True,
)
SILENT_PLAN = replace(PLAN, resets_connections=False)
"""The same installation, whose workers fall silent when they crash."""


@dataclass(frozen=True, slots=True)
class Storm:
    """Load of a storm, and how much of it crashes its workers."""

    crashing_fraction: float = 0.1
    """Fraction of the jobs that have tasks which crash their workers."""
    jobs_per_second: float = 20.0
    """Rate of submissions during a burst."""
    seconds_to_crash: float = CRASH_SECONDS
    """Time from the start of a crashing task to the crash of its worker."""


@dataclass(slots=True)
class StormOutcome:
    """Outcome of a storm."""

    breaches: list[Breach] = field(default_factory=list)
    unfinished: list[str] = field(default_factory=list)
    """Jobs whose status has no valid cause."""
    sound: int = 0
    """Accepted jobs without a crashing task."""
    sound_failed: int = 0
    """Those of them that were given up."""
    crashing: int = 0
    """Accepted jobs with a crashing task."""
    crashes: int = 0
    """Incarnations of workers that crashed."""
    lost_runs: int = 0
    """Runs of other tasks that ended with these workers."""
    seconds_to_complete: list[float] = field(default_factory=list)
    """Time from submission to the last end of each sound job that completed."""
    logs: list[tuple[str, str]] = field(default_factory=list)


class _StormPlay:
    def __init__(self, world: World, storm: Storm, seed: int) -> None:
        self.world = world
        self.customers = Customers(world, random.Random(seed + 7))
        self.crashing_ids: set[JobId] = set()
        self.sent_at_by_job: dict[JobId, float] = {}
        self._storm = storm
        self._rng = random.Random(seed)
        self._watch = StarvationWatch(world)

    async def play(self) -> None:
        await asyncio.sleep(WARM_UP_SECONDS)
        for queue in ("lookup", "check"):
            long_running = self.customers.create_long_running()
            self.customers.send(queue, *long_running)
        for queue in BURSTS:
            ends_at = self.world.clock.now() + BURST_SECONDS
            while self.world.clock.now() < ends_at:
                await asyncio.sleep(self._rng.expovariate(self._storm.jobs_per_second))
                self._send_one(queue)
        # While the crashes of a burst go on, a pool may be half empty for a moment, as
        # each new worker fills up step by step.
        await asyncio.sleep(RECOVERY_SECONDS)
        watch = asyncio.ensure_future(self._watch.run())
        await asyncio.sleep(SETTLE_SECONDS - RECOVERY_SECONDS)
        watch.cancel()

    def _send_one(self, queue: str) -> None:
        steps = tuple(
            StepSpec(
                count=self._rng.randint(3, 9),
                cpu_millis=self._rng.randint(1_300, 2_300),
                memory_mb=2_048,
                estimate_ms=640,
                after=(index - 1,) if index else (),
            )
            for index in range(self._rng.randint(1, 2))
        )
        job_id = self.customers.create_job_id()
        spec = JobSpec(payload=f"payload of {job_id}", steps=steps)
        self.customers.add_facts(job_id, spec)
        if self._rng.random() < self._storm.crashing_fraction:
            self._make_crashing(job_id, spec)
        self.sent_at_by_job[job_id] = self.world.clock.now()
        self.customers.send(queue, job_id, spec)

    def _make_crashing(self, job_id: JobId, spec: JobSpec) -> None:
        """Make some tasks of one step crash their workers."""
        self.crashing_ids.add(job_id)
        step = self._rng.randrange(len(spec.steps))
        count = spec.steps[step].count
        for number in self._rng.sample(range(count), self._rng.randint(1, count)):
            self.customers.make_task_crash(
                f"{job_id}.0.{step}.{number}", self._storm.seconds_to_crash
            )

    async def evaluate(self) -> StormOutcome:
        customers, history = self.customers, self.world.history
        outcome = StormOutcome()
        outcome.unfinished = await find_unfinished(customers, history)
        outcome.breaches = check_history(history) + self._watch.list_breaches()
        outcome.crashing = len(self.crashing_ids & customers.accepted)
        for job_id in sorted(customers.accepted & self.sent_at_by_job.keys()):
            if job_id in self.crashing_ids:
                continue
            outcome.sound += 1
            status = await customers.ask(job_id)
            outcome.sound_failed += status == "failed"
            if status == "complete":
                ends = [
                    run.ended_at or 0.0
                    for run in history.runs
                    if run.task_id.startswith(job_id)
                ]
                took = max(ends) - self.sent_at_by_job[job_id]
                outcome.seconds_to_complete.append(took)
        lost = [run for run in history.runs if run.worker_gone]
        crashed = {
            (run.worker_id, run.born_ms)
            for run in lost
            if run.task_id in history.crashing_tasks
        }
        outcome.crashes = len(crashed)
        outcome.lost_runs = sum(
            run.task_id not in history.crashing_tasks
            and (run.worker_id, run.born_ms) in crashed
            for run in lost
        )
        outcome.logs = [(name, log.getvalue()) for name, log in self.world.logs]
        return outcome


def play_storm(seed: int, storm: Storm, plan: WorldPlan = PLAN) -> StormOutcome:
    """Simulate a storm of crashes in virtual time."""

    async def main(clock: VirtualClock) -> StormOutcome:
        world = World(plan, clock, seed)
        play = _StormPlay(world, storm, seed)
        await world.start()
        await play.play()
        outcome = await play.evaluate()
        await world.stop()
        return outcome

    return run_virtual(main)


__all__ = ["PLAN", "SILENT_PLAN", "Storm", "StormOutcome", "play_storm"]
