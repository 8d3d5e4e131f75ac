"""Maintains the known workers from the registry, the VM list and their answers.

It keeps the incarnations of a worker apart and decides when all that ran in one is
certainly over, so that its tasks can start elsewhere.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.crash_timing import find_crash_risk_end
from medlarspring_systems.scheduling.late_orders import record_unanswered_order
from medlarspring_systems.scheduling.runs import detach_run
from medlarspring_tables import PoolId, RackId, VMId
from medlarspring_tables.bounds import MAX_WHOLE
from medlarspring_tables.scheduling import (
    QuarantineReason,
    Resources,
    RunState,
    VMPhase,
    Worker,
    WorkerCondition,
)

if TYPE_CHECKING:
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import (
        Milliseconds,
        Run,
        VMEntry,
        WorkerEntry,
        WorkerId,
        WorkTables,
    )

NEW_VM_SECONDS = 3.0
"""Time that a worker may be in the registry before its VM appears in the VM list."""
CLOCK_ERROR = 0.02
"""Fraction by which a worker's clock may run slower than the controller's."""


def apply_entry(tables: WorkTables, entry: WorkerEntry, now: Seconds) -> Worker | None:
    """Update a worker from its registry entry; None if the incarnation is over.

    An incarnation is identified by the worker's id and its start. If ended ones were
    ignored by id alone, a worker that was away for a moment would never get a task
    again, and its pool would run out of workers.
    """
    if is_ended_incarnation(tables, entry.id, entry.born_ms):
        return None
    worker = tables.workers_by_id.get(entry.id)
    if worker is None:
        worker = _create_worker(entry, now)
        tables.workers_by_id[entry.id] = worker
    if not worker.address or worker.entry_born_ms != entry.born_ms:
        _fill_in_from_entry(tables, worker, entry)
    elif worker.resources != entry.resources:
        _set_resources(worker, entry.resources)
    worker.listed = True
    worker.draining = worker.draining or entry.condition is WorkerCondition.DRAINING
    worker.ready_at = now + entry.warmup_ms / 1_000.0
    tables.workers_by_pool.setdefault(worker.pool_id, {})[worker.id] = worker
    return worker


def _create_worker(entry: WorkerEntry, now: Seconds) -> Worker:
    return Worker(
        first_seen_at=now,
        id=entry.id,
        vm_id=entry.vm_id,
        pool_id=entry.pool_id,
        rack_id=entry.rack_id,
        zone_id=entry.zone_id,
        address="",
        resources=entry.resources,
        labels=frozenset(entry.labels),
        idle_since=now,
    )


def _fill_in_from_entry(tables: WorkTables, worker: Worker, entry: WorkerEntry) -> None:
    """Set the attributes of a worker known only from records or an older entry."""
    tables.workers_by_pool.get(worker.pool_id, {}).pop(worker.id, None)
    worker.vm_id = entry.vm_id
    worker.pool_id = entry.pool_id
    worker.rack_id = entry.rack_id
    worker.zone_id = entry.zone_id
    worker.address = entry.address
    worker.labels = frozenset(entry.labels)
    worker.born_ms = worker.entry_born_ms = entry.born_ms
    worker.unstable_until = tables.unstable_until_by_vm.get(entry.vm_id, 0.0)
    worker.crash_risk_until = find_crash_risk_end(tables, entry.pool_id)
    _set_resources(worker, entry.resources)


def _set_resources(worker: Worker, resources: Resources) -> None:
    """Set what a worker offers; the free part is negative if its runs use more."""
    used = [run.task.step.resources for run in worker.runs.values()]
    worker.resources = resources
    worker.cpu_free = resources.cpu_millis - sum(each.cpu_millis for each in used)
    worker.memory_free = resources.memory_mb - sum(each.memory_mb for each in used)
    worker.accelerators_free = resources.accelerators - sum(
        each.accelerators for each in used
    )


def is_overcommitted(worker: Worker) -> bool:
    """Return whether the runs of a worker use more resources than it offers."""
    free = min(worker.cpu_free, worker.memory_free, worker.accelerators_free)
    return free < 0


def is_ended_incarnation(
    tables: WorkTables, worker_id: WorkerId, born_ms: Milliseconds
) -> bool:
    """Return whether this incarnation of a worker is known to be over."""
    return (worker_id, born_ms) in tables.ended_incarnations


def is_other_incarnation(worker: Worker, born_ms: Milliseconds) -> bool:
    """Return whether a start time belongs to another incarnation than the known one.

    False if either of the two starts is not known.
    """
    return bool(worker.born_ms and born_ms) and worker.born_ms != born_ms


def begin_incarnation(
    tables: WorkTables,
    worker: Worker,
    born_ms: Milliseconds,
    longest_lease: Seconds,
    now: Seconds,
) -> list[Run]:
    """Record that a worker restarted under its id; returns the runs that are over.

    These are the runs that the former incarnation listed and those not ordered yet.
    Other orders stay: they name only the worker's id, so that the new incarnation may
    have executed one or may still do so. Its first listing decides.
    """
    over = [run for run in worker.runs.values() if _ended_with_incarnation(run, worker)]
    tables.ended_incarnations.add((worker.id, worker.born_ms))
    worker.born_ms = born_ms
    worker.first_seen_at = now
    # What the worker offers now is not known before its new entry is read.
    worker.listed = False
    worker.reconciled = False
    worker.draining = False
    worker.leaving = False
    # Each incarnation numbers its ends from 1. Compared with the former numbers they
    # would be ignored, and completed tasks would run again.
    worker.last_end_number = 0
    if worker.clock_at:
        # An order accepted by the new incarnation has its lease on another clock,
        # whose end can't be determined; this is the longest possible lease.
        worker.lease_ms = round(read_clock(worker, now) + longest_lease * 1_000)
    worker.quarantine_reason = QuarantineReason.NONE
    worker.quarantined_until = 0.0
    worker.quarantine_count = 0
    worker.failures_by_job.clear()
    worker.slowness = 1.0
    worker.usual_pace_at = 0.0
    for run in over:
        detach_run(tables, run, now)
    for run in worker.runs.values():
        # A stop confirmed by the former incarnation does not bind the new one.
        run.stop_confirmed_at = 0.0
    return over


def _ended_with_incarnation(run: Run, worker: Worker) -> bool:
    if run.state is RunState.INTENDED:
        return True
    return run.listed_born_ms == worker.born_ms


def find_or_create_worker(
    tables: WorkTables, worker_id: WorkerId, now: Seconds
) -> Worker:
    """Return a worker named in a record; creates it if it is not known."""
    worker = tables.workers_by_id.get(worker_id)
    if worker is None:
        worker = Worker(
            id=worker_id,
            vm_id=VMId(""),
            pool_id=PoolId(""),
            rack_id=RackId(""),
            zone_id="",
            address="",
            resources=Resources(),
            labels=frozenset(),
            listed=False,
            idle_since=now,
        )
        tables.workers_by_id[worker_id] = worker
    return worker


def record_entry_gone(tables: WorkTables, worker_id: WorkerId) -> None:
    """Record that the registry no longer lists a worker, which may still run."""
    worker = tables.workers_by_id.get(worker_id)
    if worker is not None:
        worker.listed = False


def apply_vm_list(
    tables: WorkTables, vms: tuple[VMEntry, ...], asked_at: Seconds
) -> list[Worker]:
    """Record the VM list; returns the workers whose incarnation is certainly over.

    ``asked_at`` is when the list was requested. A worker that registered after that
    may be missing from the list and still be running.
    """
    tables.vms_by_id = {vm.id: vm for vm in vms}
    tables.vms_read_at = asked_at
    return [
        worker
        for worker in tables.workers_by_id.values()
        if not worker.gone and is_incarnation_over(tables, worker)
    ]


def is_incarnation_over(tables: WorkTables, worker: Worker) -> bool:
    """Return whether the VM list proves that a worker's incarnation has ended.

    An unresponsive worker may be partitioned and still run its tasks. But a VM that
    is down, or that runs another worker, has lost all runs of this incarnation,
    because a VM runs one worker at a time. Waiting for the leases to end instead
    would take up to 10 s.
    """
    if worker.first_seen_at >= tables.vms_read_at:
        # The list may have been made before this incarnation started.
        return False
    if not worker.vm_id:
        vms = tables.vms_by_id.values()
        if any(vm.phase is VMPhase.UNKNOWN and vm.worker_id is None for vm in vms):
            return False
        worker_ids = {vm.worker_id for vm in vms}
        return bool(worker_ids) and worker.id not in worker_ids
    vm = tables.vms_by_id.get(worker.vm_id)
    if vm is None:
        # A removed VM is no longer listed; one that just came up may not be listed
        # yet.
        return tables.vms_read_at > worker.first_seen_at + NEW_VM_SECONDS
    if vm.worker_id == worker.id:
        return vm.phase in (VMPhase.DOWN, VMPhase.MAINTENANCE, VMPhase.MOVING)
    if vm.phase is VMPhase.UNKNOWN:
        return vm.worker_id is not None
    return vm.phase is not VMPhase.UP or vm.worker_id is not None


def end_incarnation(tables: WorkTables, worker: Worker, now: Seconds) -> list[Run]:
    """Remove a worker whose incarnation is over; returns the runs that were lost."""
    worker.gone = True
    worker.listed = False
    tables.ended_incarnations.add((worker.id, worker.born_ms))
    lost = list(worker.runs.values())
    for run in lost:
        if run.state is RunState.UNKNOWN:
            # Also an earlier controller's order may still reach the next incarnation.
            record_unanswered_order(
                tables, worker.id, run.task.id, run.number, run.ordered_at
            )
        detach_run(tables, run, now)
    remove_worker(tables, worker)
    return lost


def remove_worker(tables: WorkTables, worker: Worker) -> None:
    """Remove a worker from all tables."""
    tables.workers_by_id.pop(worker.id, None)
    tables.workers_by_pool.get(worker.pool_id, {}).pop(worker.id, None)


def record_clock(worker: Worker, clock_ms: int, received_at: Seconds) -> None:
    """Record the worker's clock, in ms, from an answer; no possible one is ignored."""
    if not 0 < clock_ms <= MAX_WHOLE:
        return
    worker.clock_ms = float(clock_ms)
    worker.clock_at = received_at


