"""Runs one seeded soak: load, injected faults and checks of the guarantees."""

from __future__ import annotations

import asyncio
import random
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

from medlarspring_bench.platform_world.checks import Breach, check_history
from medlarspring_bench.platform_world.customers import Customers
from medlarspring_bench.platform_world.outcomes import (
    find_left_running,
    find_unfinished,
)
from medlarspring_bench.platform_world.plans import WorldPlan
from medlarspring_bench.soak.entry_vms import EntryVMs
from medlarspring_bench.soak.faults import FAULTS
from medlarspring_bench.soak.installation import Installation
from medlarspring_bench.soak.job_client import HttpJobClient

if TYPE_CHECKING:
    from medlarspring_bench.soak.faults import SoakFault
    from medlarspring_tables import JobId, Seconds, VMId

WARM_UP_SECONDS = 4.0
SETTLE_SECONDS = 25.0
"""Maximum time from the last fault until every job has ended."""
CHECK_SECONDS = 2.0
"""Interval of the checks of the guarantees during the soak."""
DISRUPTION_SECONDS = 1.5
"""Calls that break within this time of a fault are attributed to the fault."""
CUT_AFTER_SECONDS = 0.2
"""A connection that ends sooner was closed before its process read the call."""
CANCELLED_SHARE = 0.05
HOPELESS_SHARE = 0.03
CONTROLLER_FAULT_SHARE = 0.5
"""Share of the faults of entry VMs that target the controller."""


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """Size, load and faults of a soak."""

    world: WorldPlan = WorldPlan(unenforced_pools=("survey",))
    traffic_seconds: Seconds = 15.0
    jobs_per_second: float = 2.0
    fault_count: int = 6
    schedule: tuple[tuple[Seconds, str], ...] = ()
    """Start times and names of the faults; drawn from the seed if empty."""


@dataclass(slots=True)
class SoakResult:
    """Result of a soak."""

    seed: int
    breaches: list[Breach] = field(default_factory=list)
    unfinished: list[str] = field(default_factory=list)
    accepted: int = 0
    faults: list[str] = field(default_factory=list)
    logs: list[tuple[str, str]] = field(default_factory=list)

    @property
    def passed(self) -> bool:
        """Whether jobs were accepted, all of them ended and no check failed."""
        return not self.breaches and not self.unfinished and self.accepted > 0


