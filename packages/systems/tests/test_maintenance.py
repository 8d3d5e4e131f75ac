from __future__ import annotations

import msgspec
import pytest

from medlarspring_systems.disruptions import MAX_CHANGES
from medlarspring_systems.draft import Draft
from medlarspring_systems.maintenance import plan_wave_drains
from medlarspring_systems.vm_progress import RETURN_LIMIT_SECONDS
from medlarspring_systems.wave_control import (
    FIRST_PAUSE_SECONDS,
    PERIOD_SECONDS,
    abort_wave,
    create_wave,
    pause_wave,
    resume_wave,
)
from medlarspring_systems.wave_limits import BudgetOnlyLimit, RackReserveLimit
from medlarspring_systems.wave_progress import Step, measure_progress
from medlarspring_tables import FleetRow, PoolId, VMId, WaveId
from medlarspring_tables.vms import (
    Cause,
    CauseKind,
    Outcome,
    VMCondition,
    VMState,
)
from medlarspring_tables.waves import WaveState


def progress(fleet):
    return measure_progress(
        Draft(fleet.tables),
        fleet.wave(),
        fleet.config.pools_by_id,
        fleet.config.fleet,
        fleet.now,
    )


def test_canary_of_each_zone_has_to_return_before_more_vms_drain(fleet):
    fleet.add_pool("b", vms=8, wanted=8, min_available=4)
    fleet.start_wave()
    fleet.tick("b")
    fleet.tick("a")
    assert fleet.states(VMState.DRAINING) == ["b0", "b4"]
    assert "waits for its first VM" in progress(fleet).blocks_by_pool[PoolId("a")]
    fleet.reboot("b0", "b")
    fleet.tick("b")
    fleet.tick("a")
    assert len(fleet.states(VMState.DRAINING)) == 4 + 2


def test_wave_ends_with_every_vm_rebooted_once(fleet):
    fleet.start_wave()
    rebooted = []
    while fleet.wave().is_open:
        fleet.tick()
        for vm in fleet.states(VMState.DRAINING):
            assert len(fleet.states(VMState.SERVING)) >= 6
            rebooted.append(vm)
            fleet.reboot(vm)
    assert sorted(rebooted) == [f"a{n}" for n in range(8)]
    assert progress(fleet).counts_by_step == {Step.BACK: 8}


def test_failures_in_a_row_pause_the_wave_and_a_failed_canary_doubles_the_pause(fleet):
    """
    With a faulty image no VM survives its reboot. The wave pauses and names the
    failed VMs before the pool is below its budget. After the pause one VM per
    zone is drained, fails too, and the next pause is twice as long.
    """
    fleet.add_pool("b", vms=8, wanted=8, min_available=1)
    fleet.config = msgspec.structs.replace(
        fleet.config, fleet=FleetRow(max_drains_per_zone=1)
    )
    fleet.start_wave()
    for _ in range(2):
        fleet.tick("b")
        for vm in fleet.states(VMState.DRAINING):
            fleet.reboot(vm, "b", returns=False)
        fleet.tick("b", RETURN_LIMIT_SECONDS + 1)
    fleet.tick("b")
    wave = fleet.wave()
    assert wave.state is WaveState.PAUSED
    assert "in a row did not return" in wave.reason
    lost = len(fleet.states(VMState.OUT))
    for vm in fleet.states(VMState.RESTORING):
        fleet.observe(vm, VMCondition.SERVING)
    fleet.tick("b", FIRST_PAUSE_SECONDS + 1)
    fleet.tick("b")
    assert fleet.wave().state is WaveState.RUNNING
    assert len(fleet.states(VMState.DRAINING)) <= 2
    for vm in fleet.states(VMState.DRAINING):
        fleet.reboot(vm, "b", returns=False)
    fleet.tick("b", RETURN_LIMIT_SECONDS + 1)
    fleet.tick("b")
    assert fleet.wave().state is WaveState.PAUSED
    assert fleet.wave().pauses == 2
    assert len(fleet.states(VMState.OUT)) <= lost + 2


@pytest.mark.parametrize(
    ("failed", "is_paused"),
    [
        ([3, 9, 15], False),
        ([3, 4, 5], True),
        ([3, 4, 10], False),
        ([0, 4, 8, 12, 16], True),
    ],
)
def test_failures_known_together_are_judged_in_the_order_of_the_reboots(
    fleet, failed, is_paused
):
    """
    Twenty VMs reboot one after another. Returns are known within minutes, but all
    failures only at the same later time. In order of end they would look
    consecutive although VMs between them returned.
    """
    fleet.add_pool("b", vms=20, wanted=20, min_available=20)
    fleet.start_wave()
    for number in range(20):
        is_lost = number in failed
        outcome = Outcome.NOT_RETURNED if is_lost else Outcome.BACK
        ended = {
            "wave_id": WaveId("w"),
            "outcome": outcome,
            "began_at": fleet.now + number,
            "finished_at": fleet.now + (900 if is_lost else 200 + number),
        }
        fleet.put(msgspec.structs.replace(fleet.vm(f"b{number}"), **ended))
    fleet.tick("b")
    assert (fleet.wave().state is WaveState.PAUSED) == is_paused


