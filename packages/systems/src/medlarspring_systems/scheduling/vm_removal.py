"""Whether VMs that the VM list misses were removed.

A list is read in pages. One that is read while VMs change may miss a VM that stays.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarspring_systems.scheduling.fleet import FleetTables
    from medlarspring_tables import Seconds, VMId
    from medlarspring_tables.scheduling import WorkTables

MIN_LISTS = 3
"""Complete lists in a row that miss a VM before it counts as removed."""
MIN_SECONDS = 4.0
"""Time that these lists span: longer than the pages of one list take to be read."""


@dataclass(slots=True)
class VMAbsence:
    """The lists in a row that missed a VM."""

    since: Seconds
    """When the first of them was requested."""
    read_at: Seconds
    """When the last of them was requested."""
    lists: int = 1


def record_absences(
    tables: WorkTables, fleet: FleetTables, vm_ids: Iterable[VMId]
) -> None:
    """Record which of the VMs the present list misses, and forget all others."""
    former, read_at = fleet.absences_by_vm, tables.vms_read_at
    fleet.absences_by_vm = {}
    for vm_id in vm_ids:
        if vm_id in tables.vms_by_id:
            continue
        absence = former.get(vm_id) or VMAbsence(read_at, read_at)
        if read_at > absence.read_at:
            absence.read_at = read_at
            absence.lists += 1
        fleet.absences_by_vm[vm_id] = absence


def is_removed(fleet: FleetTables, vm_id: VMId) -> bool:
    """Return whether enough lists have missed a VM to count it as removed."""
    absence = fleet.absences_by_vm.get(vm_id)
    if absence is None or absence.lists < MIN_LISTS:
        return False
    return absence.read_at - absence.since >= MIN_SECONDS


__all__ = ["VMAbsence", "is_removed", "record_absences"]
