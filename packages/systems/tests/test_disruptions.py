from __future__ import annotations

import msgspec
import pytest
from returns.pipeline import is_successful

from medlarspring_systems.disruptions import disrupt_vm
from medlarspring_systems.draft import Draft
from medlarspring_systems.vm_actions import Action, choose_action
from medlarspring_systems.vm_progress import (
    DRAIN_LIMIT_SECONDS,
    RETURN_LIMIT_SECONDS,
)
from medlarspring_systems.wave_control import pause_wave
from medlarspring_tables import FleetRow, PoolId, VMId, WaveId
from medlarspring_tables.vms import (
    Cause,
    CauseKind,
    Outcome,
    VMCondition,
    VMState,
)

CAUSE = Cause(CauseKind.WAVE, "w")


def disrupt(fleet, draft, vm):
    pool = fleet.config.pools_by_id[PoolId("a")]
    return disrupt_vm(draft, VMId(vm), CAUSE, pool, fleet.config.fleet, fleet.now)


@pytest.mark.parametrize(
    ("condition", "allowed"),
    [
        (VMCondition.SERVING, 2),
        (VMCondition.DOWN, 1),
        (VMCondition.REBOOTING, 1),
        (None, 1),
    ],
)
def test_failed_or_unseen_vms_count_against_the_budget(fleet, condition, allowed):
    if condition is None:
        del fleet.tables.observations_by_id[VMId("a7")]
    else:
        fleet.observe("a7", condition)
    draft = Draft(fleet.tables)
    results = [is_successful(disrupt(fleet, draft, f"a{n}")) for n in range(4)]
    assert results == [True] * allowed + [False] * (4 - allowed)
    listed = draft.pool_disruptions(PoolId("a")).causes_by_vm
    assert len(listed) == allowed


def test_refusal_names_the_counts_and_the_remedy(fleet):
    draft = Draft(fleet.tables)
    for vm in ("a0", "a1"):
        disrupt(fleet, draft, vm)
    message = disrupt(fleet, draft, "a2").failure().message()
    assert "6 VMs available of at least 6" in message
    assert "lower min_available" in message


def test_zone_limit_counts_the_vms_of_all_pools(fleet):
    fleet.config = msgspec.structs.replace(
        fleet.config, fleet=FleetRow(max_drains_per_zone=1)
    )
    draft = Draft(fleet.tables)
    assert is_successful(disrupt(fleet, draft, "a0"))
    refused = disrupt(fleet, draft, "a1").failure()
    assert "zone z0 has 1 VMs out" in refused.reason
    assert is_successful(disrupt(fleet, draft, "a4"))


def test_vm_takes_each_step_only_after_an_observation(fleet):
    fleet.start_wave()
    fleet.tick()
    assert fleet.states(VMState.DRAINING) == ["a0", "a4"]
    assert choose_action(fleet.tables, fleet.vm("a0")) is Action.DRAIN
    fleet.observe("a0", VMCondition.DRAINING)
    fleet.tick()
    assert fleet.vm("a0").state is VMState.DRAINING
    fleet.observe("a0", VMCondition.DRAINED)
    fleet.tick()
    assert fleet.vm("a0").state is VMState.REBOOTING
    assert choose_action(fleet.tables, fleet.vm("a0")) is Action.REBOOT
    fleet.observe("a0", VMCondition.SERVING, boot=2)
    fleet.tick()
    assert fleet.vm("a0").outcome is Outcome.BACK
    assert fleet.vm("a0").wave_id == WaveId("w")
    listed = fleet.tables.disruptions_by_pool[PoolId("a")].causes_by_vm
    assert VMId("a0") not in listed


