"""How wide a maintenance wave goes beyond the budgets of pools and zones."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from medlarspring_tables.vms import Cause, CauseKind, Outcome

if TYPE_CHECKING:
    from medlarspring_systems.draft import Draft
    from medlarspring_tables import FleetRow, PoolId, PoolRow
    from medlarspring_tables.fleet_tables import FinishedVM, FleetTables
    from medlarspring_tables.vms import VMRecord
    from medlarspring_tables.waves import WaveRecord

EVIDENCE_DEPTH = 20
"""Ends of VMs that a wave is judged by."""


class WidthRule(Protocol):
    """Limits a wave beyond the budgets of pools and zones."""

    def allows(self, draft: Draft, wave: WaveRecord, vm: VMRecord) -> bool:
        """Say whether one more VM may be taken now."""
        ...


class BudgetWidth:
    """As wide as the budgets alone allow."""

    def allows(self, draft: Draft, wave: WaveRecord, vm: VMRecord) -> bool:
        """Allow every VM."""
        return True


class CanaryWidth:
    """One VM a zone until one has returned, then as wide as the budgets allow.

    A reboot that no VM survives costs one VM a zone, not all that the budgets
    would have let go.
    """

    def allows(self, draft: Draft, wave: WaveRecord, vm: VMRecord) -> bool:
        """Allow every VM after a proof, else the first of its zone."""
        finished = find_evidence(draft.tables, wave)
        if any(finish.outcome is Outcome.BACK for finish in finished):
            return True
        cause = Cause(CauseKind.WAVE, wave.id)
        out = draft.zone_disruptions(vm.zone_id).causes_by_vm.values()
        return cause not in out


class SpareWidth:
    """As the inner rule, but leaves the fleet's spare to failures.

    Spare is pooled, so it is counted over the fleet: what serves above all
    budgets together. A wave with no VM out may always take one, so that a
    fleet without spare is maintained too.
    """

    def __init__(
        self, pools_by_id: dict[PoolId, PoolRow], fleet: FleetRow, inner: WidthRule
    ) -> None:
        self._min_available = sum(row.min_available for row in pools_by_id.values())
        self._spare_percent = fleet.spare_percent
        self._inner = inner

    def allows(self, draft: Draft, wave: WaveRecord, vm: VMRecord) -> bool:
        """Allow what the inner rule allows while spare stays whole."""
        if not self._inner.allows(draft, wave, vm):
            return False
        tables = draft.tables
        out = sum(map(len, tables.busy_vm_ids_by_pool.values()))
        listed_now = len(draft.pool_disruptions(vm.pool_id).causes_by_vm)
        listed = tables.disruptions_by_pool.get(vm.pool_id)
        out += listed_now - len(listed.causes_by_vm if listed else ())
        if out == 0:
            return True
        size = len(tables.vms_by_id)
        spare = size - out - self._min_available
        return spare > size * self._spare_percent / 100


def find_evidence(tables: FleetTables, wave: WaveRecord) -> list[FinishedVM]:
    """Return what ended since the wave was last resumed, oldest first."""
    finished = tables.finished_by_wave.get(wave.id, [])
    evidence: list[FinishedVM] = []
    for finish in reversed(finished):
        if finish.at < wave.resumed_at or len(evidence) == EVIDENCE_DEPTH:
            break
        evidence.append(finish)
    evidence.reverse()
    return evidence


__all__ = [
    "EVIDENCE_DEPTH",
    "BudgetWidth",
    "CanaryWidth",
    "SpareWidth",
    "WidthRule",
    "find_evidence",
]
