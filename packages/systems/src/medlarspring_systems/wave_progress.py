"""Reports the progress of a maintenance wave to operators."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from returns.pipeline import is_successful

from medlarspring_systems.availability import Health, evaluate_vm_health
from medlarspring_systems.disruptions import disrupt_vm
from medlarspring_systems.draft import Draft
from medlarspring_systems.maintenance import find_pending_vms, has_ended
from medlarspring_systems.wave_limits import CanaryLimit, keeps_rack_reserve
from medlarspring_tables.vms import Cause, CauseKind, Outcome, VMCondition, VMState
from medlarspring_tables.waves import WaveState

if TYPE_CHECKING:
    from medlarspring_tables import FleetRow, PoolId, PoolRow, VMId
    from medlarspring_tables.fleet_tables import FleetTables
    from medlarspring_tables.vms import VMRecord
    from medlarspring_tables.waves import WaveRecord


class Step(Enum):
    """Progress of one VM in a wave, as shown to operators."""

    WANTED = "wanted"
    LISTED = "listed"
    DRAINING = "draining"
    REBOOTING = "rebooting"
    BACK = "back"
    NOT_RETURNED = "not-returned"
    DRAIN_TIMED_OUT = "drain-timed-out"
    GONE = "gone"
    """The VM left the fleet."""


def find_step(tables: FleetTables, wave: WaveRecord, vm_id: VMId) -> Step:
    """Return the progress of a VM in a wave."""
    record = tables.vms_by_id.get(vm_id)
    if record is None:
        return Step.GONE
    if has_ended(wave, record):
        return _STEPS_BY_OUTCOME[record.outcome or Outcome.BACK]
    if record.cause != Cause(CauseKind.WAVE, wave.id):
        return Step.WANTED
    if record.state is VMState.REBOOTING:
        return Step.REBOOTING
    if record.state is not VMState.DRAINING:
        return Step.WANTED
    observation = tables.observations_by_id.get(vm_id)
    if observation is not None and observation.condition is not VMCondition.SERVING:
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
    """Progress of a wave, as shown to operators."""

    counts_by_step: dict[Step, int]
    expected_end: float | None
    """Wall time; None while it cannot be estimated."""
    not_returned: list[VMId] = field(default_factory=list)
    blocks_by_pool: dict[PoolId, str] = field(default_factory=dict)
    """Reason why a pool with VMs left starts no further drain."""

    @property
    def left(self) -> int:
        """Number of VMs for which the wave has not ended."""
        ended = sum(self.counts_by_step.get(step, 0) for step in _ENDED)
        return sum(self.counts_by_step.values()) - ended


def measure_progress(
    draft: Draft,
    wave: WaveRecord,
    pools_by_id: dict[PoolId, PoolRow],
    fleet: FleetRow,
    now: float,
) -> Progress:
    """Return a wave's counts, its expected end and its blocked pools."""
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
    progress.expected_end = _estimate_end(progress, wave, now)
    for pool_id, pool in pools_by_id.items():
        pending_vms = find_pending_vms(draft, wave, pool_id)
        if pending_vms and wave.is_open:
            block = _find_block(draft, wave, pending_vms, pool, fleet, now)
            if block:
                progress.blocks_by_pool[pool_id] = block
    return progress


def _estimate_end(progress: Progress, wave: WaveRecord, now: float) -> float | None:
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
    pending_vms: list[VMRecord],
    pool: PoolRow,
    fleet: FleetRow,
    now: float,
) -> str:
    if wave.state is WaveState.PAUSED:
        return f"the wave is paused: {wave.reason}"
    cause = Cause(CauseKind.WAVE, wave.id)
    reason = ""
    for record in pending_vms:
        observation = draft.tables.observations_by_id.get(record.id)
        health = evaluate_vm_health(record, observation)
        if health is not Health.AVAILABLE:
            reason = f"VM {record.id} is {health.value}"
            continue
        if not CanaryLimit().allows(draft, wave, record, pool):
            reason = f"zone {record.zone_id} waits for its first VM to return"
            continue
        if not keeps_rack_reserve(draft, record, pool):
            reason = f"pool {pool.id} keeps VMs for the loss of a rack"
            continue
        scratch = Draft(draft.tables)
        refused = disrupt_vm(scratch, record.id, cause, pool, fleet, now)
        if is_successful(refused):
            return ""
        reason = refused.failure().reason
    return reason


__all__ = ["Progress", "Step", "find_step", "measure_progress"]
