"""Seeded histories of fleet control work under faults, on a virtual clock."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from medlarspring_bench.fleet_checker import FleetChecker
from medlarspring_bench.fleet_world import FleetShape, FleetWorld
from medlarspring_systems.wave_control import resume_wave
from medlarspring_tables import WaveId
from medlarspring_tables.moves import MoveId, MoveRecord
from medlarspring_tables.waves import WaveRecord, WaveState

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_bench.fleet_world import FleetProcess

STEPS = 400
SETTLE_ROUNDS = 400
MAX_FAILED_VMS = 3


@dataclass(slots=True)
class FleetHistory:
    """Result of one history."""

    seed: int
    violations: list[str] = field(default_factory=list)
    drains: int = 0
    reboots: int = 0
    moves: int = 0
    kills: int = 0
    freezes: int = 0


class FaultyFleet:
    """A fleet world, its checker and the faults that can be injected."""

    def __init__(self, rng: random.Random, shape: FleetShape | None = None) -> None:
        self.rng = rng
        self.world = FleetWorld(shape or FleetShape())
        self.checker = FleetChecker(self.world)
        self.kills = 0
        self.freezes = 0
        self._records = 0

    def step(self) -> None:
        """Run one process to its next pause."""
        running = [each for each in self.world.processes if not each.is_frozen]
        self.rng.choice(running).step()

    def advance(self) -> None:
        """Advance the clock."""
        self.world.clock.advance(self.rng.choice((0.5, 1.0, 5.0, 25.0)))

    def advance_long(self) -> None:
        """Advance the clock by more than the longest allowed return time of a VM."""
        self.world.clock.advance(400.0)

    def kill(self) -> None:
        """Replace a process in the middle of its round."""
        self.kills += 1
        self.world.replace_process(self._choose_process())

    def freeze(self) -> None:
        """Pause a process at its current call until its leases have expired."""
        process = self._choose_process()
        self.freezes += 1
        process.is_frozen = True
        self.world.hand_over(process, self.world.start_process())

    def thaw(self) -> None:
        """Let a paused process finish its round with its outdated fences."""
        frozen = [each for each in self.world.processes if each.is_frozen]
        if not frozen:
            return
        process = self.rng.choice(frozen)
        process.finish()
        process.is_frozen = False
        process.fences.clear()
        if len(self.world.processes) > 2:
            self.world.processes.remove(process)

    def lose_reply(self) -> None:
        """Lose the reply of a write that took effect, or of an action."""
        process = self._choose_process()
        if self.rng.random() < 0.5:
            process.store.faults.lose_replies = 1
        else:
            process.vm_control.lose_replies = 1

    def lose_request(self) -> None:
        """Lose a write before it takes effect."""
        self._choose_process().store.faults.lose_requests = 1

    def toggle_store(self) -> None:
        """Partition a process from the store, or reconnect it."""
        faults = self._choose_process().store.faults
        faults.down = not faults.down

    def toggle_control(self) -> None:
        """Partition a process from the VM control, or reconnect it."""
        control = self._choose_process().vm_control
        control.is_down = not control.is_down

    def fail_vm(self) -> None:
        """Make one VM fail, with at most ``MAX_FAILED_VMS`` failed at once."""
        rows = self.world.platform.rows_by_id
        failed = [row for row in rows.values() if row.condition.value == "down"]
        if len(failed) < MAX_FAILED_VMS:
            self.world.fail_vm(self.rng.choice(sorted(rows)))

    def lose_rack(self) -> None:
        """Fail all VMs of a rack, or restore all failed VMs."""
        racks = sorted({row.rack for row in self.world.platform.rows_by_id.values()})
        if self.rng.random() < 0.5:
            self.world.platform.set_rack_down(self.rng.choice(racks), down=True)
        else:
            self.world.restore_failed_vms()

    def break_reboots(self) -> None:
        """Make two VMs end their next reboot ``down``."""
        rows = sorted(self.world.platform.rows_by_id)
        self.world.platform.faults.fail = set(self.rng.sample(rows, 2))

    def start_wave(self) -> None:
        """Start a wave over the whole fleet, as an operator does."""
        self._records += 1
        now = self.world.clock.wall()
        record = WaveRecord(
            id=WaveId(f"w{self._records}"),
            vm_ids=frozenset(self.checker.truth.vms_by_id),
            started_at=now,
            resumed_at=now,
        )
        self.world.put(record)

    def switch_wave(self) -> None:
        """Pause, resume or abort a wave, as an operator does."""
        waves = sorted(self.checker.truth.open_waves_by_id.items())
        if not waves:
            return
        _, wave = self.rng.choice(waves)
        state = self.rng.choice(list(WaveState)[:3])
        changed = msgspec.structs.replace(wave, state=state, resumes_at=0.0)
        self.world.put(changed)

    def wish_move(self) -> None:
        """Request a move of any VM between two pools, as an operator does."""
        self._records += 1
        pool_ids = sorted(self.world.config.pools_by_id)
        source_pool_id, target_pool_id = self.rng.sample(pool_ids, 2)
        record = MoveRecord(
            id=MoveId(f"m{self._records}"),
            from_pool_id=source_pool_id,
            to_pool_id=target_pool_id,
            created_at=self.world.clock.wall(),
        )
        self.world.put(record)

    def change_wanted(self) -> None:
        """Change the wanted VMs of two pools, as an edit of the table does."""
        pool_ids = sorted(self.world.config.pools_by_id)
        source_pool_id, target_pool_id = self.rng.sample(pool_ids, 2)
        self.world.set_wanted(source_pool_id, self.rng.choice((6, 7)), 6)
        self.world.set_wanted(target_pool_id, self.rng.choice((8, 9)), 6)

    def settle(self) -> None:
        """End all faults, let the remaining work finish and check the result."""
        for process in list(self.world.processes):
            process.store.faults.down = False
            process.store.faults.lose_replies = 0
            process.vm_control.is_down = False
        while any(each.is_frozen for each in self.world.processes):
            self.thaw()
        for process in self.world.processes:
            process.finish()
        self.world.restore_failed_vms()
        for pool_id in sorted(self.world.config.pools_by_id):
            self.world.set_wanted(pool_id, wanted_vms=0, min_available=1)
        self._run_until_settled(is_pause_enough=True)
        for wave in list(self.checker.truth.open_waves_by_id.values()):
            if wave.state is WaveState.PAUSED:
                self.world.put(resume_wave(wave, self.world.clock.wall()).unwrap())
        self._run_until_settled(is_pause_enough=False)
        self.checker.check_settled()

    def _run_until_settled(self, is_pause_enough: bool) -> None:
        for _ in range(SETTLE_ROUNDS // 10):
            if self._is_settled(is_pause_enough):
                return
            self.world.run_rounds(10)

    def _is_settled(self, is_pause_enough: bool) -> bool:
        truth = self.checker.truth
        if any(truth.busy_vm_ids_by_pool.values()) or truth.open_moves_by_id:
            return False
        states = {wave.state for wave in truth.open_waves_by_id.values()}
        return not states or (is_pause_enough and states == {WaveState.PAUSED})

    def _choose_process(self) -> FleetProcess:
        running = [each for each in self.world.processes if not each.is_frozen]
        return self.rng.choice(running)


WEIGHTS_BY_NAME: dict[str, int] = {
    "step": 400,
    "advance": 60,
    "advance_long": 2,
    "kill": 5,
    "freeze": 4,
    "thaw": 6,
    "lose_reply": 6,
    "lose_request": 3,
    "toggle_store": 4,
    "toggle_control": 2,
    "fail_vm": 3,
    "lose_rack": 2,
    "break_reboots": 1,
    "start_wave": 4,
    "switch_wave": 2,
    "wish_move": 4,
    "change_wanted": 3,
}


def run_fleet_history(seed: int, steps: int = STEPS) -> FleetHistory:
    """Run one history to its end and return its result."""
    rng = random.Random(seed)
    fleet = FaultyFleet(rng)
    names = list(WEIGHTS_BY_NAME)
    weights = list(WEIGHTS_BY_NAME.values())
    fleet.start_wave()
    for name in rng.choices(names, weights, k=steps):
        act: Callable[[], None] = getattr(fleet, name)
        act()
    fleet.settle()
    return FleetHistory(
        seed=seed,
        violations=fleet.checker.violations,
        drains=fleet.checker.drains,
        reboots=fleet.checker.reboots,
        moves=fleet.checker.moves,
        kills=fleet.kills,
        freezes=fleet.freezes,
    )


__all__ = ["WEIGHTS_BY_NAME", "FaultyFleet", "FleetHistory", "run_fleet_history"]
