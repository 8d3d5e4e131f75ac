"""Limits on maintenance waves in addition to the budgets of pools and zones."""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from typing import TYPE_CHECKING, Protocol

from medlarspring_systems.availability import Health, evaluate_vm_health
from medlarspring_tables.vms import Cause, CauseKind, Outcome, VMState

if TYPE_CHECKING:
    from medlarspring_systems.draft import Draft
    from medlarspring_tables import PoolRow, RackId
    from medlarspring_tables.fleet_tables import FinishedVM, FleetTables
    from medlarspring_tables.vms import VMRecord
    from medlarspring_tables.waves import WaveRecord

OUTCOME_WINDOW = 20
"""Number of most recent VM outcomes by which a wave is evaluated."""


class WaveLimit(Protocol):
    """Limits the drains of a wave in addition to the budgets of pools and zones."""

    def allows(
        self, draft: Draft, wave: WaveRecord, vm: VMRecord, pool: PoolRow
    ) -> bool:
        """Return whether one more VM may be drained now."""
        ...


class BudgetOnlyLimit:
    """Adds no limit to the budgets."""

    def allows(
        self, draft: Draft, wave: WaveRecord, vm: VMRecord, pool: PoolRow
    ) -> bool:
        """Allow every VM."""
        return True


class CanaryLimit:
    """Allows one VM per zone until a VM has returned, then adds no limit.

    If no VM survives its reboot, one VM per zone is lost instead of as many as
    the budgets allow.
    """

    def allows(
        self, draft: Draft, wave: WaveRecord, vm: VMRecord, pool: PoolRow
    ) -> bool:
        """Allow every VM once one has returned, before that the first per zone."""
        if has_returned_vm(draft.tables, wave):
            return True
        cause = Cause(CauseKind.WAVE, wave.id)
        out = draft.zone_disruptions(vm.zone_id).causes_by_vm.values()
        return cause not in out


class RackReserveLimit:
    """Adds to an inner limit that a pool can lose any one rack.

    A pool drained to its budget falls below it when a rack is lost, and VMs that
    are rebooting by then cannot be restored. A pool that could not lose a rack
    even at its wanted size is still drained to its budget.
    """

    def __init__(self, inner: WaveLimit) -> None:
        self._inner = inner

    def allows(
        self, draft: Draft, wave: WaveRecord, vm: VMRecord, pool: PoolRow
    ) -> bool:
        """Allow what the inner limit allows if the rack reserve is kept."""
        if not self._inner.allows(draft, wave, vm, pool):
            return False
        return keeps_rack_reserve(draft, vm, pool)


def keeps_rack_reserve(draft: Draft, vm: VMRecord, pool: PoolRow) -> bool:
    """Return whether the pool without the VM can lose a rack and keep its budget.

    True as well for a pool that could not lose a rack even at its wanted size.
    """
    members_by_rack: Counter[RackId] = Counter()
    available_by_rack: Counter[RackId] = Counter()
    for vm_id in draft.tables.vm_ids_by_pool.get(pool.id, ()):
        record = draft.vm(vm_id)
        if record.state is VMState.OUT:
            continue
        members_by_rack[record.rack_id] += 1
        observation = draft.tables.observations_by_id.get(vm_id)
        is_available = evaluate_vm_health(record, observation) is Health.AVAILABLE
        available_by_rack[record.rack_id] += is_available and vm_id != vm.id
    left = sum(available_by_rack.values()) - max(available_by_rack.values(), default=0)
    if left >= pool.min_available:
        return True
    largest = max(members_by_rack.values(), default=0)
    return pool.wanted_vms - 1 - largest < pool.min_available


def has_returned_vm(tables: FleetTables, wave: WaveRecord) -> bool:
    """Return whether a VM that began after the last resumption has returned."""
    for finish in reversed(tables.finished_by_wave.get(wave.id, [])):
        if finish.began_at < wave.resumed_at:
            return False
        if finish.outcome is Outcome.BACK:
            return True
    return False


def find_recent_outcomes(tables: FleetTables, wave: WaveRecord) -> list[FinishedVM]:
    """Return the last failure and the outcomes before it, in order of start time.

    VMs that began after that failure are excluded, because only successes among
    them are known yet. VMs that began before the last resumption are excluded too.
    """
    failed = tables.failed_by_wave.get(wave.id)
    if not failed:
        return []
    finished = tables.finished_by_wave[wave.id]
    end = bisect_right(finished, failed[-1])
    return [
        finish
        for finish in finished[max(0, end - OUTCOME_WINDOW) : end]
        if finish.began_at >= wave.resumed_at
    ]


__all__ = [
    "OUTCOME_WINDOW",
    "BudgetOnlyLimit",
    "CanaryLimit",
    "RackReserveLimit",
    "WaveLimit",
    "find_recent_outcomes",
    "has_returned_vm",
    "keeps_rack_reserve",
]
