from __future__ import annotations

import random

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from medlarspring_bench.fleet_histories import FaultyFleet, run_fleet_history
from medlarspring_bench.vm_control_state import VMControlState
from medlarspring_daemon.fleet import (
    controller as fleet_controller,
    rounds as fleet_rounds,
)
from medlarspring_systems import availability, vm_progress, vm_steps
from medlarspring_systems.draft import Draft
from medlarspring_tables.vms import VMState

FAULTS = (
    "kill",
    "freeze",
    "thaw",
    "lose_reply",
    "lose_request",
    "toggle_store",
    "toggle_control",
    "fail_vm",
    "lose_rack",
    "break_reboots",
)
COMMANDS = ("start_wave", "switch_wave", "wish_move", "change_wanted")


class FleetMachine(RuleBasedStateMachine):
    """
    Entry VMs hold the pools' control work and pause at every call of the store and
    of the platform. There they are killed, paused past their lease or partitioned,
    while VMs and a rack fail and operators start waves and moves. No drain violates
    a budget, no VM is in two pools or rebooted twice, and all work finishes once
    the faults have ended.
    """

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed: int) -> None:
        self.fleet = FaultyFleet(random.Random(seed))
        self.fleet.start_wave()

    @rule(steps=st.integers(1, 40))
    def work(self, steps: int) -> None:
        for _ in range(steps):
            self.fleet.step()

    @rule(steps=st.integers(1, 4))
    def pass_time(self, steps: int) -> None:
        for _ in range(steps):
            self.fleet.advance()

    @rule()
    def pass_long_time(self) -> None:
        self.fleet.advance_long()

    @rule(name=st.sampled_from(FAULTS))
    def fault(self, name: str) -> None:
        getattr(self.fleet, name)()

    @rule(name=st.sampled_from(COMMANDS))
    def command(self, name: str) -> None:
        getattr(self.fleet, name)()

    @invariant()
    def promises_hold(self) -> None:
        if hasattr(self, "fleet"):
            assert self.fleet.checker.violations == []

    def teardown(self) -> None:
        if hasattr(self, "fleet"):
            self.fleet.settle()
            assert self.fleet.checker.violations == []


FleetMachine.TestCase.settings = settings(
    max_examples=40, stateful_step_count=40, deadline=None, derandomize=True
)
TestFleetMachine = FleetMachine.TestCase


@pytest.mark.parametrize("seed", range(5000, 5040))
def test_seeded_history_keeps_every_promise(seed):
    history = run_fleet_history(seed)
    assert history.violations == []


def drop_fences(monkeypatch):
    """Remove the fencing conditions from writes."""
    create = fleet_controller.Transaction

    def transaction(expects, writes, read_on_failure=()):
        kept = expects if not writes else ()
        return create(kept, writes, read_on_failure)

    monkeypatch.setattr(fleet_controller, "Transaction", transaction)


def forget_lost_replies(monkeypatch):
    """Treat a write without a reply as if it had never been sent."""

    async def settle(self, pool_id):
        self._unconfirmed.pop(pool_id, None)
        return True

    monkeypatch.setattr(fleet_controller.FleetController, "_confirm_write", settle)


def trust_every_vm(monkeypatch):
    """Count failed and unobserved VMs as available."""

    def judge(record, sighting):
        if record.state is VMState.SERVING:
            return availability.Health.AVAILABLE
        return availability.Health.DISRUPTED

    monkeypatch.setattr(availability, "evaluate_vm_health", judge)


def accept_late_actions(monkeypatch):
    """Make the platform accept actions with outdated revisions."""
    monkeypatch.setattr(
        VMControlState, "_check", lambda self, id_, revision: self._find(id_)
    )


def serve_without_closing(monkeypatch):
    """Count a VM as serving without restoring it when it serves during an intent."""
    by_itself = ("serves-again", "rebooted-by-itself", "returned-late")

    def restore(draft, record, rule, now):
        step = vm_steps.serve if rule in by_itself else vm_steps.restore
        step(draft, record, rule, now)

    monkeypatch.setattr(vm_progress, "restore", restore)


def unlist_from_what_is_known(monkeypatch):
    """Remove a VM from its zone's list only if the known list contains it."""
    unlist = Draft.unlist_in_zone

    def unlist_in_zone(self, vm):
        if vm.id in self.zone_disruptions(vm.zone_id).causes_by_vm:
            unlist(self, vm)

    monkeypatch.setattr(Draft, "unlist_in_zone", unlist_in_zone)


def take_over_blindly(monkeypatch):
    """Start the control work of a pool without reading its records first."""

    async def take_over(self, holders):
        held = holders.held_pools()
        fences = {each: holders.fence(each) for each in held}
        self._fencing_revisions = {
            each: fence.mod_revision for each, fence in fences.items() if fence
        }
        return True

    monkeypatch.setattr(fleet_rounds.FleetRounds, "_take_over", take_over)


@pytest.mark.parametrize(
    "mutate",
    [
        drop_fences,
        forget_lost_replies,
        trust_every_vm,
        accept_late_actions,
        serve_without_closing,
        unlist_from_what_is_known,
        take_over_blindly,
    ],
)
def test_checker_notices_when_a_safeguard_is_gone(monkeypatch, mutate):
    """Removing any one safeguard makes some history violate a guarantee."""
    mutate(monkeypatch)
    for seed in range(120):
        if run_fleet_history(seed).violations:
            return
    pytest.fail("no history of 120 detects the removed safeguard")
