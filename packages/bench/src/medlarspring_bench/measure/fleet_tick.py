"""Measures the processor time of a control round by fleet size.

Command: ``python -m medlarspring_bench.measure.fleet tick``
"""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING

from medlarspring_bench.fleet_checker import FleetChecker
from medlarspring_bench.fleet_world import FleetShape, FleetWorld
from medlarspring_systems.fleet_plan import plan_pool
from medlarspring_tables import VMId, WaveId
from medlarspring_tables.waves import WaveRecord

if TYPE_CHECKING:
    from medlarspring_bench.fleet_world import FleetProcess

ROUNDS = 40
LONGEST_SECONDS = 2_000
SIZES = (
    ("40 VMs, 5 pools", FleetShape(pools=5)),
    ("200 VMs, 12 pools", FleetShape(pools=12, vms_in_pool=17, min_available=14)),
    (
        "828 VMs, 46 pools",
        FleetShape(pools=46, vms_in_pool=18, min_available=15, zones=7),
    ),
)


def measure_tick() -> None:
    """Print milliseconds per round: idle, planning all pools, and in a wave."""
    print("processor time of one round, all pools held by one process")
    for name, shape in SIZES:
        world = FleetWorld(shape, 1)
        process = world.processes[0]
        process.step()
        process.finish()
        idle = _time_rounds(world, process, seconds=1.0)
        whole = _time_planning(world, process)
        now = world.clock.wall()
        vm_ids = frozenset(map(VMId, world.platform.rows_by_id))
        world.put(
            WaveRecord(id=WaveId("w"), vm_ids=vm_ids, started_at=now, resumed_at=now)
        )
        wave = _time_rounds(world, process, seconds=1.0)
        pools = shape.pools
        print(
            f"  {name:18} idle {idle:7.2f} ms  planning all pools {whole:7.2f} ms"
            f"  in a wave {wave:7.2f} ms ({wave / pools:5.3f} ms a pool)"
        )


def measure_calls() -> None:
    """Print the store calls of a full wave without faults."""
    for name, shape in SIZES:
        world = FleetWorld(shape, 1)
        checker = FleetChecker(world)
        process = world.processes[0]
        world.run_rounds(1, seconds=1.0)
        before = Counter(process.store.calls_by_kind)
        now = world.clock.wall()
        vm_ids = frozenset(map(VMId, world.platform.rows_by_id))
        world.put(
            WaveRecord(id=WaveId("w"), vm_ids=vm_ids, started_at=now, resumed_at=now)
        )
        seconds = 0
        while checker.truth.open_waves_by_id and seconds < LONGEST_SECONDS:
            world.run_rounds(1, seconds=1.0)
            seconds += 1
        writes = process.store.calls_by_kind["txn"] - before["txn"]
        reads = process.store.calls_by_kind["range"] - before["range"]
        print(
            f"  {name:18} wave of {seconds} s: {writes} writes"
            f" ({writes / len(vm_ids):.2f} a VM, {writes / seconds:.2f} a second),"
            f" {reads} reads"
        )


def _time_rounds(world: FleetWorld, process: FleetProcess, seconds: float) -> float:
    started = time.process_time()
    for _ in range(ROUNDS):
        world.clock.advance(seconds)
        process.step()
        process.finish()
    return 1000 * (time.process_time() - started) / ROUNDS


def _time_planning(world: FleetWorld, process: FleetProcess) -> float:
    started = time.process_time()
    for _ in range(ROUNDS):
        for pool_id in world.config.pools_by_id:
            plan_pool(process.tables, world.config, pool_id, None, world.clock.wall())
    return 1000 * (time.process_time() - started) / ROUNDS


__all__ = ["measure_calls", "measure_tick"]
