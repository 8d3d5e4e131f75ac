"""Creates records of newly listed VMs and deletes those of VMs that are gone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.disruptions import MAX_CHANGES
from medlarspring_systems.draft import DecisionKind
from medlarspring_tables.fleet_tables import key_of_vm
from medlarspring_tables.vms import VMRecord, VMState

if TYPE_CHECKING:
    from medlarspring_systems.draft import Draft
    from medlarspring_tables import PoolRow, VMList

FORGET_AFTER_SECONDS = 3_600.0
"""Delay before the record of a VM that is out and no longer listed is deleted."""


def plan_adoption(draft: Draft, pool: PoolRow, vm_list: VMList, now: float) -> None:
    """Draft records for VMs that the list shows in the pool for the first time.

    From then on only the record determines the pool of a VM. The list lags
    behind, so following its pool label would undo moves.
    """
    for vm in vm_list.vms_by_id.values():
        if vm.pool_id != pool.id or vm.id in draft.tables.vms_by_id:
            continue
        if len(draft.records_by_key) >= MAX_CHANGES:
            return
        draft.put(
            VMRecord(
                id=vm.id,
                pool_id=pool.id,
                rack_id=vm.rack_id,
                zone_id=vm.zone_id,
                since=now,
                maintained_at=now,
            )
        )
        draft.record_decision(
            DecisionKind.ADOPT, "first-listed", vm_id=vm.id, pool=pool.id
        )


def plan_record_removal(
    draft: Draft, pool: PoolRow, vm_list: VMList, now: float
) -> None:
    """Draft the deletion of records of VMs that left the fleet."""
    for vm_id in sorted(draft.tables.busy_vm_ids_by_pool.get(pool.id, ())):
        record = draft.vm(vm_id)
        is_unlisted = vm_id not in vm_list.vms_by_id
        if (
            record.state is VMState.OUT
            and is_unlisted
            and vm_id not in draft.tables.observations_by_id
            and now - record.since > FORGET_AFTER_SECONDS
        ):
            draft.delete(key_of_vm(vm_id))
            draft.record_decision(DecisionKind.FORGET, "no-longer-listed", vm_id=vm_id)


__all__ = ["FORGET_AFTER_SECONDS", "plan_adoption", "plan_record_removal"]
