"""Workers as the registry and the VM list tell of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.runs import detach_run
from medlarspring_tables import PoolId, RackId, VMId
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
"""A worker may be in the registry so long before its VM is in the list."""
CLOCK_ERROR = 0.02
"""A worker's clock may run so much slower than ours."""


def apply_entry(tables: WorkTables, entry: WorkerEntry, now: Seconds) -> Worker | None:
    """Take over a worker's own entry; None if its life is known to be over.

    A life is told by the worker's id and its start. Passed over by the id alone, a
    worker that was away for a moment got no task any more once it was back, and its
    pool ran out of workers beside free room.
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
    """Fill in a worker known only by recorded runs, or by its former life's entry."""
    tables.workers_by_pool.get(worker.pool_id, {}).pop(worker.id, None)
    worker.vm_id = entry.vm_id
    worker.pool_id = entry.pool_id
    worker.rack_id = entry.rack_id
    worker.zone_id = entry.zone_id
    worker.address = entry.address
    worker.labels = frozenset(entry.labels)
    worker.born_ms = worker.entry_born_ms = entry.born_ms
    worker.unstable_until = tables.unstable_until_by_vm.get(entry.vm_id, 0.0)
    _set_resources(worker, entry.resources)


def _set_resources(worker: Worker, resources: Resources) -> None:
    """Take over what a worker offers; nothing is free while its runs hold more."""
    used = [run.task.step.resources for run in worker.runs.values()]
    worker.resources = resources
    worker.cpu_free = resources.cpu_millis - sum(each.cpu_millis for each in used)
    worker.memory_free = resources.memory_mb - sum(each.memory_mb for each in used)
    worker.accelerators_free = resources.accelerators - sum(
        each.accelerators for each in used
    )


def is_overcommitted(worker: Worker) -> bool:
    """Tell whether the runs of a worker hold more than it offers."""
    free = min(worker.cpu_free, worker.memory_free, worker.accelerators_free)
    return free < 0


def is_ended_incarnation(
    tables: WorkTables, worker_id: WorkerId, born_ms: Milliseconds
) -> bool:
    """Tell whether this life of a worker is known to be over."""
    return (worker_id, born_ms) in tables.ended_incarnations


def is_other_incarnation(worker: Worker, born_ms: Milliseconds) -> bool:
    """Tell whether a worker speaks from another life than the one that is known."""
    return bool(worker.born_ms and born_ms) and worker.born_ms != born_ms


def begin_incarnation(
    tables: WorkTables,
    worker: Worker,
    born_ms: Milliseconds,
    longest_lease: Seconds,
    now: Seconds,
) -> list[Run]:
    """Note that a worker started again under its id; returns the runs that are over.

    What its former life listed is over, and what was not ordered yet goes elsewhere.
    Other orders stay: they name only the id, so the new life may have carried one
    out, or may do so yet. Its first listing settles them.
    """
    over = [run for run in worker.runs.values() if _ended_with_incarnation(run, worker)]
    tables.ended_incarnations.add((worker.id, worker.born_ms))
    worker.born_ms = born_ms
    worker.first_seen_at = now
    # Its entry says what it offers now; until then it may be of another kind.
    worker.listed = False
    worker.reconciled = False
    worker.draining = False
    worker.leaving = False
    # Ends are counted from 1 again. Measured by the former life's numbers they
    # were passed over, and tasks that were done ran again.
    worker.last_end_number = 0
    if worker.clock_at:
        # The lease of an order that the new life took is on another clock, and
        # could not be seen to lapse; none is longer than this.
        worker.lease_ms = round(read_clock(worker, now) + longest_lease * 1_000)
    worker.doubt = QuarantineReason.NONE
    worker.quarantined_until = 0.0
    worker.quarantine_count = 0
    worker.failures_by_job.clear()
    worker.slowness = 1.0
    for run in over:
        detach_run(tables, run, now)
    for run in worker.runs.values():
        # A stop that the former life confirmed means nothing to the new one.
        run.stop_confirmed_at = 0.0
    return over


def _ended_with_incarnation(run: Run, worker: Worker) -> bool:
    if run.state is RunState.INTENDED:
        return True
    return run.listed_born_ms == worker.born_ms


def find_or_create_worker(
    tables: WorkTables, worker_id: WorkerId, now: Seconds
) -> Worker:
    """Return a worker that records name, although no registry may list it."""
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
    """Note that the registry no longer lists a worker; it may still run."""
    worker = tables.workers_by_id.get(worker_id)
    if worker is not None:
        worker.listed = False


