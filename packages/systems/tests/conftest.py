from __future__ import annotations

from dataclasses import dataclass, field, replace

import msgspec
import pytest

from medlarspring_systems.draft import Draft
from medlarspring_systems.fleet_plan import plan_pool, plan_waves
from medlarspring_tables import (
    ConfigTable,
    FleetRow,
    PoolId,
    PoolRow,
    RackId,
    Revision,
    VMId,
    WaveId,
    ZoneId,
)
from medlarspring_tables.fleet_tables import FleetTables, key_of
from medlarspring_tables.vms import VMCondition, VMObservation, VMRecord, VMState
from medlarspring_tables.waves import WaveRecord

VMS_IN_RACK = 4


@dataclass
class Fleet:
    """Fleet tables with a controllable clock and controllable VM observations."""

    config: ConfigTable
    tables: FleetTables = field(default_factory=FleetTables)
    revision: int = 100
    now: float = 10_000.0

    def commit(self, draft: Draft) -> Draft:
        """Apply a draft to the tables as the store would."""
        self.revision += 1
        for key, record in draft.records_by_key.items():
            if record is None:
                self.tables.remove(key)
            else:
                self.tables.put(record, Revision(self.revision))
        return draft

    def tick(self, pool: str = "a", seconds: float = 1.0) -> Draft:
        """Plan one pool and all waves, and write the result."""
        self.now += seconds
        pool_id = PoolId(pool)
        self.commit(plan_waves(self.tables, self.config, pool_id, self.now))
        return self.commit(plan_pool(self.tables, self.config, pool_id, None, self.now))

    def add_pool(self, pool: str, vms: int, wanted: int, min_available: int) -> None:
        row = PoolRow(id=PoolId(pool), wanted_vms=wanted, min_available=min_available)
        pools_by_id = {**self.config.pools_by_id, row.id: row}
        self.config = msgspec.structs.replace(self.config, pools_by_id=pools_by_id)
        for number in range(vms):
            self.add_vm(f"{pool}{number}", pool, number // VMS_IN_RACK)

    def add_vm(self, vm: str, pool: str, rack: int) -> None:
        vm_id, pool_id = VMId(vm), PoolId(pool)
        record = VMRecord(
            id=vm_id,
            pool_id=pool_id,
            rack_id=RackId(f"{pool}-r{rack}"),
            zone_id=ZoneId(f"z{rack}"),
            maintained_at=self.now,
        )
        self.put(record)
        observation = VMObservation(vm_id, pool_id, VMCondition.SERVING, 1, Revision(0))
        self.tables.observations_by_id[vm_id] = observation

    def put(self, *records: VMRecord | WaveRecord) -> None:
        draft = Draft(self.tables)
        for record in records:
            draft.put(record)
        self.commit(draft)

    def observe(self, vm: str, condition: VMCondition, **changes: object) -> None:
        """Set a VM's observation, with the action of its record accepted."""
        vm_id = VMId(vm)
        revision = self.tables.revision_of(key_of(self.tables.vms_by_id[vm_id]))
        seen = self.tables.observations_by_id[vm_id]
        changed = replace(seen, condition=condition, revision=revision, **changes)  # type: ignore[arg-type]
        self.tables.observations_by_id[vm_id] = changed

    def start_wave(self, wave: str = "w") -> WaveRecord:
        record = WaveRecord(
            id=WaveId(wave),
            vm_ids=frozenset(self.tables.vms_by_id),
            started_at=self.now,
            resumed_at=self.now,
        )
        self.put(record)
        return record

    def wave(self, wave: str = "w") -> WaveRecord:
        return self.tables.waves_by_id[WaveId(wave)]

    def vm(self, vm: str) -> VMRecord:
        return self.tables.vms_by_id[VMId(vm)]

    def states(self, state: VMState) -> list[str]:
        return sorted(
            record.id
            for record in self.tables.vms_by_id.values()
            if record.state is state
        )

    def reboot(self, vm: str, pool: str = "a", returns: bool = True) -> None:
        """Take a draining VM through its reboot, until it returns or is down."""
        self.observe(vm, VMCondition.DRAINED)
        self.tick(pool)
        if returns:
            self.observe(vm, VMCondition.SERVING, boot=self.vm(vm).boot + 1)
            self.tick(pool)
        else:
            self.observe(vm, VMCondition.DOWN)


@pytest.fixture
def fleet() -> Fleet:
    """Return a fleet of one pool: 8 VMs in two racks and zones, budget 6."""
    fleet = Fleet(ConfigTable(fleet=FleetRow(max_drains_per_zone=8)))
    fleet.add_pool("a", vms=8, wanted=8, min_available=6)
    return fleet
