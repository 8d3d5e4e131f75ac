"""How wide a maintenance wave goes beyond the budgets of pools and zones."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from medlarspring_tables.vms import Cause, CauseKind, Outcome

if TYPE_CHECKING:
    from medlarspring_systems.draft import Draft
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
    "WidthRule",
    "find_evidence",
]