def test_vms_that_wait_for_their_reboot_do_not_keep_others_from_their_next_step(fleet):
    """Guards against drained VMs that are never rebooted behind many that are down."""
    fleet.add_pool("b", vms=MAX_CHANGES + 1, wanted=1, min_available=0)
    *waiting, last = sorted(fleet.tables.vm_ids_by_pool[PoolId("b")])
    for vm_id in waiting:
        record = msgspec.structs.replace(
            fleet.vm(vm_id), state=VMState.REBOOTING, since=fleet.now
        )
        fleet.put(record)
        fleet.observe(vm_id, VMCondition.DOWN)
    wave = fleet.start_wave()
    cause = Cause(CauseKind.WAVE, wave.id)
    draining = {"state": VMState.DRAINING, "since": fleet.now, "cause": cause}
    fleet.put(msgspec.structs.replace(fleet.vm(last), **draining))
    fleet.observe(last, VMCondition.DRAINED)
    fleet.tick("b")
    assert fleet.vm(last).state is VMState.REBOOTING


def test_lost_rack_does_not_pause_the_wave(fleet):
    fleet.add_pool("b", vms=8, wanted=8, min_available=4)
    fleet.start_wave()
    fleet.tick("b")
    fleet.reboot("b0", "b", returns=False)
    for vm in ("b1", "b2", "b3"):
        fleet.observe(vm, VMCondition.DOWN)
    fleet.tick("b", RETURN_LIMIT_SECONDS + 1)
    fleet.tick("b", RETURN_LIMIT_SECONDS + 1)
    assert fleet.wave().state is WaveState.RUNNING
    assert progress(fleet).not_returned[0] == VMId("b0")


def test_operator_pauses_resumes_and_aborts(fleet):
    fleet.start_wave()
    fleet.tick()
    fleet.put(pause_wave(fleet.wave(), "storm", fleet.now).unwrap())
    fleet.tick()
    assert fleet.states(VMState.RESTORING) == ["a0", "a4"]
    assert progress(fleet).blocks_by_pool[PoolId("a")].endswith("storm")
    for vm in ("a0", "a4"):
        fleet.observe(vm, VMCondition.SERVING)
    fleet.tick(seconds=10 * FIRST_PAUSE_SECONDS)
    assert fleet.states(VMState.DRAINING) == []
    fleet.put(resume_wave(fleet.wave(), fleet.now).unwrap())
    fleet.tick()
    assert fleet.states(VMState.DRAINING) == ["a0", "a4"]
    fleet.put(abort_wave(fleet.wave(), "wrong image", fleet.now).unwrap())
    assert "aborted" in resume_wave(fleet.wave(), fleet.now).failure().message()


@pytest.mark.parametrize(("min_available", "drained"), [(6, 2), (4, 4), (3, 2), (2, 4)])
def test_wave_leaves_a_pool_able_to_lose_a_rack(fleet, min_available, drained):
    """
    The pool has eight VMs in two racks of four. With a min_available of 3 it can
    lose a rack while one VM of each rack is drained. With 4 or 6 it cannot, so
    only the budget limits the wave.
    """
    fleet.add_pool("b", vms=8, wanted=8, min_available=min_available)
    draft = Draft(fleet.tables)
    wave = fleet.start_wave()
    pool = fleet.config.pools_by_id[PoolId("b")]
    wave_limit = RackReserveLimit(BudgetOnlyLimit())
    plan_wave_drains(draft, pool, fleet.config.fleet, wave_limit, fleet.now)
    states = [draft.vm(vm_id).state for vm_id in wave.vm_ids]
    assert states.count(VMState.DRAINING) == drained


def test_periodic_wave_includes_the_vms_that_are_nearly_due(fleet):
    fleet.tick(seconds=PERIOD_SECONDS / 2)
    assert not fleet.tables.waves_by_id
    fleet.tick(seconds=PERIOD_SECONDS / 2 - 86_400)
    fleet.tick()
    (wave,) = fleet.tables.waves_by_id.values()
    assert len(wave.vm_ids) == 8


def test_ended_wave_is_deleted_after_a_full_period(fleet):
    fleet.start_wave()
    fleet.put(abort_wave(fleet.wave(), "wrong image", fleet.now).unwrap())
    fleet.tick(seconds=PERIOD_SECONDS - 1)
    assert WaveId("w") in fleet.tables.waves_by_id
    fleet.tick(seconds=2)
    assert WaveId("w") not in fleet.tables.waves_by_id


def test_wave_over_unknown_vms_is_refused_with_the_remedy(fleet):
    refused = create_wave(
        fleet.tables, WaveId("x"), [VMId("zz")], [], "ana", fleet.now
    ).failure()
    assert "no VM zz" in refused.message()
    assert "`medlarspring vm list`" in refused.message()
