"""Measures idle spare VMs: pooled, against reserves per partner or pool.

Command: ``python -m medlarspring_bench.measure.fleet buffer``
"""

from __future__ import annotations

from dataclasses import dataclass

from medlarspring_bench.fleet_world import FleetShape
from medlarspring_bench.measure.fleet_rollout import Rollout, run_rollout
from medlarspring_systems.wave_limits import CanaryLimit, RackReserveLimit

TICK_SECONDS = 10.0
PARTNERS = 4
POOLS = 5
NEEDED_IN_POOL = 4
"""Minimum number of available VMs per pool, one for each partner."""


@dataclass(slots=True)
class Buffer:
    """Results for one fleet size over all seeds."""

    vms: int
    idle_vms: float
    seconds_under_budget: float
    rollout_seconds: float
    is_done: bool


def run_buffer(shape: FleetShape, seeds: int) -> Buffer:
    """Run a full wave with 2% failing and one rack lost, once for each seed."""
    runs: list[Rollout] = [
        run_rollout(
            shape, lambda world: RackReserveLimit(CanaryLimit()), seed, TICK_SECONDS
        )
        for seed in range(seeds)
    ]
    return Buffer(
        vms=shape.pools * shape.vms_in_pool + shape.spare_vms,
        idle_vms=sum(run.idle_vms for run in runs) / seeds,
        seconds_under_budget=sum(run.seconds_under_budget for run in runs) / seeds,
        rollout_seconds=sum(run.seconds for run in runs) / seeds,
        is_done=all(run.is_done for run in runs),
    )


def measure_buffer(seeds: int = 6) -> None:
    """Print the idle spare VMs of fleets sized to stay within all budgets."""
    print(f"spare held idle, {PARTNERS} partners, {POOLS} pools, {seeds} seeds")
    baseline = 0.0
    for name, pools, needed, vms, spare in (
        ("reserve per partner and pool", POOLS * PARTNERS, 1, 3, 1),
        ("reserve per pool", POOLS, NEEDED_IN_POOL, 7, 0),
        ("pooled, one roaming spare VM", POOLS, NEEDED_IN_POOL, 6, 1),
        ("pooled, a rack of spare VMs", POOLS, NEEDED_IN_POOL, 6, 4),
    ):
        shape = FleetShape(
            pools=pools,
            vms_in_pool=vms,
            wanted_vms=vms,
            min_available=needed,
            spare_vms=spare,
            is_interleaved=True,
        )
        found = run_buffer(shape, seeds)
        baseline = baseline or found.idle_vms
        print(
            f"  {name:30} {found.vms:3} VMs  idle {found.idle_vms:5.1f}"
            f"  {found.idle_vms / baseline:4.2f} of the baseline"
            f"  under budget {found.seconds_under_budget:.0f} s"
            f"  roll-out {found.rollout_seconds:.0f} s  done {found.is_done}"
        )


__all__ = ["Buffer", "measure_buffer", "run_buffer"]
