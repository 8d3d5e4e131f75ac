"""Workers that can take over a long-running task, and room that is kept for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.placement import (
    fits,
    is_allowed,
    is_schedulable,
    list_schedulable_workers,
)

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import (
        StepRun,
        Worker,
        WorkerId,
        WorkTables,
    )


def could_fit(step: StepRun, worker: Worker, now: Seconds) -> bool:
    """Return whether a worker takes a long-running task once batch work makes room."""
    if not is_schedulable(worker, now) or not is_allowed(step, worker, now):
        return False
    return fits_beside_long_runs(step, worker)


def fits_beside_long_runs(step: StepRun, worker: Worker) -> bool:
    """Return whether a worker has room for a task once its batch runs have ended."""
    needed, offered = step.resources, worker.resources
    cpu, memory = measure_long_runs(worker)
    if offered.cpu_millis - cpu < needed.cpu_millis:
        return False
    if offered.memory_mb - memory < needed.memory_mb:
        return False
    if not needed.accelerators:
        return True
    used = sum(
        run.task.step.resources.accelerators
        for run in worker.runs.values()
        if run.task.step.spec.long_running
    )
    return offered.accelerators - used >= needed.accelerators


def measure_long_runs(worker: Worker) -> tuple[float, float]:
    """Return the millicores and MB that the long-running tasks on a worker use."""
    cpu = memory = 0.0
    if not worker.long_runs:
        return cpu, memory
    for run in worker.runs.values():
        if run.task.step.spec.long_running:
            cpu += run.task.step.resources.cpu_millis
            memory += run.task.step.resources.memory_mb
    return cpu, memory


def find_move_targets(tables: WorkTables, step: StepRun, now: Seconds) -> list[Worker]:
    """Return the workers that a task of the step may move to when its VM is due.

    Workers on VMs that are due themselves are returned only if there are no others. A
    task that moves to one of them has to move again.
    """
    pool_id = step.job.queue.pool_id
    targets = [
        worker
        for worker in list_schedulable_workers(tables, pool_id, now)
        if could_fit(step, worker, now)
    ]
    return [worker for worker in targets if not worker.due] or targets


def has_room_for_move(step: StepRun, targets: Iterable[Worker], tasks: int = 1) -> bool:
    """Return whether there is room for more tasks than those that are on the way.

    Without it, two tasks could be stopped for the same room, and one of them would be
    down until another worker has room.
    """
    room = sum(
        count_tasks_that_fit(step, worker, worker.cpu_free, worker.memory_free)
        for worker in targets
        if fits(step, worker)
    )
    return room >= tasks + _count_on_the_way(step)


def has_targets_for_moves(step: StepRun, targets: Iterable[Worker], tasks: int) -> bool:
    """Return whether some more tasks could move if batch tasks made room for them."""
    room = 0
    for worker in targets:
        cpu, memory = measure_long_runs(worker)
        room += count_tasks_that_fit(
            step,
            worker,
            worker.resources.cpu_millis - cpu,
            worker.resources.memory_mb - memory,
        )
    return room >= tasks + _count_on_the_way(step)


def _count_on_the_way(step: StepRun) -> int:
    """Return how many tasks of a step wait for a worker or are being stopped."""
    stopping = sum(1 for task in step.tasks if any(run.stopping for run in task.runs))
    return len(step.waiting) + stopping


def count_tasks_that_fit(
    step: StepRun, worker: Worker, cpu: float, memory: float
) -> int:
    """Return how many tasks of a step fit into millicores and MB of a worker."""
    counts = [
        int(cpu // max(step.resources.cpu_millis, 1)),
        int(memory // max(step.resources.memory_mb, 1)),
    ]
    if step.resources.accelerators:
        counts.append(worker.accelerators_free // step.resources.accelerators)
    if step.spec.max_per_worker:
        used = step.per_worker.get(worker.id, 0)
        counts.append(step.spec.max_per_worker - used)
    return min(counts)


def keep_room(
    step: StepRun,
    targets: Iterable[Worker],
    tasks: int,
    kept_before: Container[WorkerId],
) -> None:
    """Keep room for some tasks of a step, one on each worker, free of batch tasks.

    The workers where room was kept before are preferred. Batch tasks there are ending,
    and on another worker the wait would begin again.
    """
    preferred = sorted(
        targets,
        key=lambda each: (each.id not in kept_before, -each.cpu_free, each.id),
    )
    for worker in preferred[:tasks]:
        worker.kept_cpu_millis += step.resources.cpu_millis
        worker.kept_memory_mb += step.resources.memory_mb


def release_room(workers: Iterable[Worker]) -> set[WorkerId]:
    """End the keeping of room; returns the workers on which it was kept."""
    kept: set[WorkerId] = set()
    for worker in workers:
        if worker.kept_cpu_millis or worker.kept_memory_mb:
            kept.add(worker.id)
            worker.kept_cpu_millis = worker.kept_memory_mb = 0
    return kept


__all__ = [
    "could_fit",
    "count_tasks_that_fit",
    "find_move_targets",
    "fits_beside_long_runs",
    "has_room_for_move",
    "has_targets_for_moves",
    "keep_room",
    "measure_long_runs",
    "release_room",
]
