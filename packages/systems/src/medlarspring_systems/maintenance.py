"""Drains the VMs of maintenance waves, as many at a time as is safe."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Protocol

from returns.pipeline import is_successful

from medlarspring_systems.availability import Health, judge_vm
from medlarspring_systems.disruptions import MAX_CHANGES, disrupt_vm
from medlarspring_tables.vms import (
    Cause,
    CauseKind,
    Outcome,
    VMCondition,
    VMState,
)
from medlarspring_tables.waves import WaveRecord, WaveState

if TYPE_CHECKING:
    from medlarspring_systems.draft import Draft
    from medlarspring_tables import FleetRow, PoolId, PoolRow, VMId
    from medlarspring_tables.fleet_tables import FinishedVM, FleetTables
    from medlarspring_tables.vms import VMRecord

EXPECTED_SECONDS_PER_VM = 240.0
"""Drain and reboot of one VM, until a wave has measured its own."""


class Step(Enum):
    """Where one VM stands in a wave, for people."""

    WANTED = "wanted"
    LISTED = "listed"
    DRAINING = "draining"
    REBOOTING = "rebooting"
    BACK = "back"
    NOT_RETURNED = "not-returned"
    DRAIN_TIMED_OUT = "drain-timed-out"
    GONE = "gone"
    """The VM left the fleet."""


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


EVIDENCE_DEPTH = 20


def find_wanted(draft: Draft, wave: WaveRecord, pool_id: PoolId) -> list[VMRecord]:
    """Return the pool's VMs that the wave still wants, in order of choice."""
    tables = draft.tables
    wanted = [
        record
        for record in map(draft.vm, tables.vm_ids_by_pool.get(pool_id, ()))
        if record.id in wave.vm_ids
        and record.wave_id != wave.id
        and record.state is VMState.SERVING
    ]
    left_by_rack = Counter(record.rack_id for record in wanted)
    out_by_rack = Counter(
        tables.vms_by_id[vm_id].rack_id
        for vm_id in tables.busy_vm_ids_by_pool.get(pool_id, ())
    )
    # Taking the racks one after another keeps the VMs out of service in one
    # failure domain, so that its loss costs the pool the least.
    wanted.sort(
        key=lambda record: (
            -out_by_rack[record.rack_id],
            left_by_rack[record.rack_id],
            record.rack_id,
            record.id,
        )
    )
    return wanted


def plan_wave_drains(
    draft: Draft, pool: PoolRow, fleet: FleetRow, width: WidthRule, now: float
) -> None:
    """Draft all drains of the pool that running waves want and budgets allow."""
    # A VM given up in this very draft may be the one that pauses the wave;
    # the next tick decides with it among the evidence.
    if any(note.rule == Outcome.NOT_RETURNED.value for note in draft.notes):
        return
    waves = sorted(
        draft.tables.open_waves_by_id.values(), key=lambda wave: wave.started_at
    )
    for wave in waves:
        if wave.state is WaveState.RUNNING:
            _plan_wave(draft, wave, pool, fleet, width, now)


def _plan_wave(
    draft: Draft,
    wave: WaveRecord,
    pool: PoolRow,
    fleet: FleetRow,
    width: WidthRule,
    now: float,
) -> None:
    cause = Cause(CauseKind.WAVE, wave.id)
    for record in find_wanted(draft, wave, pool.id):
        if len(draft.records_by_key) >= MAX_CHANGES:
            return
        sighting = draft.tables.sightings_by_id.get(record.id)
        if judge_vm(record, sighting) is not Health.AVAILABLE:
            continue
        if width.allows(draft, wave, record):
            disrupt_vm(draft, record.id, cause, pool, fleet, now)


def find_step(tables: FleetTables, wave: WaveRecord, vm_id: VMId) -> Step:
    """Return where a VM stands in a wave."""
    record = tables.vms_by_id.get(vm_id)
    if record is None:
        return Step.GONE
    if record.wave_id == wave.id:
        return _STEPS_BY_OUTCOME[record.outcome or Outcome.BACK]
    if record.cause != Cause(CauseKind.WAVE, wave.id):
        return Step.WANTED
    if record.state is VMState.REBOOTING:
        return Step.REBOOTING
    if record.state is not VMState.DRAINING:
        return Step.WANTED
    sighting = tables.sightings_by_id.get(vm_id)
    if sighting is not None and sighting.condition is not VMCondition.SERVING:
        return Step.DRAINING
    return Step.LISTED


