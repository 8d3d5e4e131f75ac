"""State of VM operations (moves and maintenance) and of maintenance waves."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, ParamSpec, Protocol

from medlarspring_systems.scheduling.wave_plan import WaveForecast
from medlarspring_tables.scheduling import VMPhase, WorkerId

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_systems.scheduling.vm_removal import VMAbsence
    from medlarspring_tables import PoolId, Seconds, VMId, WaveId
    from medlarspring_tables.scheduling import (
        FleetLimits,
        Run,
        Task,
        VMEntry,
        WaveOrder,
        Worker,
        WorkTables,
    )

P = ParamSpec("P")

UP = VMPhase.UP
"""Bound once, as Python 3.11 takes longer to find a member than to compare it."""
LIST_MARGIN_SECONDS = 0.3
"""Delay after an operation's expected end before the VM list must show it."""
OPERATION_TIMEOUT_SECONDS = 6.0
"""An operation that the VM list doesn't confirm within this time has not been carried
out."""


@dataclass(frozen=True, slots=True)
class MoveVM:
    """Move a VM to another pool."""

    vm_id: VMId
    pool_id: PoolId
    from_pool_id: PoolId
    reason: str

    def describe(self) -> dict[str, str]:
        """Return the fields that describe the operation in log lines."""
        return {
            "operation": "move",
            "vm": self.vm_id,
            "pool": self.pool_id,
            "from_pool": self.from_pool_id,
            "reason": self.reason,
        }


@dataclass(frozen=True, slots=True)
class MaintainVM:
    """Take a VM out of service for its maintenance."""

    vm_id: VMId
    wave_id: WaveId

    def describe(self) -> dict[str, str]:
        """Return the fields that describe the operation in log lines."""
        return {"operation": "maintain", "vm": self.vm_id, "wave": self.wave_id}


VMOperation = MoveVM | MaintainVM


@dataclass(slots=True)
class PendingOperation:
    """An operation that was sent and whose end the VM list does not show yet."""

    operation: VMOperation
    sent_at: Seconds
    old_worker_id: str | None
    """Worker whose incarnation ends with the operation; None if there was none."""


@dataclass(slots=True)
class WaveProgress:
    """A maintenance wave and its progress."""

    id: WaveId
    order: WaveOrder
    received_at: Seconds
    done: set[VMId] = field(default_factory=set)
    """VMs whose maintenance the platform confirmed to have begun."""
    announced: bool = False
    """Whether the operator was told that the wave is active."""
    complete: bool = False
    reported: bool = False
    """Whether the operator was told that the wave is complete."""
    forecast: WaveForecast = field(default_factory=WaveForecast)
    """Result of the last planning pass."""
    is_late: bool = False
    """Whether the wave was last announced to end after its deadline."""
    differs_since: Seconds = 0.0
    """Since when the forecast contradicts ``is_late``; 0 while it agrees."""

    @property
    def deadline_at(self) -> Seconds:
        """Local time by which every VM of the wave should have had its maintenance."""
        return self.received_at + self.order.deadline_seconds


@dataclass(frozen=True, slots=True)
class LongRunMove:
    """A long-running task that was stopped on a due VM to run elsewhere."""

    task: Task
    stopped_run: int
    """Number of the run that was stopped."""
    stopped_at: Seconds


@dataclass(frozen=True, slots=True)
class PoolNeed:
    """How many VMs a pool needs, and the demand behind that number."""

    vms: int
    busy_vms: int = 0
    """VMs needed for the present work; the others are a reserve for future work."""
    lasting_millis: float = 0.0
    """Millicores used by long-running tasks."""
    incoming_millis: float = 0.0
    """Millicores that incoming work is expected to keep busy."""
    waiting_millis: float = 0.0
    """Millicores needed to finish the waiting tasks within the backlog horizon."""
    lasting_vms: int = 0
    """VMs of ``busy_vms`` that long-running tasks need."""
    timely_vms: int = 0
    """VMs of ``busy_vms`` without which work would be late that can still be on time.
    """


