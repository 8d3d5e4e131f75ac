"""Fleet controllers over a store and a platform in memory, one call at a time.

Each call of a controller pauses before and after its effect, so that a history
can kill or pause the process there, or run other processes first.
"""

from __future__ import annotations

import io
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from medlarspring_adapters.clock import ManualClock
from medlarspring_adapters.decisions import DecisionLog
from medlarspring_adapters.events import create_event_log
from medlarspring_adapters.fleet_records import apply_entry, encode_record
from medlarspring_adapters.store import Entry, Expect
from medlarspring_bench.fleet_stepping import SteppedStore, SteppedVMControl
from medlarspring_bench.key_value_ops import PutOp, PutReply
from medlarspring_bench.key_value_state import KeyValueState
from medlarspring_bench.vm_control_state import (
    Condition,
    VMControlState,
    VMRow,
    VMTimes,
)
from medlarspring_daemon.fleet.controller import FleetController
from medlarspring_daemon.fleet.feed import WATCHED_PREFIXES
from medlarspring_daemon.fleet.rounds import FleetRounds
from medlarspring_tables import (
    ConfigTable,
    EntryVMId,
    FleetRow,
    PoolId,
    PoolRow,
    RackId,
    Revision,
    VMId,
    ZoneId,
)
from medlarspring_tables.fleet_tables import FleetTables, key_of
from medlarspring_tables.vms import VMRecord

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from medlarspring_systems.vm_actions import Action
    from medlarspring_systems.wave_limits import WaveLimit
    from medlarspring_tables.fleet_tables import FleetRecord

SPARE_POOL_ID = PoolId("spare")
FEED_CHANCE = 0.3
"""Fraction of the steps before which the watches deliver all changes."""


class FleetProcess:
    """One entry VM's control work; implements ``Holders`` for itself."""

    def __init__(self, number: int, world: FleetWorld) -> None:
        self.number = number
        self.store = SteppedStore(world.store_state)
        self.vm_control = SteppedVMControl(world.platform, world.note_action)
        self.fences: dict[PoolId, Expect] = {}
        self.tables = FleetTables()
        clock, entry_vm_id = world.clock, EntryVMId(f"e{number}")
        log = create_event_log(entry_vm_id, "CRITICAL", io.StringIO())
        self.controller = FleetController(
            self.tables,
            self.store,
            self.vm_control,
            self.fence,
            DecisionLog(clock, entry_vm_id),
            log,
            world.width,
        )
        self._rng = random.Random(number)
        self._rounds = FleetRounds(self.controller, clock, self._rng, log)
        self._world = world
        self._fed_revision = world.store_state.revision
        self._work: Coroutine[None, None, None] | None = None
        self.is_frozen = False

    def held_pools(self) -> frozenset[PoolId]:
        """Return the pools that the process believes it holds."""
        return frozenset(self.fences)

    def fence(self, pool_id: PoolId) -> Expect | None:
        """Return the holder key as the process knows it."""
        return self.fences.get(pool_id)

    @property
    def is_busy(self) -> bool:
        """Whether a round is in progress."""
        return self._work is not None

    def step(self) -> bool:
        """Run to the next pause, starting a round if none is in progress."""
        if self._work is None:
            self._work = self._rounds.run(self, self._world.config, None)
        if self._rng.random() < FEED_CHANCE:
            self._feed()
        self._world.stepping = self
        try:
            self._work.send(None)
        except StopIteration:
            self._work = None
        finally:
            self._world.stepping = None
        return self._work is not None

    def finish(self) -> None:
        """Run the current round to its end."""
        while self._work is not None:
            self.step()

    def _feed(self) -> None:
        """Apply the changes that the watches delivered since the last call."""
        if self.store.faults.down:
            return
        commits = self._world.store_state.commits_since(self._fed_revision + 1)
        for commit in commits:
            self._fed_revision = commit.revision
            for change in commit.changes:
                key, revision = change.kv.key.decode(), Revision(commit.revision)
                if not key.startswith(WATCHED_PREFIXES):
                    continue
                if change.deleted:
                    self.tables.remove(key, revision)
                else:
                    entry = Entry(key, change.kv.value, revision, revision)
                    apply_entry(self.tables, entry, self.controller.unreadable)

    def kill(self) -> None:
        """End the process in the middle of its current round."""
        if self._work is not None:
            self._work.close()
            self._work = None


@dataclass(frozen=True, slots=True)
class FleetShape:
    """Sizes and limits of the pools, racks and zones of a fleet world."""

    pools: int = 3
    vms_in_pool: int = 8
    vms_in_rack: int = 4
    zones: int = 4
    min_available: int = 6
    wanted_vms: int = 8
    max_drains_per_zone: int = 8
    spare_percent: float = 10.0
    spare_vms: int = 0
    """VMs of an additional pool that wants none: spares for all other pools."""
    is_interleaved: bool = False
    """Whether each rack holds VMs of different pools."""

    def rack_of(self, pool: int, index: int) -> int:
        """Return the number of a VM's rack."""
        if self.is_interleaved:
            return (index * self.pools + pool) // self.vms_in_rack
        return pool * -(-self.vms_in_pool // self.vms_in_rack) + (
            index // self.vms_in_rack
        )


