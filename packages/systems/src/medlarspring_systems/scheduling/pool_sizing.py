"""How many VMs each pool needs now, and which VMs change their pool.

The load it answers: each queue in its turn asks for five times its mean for some
seconds, and for a twentieth of it in between. A VM in a pool is paid for whether
it works or not; one in a standby pool costs nothing and serves 1.5 s after it is
called. So pools keep what their work needs, and the rest waits in standby.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.fleet import (
    MoveVM,
    find_vm_worker,
    is_available_for_operation,
    is_standby,
)
from medlarspring_systems.scheduling.pool_needs import find_pool_needs
from medlarspring_systems.scheduling.workers import NEW_VM_SECONDS
from medlarspring_tables.scheduling import VMPhase

if TYPE_CHECKING:
    from medlarspring_systems.scheduling.fleet import FleetPlan, FleetTables
    from medlarspring_tables import PoolId, Seconds, VMId
    from medlarspring_tables.scheduling import VMEntry, WorkTables

MIN_IDLE_SECONDS = 1.0
"""A VM beyond the need that did nothing for so long goes to standby."""
NEED_WINDOW_SECONDS = 2.5
"""A pool keeps what it needed at any time within so long.

A move to standby and back costs as much as 1.3 s in the pool, and the way back
takes another 1.5 s in which work waits.
"""
STARTUP_SECONDS = 6.0
"""VMs of a fleet that starts come up within so long."""
MAX_LIST_AGE_SECONDS = 2.5
"""Sizes are planned only on a VM list younger than this."""


def plan_moves(
    tables: WorkTables, fleet: FleetTables, now: Seconds, plan: FleetPlan
) -> None:
    """Add the moves that bring each pool to what its work needs."""
    if not tables.vms_by_id or now - tables.vms_read_at > MAX_LIST_AGE_SECONDS:
        return
    standby_pool_ids = [
        pool_id for pool_id in tables.config.pools_by_id if is_standby(tables, pool_id)
    ]
    if not standby_pool_ids:
        return
    assigned = {operation.vm_id for operation in plan.operations}
    vm_counts = _count_vms(tables, fleet, now)
    if not fleet.initial_sizes_known:
        _record_initial_sizes(fleet, vm_counts, now)
        return
    fleet.vm_counts_by_pool = dict(vm_counts)
    active_pool_ids = [
        pool_id
        for pool_id in tables.config.pools_by_id
        if pool_id not in standby_pool_ids
    ]
    fleet.needs_by_pool = find_pool_needs(tables, fleet, active_pool_ids, now)
    wanted = {pool_id: need.vms for pool_id, need in fleet.needs_by_pool.items()}
    kept = {
        pool_id: _record_need(fleet, pool_id, vms, now)
        for pool_id, vms in wanted.items()
    }
    sources = _list_sources(tables, fleet, wanted, vm_counts, now, assigned)
    # What works or waits now goes before what pools keep in reserve: in a turn's
    # peak a quarter of the fleet stood by in other pools while jobs became late.
    busy = {pool_id: need.busy_vms for pool_id, need in fleet.needs_by_pool.items()}
    _grow(tables, busy, wanted, vm_counts, sources, plan, assigned)
    _grow(tables, wanted, wanted, vm_counts, sources, plan, assigned)
    _shrink(tables, kept, vm_counts, standby_pool_ids[0], sources, now, plan, assigned)


def _record_need(fleet: FleetTables, pool_id: PoolId, vms: int, now: Seconds) -> int:
    """Return the highest need of a pool within the last seconds."""
    recent = fleet.recent_needs.setdefault(pool_id, [])
    recent.append((now, vms))
    while recent[0][0] < now - NEED_WINDOW_SECONDS:
        recent.pop(0)
    return max(each for _, each in recent)


def _record_initial_sizes(
    fleet: FleetTables, vm_counts: dict[PoolId, int], now: Seconds
) -> None:
    """Note the largest size each pool had while the fleet came up."""
    if not fleet.initial_sizes_since:
        fleet.initial_sizes_since = now
    for pool_id, vms in vm_counts.items():
        fleet.initial_sizes[pool_id] = max(fleet.initial_sizes.get(pool_id, 0), vms)
    fleet.initial_sizes_known = now - fleet.initial_sizes_since >= STARTUP_SECONDS


def _count_vms(
    tables: WorkTables, fleet: FleetTables, now: Seconds
) -> dict[PoolId, int]:
    """Return how many VMs each pool has or is about to have."""
    vm_counts: dict[PoolId, int] = {}
    for vm in tables.vms_by_id.values():
        pending = fleet.pending_by_vm.get(vm.id)
        pool_id = vm.pool_id
        if pending is not None and isinstance(pending.operation, MoveVM):
            pool_id = pending.operation.pool_id
        elif vm.phase in (VMPhase.DOWN, VMPhase.UNKNOWN) or vm.id in fleet.due_next:
            continue
        if pending is None and _is_unusable(tables, fleet, vm, now):
            continue
        vm_counts[pool_id] = vm_counts.get(pool_id, 0) + 1
    return vm_counts


def _is_unusable(
    tables: WorkTables, fleet: FleetTables, vm: VMEntry, now: Seconds
) -> bool:
    """Tell whether a VM does not count for its pool any more.

    A VM that no entry in the registry leads to takes no tasks. Counted, it was all
    that an idle pool kept, and the pool's next job waited for ever.
    """
    worker = find_vm_worker(tables, vm)
    if is_standby(tables, vm.pool_id) or (worker is not None and worker.listed):
        fleet.unlisted_since.pop(vm.id, None)
        return worker is not None and (bool(worker.unanswered_since) or worker.draining)
    since = fleet.unlisted_since.setdefault(vm.id, now)
    return now - since > NEW_VM_SECONDS


def _list_sources(
    tables: WorkTables,
    fleet: FleetTables,
    wanted: dict[PoolId, int],
    vm_counts: dict[PoolId, int],
    now: Seconds,
    assigned: set[VMId],
) -> list[VMEntry]:
    """Return the VMs that may move, standby ones first, maintained ones before."""
    due = {
        vm_id
        for wave in fleet.waves_by_id.values()
        if not wave.complete
        for vm_id in wave.order.vm_ids
        if vm_id not in wave.done
    }
    sources = [
        vm
        for vm in tables.vms_by_id.values()
        if vm.id not in assigned
        and is_available_for_operation(fleet, vm, now)
        and _is_idle(tables, vm, 0.0, now)
    ]
    sources.sort(
        key=lambda vm: (vm.id in due, not is_standby(tables, vm.pool_id), vm.id)
    )
    return sources


def _is_idle(
    tables: WorkTables, vm: VMEntry, idle_seconds: Seconds, now: Seconds
) -> bool:
    worker = find_vm_worker(tables, vm)
    if worker is None:
        return is_standby(tables, vm.pool_id)
    if worker.runs or worker.unanswered_since or not worker.settled:
        return False
    return now - worker.idle_since >= idle_seconds


def _grow(
    tables: WorkTables,
    wanted: dict[PoolId, int],
    sizes_with_reserve: dict[PoolId, int],
    vm_counts: dict[PoolId, int],
    sources: list[VMEntry],
    plan: FleetPlan,
    assigned: set[VMId],
) -> None:
    """Move VMs to the pools that have fewer than wanted, the shortest first.

    Pools give up what they have beyond ``in_reserve`` first, and then what they
    have beyond ``wanted``.
    """
    short = sorted(
        wanted, key=lambda pool_id: vm_counts.get(pool_id, 0) - wanted[pool_id]
    )
    for pool_id in short:
        while vm_counts.get(pool_id, 0) < wanted[pool_id]:
            vm = _take_vm(tables, pool_id, sizes_with_reserve, vm_counts, sources)
            if vm is None:
                vm = _take_vm(tables, pool_id, wanted, vm_counts, sources)
            if vm is None:
                return
            _move(vm, pool_id, "its work needs more VMs", vm_counts, plan)
            assigned.add(vm.id)


def _take_vm(
    tables: WorkTables,
    pool_id: PoolId,
    kept: dict[PoolId, int],
    vm_counts: dict[PoolId, int],
    sources: list[VMEntry],
) -> VMEntry | None:
    """Take a VM of a standby pool, or of one that has more than it keeps."""
    for vm in sources:
        if vm.pool_id == pool_id:
            continue
        spare = is_standby(tables, vm.pool_id)
        if spare or vm_counts.get(vm.pool_id, 0) > kept.get(vm.pool_id, 0):
            sources.remove(vm)
            return vm
    return None


def _shrink(
    tables: WorkTables,
    wanted: dict[PoolId, int],
    vm_counts: dict[PoolId, int],
    standby_pool_id: PoolId,
    sources: list[VMEntry],
    now: Seconds,
    plan: FleetPlan,
    assigned: set[VMId],
) -> None:
    for vm in sources:
        if vm.id in assigned or is_standby(tables, vm.pool_id):
            continue
        if vm_counts.get(vm.pool_id, 0) <= wanted.get(vm.pool_id, 0):
            continue
        if not _is_idle(tables, vm, MIN_IDLE_SECONDS, now):
            continue
        _move(vm, standby_pool_id, "idle", vm_counts, plan)


def _move(
    vm: VMEntry,
    pool_id: PoolId,
    reason: str,
    vm_counts: dict[PoolId, int],
    plan: FleetPlan,
) -> None:
    vm_counts[vm.pool_id] = vm_counts.get(vm.pool_id, 0) - 1
    vm_counts[pool_id] = vm_counts.get(pool_id, 0) + 1
    plan.operations.append(MoveVM(vm.id, pool_id, vm.pool_id, reason))


__all__ = ["plan_moves"]
