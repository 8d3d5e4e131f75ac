from __future__ import annotations

from medlarspring_bench.fleet_world import FleetShape, FleetWorld
from medlarspring_bench.measure.fleet_rollout import (
    CURRENT_SHAPE,
    SpareReserveLimit,
    compute_budget_bound,
    list_limit_factories,
    run_rollout,
)
from medlarspring_systems.wave_limits import BudgetOnlyLimit
from medlarspring_tables import VMId, WaveId
from medlarspring_tables.vms import VMState
from medlarspring_tables.waves import WaveRecord


def test_wave_without_faults_meets_the_time_bound_of_the_budgets():
    wave_limit = list_limit_factories()["budgets alone"]
    rollout = run_rollout(CURRENT_SHAPE, wave_limit, 0, 1.0, has_faults=False)
    assert rollout.is_done
    assert rollout.broken_by_drains == rollout.seconds_under_budget == 0
    assert rollout.seconds <= 1.05 * compute_budget_bound(CURRENT_SHAPE)


def test_spare_reserve_limit_keeps_spare_vms_for_failures():
    shape = FleetShape(
        pools=2, min_available=6, spare_percent=12.5, vms_in_pool=8, zones=4
    )
    world = FleetWorld(shape, 1)
    process = world.processes[0]
    process.controller.wave_limit = SpareReserveLimit(
        world.config.pools_by_id, world.config.fleet, BudgetOnlyLimit()
    )
    vm_ids = frozenset(map(VMId, world.platform.rows_by_id))
    now = world.clock.wall()
    world.put(WaveRecord(id=WaveId("w"), vm_ids=vm_ids, started_at=now, resumed_at=now))
    world.run_rounds(1)
    states = [record.state for record in process.tables.vms_by_id.values()]
    assert states.count(VMState.DRAINING) == 2
