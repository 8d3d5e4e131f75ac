"""Operations on VMs that are planned, under way or done."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from medlarspring_tables.scheduling import VMPhase, WorkerId

if TYPE_CHECKING:
    from medlarspring_tables import PoolId, Seconds, VMId, WaveId
    from medlarspring_tables.scheduling import (
        FleetLimits,
        Run,
        VMEntry,
        WaveOrder,
        Worker,
        WorkTables,
    )

LIST_MARGIN_SECONDS = 0.3
"""An operation shows in lists that were asked for so much later."""
OPERATION_TIMEOUT_SECONDS = 6.0
"""An operation that no list shows for so long was not carried out."""


@dataclass(frozen=True, slots=True)
class MoveVM:
    """Move a VM to another pool."""

    vm_id: VMId
    pool_id: PoolId
    from_pool_id: PoolId
    reason: str

    def describe(self) -> dict[str, str]:
        """Return what a log line says of it."""
        return {
            "operation": "move",
            "vm": self.vm_id,
            "pool": self.pool_id,
            "from_pool": self.from_pool_id,
            "reason": self.reason,
        }


@dataclass(frozen=True, slots=True)
class MaintainVM:
    """Take a VM down for its maintenance."""

    vm_id: VMId
    wave_id: WaveId

    def describe(self) -> dict[str, str]:
        """Return what a log line says of it."""
        return {"operation": "maintain", "vm": self.vm_id, "wave": self.wave_id}


VMOperation = MoveVM | MaintainVM


@dataclass(slots=True)
class PendingOperation:
    """An operation that was sent, until the VM list shows its end."""

    operation: VMOperation
    sent_at: Seconds
    old_worker_id: str | None
    """The life that the operation ends."""


@dataclass(slots=True)
class WaveProgress:
    """A maintenance wave and how far it is."""

    id: WaveId
    order: WaveOrder
    received_at: Seconds
    done: set[VMId] = field(default_factory=set)
    """VMs whose maintenance the platform confirmed to have begun."""
    announced: bool = False
    complete: bool = False
    reported: bool = False
    """Whether the operator was told of the end."""

    @property
    def deadline_at(self) -> Seconds:
        """When every VM of the wave should have had its maintenance."""
        return self.received_at + self.order.deadline_seconds


@dataclass(frozen=True, slots=True)
class PoolNeed:
    """How many VMs a pool needs, and what that is made of."""

    vms: int
    busy_vms: int = 0
    """How many of them its present work needs; the rest are kept for what may come."""
    lasting_millis: float = 0.0
    """Millicores of long-running tasks."""
    incoming_millis: float = 0.0
    """Millicores that incoming work is expected to keep busy."""
    waiting_millis: float = 0.0
    """Millicores that would clear what waits within the horizon."""


@dataclass(slots=True)
class FleetTables:
    """Waves and operations of one controller."""

    waves_by_id: dict[WaveId, WaveProgress] = field(default_factory=dict)
    done_by_wave: dict[WaveId, set[VMId]] = field(default_factory=dict)
    """As recorded by predecessors."""
    pending_by_vm: dict[VMId, PendingOperation] = field(default_factory=dict)
    refused_until: dict[VMId, Seconds] = field(default_factory=dict)
    """VMs whose last operation was refused are left alone for a moment."""
    needs_by_pool: dict[PoolId, PoolNeed] = field(default_factory=dict)
    """What each pool's work asked for at the last look."""
    recent_needs: dict[PoolId, list[tuple[Seconds, int]]] = field(default_factory=dict)
    move_seconds: Seconds = 1.5
    """What a move takes, as the platform states it."""
    vm_counts_by_pool: dict[PoolId, int] = field(default_factory=dict)
    unlisted_since: dict[VMId, Seconds] = field(default_factory=dict)
    """VMs in service that no entry in the registry leads to, and since when."""
    initial_sizes: dict[PoolId, int] = field(default_factory=dict)
    """VMs of each pool when a controller first saw it, by the operator's hand."""
    initial_sizes_known: bool = False
    initial_sizes_since: Seconds = 0.0
    due_next: set[VMId] = field(default_factory=set)
    """VMs in service that a wave takes down next; their pools need others."""
    drained_for_wave: set[VMId] = field(default_factory=set)
    """Those of them that get no new tasks."""


