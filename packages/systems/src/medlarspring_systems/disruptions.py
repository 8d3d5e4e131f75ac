"""Takes VMs out of service within the budgets of pools and zones."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure, Result, Success

from medlarspring_systems.availability import count_availability
from medlarspring_systems.draft import DecisionKind
from medlarspring_tables import MedlarspringError, VMId
from medlarspring_tables.vms import VMState

if TYPE_CHECKING:
    from medlarspring_systems.availability import Availability
    from medlarspring_systems.draft import Draft
    from medlarspring_tables import FleetRow, PoolRow
    from medlarspring_tables.vms import Cause

MAX_CHANGES = 32
"""Bound on the VMs changed by one transaction, to stay within the store's limit."""


class DisruptionRefused(MedlarspringError):
    """A VM must not be taken out of service now."""

    code = "disruption-refused"

    def __init__(self, vm_id: VMId, reason: str, remedy: str) -> None:
        super().__init__(vm_id, reason, remedy)
        self.vm_id = vm_id
        self.reason = reason
        self.remedy = remedy

    def message(self) -> str:
        """Return what blocks the drain and how to resolve it."""
        return f"VM {self.vm_id} is not drained: {self.reason}. {self.remedy}"


def disrupt_vm(
    draft: Draft, vm_id: VMId, cause: Cause, pool: PoolRow, fleet: FleetRow, now: float
) -> Result[None, DisruptionRefused]:
    """Draft the intent to drain one VM if all budgets allow it."""
    record = draft.vm(vm_id)
    if record.pool_id != pool.id or record.state is not VMState.SERVING:
        reason = f"it is {record.state.value} in pool {record.pool_id}"
        return Failure(DisruptionRefused(vm_id, reason, "Wait until it serves."))
    availability = count_availability(draft, pool)
    # Two drains based on the same count would take the pool below its budget.
    # The count therefore includes the draft, and the pool's list of disruptions
    # is written under the revision it was read at: if the count was outdated,
    # the transaction fails.
    if availability.disruptions_allowed < 1:
        return Failure(_refuse_for_budget(vm_id, availability))
    zone = draft.zone_disruptions(record.zone_id)
    if len(zone.causes_by_vm) >= fleet.max_drains_per_zone:
        reason = f"zone {zone.zone_id} has {len(zone.causes_by_vm)} VMs out of service"
        remedy = "Wait for one, or raise max_drains_per_zone in the fleet row."
        return Failure(DisruptionRefused(vm_id, reason, remedy))
    draft.list_vm(record, cause)
    state = {"state": VMState.DRAINING, "since": now, "cause": cause}
    draft.put(msgspec.structs.replace(record, **state))
    draft.record_decision(
        DecisionKind.DRAIN,
        "budget-has-room",
        vm_id=vm_id,
        cause=f"{cause.kind.value} {cause.id}",
        available=availability.available,
        min_available=availability.min_available,
    )
    return Success(None)


def _refuse_for_budget(vm_id: VMId, availability: Availability) -> DisruptionRefused:
    reason = (
        f"pool {availability.pool_id} has {availability.available} VMs available"
        f" of at least {availability.min_available} required"
        f" ({availability.disrupted} disrupted, {availability.failed} failed,"
        f" {availability.unseen} unseen, {availability.out} out)"
    )
    remedy = "Repair the failed VMs, add VMs to the pool, or lower min_available."
    return DisruptionRefused(vm_id, reason, remedy)


__all__ = ["MAX_CHANGES", "DisruptionRefused", "disrupt_vm"]
