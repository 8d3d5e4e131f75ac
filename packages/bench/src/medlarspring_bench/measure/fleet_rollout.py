"""Measures the roll-out time of a full wave under different wave limits.

Command: ``python -m medlarspring_bench.measure.fleet rollout``
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from medlarspring_bench.fleet_checker import FleetChecker
from medlarspring_bench.fleet_world import FleetShape, FleetWorld
from medlarspring_bench.vm_control_state import Condition, VMTimes
from medlarspring_systems.wave_limits import (
    BudgetOnlyLimit,
    CanaryLimit,
    RackReserveLimit,
)
from medlarspring_tables import WaveId
from medlarspring_tables.vms import Outcome, VMState
from medlarspring_tables.waves import WaveRecord

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_adapters.clock import Clock
    from medlarspring_systems.draft import Draft
    from medlarspring_systems.wave_limits import WaveLimit
    from medlarspring_tables import FleetRow, PoolId, PoolRow, RackId
    from medlarspring_tables.vms import VMRecord

DRAIN_SECONDS = 60.0
REBOOT_SECONDS = 180.0
RACK_LOST_SECONDS = 1_800.0
FAILING_FRACTION = 0.02
MAX_SECONDS = 130_000.0
BAD_IMAGE_SECONDS = 10_000.0
WAVE = WaveId("w")

CURRENT_SHAPE = FleetShape(
    pools=5, vms_in_pool=8, min_available=6, wanted_vms=8, spare_vms=4
)
TARGET = FleetShape(
    pools=46,
    vms_in_pool=18,
    min_available=15,
    wanted_vms=18,
    zones=7,
    max_drains_per_zone=30,
    spare_vms=20,
)


class SingleRackLimit:
    """Baseline wave limit: drains one rack of the fleet at a time."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._chosen_at = -1.0
        self._rack_id: RackId | None = None

    def allows(
        self, draft: Draft, wave: WaveRecord, vm: VMRecord, pool: PoolRow
    ) -> bool:
        """Return whether the VM is in the first rack that is not finished."""
        if self._chosen_at != self._clock.now():
            self._chosen_at = self._clock.now()
            left = (
                record.rack_id
                for record in draft.tables.vms_by_id.values()
                if record.finished_at < wave.started_at
                and record.state is not VMState.OUT
            )
            self._rack_id = min(left, default=None)
        return vm.rack_id == self._rack_id


class SpareReserveLimit:
    """Wave limit that also reserves the fleet's spare VMs for failures.

    The product does not use it: it is slower and does not shorten the time that
    pools are under their budgets. Spare is counted over the fleet, as the VMs that
    serve above the sum of all budgets. A wave with no VM out may always take one.
    """

    def __init__(
        self, pools_by_id: dict[PoolId, PoolRow], fleet: FleetRow, inner: WaveLimit
    ) -> None:
        self._min_available = sum(row.min_available for row in pools_by_id.values())
        self._spare_percent = fleet.spare_percent
        self._inner = inner

    def allows(
        self, draft: Draft, wave: WaveRecord, vm: VMRecord, pool: PoolRow
    ) -> bool:
        """Return whether the inner limit allows the VM and the reserve is kept."""
        if not self._inner.allows(draft, wave, vm, pool):
            return False
        tables = draft.tables
        out = sum(map(len, tables.busy_vm_ids_by_pool.values()))
        listed_now = len(draft.pool_disruptions(vm.pool_id).causes_by_vm)
        listed = tables.disruptions_by_pool.get(vm.pool_id)
        out += listed_now - len(listed.causes_by_vm if listed else ())
        if out == 0:
            return True
        size = len(tables.vms_by_id)
        spare = size - out - self._min_available
        return spare > size * self._spare_percent / 100


@dataclass(slots=True)
class Rollout:
    """Results of one wave."""

    seconds: float
    is_done: bool
    broken_by_drains: int
    seconds_under_budget: float
    """Sum over all pools, whatever the cause."""
    rebooted: int
    given_up: int
    idle_vms: float
    """Average number of VMs that served above the budgets."""


