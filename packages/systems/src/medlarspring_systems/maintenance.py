"""Drains the VMs of maintenance waves within budgets and wave limits."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from medlarspring_systems.availability import Health, evaluate_vm_health
from medlarspring_systems.disruptions import MAX_CHANGES, disrupt_vm
from medlarspring_tables.vms import Cause, CauseKind, Outcome, VMState
from medlarspring_tables.waves import WaveState

if TYPE_CHECKING:
    from medlarspring_systems.draft import Draft
    from medlarspring_systems.wave_limits import WaveLimit
    from medlarspring_tables import FleetRow, PoolId, PoolRow
    from medlarspring_tables.vms import VMRecord
    from medlarspring_tables.waves import WaveRecord


def has_ended(wave: WaveRecord, record: VMRecord) -> bool:
    """Return whether a wave is finished for a VM.

    A VM that another wave has rebooted since this wave started counts as
    finished too. Otherwise each of several overlapping waves would reboot it.
    """
    return record.finished_at >= wave.started_at


def find_pending_vms(draft: Draft, wave: WaveRecord, pool_id: PoolId) -> list[VMRecord]:
    """Return the pool's VMs that still have to be drained, in order of preference."""
    tables = draft.tables
    wanted = [
        record
        for record in map(draft.vm, tables.vm_ids_by_pool.get(pool_id, ()))
        if record.id in wave.vm_ids
        and not has_ended(wave, record)
        and record.state is VMState.SERVING
    ]
    left_by_rack = Counter(record.rack_id for record in wanted)
    out_by_rack = Counter(
        tables.vms_by_id[vm_id].rack_id
        for vm_id in tables.busy_vm_ids_by_pool.get(pool_id, ())
    )
    # Racks are drained one after another. The VMs out of service are then in the
    # same failure domain, so the loss of a rack costs the pool the fewest VMs.
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
    draft: Draft, pool: PoolRow, fleet: FleetRow, wave_limit: WaveLimit, now: float
) -> None:
    """Draft all drains of running waves that limits and budgets allow in a pool."""
    # A VM given up in this draft may cause the wave to pause, so no drains are
    # planned until the next tick has evaluated the wave with that failure.
    if any(
        planned_decision.rule == Outcome.NOT_RETURNED.value
        for planned_decision in draft.planned_decisions
    ):
        return
    waves = sorted(
        draft.tables.open_waves_by_id.values(), key=lambda wave: wave.started_at
    )
    for wave in waves:
        if wave.state is WaveState.RUNNING:
            _plan_wave(draft, wave, pool, fleet, wave_limit, now)


def _plan_wave(
    draft: Draft,
    wave: WaveRecord,
    pool: PoolRow,
    fleet: FleetRow,
    wave_limit: WaveLimit,
    now: float,
) -> None:
    cause = Cause(CauseKind.WAVE, wave.id)
    for record in find_pending_vms(draft, wave, pool.id):
        if len(draft.records_by_key) >= MAX_CHANGES:
            return
        observation = draft.tables.observations_by_id.get(record.id)
        if evaluate_vm_health(record, observation) is not Health.AVAILABLE:
            continue
        if wave_limit.allows(draft, wave, record, pool):
            disrupt_vm(draft, record.id, cause, pool, fleet, now)


__all__ = ["find_pending_vms", "has_ended", "plan_wave_drains"]