@dataclass(slots=True)
class FleetPlan:
    """What one look at the fleet decided."""

    operations: list[VMOperation] = field(default_factory=list)
    stops: list[tuple[Run, str]] = field(default_factory=list)
    changed_pools: dict[PoolId, None] = field(default_factory=dict)
    to_report: list[WaveProgress] = field(default_factory=list)


REFUSAL_PAUSE_SECONDS = 1.0


def record_wave_order(
    fleet: FleetTables, order: WaveOrder, received_at: Seconds
) -> None:
    """Enter an order of the operator."""
    wave = fleet.waves_by_id.get(order.id)
    if wave is None:
        wave = WaveProgress(order.id, order, received_at)
        wave.done = fleet.done_by_wave.setdefault(order.id, set())
        fleet.waves_by_id[order.id] = wave
    wave.order = order


def record_operation_sent(
    tables: WorkTables, fleet: FleetTables, operation: VMOperation, now: Seconds
) -> None:
    """Note that an operation is about to be sent."""
    vm = tables.vms_by_id.get(operation.vm_id)
    worker_id = vm.worker_id if vm is not None else None
    pending = PendingOperation(operation, now, worker_id)
    fleet.pending_by_vm[operation.vm_id] = pending
    _mark_leaving(tables, pending, leaving=True)


def _mark_leaving(
    tables: WorkTables, pending: PendingOperation, *, leaving: bool
) -> None:
    if pending.old_worker_id is None:
        return
    worker = tables.workers_by_id.get(WorkerId(pending.old_worker_id))
    if worker is not None:
        worker.leaving = leaving


def record_operation_done(fleet: FleetTables, operation: VMOperation) -> None:
    """Note that the platform confirmed an operation."""
    if isinstance(operation, MaintainVM):
        fleet.done_by_wave.setdefault(operation.wave_id, set()).add(operation.vm_id)
        fleet.drained_for_wave.discard(operation.vm_id)


def record_operation_refused(
    tables: WorkTables, fleet: FleetTables, operation: VMOperation, now: Seconds
) -> None:
    """Note that an operation was certainly not carried out."""
    pending = fleet.pending_by_vm.pop(operation.vm_id, None)
    if pending is not None:
        _mark_leaving(tables, pending, leaving=False)
    fleet.refused_until[operation.vm_id] = now + REFUSAL_PAUSE_SECONDS


def drop_finished_operations(
    tables: WorkTables, fleet: FleetTables, limits: FleetLimits, now: Seconds
) -> None:
    """Forget the operations whose end the VM list shows."""
    for vm_id, pending in list(fleet.pending_by_vm.items()):
        vm = tables.vms_by_id.get(vm_id)
        timed_out = now - pending.sent_at > OPERATION_TIMEOUT_SECONDS
        if vm is None or timed_out or _is_finished(tables, vm, pending, limits):
            del fleet.pending_by_vm[vm_id]
            _mark_leaving(tables, pending, leaving=False)


def _is_finished(
    tables: WorkTables, vm: VMEntry, pending: PendingOperation, limits: FleetLimits
) -> bool:
    is_move = isinstance(pending.operation, MoveVM)
    expected_seconds = limits.move if is_move else limits.maintenance
    if tables.vms_read_at < pending.sent_at + expected_seconds + LIST_MARGIN_SECONDS:
        return False
    return vm.phase is VMPhase.UP


def find_vm_worker(tables: WorkTables, vm: VMEntry) -> Worker | None:
    """Return the VM's present life, if it is known as a worker."""
    if vm.worker_id is None:
        return None
    return tables.workers_by_id.get(vm.worker_id)


def is_standby(tables: WorkTables, pool_id: PoolId) -> bool:
    """Tell whether a pool's VMs are off and cost nothing."""
    policy = tables.config.pools_by_id.get(pool_id)
    return policy is not None and policy.standby


def is_available_for_operation(fleet: FleetTables, vm: VMEntry, now: Seconds) -> bool:
    """Tell whether a VM may be operated on at all."""
    if vm.phase is not VMPhase.UP or vm.id in fleet.pending_by_vm:
        return False
    return fleet.refused_until.get(vm.id, 0.0) <= now


__all__ = [
    "FleetPlan",
    "FleetTables",
    "MaintainVM",
    "MoveVM",
    "PoolNeed",
    "VMOperation",
    "WaveProgress",
    "drop_finished_operations",
    "find_vm_worker",
    "is_available_for_operation",
    "is_standby",
    "record_operation_done",
    "record_operation_sent",
    "record_operation_refused",
    "record_wave_order",
]