def run_rollout(
    shape: FleetShape,
    create_limit: Callable[[FleetWorld], WaveLimit],
    seed: int,
    tick_seconds: float,
    *,
    has_faults: bool = True,
    bad_image: bool = False,
) -> Rollout:
    """Run one wave over the whole fleet until it ends or reaches the time limit.

    With a bad image, the run also ends when the wave is paused.
    """
    rng = random.Random(seed)
    world = FleetWorld(shape, 1, VMTimes(DRAIN_SECONDS, REBOOT_SECONDS))
    # The limit needs the configuration table that the world creates.
    world.processes[0].controller.wave_limit = create_limit(world)
    checker = FleetChecker(world)
    rows = world.platform.rows_by_id
    if bad_image:
        world.platform.faults.fail = set(rows)
    elif has_faults:
        failing = max(1, round(len(rows) * FAILING_FRACTION))
        world.platform.faults.fail = set(rng.sample(sorted(rows), failing))
    started_at = world.clock.now()
    wave = WaveRecord(
        id=WAVE,
        vm_ids=frozenset(checker.truth.vms_by_id),
        started_at=started_at,
        resumed_at=started_at,
    )
    world.put(wave)
    lost_at = started_at + rng.uniform(200.0, 600.0) if has_faults else math.inf
    lost_rack = rng.choice(sorted({row.rack for row in rows.values()}))
    under_budget = idle = 0.0
    is_lost = False
    longest = BAD_IMAGE_SECONDS if bad_image else MAX_SECONDS
    while world.clock.now() - started_at < longest:
        now = world.clock.now()
        if not is_lost and now >= lost_at:
            is_lost = True
            world.platform.set_rack_down(lost_rack, down=True)
        if is_lost and now >= lost_at + RACK_LOST_SECONDS:
            _restore_rack(world, lost_rack)
            lost_at, is_lost = math.inf, False
        world.run_rounds(1, tick_seconds)
        short, spare = _count(world, checker)
        under_budget += short * tick_seconds
        idle += spare * tick_seconds
        if not checker.truth.open_waves_by_id:
            break
        if bad_image and checker.truth.waves_by_id[WAVE].pauses:
            break
    seconds = world.clock.now() - started_at
    outcomes = [finish.outcome for finish in checker.truth.finished_by_wave[WAVE]]
    return Rollout(
        seconds=seconds,
        is_done=not checker.truth.open_waves_by_id,
        broken_by_drains=len(checker.violations),
        seconds_under_budget=under_budget,
        rebooted=outcomes.count(Outcome.BACK),
        given_up=len(outcomes) - outcomes.count(Outcome.BACK),
        idle_vms=idle / seconds,
    )


def _restore_rack(world: FleetWorld, rack: str) -> None:
    for row in world.platform.rows_by_id.values():
        if row.rack == rack and row.condition is Condition.DOWN:
            row.boot += 1
            row.condition = Condition.SERVING


def _count(world: FleetWorld, checker: FleetChecker) -> tuple[int, int]:
    """Return the number of pools under budget and of VMs above the budgets."""
    short = spare = 0
    for pool in world.config.pools_by_id.values():
        serving = sum(
            checker.truth.vms_by_id[vm_id].state is VMState.SERVING
            and world.platform.rows_by_id[vm_id].condition is Condition.SERVING
            for vm_id in checker.truth.vm_ids_by_pool[pool.id]
        )
        short += serving < pool.min_available
        spare += max(0, serving - pool.min_available)
    return short, spare


def compute_budget_bound(shape: FleetShape) -> float:
    """Return the shortest time in seconds that budgets and zone limits allow."""
    seconds = DRAIN_SECONDS + REBOOT_SECONDS
    max_unavailable = shape.vms_in_pool - shape.min_available
    by_pool = math.ceil(shape.vms_in_pool / max_unavailable)
    vms = shape.pools * shape.vms_in_pool
    by_zone = math.ceil(vms / (shape.zones * shape.max_drains_per_zone))
    return max(by_pool, by_zone) * seconds


def list_limit_factories() -> dict[str, Callable[[FleetWorld], WaveLimit]]:
    """Return factories of the compared wave limits by name, baseline first."""
    return {
        "one rack at a time": lambda world: SingleRackLimit(world.clock),
        "budgets alone": lambda world: BudgetOnlyLimit(),
        "canary, then budgets": lambda world: CanaryLimit(),
        "canary, then budgets less a rack": lambda world: RackReserveLimit(
            CanaryLimit()
        ),
        "canary, then budgets less spare": lambda world: SpareReserveLimit(
            world.config.pools_by_id, world.config.fleet, CanaryLimit()
        ),
    }


def measure_rollout(seeds: int = 4) -> None:
    """Print the roll-out times of all wave limits for the current fleet size."""
    _measure("44 VMs, 5 pools", CURRENT_SHAPE, 5.0, seeds)


def measure_target() -> None:
    """Print the roll-out times of all wave limits for the target fleet size."""
    _measure("848 VMs, 46 pools", TARGET, 40.0, 1)


def _measure(name: str, shape: FleetShape, tick_seconds: float, seeds: int) -> None:
    bound = compute_budget_bound(shape)
    print(f"full wave, {name}, 2% failing, one rack lost for {RACK_LOST_SECONDS:.0f} s")
    print(f"  bound by budgets and zones alone: {bound:.0f} s")
    baseline = 0.0
    for rule, create_limit in list_limit_factories().items():
        done = [
            run_rollout(shape, create_limit, seed, tick_seconds)
            for seed in range(seeds)
        ]
        seconds = sum(each.seconds for each in done) / seeds
        baseline = baseline or seconds
        under = sum(each.seconds_under_budget for each in done) / seeds
        bad = run_rollout(
            shape, create_limit, 0, tick_seconds, has_faults=False, bad_image=True
        )
        print(
            f"  {rule:32} {seconds:7.0f} s  {seconds / baseline:5.3f} of the baseline"
            f"  {seconds / bound:6.2f} of the bound"
            f"  broken by drains {sum(each.broken_by_drains for each in done)}"
            f"  pool-seconds under budget {under:.0f}"
            f"  done {all(each.is_done for each in done)}"
            f"  bad image loses {bad.given_up}"
        )


__all__ = [
    "TARGET",
    "CURRENT_SHAPE",
    "SingleRackLimit",
    "Rollout",
    "SpareReserveLimit",
    "compute_budget_bound",
    "list_limit_factories",
    "measure_rollout",
    "measure_target",
    "run_rollout",
]