class FleetWorld:
    """A store, a platform and the processes that share them."""

    def __init__(
        self,
        shape: FleetShape,
        processes: int = 2,
        times: VMTimes | None = None,
        width: WaveLimit | None = None,
    ) -> None:
        self.clock = ManualClock(100_000.0)
        self.width = width
        self.store_state = KeyValueState(self.clock)
        self.platform = VMControlState(self.clock, times or VMTimes(3.0, 20.0))
        self.stepping: FleetProcess | None = None
        self.action_listeners: list[Callable[[VMRow, Action, int], None]] = []
        self.config = _create_config(shape)
        self._create_vms(shape)
        self._next_number = 0
        self.processes: list[FleetProcess] = []
        self.owners_by_pool: dict[PoolId, FleetProcess] = {}
        for _ in range(processes):
            self.start_process()
        for index, pool_id in enumerate(sorted(self.config.pools_by_id)):
            self.grant(pool_id, self.processes[index % processes])

    def note_action(self, row: VMRow, action: Action, revision: int) -> None:
        """Notify the listeners of an action that changed a VM."""
        for listener in self.action_listeners:
            listener(row, action, revision)

    def put(self, record: FleetRecord) -> None:
        """Write a record as an operator's command does."""
        self.store_state.apply(PutOp(key_of(record).encode(), encode_record(record)))

    def start_process(self) -> FleetProcess:
        """Add a process that holds no pool."""
        self._next_number += 1
        process = FleetProcess(self._next_number, self)
        self.processes.append(process)
        return process

    def grant(self, pool_id: PoolId, process: FleetProcess) -> None:
        """Make a process the holder of a pool; a paused old holder keeps its fence."""
        former = self.owners_by_pool.get(pool_id)
        if former is not None and not former.is_frozen:
            former.fences.pop(pool_id, None)
        key = f"holders/{pool_id}"
        reply = self.store_state.apply(PutOp(key.encode(), b"%d" % process.number))
        assert isinstance(reply, PutReply)
        process.fences[pool_id] = Expect(key, Revision(self.store_state.revision))
        self.owners_by_pool[pool_id] = process

    def replace_process(self, process: FleetProcess) -> None:
        """Kill a process and hand its pools to a new one."""
        process.kill()
        self.processes.remove(process)
        self.hand_over(process, self.start_process())

    def hand_over(self, process: FleetProcess, successor: FleetProcess) -> None:
        """Make a successor the holder of all pools of a process."""
        for pool_id, owner in list(self.owners_by_pool.items()):
            if owner is process:
                self.grant(pool_id, successor)

    def set_wanted(self, pool_id: PoolId, wanted_vms: int, min_available: int) -> None:
        """Change a pool's row."""
        row = PoolRow(id=pool_id, wanted_vms=wanted_vms, min_available=min_available)
        pools_by_id = {**self.config.pools_by_id, pool_id: row}
        self.config = msgspec.structs.replace(self.config, pools_by_id=pools_by_id)

    def fail_vm(self, vm_id: str) -> None:
        """Make a VM fail without any action."""
        self.platform.rows_by_id[vm_id].condition = Condition.DOWN

    def restore_failed_vms(self) -> None:
        """Restore all failed VMs and clear the reboot faults."""
        self.platform.faults.fail.clear()
        self.platform.faults.never_return.clear()
        for row in self.platform.rows_by_id.values():
            if row.condition is Condition.DOWN:
                row.boot += 1
                row.condition = Condition.SERVING

    def run_rounds(self, rounds: int, seconds: float = 5.0) -> None:
        """Run whole rounds of all processes that are not paused."""
        for _ in range(rounds):
            self.clock.advance(seconds)
            for process in self.processes:
                if not process.is_frozen:
                    process.step()
                    process.finish()

    def _create_vms(self, shape: FleetShape) -> None:
        for number, pool_id in enumerate(self.config.pools_by_id):
            is_spare = pool_id == SPARE_POOL_ID
            for index in range(shape.spare_vms if is_spare else shape.vms_in_pool):
                rack = shape.rack_of(number, index)
                record = VMRecord(
                    id=VMId(f"{pool_id}-{index:02}"),
                    pool_id=pool_id,
                    rack_id=RackId(f"r{rack:03}"),
                    zone_id=ZoneId(f"z{rack % shape.zones}"),
                    maintained_at=self.clock.wall(),
                )
                self.put(record)
                row = VMRow(
                    id=record.id,
                    pool=pool_id,
                    rack=record.rack_id,
                    zone=record.zone_id,
                )
                self.platform.add(row)


def _create_config(shape: FleetShape) -> ConfigTable:
    rows = [
        PoolRow(
            id=PoolId(f"p{number:02}"),
            wanted_vms=shape.wanted_vms,
            min_available=shape.min_available,
        )
        for number in range(shape.pools)
    ]
    if shape.spare_vms:
        rows.append(PoolRow(id=SPARE_POOL_ID, wanted_vms=0, min_available=0))
    fleet = FleetRow(
        max_drains_per_zone=shape.max_drains_per_zone,
        spare_percent=shape.spare_percent,
    )
    return ConfigTable(fleet=fleet, pools_by_id={row.id: row for row in rows})


__all__ = ["SPARE_POOL_ID", "FleetProcess", "FleetShape", "FleetWorld"]