@dataclass(slots=True)
class FleetTables:
    """Waves, VM operations and pool sizes as one controller knows them."""

    waves_by_id: dict[WaveId, WaveProgress] = field(default_factory=dict)
    done_by_wave: dict[WaveId, set[VMId]] = field(default_factory=dict)
    """VMs whose maintenance was confirmed, including those recorded by previous
    controllers."""
    pending_by_vm: dict[VMId, PendingOperation] = field(default_factory=dict)
    refused_until: dict[VMId, Seconds] = field(default_factory=dict)
    """Local time before which no new operation is sent to a VM."""
    needs_by_pool: dict[PoolId, PoolNeed] = field(default_factory=dict)
    """Needs computed by the last planning pass."""
    recent_needs: dict[PoolId, list[tuple[Seconds, int]]] = field(default_factory=dict)
    """Times and VM counts of the recent needs, oldest first."""
    move_seconds: Seconds = 1.5
    """Duration of a move, as configured by the platform."""
    vm_counts_by_pool: dict[PoolId, int] = field(default_factory=dict)
    """VMs that each pool has or is about to have."""
    allotted_by_pool: dict[PoolId, int] = field(default_factory=dict)
    """VMs that each pool may use for its present work while VMs are scarce."""
    unlisted_since: dict[VMId, Seconds] = field(default_factory=dict)
    """VMs in service without an entry in the worker registry, and since when."""
    initial_sizes: dict[PoolId, int] = field(default_factory=dict)
    """Size that the operator gave each pool, as first seen by a controller."""
    initial_sizes_known: bool = False
    initial_sizes_since: Seconds = 0.0
    """When this controller began to observe the initial sizes."""
    due_next: set[VMId] = field(default_factory=set)
    """VMs in service that a wave takes down next; they don't count for their pools."""
    drained_for_wave: set[VMId] = field(default_factory=set)
    """The VMs of ``due_next`` that get no new tasks."""
    moved_at_by_vm: dict[VMId, Seconds] = field(default_factory=dict)
    """When each VM was last ordered to another pool."""
    yielding_since_by_vm: dict[VMId, Seconds] = field(default_factory=dict)
    """VMs that get no new tasks so that another pool can have them, and since when."""
    kept_until_by_vm: dict[VMId, Seconds] = field(default_factory=dict)
    """VMs that were not taken in time while they yielded; until then they serve."""
    absences_by_vm: dict[VMId, VMAbsence] = field(default_factory=dict)
    """VMs of open waves that the last VM list missed."""
    due: set[VMId] = field(default_factory=set)
    """VMs that still need their maintenance in an open wave."""
    begun: set[VMId] = field(default_factory=set)
    """The VMs of ``due`` that long-running tasks have begun to leave."""
    pools_short_of_targets: set[PoolId] = field(default_factory=set)
    """Pools where more long-running tasks have to move than workers could take next."""
    moves_by_task: dict[str, LongRunMove] = field(default_factory=dict)
    """Long-running tasks that are being moved, by task id."""
    long_run_move_seconds: Seconds = 0.0
    """Mean time in which such a task is available again; 0 before the first one."""


@dataclass(slots=True)
class FleetPlan:
    """Decisions of one planning pass over the fleet."""

    operations: list[VMOperation] = field(default_factory=list)
    stops: list[tuple[Run, str]] = field(default_factory=list)
    """Runs to stop, each with the reason."""
    changed_pools: dict[PoolId, None] = field(default_factory=dict)
    """Pools whose waiting tasks should be placed again."""
    to_report: list[WaveProgress] = field(default_factory=list)
    """Waves that are newly active or complete."""
    changed_forecasts: list[WaveProgress] = field(default_factory=list)
    """Waves that are newly expected to be late, or to be on time again."""


class Attempt(Protocol):
    """Runs a part of the planning; its caller decides what an exception costs."""

    def __call__(
        self, work: Callable[P, object], *args: P.args, **kwargs: P.kwargs
    ) -> object:
        """Run ``work``."""
        ...


def run_unguarded(work: Callable[P, object], *args: P.args, **kwargs: P.kwargs) -> None:
    """Run a part of the planning; an exception ends the whole of it."""
    work(*args, **kwargs)


