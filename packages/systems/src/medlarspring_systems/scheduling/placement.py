"""Which worker a task goes to: what rules it out, and what is best of the rest."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.evidence import may_take_probe
from medlarspring_tables.scheduling import WorkerDoubt

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import StepRun, Task, Worker

Score = tuple[float, ...]
"""The smallest is best."""


def is_open(worker: Worker, now: Seconds) -> bool:
    """Tell whether a worker takes new tasks at all."""
    if not worker.listed or worker.draining or worker.reserved:
        return False
    if worker.gone or not worker.settled or worker.unanswered_since:
        return False
    if worker.doubt is WorkerDoubt.NONE:
        return True
    return may_take_probe(worker, now)


def fits(step: StepRun, worker: Worker) -> bool:
    """Tell whether a worker has room for one more task of the step."""
    room = step.room
    return (
        room.cpu_millis <= worker.cpu_free
        and room.memory_mb <= worker.memory_free
        and room.accelerators <= worker.accelerators_free
    )


def is_allowed(step: StepRun, worker: Worker, now: Seconds) -> bool:
    """Tell whether the step's own rules let it run on a worker."""
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
    """Tell whether the adviser lets the step run on a worker now."""
    ticket = step.tickets.get(worker.id)
    return ticket is not None and bool(ticket.text) and now < ticket.valid_until


def rate(step: StepRun, task: Task, worker: Worker) -> Score:
    """Return how good a worker is for a task; the smallest is best.

    A task that failed on a VM goes elsewhere, so that a failing worker does not
    use up its attempts. Data far away costs half the time again or more. Packing
    leaves whole workers empty, for large tasks and for the standby pool; workers
    with long-running tasks can't go there, so they are filled first.
    """
    spec = step.spec
    failed = float(worker.vm_id in task.failed_on)
    rack = step.rack_id if spec.same_rack else spec.data_rack
    far = float(bool(rack) and worker.rack_id != rack)
    slow = float(worker.slowness >= SLOW_RATIO)
    crowding = float(spec.uses_leftover and _serves_with_target(worker))
    releasable = float(not worker.long_runs)
    return (failed, far, slow, crowding, releasable, worker.cpu_free)


def _serves_with_target(worker: Worker) -> bool:
    """Tell whether a task that fills would sit beside one with a latency target."""
    return worker.long_runs > 0 and any(
        run.task.step.spec.latency_target_ms for run in worker.runs.values()
    )


SLOW_RATIO = 1.5
"""A worker whose tasks take this many times as long as their siblings."""


def choose_worker(
    step: StepRun, task: Task, workers: Iterable[Worker], now: Seconds
) -> Worker | None:
    """Return the best of the open workers that may take the task now."""
    best: Worker | None = None
    best_score: Score = ()
    for worker in workers:
        if not fits(step, worker) or not is_allowed(step, worker, now):
            continue
        if any(run.worker is worker for run in task.runs):
            continue
        score = rate(step, task, worker)
        if best is None or score < best_score:
            best, best_score = worker, score
    return best


__all__ = ["choose_worker", "fits", "has_ticket", "is_allowed", "is_open", "rate"]