def apply_vm_list(
    tables: WorkTables, vms: tuple[VMEntry, ...], asked_at: Seconds
) -> list[Worker]:
    """Take over the VM list; returns the workers whose life is certainly over.

    ``asked_at`` is when the list was asked for. A worker that registered only
    after that may be missing from an older list without being gone.
    """
    tables.vms_by_id = {vm.id: vm for vm in vms}
    tables.vms_read_at = asked_at
    return [
        worker
        for worker in tables.workers_by_id.values()
        if not worker.gone and is_incarnation_over(tables, worker)
    ]


def is_incarnation_over(tables: WorkTables, worker: Worker) -> bool:
    """Tell whether the VM list proves that this life of a VM has ended.

    A VM has one life at a time. Silence proves nothing, since a worker that is
    cut off runs on; but a VM that is down, or lives as another worker, has lost
    all that ran in this life. Waiting for the lease would take up to 10 s.
    """
    if worker.first_seen_at >= tables.vms_read_at:
        # The list may have been made before this life began.
        return False
    if not worker.vm_id:
        lives = {vm.worker_id for vm in tables.vms_by_id.values()}
        return bool(lives) and worker.id not in lives
    vm = tables.vms_by_id.get(worker.vm_id)
    if vm is None:
        # A VM that is gone for good is no longer listed; one that just came up
        # may not be listed yet.
        return tables.vms_read_at > worker.first_seen_at + NEW_VM_SECONDS
    if vm.worker_id == worker.id:
        return vm.phase in (VMPhase.DOWN, VMPhase.MAINTENANCE, VMPhase.MOVING)
    if vm.phase is VMPhase.UNKNOWN:
        return vm.worker_id is not None
    return vm.phase is not VMPhase.UP or vm.worker_id is not None


def end_incarnation(tables: WorkTables, worker: Worker, now: Seconds) -> list[Run]:
    """Drop a worker whose life is over; returns the runs that were lost."""
    worker.gone = True
    worker.listed = False
    tables.ended_incarnations.add((worker.id, worker.born_ms))
    lost = list(worker.runs.values())
    for run in lost:
        detach_run(tables, run, now)
    remove_worker(tables, worker)
    return lost


def remove_worker(tables: WorkTables, worker: Worker) -> None:
    """Remove a worker from all tables."""
    tables.workers_by_id.pop(worker.id, None)
    tables.workers_by_pool.get(worker.pool_id, {}).pop(worker.id, None)


def record_clock(worker: Worker, clock_ms: int, received_at: Seconds) -> None:
    """Learn the worker's clock from an answer."""
    if clock_ms <= 0:
        return
    worker.clock_ms = float(clock_ms)
    worker.clock_at = received_at


def read_clock(worker: Worker, now: Seconds) -> float:
    """Return the worker's clock, in ms, as far as it is known."""
    return worker.clock_ms + (now - worker.clock_at) * 1_000.0


def is_lease_over(worker: Worker, now: Seconds) -> bool:
    """Tell whether all that ran there has certainly lapsed by the worker's clock.

    The clock may be slower than ours, so time is counted with that error.
    """
    if not worker.lease_ms or not worker.clock_at:
        return False
    slowest = worker.clock_ms + (now - worker.clock_at) * 1_000.0 * (1 - CLOCK_ERROR)
    return slowest > worker.lease_ms


def have_recorded_runs_lapsed(
    worker: Worker, longest_lease: Seconds, now: Seconds
) -> bool:
    """Tell whether all runs of a worker known from records only have lapsed.

    A worker that has not answered since a takeover, or whose entry is missing or
    unreadable, tells no clock, and its VM may live on. Its tasks would wait for
    ever; but nobody has extended its leases since the takeover, and no lease is
    longer than the platform grants.
    """
    if worker.clock_at or not worker.runs:
        return False
    restored_at = max(run.ordered_at for run in worker.runs.values())
    return (now - restored_at) * (1 - CLOCK_ERROR) > longest_lease


def has_unknown_runs(worker: Worker) -> bool:
    """Tell whether a run's order has an unknown outcome."""
    return any(run.state is RunState.UNKNOWN for run in worker.runs.values())


__all__ = [
    "begin_incarnation",
    "end_incarnation",
    "find_or_create_worker",
    "remove_worker",
    "has_unknown_runs",
    "is_ended_incarnation",
    "is_lease_over",
    "is_incarnation_over",
    "is_other_incarnation",
    "is_overcommitted",
    "have_recorded_runs_lapsed",
    "record_clock",
    "record_entry_gone",
    "read_clock",
    "apply_entry",
    "apply_vm_list",
]