REFUSAL_PAUSE_SECONDS = 1.0
"""Pause after a refused operation before the next one on the same VM."""


def record_wave_order(
    fleet: FleetTables, order: WaveOrder, received_at: Seconds
) -> None:
    """Add or update a maintenance wave that the operator ordered.

    A wave that was complete is open again if the order names more VMs.
    ``received_at`` is the local time from which the wave's deadline counts.
    """
    wave = fleet.waves_by_id.get(order.id)
    if wave is None:
        wave = WaveProgress(order.id, order, received_at)
        wave.done = fleet.done_by_wave.setdefault(order.id, set())
        fleet.waves_by_id[order.id] = wave
    if not set(order.vm_ids) <= set(wave.order.vm_ids):
        wave.complete = wave.reported = wave.announced = False
    wave.order = order


def record_operation_sent(
    tables: WorkTables, fleet: FleetTables, operation: VMOperation, now: Seconds
) -> None:
    """Mark an operation as pending and its worker as leaving, before it is sent."""
    vm = tables.vms_by_id.get(operation.vm_id)
    worker_id = vm.worker_id if vm is not None else None
    pending = PendingOperation(operation, now, worker_id)
    fleet.pending_by_vm[operation.vm_id] = pending
    if isinstance(operation, MoveVM):
        fleet.moved_at_by_vm[operation.vm_id] = now
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
    """Record that the platform confirmed an operation."""
    if isinstance(operation, MaintainVM):
        fleet.done_by_wave.setdefault(operation.wave_id, set()).add(operation.vm_id)
        fleet.drained_for_wave.discard(operation.vm_id)


def record_operation_refused(
    tables: WorkTables, fleet: FleetTables, operation: VMOperation, now: Seconds
) -> None:
    """Discard a pending operation that was certainly not carried out."""
    pending = fleet.pending_by_vm.pop(operation.vm_id, None)
    if pending is not None:
        _mark_leaving(tables, pending, leaving=False)
    fleet.refused_until[operation.vm_id] = now + REFUSAL_PAUSE_SECONDS


def drop_finished_operations(
    tables: WorkTables, fleet: FleetTables, limits: FleetLimits, now: Seconds
) -> None:
    """Drop pending operations that are finished or timed out.

    One on a VM that the list misses is kept: the VM may still be down.
    """
    for vm_id, pending in list(fleet.pending_by_vm.items()):
        vm = tables.vms_by_id.get(vm_id)
        timed_out = now - pending.sent_at > OPERATION_TIMEOUT_SECONDS
        is_finished = vm is not None and _is_finished(tables, vm, pending, limits)
        if timed_out or is_finished:
            del fleet.pending_by_vm[vm_id]
            _mark_leaving(tables, pending, leaving=False)


def _is_finished(
    tables: WorkTables, vm: VMEntry, pending: PendingOperation, limits: FleetLimits
) -> bool:
    is_move = isinstance(pending.operation, MoveVM)
    expected_seconds = limits.move if is_move else limits.maintenance
    if tables.vms_read_at < pending.sent_at + expected_seconds + LIST_MARGIN_SECONDS:
        return False
    return vm.phase is UP


def find_vm_worker(tables: WorkTables, vm: VMEntry) -> Worker | None:
    """Return the worker that currently runs on the VM, if it is known."""
    if vm.worker_id is None:
        return None
    return tables.workers_by_id.get(vm.worker_id)


def is_standby(tables: WorkTables, pool_id: PoolId) -> bool:
    """Return whether a pool's VMs are on standby: powered off and free of cost."""
    policy = tables.config.pools_by_id.get(pool_id)
    return policy is not None and policy.standby


def is_available_for_operation(fleet: FleetTables, vm: VMEntry, now: Seconds) -> bool:
    """Return whether a VM is up, has no pending operation and no refusal pause."""
    if vm.phase is not UP or vm.id in fleet.pending_by_vm:
        return False
    return fleet.refused_until.get(vm.id, 0.0) <= now


__all__ = [
    "Attempt",
    "FleetPlan",
    "FleetTables",
    "LongRunMove",
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
    "record_operation_refused",
    "record_operation_sent",
    "record_wave_order",
    "run_unguarded",
]
