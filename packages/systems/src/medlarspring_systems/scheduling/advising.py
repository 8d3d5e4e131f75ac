"""For which step to ask the adviser next, and about which workers.

The adviser serves one call of this process at a time and takes longer the more
workers a call names. Steps that wait come first, by their rank; steps that will
follow are asked for ahead, while nothing waits for it.
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

MAX_WORKERS = 30
"""Workers named in one call; the customers' objective counts on about so many."""
RECENT_START_SECONDS = 0.3
"""Advice that lapses sooner is asked for again."""


@dataclass(frozen=True, slots=True)
class Question:
    """One call to the adviser."""

    step: StepRun
    lives_by_worker: dict[WorkerId, Milliseconds]
    """The workers that it names, with the starts of their lives."""

    @property
    def worker_ids(self) -> tuple[WorkerId, ...]:
        """The workers that it names."""
        return tuple(self.lives_by_worker)

    @property
    def step_id(self) -> str:
        """The step's name at the adviser."""
        return f"{self.step.job.id}.{self.step.occurrence}.{self.step.index}"


def choose_question(tables: WorkTables, now: Seconds) -> Question | None:
    """Return the most urgent question, or None if all advice is there."""
    waiting, following = _list_steps(tables)
    for step in sorted(waiting, key=lambda step: rank_step(step, now)):
        question = _ask_about(tables, step, now)
        if question is not None:
            return question
    for step in sorted(following, key=lambda step: rank_step(step, now)):
        if step.tickets:
            continue
        question = _ask_about(tables, step, now)
        if question is not None:
            return question
    return None


def _list_steps(tables: WorkTables) -> tuple[list[StepRun], list[StepRun]]:
    waiting: list[StepRun] = []
    following: list[StepRun] = []
    for job in tables.jobs_by_id.values():
        if job.queue.advice is None or job.outcome is not None:
            continue
        for steps in job.occurrences_by_index.values():
            waiting += [step for step in steps if step.ready and step.waiting]
            following += [step for step in steps if not step.ready][:1]
    return waiting, following


def _ask_about(tables: WorkTables, step: StepRun, now: Seconds) -> Question | None:
    """Return a question about workers of whom nothing fresh is known."""
    workers = list_schedulable_workers(tables, step.job.queue.pool_id, now)
    unknown = [worker for worker in workers if not _is_known(step, worker, now)]
    if not unknown:
        return None
    allowed = [worker for worker in workers if has_ticket(step, worker, now)]
    if sum(_count_places(step, worker) for worker in allowed) >= len(step.waiting) > 0:
        return None
    unknown.sort(key=lambda worker: -worker.cpu_free)
    named = {worker.id: worker.born_ms for worker in unknown[:MAX_WORKERS]}
    return Question(step, named)


def _is_known(step: StepRun, worker: Worker, now: Seconds) -> bool:
    ticket = find_ticket(step, worker)
    return ticket is not None and now < ticket.valid_until - RECENT_START_SECONDS


def _count_places(step: StepRun, worker: Worker) -> int:
    by_cpu = worker.cpu_free // max(step.resources.cpu_millis, 1)
    by_memory = worker.memory_free // max(step.resources.memory_mb, 1)
    return max(min(by_cpu, by_memory), 0)


def take_advice(
    question: Question,
    tickets_by_worker: dict[WorkerId, str],
    valid_until: Seconds,
) -> None:
    """Enter what the adviser said; workers that it left out are not allowed."""
    for worker_id, life_ms in question.lives_by_worker.items():
        text = tickets_by_worker.get(worker_id, "")
        question.step.tickets[worker_id] = Ticket(text, valid_until, life_ms)


__all__ = ["Question", "choose_question", "take_advice"]
