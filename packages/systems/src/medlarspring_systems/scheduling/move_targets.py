"""Workers that can take over a long-running task, and room that is kept for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.placement import (
    fits,
    is_allowed,
    is_schedulable,
    list_schedulable_workers,
)
from medlarspring_tables.scheduling import Resources

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
    return count_beside_long_runs(step, worker) > 0


def count_beside_long_runs(step: StepRun, worker: Worker) -> int:
    """Return how many tasks a worker has room for once its batch runs have ended."""
    return count_tasks_that_fit(step, worker, _measure_beside_long_runs(worker))


def _measure_beside_long_runs(worker: Worker) -> Resources:
    offered = worker.resources
    if not worker.long_runs:
        return offered
    cpu, memory = measure_long_runs(worker)
    accelerators = sum(
        run.task.step.resources.accelerators
        for run in worker.runs.values()
        if run.task.step.spec.long_running
    )
    return Resources(
        int(offered.cpu_millis - cpu),
        int(offered.memory_mb - memory),
        offered.accelerators - accelerators,
    )


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
        count_tasks_that_fit(step, worker, measure_free(worker))
        for worker in targets
        if fits(step, worker)
    )
    return room >= tasks + _count_on_the_way(step)


def has_targets_for_moves(step: StepRun, targets: Iterable[Worker], tasks: int) -> bool:
    """Return whether some more tasks could move if batch tasks made room for them."""
    room = sum(count_beside_long_runs(step, worker) for worker in targets)
    return room >= tasks + _count_on_the_way(step)


def _count_on_the_way(step: StepRun) -> int:
    """Return how many tasks of a step wait for a worker or are being stopped."""
    stopping = sum(1 for task in step.tasks if any(run.stopping for run in task.runs))
    return len(step.waiting) + stopping


def measure_free(worker: Worker) -> Resources:
    """Return the resources of a worker that no run uses."""
    return Resources(worker.cpu_free, worker.memory_free, worker.accelerators_free)


def count_tasks_that_fit(step: StepRun, worker: Worker, free: Resources) -> int:
    """Return how many tasks of a step fit into free resources of a worker."""
    needed = step.resources
    pairs = (
        (needed.cpu_millis, free.cpu_millis),
        (needed.memory_mb, free.memory_mb),
        (needed.accelerators, free.accelerators),
    )
    if any(need > left for need, left in pairs):
        return 0
    counts = [left // need for need, left in pairs if need]
    if step.spec.max_per_worker:
        used = step.per_worker.get(worker.id, 0)
        counts.append(step.spec.max_per_worker - used)
    return max(min(counts, default=step.spec.count), 0)


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
    "count_beside_long_runs",
    "count_tasks_that_fit",
    "find_move_targets",
    "has_room_for_move",
    "has_targets_for_moves",
    "keep_room",
    "measure_free",
    "measure_long_runs",
    "release_room",
]
