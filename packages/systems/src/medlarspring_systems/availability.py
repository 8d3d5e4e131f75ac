"""Counts the available VMs of a pool against its availability budget."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from medlarspring_tables.vms import VMCondition, VMState

if TYPE_CHECKING:
    from medlarspring_systems.draft import Draft
    from medlarspring_tables import PoolId, PoolRow
    from medlarspring_tables.fleet_tables import FleetTables
    from medlarspring_tables.vms import VMObservation, VMRecord

REPLACE_AFTER_SECONDS = 300.0
"""A VM that fails without a disruption for this long no longer counts as a member.

Its pool is then short of a VM and gets a replacement.
"""
REPLACE_RACK_AFTER_SECONDS = 120.0
"""The same limit for a VM of a lost rack, which does not recover by VM restarts."""


class Health(Enum):
    """Whether a VM counts as available for its pool's budget, or why it does not."""

    AVAILABLE = "available"
    DISRUPTED = "disrupted"
    """Taken out by control work."""
    FAILED = "failed"
    UNSEEN = "unseen"
    OUT = "out"


@dataclass(slots=True)
class Availability:
    """Number of VMs of one pool by health."""

    pool_id: PoolId
    min_available: int
    available: int = 0
    disrupted: int = 0
    failed: int = 0
    unseen: int = 0
    out: int = 0

    @property
    def disruptions_allowed(self) -> int:
        """Number of VMs that may be disrupted now; negative if the budget is broken."""
        return self.available - self.min_available

    @property
    def members(self) -> int:
        """Number of VMs in the pool that have not been given up."""
        return self.available + self.disrupted + self.failed + self.unseen


def evaluate_vm_health(record: VMRecord, observation: VMObservation | None) -> Health:
    """Return a VM's health; without a current observation it counts as unseen.

    A VM that the platform still shows in another pool counts as failed, since it
    does not serve its own pool yet.
    """
    if record.state is VMState.OUT:
        return Health.OUT
    if record.state is not VMState.SERVING:
        return Health.DISRUPTED
    if observation is None:
        return Health.UNSEEN
    if observation.condition is not VMCondition.SERVING:
        return Health.FAILED
    if observation.pool_id != record.pool_id:
        return Health.FAILED
    return Health.AVAILABLE


def count_availability(draft: Draft, row: PoolRow) -> Availability:
    """Count a pool's VMs as they will be after the draft is written."""
    availability = Availability(row.id, row.min_available)
    # After a takeover, this process's VM records may lag behind the pool's list
    # of disruptions, which it read at the revision under which it writes.
    # A VM on that list is out of service in any case.
    listed = draft.pool_disruptions(row.id).causes_by_vm
    for vm_id in draft.tables.vm_ids_by_pool.get(row.id, ()):
        record = draft.vm(vm_id)
        if record.pool_id != row.id:
            continue
        health = evaluate_vm_health(record, draft.tables.observations_by_id.get(vm_id))
        match Health.DISRUPTED if vm_id in listed else health:
            case Health.AVAILABLE:
                availability.available += 1
            case Health.DISRUPTED:
                availability.disrupted += 1
            case Health.FAILED:
                availability.failed += 1
            case Health.UNSEEN:
                availability.unseen += 1
            case Health.OUT:
                availability.out += 1
    return availability


def record_failing_vms(tables: FleetTables, pool_id: PoolId, now: float) -> None:
    """Record since when each VM of a pool that should serve is down or unseen."""
    for vm_id in tables.vm_ids_by_pool.get(pool_id, ()):
        health = evaluate_vm_health(
            tables.vms_by_id[vm_id], tables.observations_by_id.get(vm_id)
        )
        if health in (Health.FAILED, Health.UNSEEN):
            tables.failing_since_by_id.setdefault(vm_id, now)
        else:
            tables.failing_since_by_id.pop(vm_id, None)


def is_rack_lost(tables: FleetTables, record: VMRecord) -> bool:
    """Return whether most other VMs of a VM's rack and pool fail undrained.

    Losing a rack also takes down VMs that no wave has drained. If only the wave
    broke its VMs, the other VMs of the rack still serve.
    """
    rack_peers = [
        vm_id
        for vm_id in tables.vm_ids_by_pool.get(record.pool_id, ())
        if vm_id != record.id and tables.vms_by_id[vm_id].rack_id == record.rack_id
    ]
    undrained_peers = [
        vm_id
        for vm_id in rack_peers
        if tables.vms_by_id[vm_id].state is VMState.SERVING
        or (
            tables.vms_by_id[vm_id].state is VMState.OUT
            and tables.vms_by_id[vm_id].cause is None
        )
    ]
    failing = [
        vm_id for vm_id in undrained_peers if vm_id in tables.failing_since_by_id
    ]
    out = [
        vm_id
        for vm_id in undrained_peers
        if tables.vms_by_id[vm_id].state is VMState.OUT
    ]
    return 2 * (len(failing) + len(out)) > len(undrained_peers) > 0


__all__ = [
    "REPLACE_AFTER_SECONDS",
    "REPLACE_RACK_AFTER_SECONDS",
    "Availability",
    "Health",
    "count_availability",
    "is_rack_lost",
    "evaluate_vm_health",
    "record_failing_vms",
]
