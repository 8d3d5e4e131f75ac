"""How wide a maintenance wave goes beyond the budgets of pools and zones."""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from typing import TYPE_CHECKING, Protocol

from medlarspring_systems.availability import Health, judge_vm
from medlarspring_tables.vms import Cause, CauseKind, Outcome, VMState

if TYPE_CHECKING:
    from medlarspring_systems.draft import Draft
    from medlarspring_tables import PoolRow, RackId
    from medlarspring_tables.fleet_tables import FinishedVM, FleetTables
    from medlarspring_tables.vms import VMRecord
    from medlarspring_tables.waves import WaveRecord

OUTCOME_WINDOW = 20
"""Ends of VMs that a wave is judged by."""


class WaveLimit(Protocol):
    """Limits a wave beyond the budgets of pools and zones."""

    def allows(
        self, draft: Draft, wave: WaveRecord, vm: VMRecord, pool: PoolRow
    ) -> bool:
        """Say whether one more VM may be taken now."""
        ...


class BudgetOnlyLimit:
    """As wide as the budgets alone allow."""

    def allows(
        self, draft: Draft, wave: WaveRecord, vm: VMRecord, pool: PoolRow
    ) -> bool:
        """Allow every VM."""
        return True


class CanaryLimit:
    """One VM a zone until one has returned, then as wide as the budgets allow.

    A reboot that no VM survives costs one VM a zone, not all that the budgets
    would have let go.
    """

    def allows(
        self, draft: Draft, wave: WaveRecord, vm: VMRecord, pool: PoolRow
    ) -> bool:
        """Allow every VM after a proof, else the first of its zone."""
        if has_returned_vm(draft.tables, wave):
            return True
        cause = Cause(CauseKind.WAVE, wave.id)
        out = draft.zone_disruptions(vm.zone_id).causes_by_vm.values()
        return cause not in out


class RackReserveLimit:
    """As the inner rule, but a pool stays able to lose any one rack.

    Drained to its budget, a pool falls under it with the next rack that is
    lost, and VMs that reboot by then cannot be put back. A pool that could not
    lose a rack even at its wanted size is drained to its budget all the same.
    """

    def __init__(self, inner: WaveLimit) -> None:
        self._inner = inner

    def allows(
        self, draft: Draft, wave: WaveRecord, vm: VMRecord, pool: PoolRow
    ) -> bool:
        """Allow what the inner rule allows and the reserve bears."""
        if not self._inner.allows(draft, wave, vm, pool):
            return False
        return keeps_rack_reserve(draft, vm, pool)


def keeps_rack_reserve(draft: Draft, vm: VMRecord, pool: PoolRow) -> bool:
    """Say whether the pool without the VM can lose a rack and keep its budget."""
    members_by_rack: Counter[RackId] = Counter()
    available_by_rack: Counter[RackId] = Counter()
    for vm_id in draft.tables.vm_ids_by_pool.get(pool.id, ()):
        record = draft.vm(vm_id)
        if record.state is VMState.OUT:
            continue
        members_by_rack[record.rack_id] += 1
        observation = draft.tables.observations_by_id.get(vm_id)
        is_available = judge_vm(record, observation) is Health.AVAILABLE
        available_by_rack[record.rack_id] += is_available and vm_id != vm.id
    left = sum(available_by_rack.values()) - max(available_by_rack.values(), default=0)
    if left >= pool.min_available:
        return True
    largest = max(members_by_rack.values(), default=0)
    return pool.wanted_vms - 1 - largest < pool.min_available


def has_returned_vm(tables: FleetTables, wave: WaveRecord) -> bool:
    """Say whether a VM has returned since the wave was last resumed."""
    for finish in reversed(tables.finished_by_wave.get(wave.id, [])):
        if finish.began_at < wave.resumed_at:
            return False
        if finish.outcome is Outcome.BACK:
            return True
    return False


def find_recent_outcomes(tables: FleetTables, wave: WaveRecord) -> list[FinishedVM]:
    """Return the last failure and the ends before it, in order of beginning.

    What began after it is left out: of those only the successes are known yet.
    So is what began before the wave was last resumed.
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