_STEPS_BY_OUTCOME = {
    Outcome.BACK: Step.BACK,
    Outcome.NOT_RETURNED: Step.NOT_RETURNED,
    Outcome.RACK_LOST: Step.NOT_RETURNED,
    Outcome.DRAIN_TIMED_OUT: Step.DRAIN_TIMED_OUT,
}
_ENDED = (Step.BACK, Step.NOT_RETURNED, Step.DRAIN_TIMED_OUT, Step.GONE)


@dataclass(slots=True)
class Progress:
    """What an operator sees of a wave."""

    counts_by_step: dict[Step, int]
    expected_end: float | None
    """Wall time; None while nothing can be said."""
    not_returned: list[VMId] = field(default_factory=list)
    blocks_by_pool: dict[PoolId, str] = field(default_factory=dict)
    """Why a pool with VMs left starts no further drain."""

    @property
    def left(self) -> int:
        """VMs that are not at their end."""
        ended = sum(self.counts_by_step.get(step, 0) for step in _ENDED)
        return sum(self.counts_by_step.values()) - ended


def measure_progress(
    draft: Draft,
    wave: WaveRecord,
    pools_by_id: dict[PoolId, PoolRow],
    fleet: FleetRow,
    now: float,
) -> Progress:
    """Return a wave's counts, its expected end and what blocks it."""
    tables = draft.tables
    steps_by_vm = {
        vm_id: find_step(tables, wave, vm_id) for vm_id in sorted(wave.vm_ids)
    }
    progress = Progress(dict(Counter(steps_by_vm.values())), None)
    progress.not_returned = [
        vm_id
        for vm_id, step in steps_by_vm.items()
        if step in (Step.NOT_RETURNED, Step.DRAIN_TIMED_OUT)
    ]
    progress.expected_end = _expect_end(progress, wave, now)
    for pool_id, pool in pools_by_id.items():
        wanted = find_wanted(draft, wave, pool_id)
        if wanted and wave.is_open:
            block = _find_block(draft, wave, wanted, pool, fleet, now)
            if block:
                progress.blocks_by_pool[pool_id] = block
    return progress


def _expect_end(progress: Progress, wave: WaveRecord, now: float) -> float | None:
    if not wave.is_open:
        return wave.ended_at
    if wave.state is WaveState.PAUSED or progress.left == 0:
        return None
    ended = sum(progress.counts_by_step.get(step, 0) for step in _ENDED)
    if ended == 0:
        return None
    return now + (now - wave.started_at) / ended * progress.left


def _find_block(
    draft: Draft,
    wave: WaveRecord,
    wanted: list[VMRecord],
    pool: PoolRow,
    fleet: FleetRow,
    now: float,
) -> str:
    if wave.state is WaveState.PAUSED:
        return f"the wave is paused: {wave.reason}"
    cause = Cause(CauseKind.WAVE, wave.id)
    reason = ""
    for record in wanted:
        sighting = draft.tables.sightings_by_id.get(record.id)
        health = judge_vm(record, sighting)
        if health is not Health.AVAILABLE:
            reason = f"VM {record.id} is {health.value}"
            continue
        if not CanaryWidth().allows(draft, wave, record):
            reason = f"zone {record.zone_id} waits for its first VM to return"
            continue
        trial = type(draft)(draft.tables)
        refused = disrupt_vm(trial, record.id, cause, pool, fleet, now)
        if is_successful(refused):
            return ""
        reason = refused.failure().reason
    return reason


__all__ = [
    "EVIDENCE_DEPTH",
    "BudgetWidth",
    "CanaryWidth",
    "Progress",
    "SpareWidth",
    "Step",
    "WidthRule",
    "find_evidence",
    "find_step",
    "find_wanted",
    "measure_progress",
    "plan_wave_drains",
]
