"""Frees VMs of a pool whose turn is over for one whose turn has begun.

The load it answers: queues have their turns one after the other. When one ends, its
pool holds most of the fleet, and the last of its tasks, of two to five seconds, are
spread over all of its VMs. The next queue's pool, which needs them at that moment,
had 59 of the 98 VMs that it wanted when a second and a half of its four were over.

So while a pool is short and standby is empty, the least busy VMs of pools with more
than their work needs get no new tasks, and what runs there goes on elsewhere from its
checkpoint. By the platform's bounds that takes 0.4 s to stop and 0.1 s to resume.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.fleet import MoveVM, is_standby
from medlarspring_tables.scheduling import RunState

if TYPE_CHECKING:
    from medlarspring_systems.scheduling.fleet import FleetPlan, FleetTables
    from medlarspring_tables import PoolId
    from medlarspring_tables.scheduling import Run, Worker, WorkTables

MOST_USED_PART = 0.5
"""A VM that is busier is left to end its tasks by itself: half of the tasks moved
would need the room of another VM."""
MAX_STOPS = 60
"""Runs stopped in one look; as many starts follow, beside those of the turn."""


def plan_evacuations(tables: WorkTables, fleet: FleetTables, plan: FleetPlan) -> None:
    """Choose the VMs that leave their pool, and stop what can go on elsewhere."""
    have = _count_after(fleet, plan)
    shortage = _measure_shortage(tables, fleet, have)
    if not shortage:
        return
    for pool_id, need in fleet.needs_by_pool.items():
        surplus = have.get(pool_id, 0) - need.busy_vms
        if surplus <= 0:
            continue
        chosen = _list_leavers(tables, fleet, pool_id)[: min(surplus, shortage)]
        shortage -= len(chosen)
        for worker in chosen:
            fleet.leaving_pool.add(worker.vm_id)
            _evacuate(worker, plan)


def _count_after(fleet: FleetTables, plan: FleetPlan) -> dict[PoolId, int]:
    """Return the VMs of each pool once the planned moves are done."""
    have = dict(fleet.have_by_pool)
    for operation in plan.operations:
        if isinstance(operation, MoveVM):
            have[operation.pool_id] = have.get(operation.pool_id, 0) + 1
            have[operation.from_pool_id] = have.get(operation.from_pool_id, 0) - 1
    return have


def _measure_shortage(
    tables: WorkTables, fleet: FleetTables, have: dict[PoolId, int]
) -> int:
    """Return how many VMs the work of all pools lacks beyond what is in standby."""
    lacking = sum(
        max(need.busy_vms - have.get(pool_id, 0), 0)
        for pool_id, need in fleet.needs_by_pool.items()
    )
    standby = sum(
        vms for pool_id, vms in have.items() if is_standby(tables, pool_id) and vms > 0
    )
    return max(lacking - standby, 0)


def _list_leavers(
    tables: WorkTables, fleet: FleetTables, pool_id: PoolId
) -> list[Worker]:
    """Return the pool's VMs that may leave, the least busy first."""
    workers = [
        worker
        for worker in tables.workers_by_pool.get(pool_id, {}).values()
        if worker.runs
        and not worker.long_runs
        and worker.listed
        and not worker.draining
        and not worker.unanswered_since
        and worker.vm_id not in fleet.pending_by_vm
        and worker.vm_id not in fleet.due_next
    ]
    workers.sort(key=lambda worker: worker.room.cpu_millis - worker.cpu_free)
    return workers


def _evacuate(worker: Worker, plan: FleetPlan) -> None:
    """Stop a VM's runs if all of them can go on elsewhere without loss."""
    used = worker.room.cpu_millis - worker.cpu_free
    if used > MOST_USED_PART * worker.room.cpu_millis:
        return
    runs = [run for run in worker.runs.values() if not run.stopping]
    if not all(_can_go_on_elsewhere(run) for run in runs):
        return
    if len(plan.stops) + len(runs) > MAX_STOPS:
        return
    plan.stops += [(run, "another pool needs its VM") for run in runs]


def _can_go_on_elsewhere(run: Run) -> bool:
    spec = run.task.step.spec
    return spec.checkpoints and not spec.gang and run.state is RunState.RUNNING


__all__ = ["plan_evacuations"]