class SoakRun:
    """One running soak; implements ``Scene`` for the platform's faults."""

    def __init__(
        self, plan: SoakPlan, seed: int, world: Installation, entry_vms: EntryVMs
    ) -> None:
        self.plan = plan
        self.world = world
        self.entry_vms = entry_vms
        self.rng = random.Random(seed)
        self.desk = HttpJobClient(world)
        self.customers = Customers(world, random.Random(seed + 7), self.desk)
        self.faults: list[str] = []
        self.breaches: list[Breach] = []
        self._schedule = self._draw_schedule(seed)
        self._disrupted_at: dict[str, list[Seconds]] = {}

    async def run(self) -> None:
        """Send load and inject faults, then wait until all jobs have ended."""
        await asyncio.sleep(WARM_UP_SECONDS)
        checking = asyncio.create_task(self._check_forever())
        self.customers.send("archive", *self.customers.create_long_running())
        faults = [
            asyncio.create_task(self._inject_fault(wait, name, fault))
            for wait, name, fault in self._schedule
        ]
        ends_at = self.world.clock.now() + self.plan.traffic_seconds
        # Stops the load after the first breach, to keep its trace short.
        while self.world.clock.now() < ends_at and not self.breaches:
            await asyncio.sleep(self.rng.expovariate(self.plan.jobs_per_second))
            self._send_one()
        await asyncio.gather(*faults)
        await self._settle()
        checking.cancel()

    def choose_node(self) -> str | None:
        """Return a random running entry VM, in half of the calls the controller."""
        names = sorted(self.world.nodes_by_name)
        controller = self.entry_vms.find_controller()
        if controller in names and self.rng.random() < CONTROLLER_FAULT_SHARE:
            return controller
        return self.rng.choice(names) if names else None

    def choose_vm(self) -> VMId:
        """Return a random VM of the fleet."""
        return self.rng.choice(sorted(self.world.fleet.vms_by_id))

    def record_disruption(self, node: str) -> None:
        """Record that a fault may break an entry VM's customer connections now."""
        self._disrupted_at.setdefault(node, []).append(self.world.clock.now())

    def _send_one(self) -> None:
        unrunnable = self.rng.random() < HOPELESS_SHARE
        job_id, spec = self.customers.create_batch(unrunnable=unrunnable)
        self.customers.send(self.rng.choice(("lookup", "check")), job_id, spec)
        if self.rng.random() < CANCELLED_SHARE:
            asyncio.get_running_loop().call_later(
                self.rng.uniform(0.1, 2.0), self._cancel, job_id
            )

    def _cancel(self, job_id: JobId) -> None:
        if job_id in self.customers.accepted:
            asyncio.ensure_future(self.customers.cancel(job_id))

    def _draw_schedule(self, seed: int) -> list[tuple[Seconds, str, SoakFault]]:
        """Draw all faults in advance, so that they depend on the seed only."""
        if self.plan.schedule:
            by_name = dict(FAULTS)
            return [(wait, name, by_name[name]) for wait, name in self.plan.schedule]
        rng = random.Random(seed + 3)
        return [
            (rng.uniform(0.0, self.plan.traffic_seconds), *rng.choice(FAULTS))
            for _ in range(self.plan.fault_count)
        ]

    async def _inject_fault(self, wait: Seconds, name: str, fault: SoakFault) -> None:
        await asyncio.sleep(wait)
        began_at = self.world.clock.now()
        await fault(self)
        took = self.world.clock.now() - began_at
        self.faults.append(f"{name} at {wait:.2f} for {took:.2f} s")

    async def _settle(self) -> None:
        """Wait until all jobs have ended, for at most ``SETTLE_SECONDS``."""
        ends_at = self.world.clock.now() + SETTLE_SECONDS
        while self.world.clock.now() < ends_at:
            await asyncio.sleep(CHECK_SECONDS)
            if not await find_unfinished(self.customers, self.world.history):
                return

    async def _check_forever(self) -> None:
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            self.breaches = check_history(self.world.history)

    def check_cut_calls(self) -> list[Breach]:
        """Return a breach for each call that was read but cut without a fault."""
        return [
            Breach("cut", node, f"sent at {cut.sent_at:.2f}, cut at {cut.cut_at:.2f}")
            for node, links in self.world.links_by_node.items()
            for cut in links.customers.cuts
            if cut.cut_at - cut.sent_at > CUT_AFTER_SECONDS
            and not self._was_disrupted(node, cut.sent_at, cut.cut_at)
        ]

    def check_stop_times(self) -> list[Breach]:
        """Return a breach for each process that did not stop in time."""
        return [
            Breach("grace", each.node, "did not end in time")
            for each in self.entry_vms.overdue_stops
            if not self._was_disrupted(
                each.node, each.stop_requested_at, each.killed_at
            )
        ]

    def _was_disrupted(self, node: str, since: Seconds, until: Seconds) -> bool:
        return any(
            since - DISRUPTION_SECONDS <= at <= until + DISRUPTION_SECONDS
            for at in self._disrupted_at.get(node, ())
        )


async def run_soak(seed: int, plan: SoakPlan | None = None) -> SoakResult:
    """Run the soak of a seed in real time."""
    plan = plan or SoakPlan()
    names = [f"entry-{number}" for number in range(plan.world.nodes)]
    world = Installation(plan.world, seed, names)
    with tempfile.TemporaryDirectory(prefix="medlarspring-soak-") as folder:
        entry_vms = EntryVMs(world, Path(folder))
        try:
            await world.start()
            await asyncio.gather(*(entry_vms.start(name) for name in names))
            soak_run = SoakRun(plan, seed, world, entry_vms)
            await soak_run.run()
            return await _collect_result(soak_run, seed)
        finally:
            entry_vms.close()
            await world.stop()


async def _collect_result(soak_run: SoakRun, seed: int) -> SoakResult:
    result = SoakResult(
        seed, faults=soak_run.faults, accepted=len(soak_run.customers.accepted)
    )
    result.unfinished = await find_unfinished(
        soak_run.customers, soak_run.world.history
    )
    result.breaches = check_history(soak_run.world.history)
    result.breaches += find_left_running(
        soak_run.customers, soak_run.world.history, soak_run.world.fleet
    )
    result.breaches += soak_run.check_cut_calls()
    result.breaches += soak_run.check_stop_times()
    result.logs = [
        (name, process.output()) for name, process in soak_run.entry_vms.logs
    ]
    await soak_run.customers.leave()
    await soak_run.desk.close()
    return result


__all__ = ["SoakRun", "SoakPlan", "SoakResult", "run_soak"]
