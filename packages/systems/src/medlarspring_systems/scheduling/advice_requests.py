"""Selection of the step and the workers to ask the adviser about next.

The adviser serves one call of this process at a time, and a call takes longer the
more workers it names. Steps with waiting tasks come first, in rank order. Advice for
steps that are not ready yet is requested only when no waiting step needs any.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.ordering import rank_step
from medlarspring_systems.scheduling.placement import (
    find_ticket,
    has_ticket,
    list_schedulable_workers,
)
from medlarspring_tables.scheduling import Ticket

if TYPE_CHECKING:
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import (
        Milliseconds,
        StepRun,
        Worker,
        WorkerId,
        WorkTables,
    )

MAX_WORKERS_PER_REQUEST = 30
"""Maximum number of workers named in one call.

The customers' completion objective allows for calls of about this size.
"""
RENEWAL_MARGIN_SECONDS = 0.3
"""Advice is requested again when it expires within this time."""


def format_step_id(step: StepRun) -> str:
    """Return a step's identifier in calls to the adviser and in logs."""
    return f"{step.job.id}.{step.occurrence}.{step.index}"


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """One call to the adviser."""

    step: StepRun
    incarnations_by_worker: dict[WorkerId, Milliseconds]
    """Start of the current incarnation in Unix milliseconds, by named worker."""

    @property
    def worker_ids(self) -> tuple[WorkerId, ...]:
        """The workers that the call asks about."""
        return tuple(self.incarnations_by_worker)

    @property
    def step_id(self) -> str:
        """The step's identifier in the call to the adviser."""
        return format_step_id(self.step)


def choose_advice_request(tables: WorkTables, now: Seconds) -> AdviceRequest | None:
    """Return the most urgent request, or None if no advice is missing."""
    waiting, upcoming = _list_steps(tables)
    for step in sorted(waiting, key=lambda step: rank_step(step, now)):
        request = _build_request(tables, step, now)
        if request is not None:
            return request
    for step in sorted(upcoming, key=lambda step: rank_step(step, now)):
        if step.tickets:
            continue
        request = _build_request(tables, step, now)
        if request is not None:
            return request
    return None


def list_unadvised_steps(
    tables: WorkTables, now: Seconds
) -> list[tuple[StepRun, Seconds]]:
    """Return the steps that wait for advice, and for how long, the longest first.

    The time counts from when the step was ready, or from the end of its last advice.
    """
    waiting, _ = _list_steps(tables)
    unadvised = [
        (step, now - _find_unadvised_since(step))
        for step in waiting
        if _build_request(tables, step, now) is not None
    ]
    return sorted(unadvised, key=lambda pair: -pair[1])


def _find_unadvised_since(step: StepRun) -> Seconds:
    ends = (ticket.valid_until for ticket in step.tickets.values())
    return max(step.ready_at, max(ends, default=0.0))


def _list_steps(tables: WorkTables) -> tuple[list[StepRun], list[StepRun]]:
    waiting: list[StepRun] = []
    upcoming: list[StepRun] = []
    for job in tables.jobs_by_id.values():
        if job.queue.advice is None or job.outcome is not None:
            continue
        for steps in job.occurrences_by_index.values():
            waiting += [step for step in steps if step.ready and step.waiting]
            upcoming += [step for step in steps if not step.ready][:1]
    return waiting, upcoming


def _build_request(
    tables: WorkTables, step: StepRun, now: Seconds
) -> AdviceRequest | None:
    """Return a request about workers without current advice, or None.

    No request is needed if the workers that are already allowed have enough free
    capacity for all waiting tasks.
    """
    workers = list_schedulable_workers(tables, step.job.queue.pool_id, now)
    unadvised = [
        worker for worker in workers if not _has_current_advice(step, worker, now)
    ]
    if not unadvised:
        return None
    allowed = [worker for worker in workers if has_ticket(step, worker, now)]
    if (
        sum(_count_fitting_tasks(step, worker) for worker in allowed)
        >= len(step.waiting)
        > 0
    ):
        return None
    unadvised.sort(key=lambda worker: -worker.cpu_free)
    incarnations = {
        worker.id: worker.born_ms for worker in unadvised[:MAX_WORKERS_PER_REQUEST]
    }
    return AdviceRequest(step, incarnations)


def _has_current_advice(step: StepRun, worker: Worker, now: Seconds) -> bool:
    ticket = find_ticket(step, worker)
    return ticket is not None and now < ticket.valid_until - RENEWAL_MARGIN_SECONDS


def _count_fitting_tasks(step: StepRun, worker: Worker) -> int:
    by_cpu = worker.cpu_free // max(step.resources.cpu_millis, 1)
    by_memory = worker.memory_free // max(step.resources.memory_mb, 1)
    return max(min(by_cpu, by_memory), 0)


def record_advice(
    request: AdviceRequest,
    tickets_by_worker: dict[WorkerId, str],
    valid_until: Seconds,
) -> None:
    """Store the adviser's answer; the step may not run on workers that it omits."""
    for worker_id, life_ms in request.incarnations_by_worker.items():
        text = tickets_by_worker.get(worker_id, "")
        request.step.tickets[worker_id] = Ticket(text, valid_until, life_ms)


__all__ = [
    "AdviceRequest",
    "choose_advice_request",
    "format_step_id",
    "list_unadvised_steps",
    "record_advice",
]
