from __future__ import annotations

import pytest

from medlarspring_adapters.clock import ManualClock
from medlarspring_bench.vm_control_state import (
    ActionRefused,
    Condition,
    VMControlState,
    VMRow,
)


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def state(clock: ManualClock) -> VMControlState:
    state = VMControlState(clock)
    state.add(VMRow(id="a", pool="p", rack="r", zone="z"))
    return state


def test_vm_is_drained_only_when_nothing_runs(
    state: VMControlState, clock: ManualClock
):
    state.running_by_id["a"] = 1
    state.drain("a", 1)
    clock.advance(60)
    assert state.find()[0].condition is Condition.DRAINING
    state.running_by_id["a"] = 0
    assert state.find(ids=["a"])[0].condition is Condition.DRAINED


def test_repeated_reboot_of_one_revision_boots_once(
    state: VMControlState, clock: ManualClock
):
    """A reboot is repeated because its reply was lost: the VM boots only once."""
    state.drain("a", 1)
    clock.advance(1)
    state.reboot("a", 1)
    clock.advance(5)
    assert state.find()[0].condition is Condition.SERVING
    assert state.reboot("a", 1).boot == 2
    assert state.find()[0].condition is Condition.SERVING


def test_assign_moves_a_drained_vm_and_returns_it_to_service(
    state: VMControlState, clock: ManualClock
):
    with pytest.raises(ActionRefused, match="not-drained"):
        state.assign("a", 1, "q")
    state.drain("a", 1)
    clock.advance(1)
    row = state.assign("a", 1, "q")
    assert (row.pool, row.condition) == ("q", Condition.SERVING)


@pytest.mark.parametrize("action", ["drain", "reboot"])
def test_older_and_closed_revisions_are_stale(state: VMControlState, action: str):
    """A resumed former holder sends orders with an outdated revision."""
    state.drain("a", 5)
    with pytest.raises(ActionRefused, match="stale"):
        getattr(state, action)("a", 4)
    state.restore("a", 5)
    with pytest.raises(ActionRefused, match="stale"):
        getattr(state, action)("a", 5)


@pytest.mark.parametrize(
    ("fault", "condition"),
    [("never_return", Condition.REBOOTING), ("fail", Condition.DOWN)],
)
def test_reboot_faults(
    state: VMControlState, clock: ManualClock, fault: str, condition: Condition
):
    getattr(state.faults, fault).add("a")
    state.drain("a", 1)
    clock.advance(1)
    state.reboot("a", 1)
    clock.advance(60)
    assert state.find()[0].condition is condition
