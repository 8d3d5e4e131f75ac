from __future__ import annotations

import pytest

from medlarspring_bench.fleet_checker import FleetChecker
from medlarspring_bench.fleet_world import FleetShape, FleetWorld
from medlarspring_bench.vm_control_state import Condition, VMTimes
from medlarspring_daemon.fleet.rounds import RESTORE_AFTER_SECONDS
from medlarspring_tables import VMId, WaveId
from medlarspring_tables.vms import VMState
from medlarspring_tables.waves import WaveRecord


@pytest.fixture
def world() -> FleetWorld:
    """Return one process with two pools, each of 8 VMs with a budget of 6."""
    return FleetWorld(FleetShape(pools=2), processes=1, times=VMTimes(3.0, 60.0))


def start_wave(world: FleetWorld) -> None:
    now = world.clock.wall()
    vm_ids = frozenset(map(VMId, world.platform.rows_by_id))
    world.put(WaveRecord(id=WaveId("w"), vm_ids=vm_ids, started_at=now, resumed_at=now))


def count(world: FleetWorld, condition: Condition) -> int:
    rows = world.platform.find()
    return sum(row.condition is condition for row in rows)


def test_store_outage_starts_nothing_and_restores_drained_vms(world):
    """
    The store goes down while the first VMs of a wave are drained. No intent of a
    reboot can be written, so they would be idle for the whole outage: after ten
    seconds they must serve again. No further VM is drained until the store is
    back; then the wave continues and reboots each VM once.
    """
    checker = FleetChecker(world)
    start_wave(world)
    world.run_rounds(2, seconds=1.0)
    assert count(world, Condition.DRAINING) == 4
    world.processes[0].store.faults.down = True
    world.run_rounds(5, seconds=1.0)
    assert count(world, Condition.SERVING) == 12
    world.run_rounds(int(RESTORE_AFTER_SECONDS) + 5, seconds=1.0)
    assert count(world, Condition.SERVING) == 16
    world.run_rounds(60, seconds=10.0)
    assert checker.drains == 4
    world.processes[0].store.faults.down = False
    world.run_rounds(120, seconds=5.0)
    assert checker.truth.waves_by_id[WaveId("w")].state.value == "done"
    assert (checker.reboots, checker.violations) == (16, [])


def test_reboot_under_way_is_finished_without_the_store(world):
    """
    The store goes down while VMs reboot. They serve again without the store, and
    the records are updated once the store answers.
    """
    checker = FleetChecker(world)
    start_wave(world)
    world.run_rounds(6, seconds=1.0)
    assert count(world, Condition.REBOOTING) == 4
    world.processes[0].store.faults.down = True
    world.run_rounds(20, seconds=5.0)
    assert count(world, Condition.SERVING) == 16
    assert sum(row.boot for row in world.platform.rows_by_id.values()) == 20
    world.processes[0].store.faults.down = False
    world.run_rounds(1, seconds=5.0)
    states = [record.state for record in checker.truth.vms_by_id.values()]
    assert VMState.REBOOTING not in states
    assert checker.violations == []


def test_unresponsive_vm_control_starts_no_further_drain(world):
    """
    The platform's VM control does not answer, so the state of the VMs is unknown.
    After a few seconds all count as unseen and none may be drained.
    """
    checker = FleetChecker(world)
    world.run_rounds(1, seconds=1.0)
    world.processes[0].vm_control.is_down = True
    world.run_rounds(3, seconds=3.0)
    start_wave(world)
    world.run_rounds(10, seconds=3.0)
    assert checker.truth.busy_vm_ids_by_pool == {}
    world.processes[0].vm_control.is_down = False
    world.run_rounds(1, seconds=3.0)
    assert len(checker.truth.busy_vm_ids_by_pool) == 2
