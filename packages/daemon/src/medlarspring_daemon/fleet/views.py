"""Converts fleet records to the views that operators get."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_adapters.fleet_api import PoolView, SpareAnswer, VMView, WaveView
from medlarspring_systems.availability import count_availability, evaluate_vm_health
from medlarspring_systems.draft import Draft
from medlarspring_systems.spare import report_spare
from medlarspring_systems.wave_progress import measure_progress

if TYPE_CHECKING:
    from medlarspring_systems.spare import FailureDomain
    from medlarspring_tables import ConfigTable, PoolRow
    from medlarspring_tables.fleet_tables import FleetTables
    from medlarspring_tables.vms import VMRecord
    from medlarspring_tables.waves import WaveRecord


def view_pool(tables: FleetTables, row: PoolRow) -> PoolView:
    """Return a pool's counts of VMs and its budget."""
    counted = count_availability(Draft(tables), row)
    return PoolView(
        id=row.id,
        wanted_vms=row.wanted_vms,
        min_available=row.min_available,
        available=counted.available,
        disrupted=counted.disrupted,
        failed=counted.failed,
        unseen=counted.unseen,
        out=counted.out,
        room=counted.disruptions_allowed,
    )


def view_vm(tables: FleetTables, record: VMRecord) -> VMView:
    """Return a VM's record with its health and the platform's condition."""
    observation = tables.observations_by_id.get(record.id)
    return VMView(
        record=record,
        health=evaluate_vm_health(record, observation).value,
        condition=observation.condition.value if observation is not None else None,
    )


def view_wave(
    tables: FleetTables, wave: WaveRecord, config: ConfigTable, now: float
) -> WaveView:
    """Return a wave with its progress, expected end and reasons for waiting."""
    progress = measure_progress(
        Draft(tables), wave, config.pools_by_id, config.fleet, now
    )
    counts = progress.counts_by_step.items()
    return WaveView(
        id=wave.id,
        state=wave.state.value,
        reason=wave.reason,
        created_by=wave.created_by,
        started_at=wave.started_at,
        vms=len(wave.vm_ids),
        counts_by_step={step.value: count for step, count in counts},
        expected_end=progress.expected_end,
        resumes_at=wave.resumes_at or None,
        not_returned=tuple(progress.not_returned),
        blocks_by_pool=progress.blocks_by_pool,
    )


def view_spare(
    tables: FleetTables, config: ConfigTable, domain: FailureDomain
) -> SpareAnswer:
    """Return the spare capacity held and needed for failures of a domain."""
    report = report_spare(tables, config.pools_by_id, config.fleet, domain)
    return SpareAnswer(
        held=report.held,
        needed=report.needed,
        short=report.short,
        largest_domain=report.largest_domain,
        domain_vms=report.domain_vms,
        held_by_pool=report.held_by_pool,
        held_by_zone=report.held_by_zone,
    )


__all__ = ["view_pool", "view_spare", "view_vm", "view_wave"]
