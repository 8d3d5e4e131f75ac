"""Selects the worker for a task: filters the workers and scores those that remain."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.isolation import (
    measure_unstable_time,
    preserves_isolation,
)
from medlarspring_systems.scheduling.quarantine import is_probe_due
from medlarspring_systems.scheduling.worker_pace import SLOW_RATIO
from medlarspring_tables.scheduling import QuarantineReason

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarspring_tables import PoolId, Seconds
    from medlarspring_tables.scheduling import (
        StepRun,
        Task,
        Ticket,
        Worker,
        WorkTables,
    )

Score = tuple[float, ...]
"""Compared element by element; the lowest score is the best."""


def is_in_service(worker: Worker) -> bool:
    """Return whether a worker is known, answers and does not drain."""
    if not worker.listed or worker.draining or worker.gone:
        return False
    return worker.reconciled and not worker.unanswered_since


def is_schedulable(worker: Worker, now: Seconds) -> bool:
    """Return whether a worker may get new tasks at all."""
    if not is_in_service(worker) or worker.reserved:
        return False
    if worker.quarantine_reason is QuarantineReason.NONE:
        return True
    return is_probe_due(worker, now)


def list_schedulable_workers(
    tables: WorkTables, pool_id: PoolId, now: Seconds
) -> list[Worker]:
    """Return the workers of a pool that may get new tasks."""
    pool = tables.workers_by_pool.get(pool_id, {}).values()
    return [worker for worker in pool if is_schedulable(worker, now)]


def fits(step: StepRun, worker: Worker) -> bool:
    """Return whether a worker has the free resources for one more task of the step."""
    resources = step.resources
    cpu_free, memory_free = worker.cpu_free, worker.memory_free
    if not step.spec.long_running:
        cpu_free -= worker.kept_cpu_millis
        memory_free -= worker.kept_memory_mb
    return (
        resources.cpu_millis <= cpu_free
        and resources.memory_mb <= memory_free
        and resources.accelerators <= worker.accelerators_free
    )


def list_fitting(step: StepRun, workers: Iterable[Worker]) -> list[Worker]:
    """Return the workers that have the free resources for one more task of the step.

    In a burst most workers are full, and this is asked of all of them for each step.
    """
    resources = step.resources
    cpu, memory = resources.cpu_millis, resources.memory_mb
    accelerators = resources.accelerators
    fitting = [
        worker
        for worker in workers
        if cpu <= worker.cpu_free
        and memory <= worker.memory_free
        and accelerators <= worker.accelerators_free
    ]
    if step.spec.long_running:
        return fitting
    return [worker for worker in fitting if fits(step, worker)]


def is_allowed(step: StepRun, worker: Worker, now: Seconds) -> bool:
    """Return whether the step's own constraints permit it to run on a worker."""
    spec = step.spec
    if spec.required_label and spec.required_label not in worker.labels:
        return False
    limit = spec.max_per_worker
    if limit and step.per_worker.get(worker.id, 0) >= limit:
        return False
    if step.job.queue.advice is not None:
        return has_ticket(step, worker, now)
    return True


def has_ticket(step: StepRun, worker: Worker, now: Seconds) -> bool:
    """Return whether the adviser permits the step to run on a worker now."""
    ticket = find_ticket(step, worker)
    return ticket is not None and bool(ticket.text) and now < ticket.valid_until


def find_ticket(step: StepRun, worker: Worker) -> Ticket | None:
    """Return the adviser's ticket for a worker's present incarnation, if any."""
    ticket = step.tickets.get(worker.id)
    return ticket if ticket is not None and ticket.life_ms == worker.born_ms else None


def score_worker(step: StepRun, task: Task, worker: Worker) -> Score:
    """Return the score of a worker for a task; the lowest is the best.

    A task that failed on a VM goes elsewhere, so that a failing worker does not
    use up its attempts. On a rack without its data a task takes half as long again
    or longer. Packing leaves whole workers idle, for large tasks and for the
    standby pool; workers with long-running tasks can't be moved to the standby
    pool, so they are filled first. Long-running tasks avoid VMs that are due for
    maintenance, from which they would have to move again.
    """
    spec = step.spec
    failed = float(worker.vm_id in task.failed_on)
    rack = step.rack_id if spec.same_rack else spec.data_rack
    remote = float(bool(rack) and worker.rack_id != rack)
    slow = float(worker.slowness >= SLOW_RATIO)
    interferes = float(spec.uses_leftover and _has_latency_target(worker))
    not_releasable = float(not worker.long_runs)
    if spec.long_running:
        due = float(worker.due)
        return (failed, due, remote, slow, interferes, not_releasable, worker.cpu_free)
    idle = float(not worker.runs)
    other_zone = _rate_zone(step, worker)
    return (
        failed,
        remote,
        slow,
        interferes,
        not_releasable,
        idle,
        other_zone,
        worker.cpu_free,
    )


