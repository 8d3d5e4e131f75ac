"""Planning of VM moves between pools and standby, according to each pool's needs.

It is designed for bursty load: the queues take turns, each needing five times its mean
for some seconds and a twentieth of it in between. A VM in a normal pool costs the same
whether it is busy or idle. A VM in a standby pool costs nothing and takes 1.5 s to
become available. So pools keep the VMs that their work needs, and all others are moved
to standby.
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
from medlarspring_systems.scheduling.vm_division import divide_vms
from medlarspring_systems.scheduling.workers import NEW_VM_SECONDS
from medlarspring_systems.scheduling.yields import has_just_moved, plan_yields
from medlarspring_tables.scheduling import VMPhase

if TYPE_CHECKING:
    from medlarspring_systems.scheduling.fleet import FleetPlan, FleetTables
    from medlarspring_tables import PoolId, Seconds, VMId
    from medlarspring_tables.scheduling import VMEntry, Worker, WorkTables

ABSENT_PHASES = (VMPhase.DOWN, VMPhase.UNKNOWN)
"""Phases in which a VM does not count for its pool."""
MIN_IDLE_SECONDS = 1.0
"""A surplus VM that was idle for this time moves to standby."""
NEED_WINDOW_SECONDS = 2.5
"""A pool keeps as many VMs as it needed at any time within this window.

A move to standby and back costs as much as 1.3 s in the pool, and the move back takes
1.5 s during which work waits.
"""
STARTUP_SECONDS = 6.0
"""Time within which all VMs of a starting fleet come up."""
MAX_LIST_AGE_SECONDS = 2.5
"""Maximum age of the VM list for planning moves."""


def plan_moves(
    tables: WorkTables, fleet: FleetTables, now: Seconds, plan: FleetPlan
) -> None:
    """Add the moves that bring each pool to the size that its work needs."""
    yielding = fleet.yielding_since_by_vm
    # Nothing yields in a pass that can't move VMs: their pool's tasks would wait for
    # VMs that nobody takes.
    fleet.yielding_since_by_vm, fleet.allotted_by_pool = {}, {}
    if not tables.vms_by_id or now - tables.vms_read_at > MAX_LIST_AGE_SECONDS:
        return
    standby_pool_ids = _list_standby_ids(tables)
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
    # Current work takes precedence over the pools' reserves. Otherwise, at the peak of
    # a burst, a quarter of the fleet stays idle in other pools while jobs become late.
    busy = {pool_id: need.busy_vms for pool_id, need in fleet.needs_by_pool.items()}
    if tables.config.has_competing_partners:
        busy = divide_vms(fleet.needs_by_pool, sum(vm_counts.values()))
        fleet.allotted_by_pool = busy
        plan_yields(tables, fleet, yielding, vm_counts, now)
        sources = [
            vm
            for vm in sources
            if not has_just_moved(fleet, vm.id, now)
            or vm_counts.get(vm.pool_id, 0) > wanted.get(vm.pool_id, 0)
        ]
    # A single VM lets a pool's long-running tasks leave VMs that are due. If it came
    # after the shortage of a burst elsewhere, the wave would be late.
    blocked = {
        pool_id: vms
        for pool_id, vms in busy.items()
        if pool_id in fleet.pools_short_of_targets
    }
    _grow(tables, blocked, wanted, vm_counts, sources, plan, assigned)
    _grow(tables, busy, wanted, vm_counts, sources, plan, assigned)
    _grow(tables, wanted, wanted, vm_counts, sources, plan, assigned)
    _shrink(tables, kept, vm_counts, standby_pool_ids[0], sources, now, plan, assigned)


def _record_need(fleet: FleetTables, pool_id: PoolId, vms: int, now: Seconds) -> int:
    """Record a pool's need and return its highest need within the window."""
    recent = fleet.recent_needs.setdefault(pool_id, [])
    recent.append((now, vms))
    while recent[0][0] < now - NEED_WINDOW_SECONDS:
        recent.pop(0)
    return max(each for _, each in recent)


def _record_initial_sizes(
    fleet: FleetTables, vm_counts: dict[PoolId, int], now: Seconds
) -> None:
    """Record the largest size that each pool had while the fleet started."""
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
    standby_ids = _list_standby_ids(tables)
    for vm in tables.vms_by_id.values():
        pending = fleet.pending_by_vm.get(vm.id)
        pool_id = vm.pool_id
        if pending is not None and isinstance(pending.operation, MoveVM):
            pool_id = pending.operation.pool_id
        elif vm.phase in ABSENT_PHASES or vm.id in fleet.due_next:
            continue
        if pending is None and _is_unusable(
            fleet, vm, find_vm_worker(tables, vm), now, standby=pool_id in standby_ids
        ):
            continue
        vm_counts[pool_id] = vm_counts.get(pool_id, 0) + 1
    return vm_counts


def _list_standby_ids(tables: WorkTables) -> list[PoolId]:
    pools = tables.config.pools_by_id.items()
    return [pool_id for pool_id, policy in pools if policy.standby]


def _is_unusable(
    fleet: FleetTables,
    vm: VMEntry,
    worker: Worker | None,
    now: Seconds,
    *,
    standby: bool,
) -> bool:
    """Return whether a VM no longer counts for its pool.

    A VM without an entry in the worker registry takes no tasks. If it counted, it could
    be the only VM that an idle pool keeps, and the pool's next job would never start.
    """
    if standby or (worker is not None and worker.listed):
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
    """Return the VMs that may be moved: those not due for maintenance first.

    Within each group, VMs of standby pools come first.
    """
    # Most workers are busy, which is the cheapest of the checks.
    sources = [
        vm
        for vm in tables.vms_by_id.values()
        if _is_idle(tables, vm, 0.0, now)
        and vm.id not in assigned
        and is_available_for_operation(fleet, vm, now)
    ]
    standby_ids = _list_standby_ids(tables)
    sources.sort(
        key=lambda vm: (vm.id in fleet.due, vm.pool_id not in standby_ids, vm.id)
    )
    return sources


def _is_idle(
    tables: WorkTables, vm: VMEntry, idle_seconds: Seconds, now: Seconds
) -> bool:
    worker = find_vm_worker(tables, vm)
    if worker is None:
        return is_standby(tables, vm.pool_id)
    if worker.runs or worker.unanswered_since or not worker.reconciled:
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
    """Move VMs to the pools that have fewer than wanted, the largest shortage first.

    VMs beyond a pool's ``sizes_with_reserve`` are taken first, then those beyond its
    size in ``wanted``.
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
    """Remove and return a VM from a standby pool or one that exceeds its kept size."""
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
