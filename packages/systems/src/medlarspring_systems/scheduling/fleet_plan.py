"""Planning pass over the fleet: maintenance first, then moves between pools."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.fleet import (
    FleetPlan,
    drop_finished_operations,
    run_unguarded,
)
from medlarspring_systems.scheduling.maintenance import plan_maintenance
from medlarspring_systems.scheduling.pool_sizing import plan_moves

if TYPE_CHECKING:
    from medlarspring_systems.scheduling.fleet import Attempt, FleetTables
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import FleetLimits, WorkTables


def plan_operations(
    tables: WorkTables,
    fleet: FleetTables,
    limits: FleetLimits,
    now: Seconds,
    attempt: Attempt = run_unguarded,
) -> FleetPlan:
    """Return the VM operations to carry out now and the runs to stop for them.

    ``attempt`` runs the parts that do not depend on each other.
    """
    fleet.move_seconds = limits.move
    drop_finished_operations(tables, fleet, limits, now)
    plan = FleetPlan()
    fleet.due_next.clear()
    fleet.drained_for_wave.clear()
    attempt(plan_maintenance, tables, fleet, limits, now, plan, attempt)
    attempt(plan_moves, tables, fleet, now, plan)
    _update_reservations(tables, fleet, plan)
    return plan


def _update_reservations(
    tables: WorkTables, fleet: FleetTables, plan: FleetPlan
) -> None:
    """Reserve the workers that are drained, yield or leave, and release others.

    Reserved workers get no new tasks.
    """
    reserved_vm_ids = {operation.vm_id for operation in plan.operations}
    reserved_vm_ids |= fleet.drained_for_wave
    reserved_vm_ids |= set(fleet.pending_by_vm)
    reserved_vm_ids |= set(fleet.yielding_since_by_vm)
    for worker in tables.workers_by_id.values():
        was_reserved, worker.reserved = worker.reserved, worker.vm_id in reserved_vm_ids
        if was_reserved and not worker.reserved:
            plan.changed_pools[worker.pool_id] = None


__all__ = ["plan_operations"]