def bound_unknown_lease(worker: Worker, longest_lease: Seconds) -> None:
    """Record the latest end of the leases on a worker that has answered just now.

    Called at the first answer of an incarnation in a term. An earlier controller, or
    an order meant for the former incarnation, may have extended the lease until then;
    from then on only this controller extends it.
    """
    worker.lease_ms = round(worker.clock_ms + longest_lease * 1_000)


def read_clock(worker: Worker, now: Seconds) -> float:
    """Return the estimated time of the worker's clock, in ms."""
    return worker.clock_ms + (now - worker.clock_at) * 1_000.0


def read_slowest_clock(worker: Worker, now: Seconds) -> float:
    """Return the least time that the worker's clock may show, in ms."""
    elapsed = (now - worker.clock_at) * (1 - CLOCK_ERROR)
    return worker.clock_ms + elapsed * 1_000.0


def is_lease_over(worker: Worker, now: Seconds) -> bool:
    """Return whether all runs of a worker have certainly lapsed by its own clock.

    The elapsed time is reduced by ``CLOCK_ERROR``, as the worker's clock may be slow.
    """
    if not worker.lease_ms or not worker.clock_at:
        return False
    return read_slowest_clock(worker, now) > worker.lease_ms


def have_recorded_runs_lapsed(
    tables: WorkTables, worker: Worker, longest_lease: Seconds, now: Seconds
) -> bool:
    """Return whether all runs of a worker known only from records have lapsed.

    If a worker has not answered a hold call since a takeover, or its entry is missing
    or unreadable, its lease is not known and its VM may still run. Without this check
    its tasks would wait forever. No lease is longer than ``longest_lease``, and none
    was extended after the last moment at which an earlier controller acted.
    """
    if worker.reconciled or not worker.runs:
        return False
    restored_at = max(run.ordered_at for run in worker.runs.values())
    extended_until = max(restored_at, worker.first_seen_at, tables.predecessors_until)
    return (now - extended_until) * (1 - CLOCK_ERROR) > longest_lease


def has_unknown_runs(worker: Worker) -> bool:
    """Return whether the order of any run on the worker has an unknown outcome."""
    return any(run.state is RunState.UNKNOWN for run in worker.runs.values())


__all__ = [
    "apply_entry",
    "apply_vm_list",
    "begin_incarnation",
    "bound_unknown_lease",
    "end_incarnation",
    "find_or_create_worker",
    "has_unknown_runs",
    "have_recorded_runs_lapsed",
    "is_ended_incarnation",
    "is_incarnation_over",
    "is_lease_over",
    "is_other_incarnation",
    "is_overcommitted",
    "read_clock",
    "read_slowest_clock",
    "record_clock",
    "record_entry_gone",
    "remove_worker",
]