def test_drains_are_cancelled_when_failures_take_the_pool_below_its_budget(fleet):
    """
    Two VMs are draining when two others fail, so the pool is below its budget.
    Both drains are cancelled at once, since VMs that have not rebooted yet can
    serve again within a second.
    """
    fleet.start_wave()
    fleet.tick()
    for vm in ("a6", "a7"):
        fleet.observe(vm, VMCondition.DOWN)
    fleet.tick()
    assert fleet.states(VMState.RESTORING) == ["a0", "a4"]
    assert choose_action(fleet.tables, fleet.vm("a0")) is Action.RESTORE
    for vm in ("a0", "a4"):
        fleet.observe(vm, VMCondition.SERVING)
    fleet.tick()
    assert fleet.states(VMState.SERVING) == [f"a{n}" for n in range(8)]


def test_drain_timeout_and_failed_reboot_are_recorded(fleet):
    fleet.start_wave()
    fleet.tick()
    fleet.observe("a0", VMCondition.DRAINING)
    fleet.reboot("a4", returns=False)
    fleet.tick(seconds=DRAIN_LIMIT_SECONDS + 1)
    assert fleet.vm("a0").state is VMState.RESTORING
    assert fleet.vm("a0").outcome is Outcome.DRAIN_TIMED_OUT
    fleet.tick(seconds=RETURN_LIMIT_SECONDS)
    assert fleet.vm("a4").state is VMState.OUT
    assert fleet.vm("a4").outcome is Outcome.NOT_RETURNED
    fleet.observe("a4", VMCondition.SERVING, boot=2)
    fleet.tick()
    fleet.observe("a4", VMCondition.SERVING)
    fleet.tick()
    assert fleet.vm("a4").state is VMState.SERVING


def test_vm_restored_by_a_partitioned_holder_is_drained_again_before_its_reboot(fleet):
    """
    The holder saw the VM drained and wrote the intent to reboot it. A former
    holder that could not reach the store has restored the VM meanwhile, and it
    serves requests. A reboot would interrupt them, so the VM is drained again
    under a new revision.
    """
    fleet.start_wave()
    fleet.tick()
    fleet.observe("a0", VMCondition.DRAINED)
    fleet.tick()
    assert fleet.vm("a0").state is VMState.REBOOTING
    fleet.tables.observations_by_id[VMId("a0")].condition = VMCondition.SERVING
    fleet.tick()
    assert fleet.vm("a0").state is VMState.DRAINING
    assert choose_action(fleet.tables, fleet.vm("a0")) is Action.DRAIN


@pytest.mark.parametrize("state", [VMState.DRAINING, VMState.REBOOTING, VMState.OUT])
def test_vm_that_rebooted_by_itself_is_restored_before_it_counts(fleet, state):
    """
    A VM fails during its maintenance and reboots by itself. A drain or reboot
    sent by a suspended holder may still arrive. If the VM counted as available
    at once, that action would take it out of service without an entry in the
    disruptions, so the platform has to accept a newer revision first.
    """
    fleet.start_wave()
    fleet.tick()
    if state is not VMState.DRAINING:
        fleet.observe("a0", VMCondition.DRAINED)
        fleet.tick()
    if state is VMState.OUT:
        fleet.tables.observations_by_id[VMId("a0")].condition = VMCondition.DOWN
        fleet.tick(seconds=RETURN_LIMIT_SECONDS + 1)
    assert fleet.vm("a0").state is state
    observation = fleet.tables.observations_by_id[VMId("a0")]
    if state is VMState.DRAINING:
        fleet.observe("a0", VMCondition.DRAINING)
    observation = fleet.tables.observations_by_id[VMId("a0")]
    observation.condition, observation.boot = VMCondition.SERVING, 2
    fleet.tick()
    assert fleet.vm("a0").state is VMState.RESTORING
    assert choose_action(fleet.tables, fleet.vm("a0")) is Action.RESTORE
    fleet.put(pause_wave(fleet.wave(), "enough", fleet.now).unwrap())
    fleet.observe("a0", VMCondition.SERVING)
    fleet.tick()
    assert fleet.vm("a0").state is VMState.SERVING
