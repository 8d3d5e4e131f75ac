from __future__ import annotations

import msgspec
import pytest

from medlarspring_systems.moves import KEEP_ENDED_SECONDS, NEED_HOLD_SECONDS
from medlarspring_systems.vm_progress import MOVE_SETTLE_SECONDS
from medlarspring_tables import PoolId, Revision, VMId
from medlarspring_tables.moves import MoveId, MoveRecord, MoveState
from medlarspring_tables.vms import VMCondition, VMState


def set_wanted_vms(fleet, pool, wanted):
    row = msgspec.structs.replace(
        fleet.config.pools_by_id[PoolId(pool)], wanted_vms=wanted
    )
    pools_by_id = {**fleet.config.pools_by_id, row.id: row}
    fleet.config = msgspec.structs.replace(fleet.config, pools_by_id=pools_by_id)


def move_states(fleet):
    return [move.state for move in fleet.tables.moves_by_id.values()]


@pytest.fixture
def two_pools(fleet):
    """Return the fleet with a second pool of three VMs above its wanted size."""
    fleet.add_pool("b", vms=8, wanted=5, min_available=4)
    return fleet


def test_short_pool_gets_exactly_the_missing_vms_after_a_delay(two_pools):
    fleet = two_pools
    set_wanted_vms(fleet, "a", 10)
    fleet.tick("a")
    assert move_states(fleet) == []
    fleet.tick("a", NEED_HOLD_SECONDS)
    fleet.tick("a", NEED_HOLD_SECONDS)
    fleet.tick("b")
    assert move_states(fleet) == [MoveState.DRAINING] * 2
    for vm in fleet.states(VMState.DRAINING):
        fleet.observe(vm, VMCondition.DRAINED)
    fleet.tick("b", MOVE_SETTLE_SECONDS)
    moved = fleet.states(VMState.JOINING)
    assert [fleet.vm(vm).pool_id for vm in moved] == ["a", "a"]
    for vm in moved:
        fleet.observe(vm, VMCondition.SERVING, pool_id=PoolId("a"))
    fleet.tick("a")
    assert move_states(fleet) == [MoveState.DONE] * 2
    fleet.tick("a", KEEP_ENDED_SECONDS + 1)
    assert move_states(fleet) == []


def test_drained_vm_is_moved_only_after_the_settle_time(two_pools):
    """
    An idle VM is drained within one tick. Entry VMs that do not know of the drain
    yet still hold slots of its old pool. If the VM moved at once, it would run
    their requests as a member of the new pool.
    """
    fleet = two_pools
    fleet.put(*request_moves(1))
    fleet.tick("b")
    (vm,) = fleet.states(VMState.DRAINING)
    fleet.observe(vm, VMCondition.DRAINED)
    fleet.tick("b", MOVE_SETTLE_SECONDS - 0.1)
    assert fleet.states(VMState.DRAINING) == [vm]
    fleet.tick("b", 0.1)
    assert fleet.states(VMState.JOINING) == [vm]


def test_moves_are_cancelled_when_the_pool_is_no_longer_short(two_pools):
    fleet = two_pools
    set_wanted_vms(fleet, "a", 10)
    fleet.tick("a")
    fleet.tick("a", NEED_HOLD_SECONDS)
    set_wanted_vms(fleet, "a", 8)
    fleet.tick("a")
    fleet.tick("b")
    assert move_states(fleet) == [MoveState.REFUSED] * 2
    assert fleet.states(VMState.DRAINING) == []


def test_source_pool_keeps_its_budget(two_pools):
    """
    An operator requests two moves from a pool in which four VMs have failed. The
    pool has no VM above its budget, so the moves wait and the VMs keep serving.
    """
    fleet = two_pools
    for number in range(4):
        fleet.observe(f"b{number}", VMCondition.DOWN)
    fleet.put(*request_moves(2))
    fleet.tick("b")
    assert move_states(fleet) == [MoveState.WANTED] * 2
    fleet.observe("b0", VMCondition.SERVING)
    fleet.tick("b")
    assert sorted(state.value for state in move_states(fleet)) == ["draining", "wanted"]


def request_moves(count):
    return [
        MoveRecord(
            id=MoveId(f"m{number}"), from_pool_id=PoolId("b"), to_pool_id=PoolId("a")
        )
        for number in range(count)
    ]


def test_moves_that_would_shrink_a_pool_below_its_budget_are_refused(two_pools):
    fleet = two_pools
    fleet.put(*request_moves(5))
    fleet.tick("b")
    refused = [m for m in fleet.tables.moves_by_id.values() if not m.is_open]
    assert len(refused) >= 1
    assert "min_available" in refused[0].reason


def test_cancelled_drain_of_a_move_is_retried(two_pools):
    fleet = two_pools
    fleet.put(*request_moves(1))
    fleet.tick("b")
    (vm,) = fleet.states(VMState.DRAINING)
    for _ in range(2):
        fleet.observe(vm, VMCondition.SERVING)
        fleet.tick("b")
    assert fleet.vm(vm).pool_id == "b"
    assert move_states(fleet) == [MoveState.DRAINING]
    assert fleet.tables.observations_by_id[VMId(vm)].revision < Revision(fleet.revision)
