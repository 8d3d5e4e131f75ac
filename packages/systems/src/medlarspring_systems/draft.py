"""Staged changes of fleet records, written in one transaction."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from medlarspring_tables.fleet_tables import (
    key_of,
    key_of_disruptions,
    key_of_move,
    key_of_vm,
    key_of_zone,
)
from medlarspring_tables.moves import MoveRecord
from medlarspring_tables.pools import PoolDisruptions, ZoneDisruptions
from medlarspring_tables.vms import VMRecord

if TYPE_CHECKING:
    from medlarspring_tables import PoolId, VMId, WaveId, ZoneId
    from medlarspring_tables.fleet_tables import FleetRecord, FleetTables
    from medlarspring_tables.moves import MoveId
    from medlarspring_tables.vms import Cause

Fact = str | int | float | bool


class DecisionKind(Enum):
    """Kind of a decision about a VM or a wave."""

    ADOPT = "adopt"
    DRAIN = "drain"
    REBOOT = "reboot"
    MOVE = "move"
    SERVE = "serve"
    PUT_BACK = "put back"
    GIVE_UP = "give up"
    FORGET = "forget"
    VM_ENDED = "VM ended"
    START = "start"
    PAUSE = "pause"
    RESUME = "resume"
    FINISH = "finish"


@dataclass(slots=True, frozen=True)
class PlannedDecision:
    """A decision with its subject and reason, as shown by ``explain``."""

    decided: DecisionKind
    rule: str
    vm_id: VMId | None = None
    wave_id: WaveId | None = None
    facts: dict[str, Fact] = field(default_factory=dict)


@dataclass(slots=True)
class Draft:
    """Collects changes to write; reads return them in place of the tables' records."""

    tables: FleetTables
    records_by_key: dict[str, FleetRecord | None] = field(default_factory=dict)
    """New records by store key; None deletes the key."""
    planned_decisions: list[PlannedDecision] = field(default_factory=list)

    def vm(self, vm_id: VMId) -> VMRecord:
        """Return a VM's record with the draft applied."""
        record = self.records_by_key.get(key_of_vm(vm_id))
        if isinstance(record, VMRecord):
            return record
        return self.tables.vms_by_id[vm_id]

    def move(self, move_id: MoveId) -> MoveRecord | None:
        """Return a move with the draft applied, or None if it is unknown."""
        record = self.records_by_key.get(key_of_move(move_id))
        if isinstance(record, MoveRecord):
            return record
        return self.tables.moves_by_id.get(move_id)

    def pool_disruptions(self, pool_id: PoolId) -> PoolDisruptions:
        """Return a pool's list of disruptions with the draft applied."""
        record = self.records_by_key.get(key_of_disruptions(pool_id))
        if isinstance(record, PoolDisruptions):
            return record
        known = self.tables.disruptions_by_pool.get(pool_id)
        return known or PoolDisruptions(pool_id=pool_id)

    def zone_disruptions(self, zone_id: ZoneId) -> ZoneDisruptions:
        """Return a zone's list of disruptions with the draft applied."""
        record = self.records_by_key.get(key_of_zone(zone_id))
        if isinstance(record, ZoneDisruptions):
            return record
        known = self.tables.disruptions_by_zone.get(zone_id)
        return known or ZoneDisruptions(zone_id=zone_id)

    def put(self, record: FleetRecord) -> None:
        """Stage the write of a record."""
        self.records_by_key[key_of(record)] = record

    def delete(self, key: str) -> None:
        """Stage the deletion of a key."""
        self.records_by_key[key] = None

    def record_decision(
        self,
        decided: DecisionKind,
        rule: str,
        *,
        vm_id: VMId | None = None,
        wave_id: WaveId | None = None,
        **facts: Fact,
    ) -> None:
        """Record why a part of the draft was decided."""
        self.planned_decisions.append(
            PlannedDecision(decided, rule, vm_id, wave_id, facts)
        )

    def list_vm(self, vm: VMRecord, cause: Cause) -> None:
        """Add a VM to the disruptions of its pool and of its zone."""
        pool = self.pool_disruptions(vm.pool_id)
        causes_by_vm = {**pool.causes_by_vm, vm.id: cause}
        self.put(PoolDisruptions(pool_id=vm.pool_id, causes_by_vm=causes_by_vm))
        zone = self.zone_disruptions(vm.zone_id)
        causes_by_vm = {**zone.causes_by_vm, vm.id: cause}
        self.put(ZoneDisruptions(zone_id=vm.zone_id, causes_by_vm=causes_by_vm))

    def unlist_in_pool(self, vm: VMRecord) -> None:
        """Remove a VM from its pool's disruptions."""
        causes_by_vm = dict(self.pool_disruptions(vm.pool_id).causes_by_vm)
        if causes_by_vm.pop(vm.id, None) is not None:
            self.put(PoolDisruptions(pool_id=vm.pool_id, causes_by_vm=causes_by_vm))

    def unlist_in_zone(self, vm: VMRecord) -> None:
        """Remove a VM from its zone's disruptions.

        Holders of other pools also write this list, so the copy known here may
        predate the VM's entry. The list is written even then: the outdated
        revision causes a conflict, the list is read again and the next attempt
        removes the VM. Without that write the VM would count against the zone's
        limit forever.
        """
        causes_by_vm = dict(self.zone_disruptions(vm.zone_id).causes_by_vm)
        causes_by_vm.pop(vm.id, None)
        if vm.cause is not None:
            self.put(ZoneDisruptions(zone_id=vm.zone_id, causes_by_vm=causes_by_vm))


__all__ = ["DecisionKind", "Draft", "Fact", "PlannedDecision"]