def _rate_zone(step: StepRun, worker: Worker) -> float:
    """Return 1 for a worker outside the availability zone that the job's tasks share.

    A job is late when one of its tasks is. With tasks spread at random over six
    zones, three of four jobs of eight tasks have one in a zone that is partitioned.
    Sharing a zone served 0.4 to 0.8% more of the work on days with a partition (272
    VMs, simulated without processor time).
    """
    zone_id = step.job.zone_id
    return float(bool(zone_id) and worker.zone_id != zone_id)


def _has_latency_target(worker: Worker) -> bool:
    """Return whether a worker runs a long-running task that has a latency target."""
    return worker.long_runs > 0 and any(
        run.task.step.spec.latency_target_ms for run in worker.runs.values()
    )


def choose_worker(
    step: StepRun, task: Task, workers: Iterable[Worker], now: Seconds
) -> Worker | None:
    """Return the best of the schedulable workers that the task can start on now."""
    best: Worker | None = None
    best_score: Score = ()
    for worker in workers:
        if not can_start_on(step, task, worker, now):
            continue
        score = score_worker(step, task, worker)
        if task.is_suspect:
            score = (*_rate_for_suspect(task, worker, now), *score)
        if best is None or score < best_score:
            best, best_score = worker, score
    return best


def _rate_for_suspect(task: Task, worker: Worker, now: Seconds) -> Score:
    """Return the part of the score that is for suspected tasks only.

    It prefers workers whose crash could be attributed, then those with the fewest
    runs that a crash would affect. A VM that crashed under the task before may just
    keep crashing.
    """
    return (
        float(worker.vm_id in task.failed_on),
        measure_unstable_time(worker, now),
        float(len(worker.runs)),
    )


def can_start_on(step: StepRun, task: Task, worker: Worker, now: Seconds) -> bool:
    """Return whether a task can start on a schedulable worker now."""
    if not fits(step, worker) or not is_allowed(step, worker, now):
        return False
    if task.runs and any(run.worker is worker for run in task.runs):
        return False
    return preserves_isolation(task, worker, now)


class WorkerRanking:
    """The schedulable workers for the tasks of one step, ordered by score.

    The tasks of a step are alike, so that a start changes the score of one worker
    only. Scoring all workers again for each task took 6% of the controller's own
    time with 80 jobs of eight tasks a second on 200 workers.
    """

    def __init__(self, step: StepRun, workers: Iterable[Worker], now: Seconds) -> None:
        self._step = step
        self._workers = list(workers)
        self._now = now
        self._heap: list[tuple[Score, int]] | None = None
        """Scores and indexes into the list of workers; built with the first task."""

    def choose(self, task: Task) -> Worker | None:
        """Return the result of ``choose_worker``; the caller records the run."""
        if task.failed_on or task.runs or task.is_suspect:
            # Such a task may start on a worker anywhere in the heap. The start
            # improves that worker's score, so that the heap has to be rebuilt.
            self._heap = None
            return choose_worker(self._step, task, self._workers, self._now)
        if self._heap is None:
            self._heap = self._build(task)
        while self._heap:
            score, index = self._heap[0]
            worker = self._workers[index]
            if not can_start_on(self._step, task, worker, self._now):
                heapq.heappop(self._heap)
                continue
            present = score_worker(self._step, task, worker)
            if present == score:
                return worker
            heapq.heapreplace(self._heap, (present, index))
        return None

    def _build(self, task: Task) -> list[tuple[Score, int]]:
        # None of the others can take a task of the step before the ranking is over.
        self._workers = list_fitting(self._step, self._workers)
        heap = [
            (score_worker(self._step, task, worker), index)
            for index, worker in enumerate(self._workers)
            if can_start_on(self._step, task, worker, self._now)
        ]
        heapq.heapify(heap)
        return heap


__all__ = [
    "WorkerRanking",
    "can_start_on",
    "choose_worker",
    "find_ticket",
    "fits",
    "has_ticket",
    "is_allowed",
    "is_in_service",
    "is_schedulable",
    "list_fitting",
    "list_schedulable_workers",
    "score_worker",
]
