"""What the adviser's advice would help a step of a restricted queue to.

A ticket is valid for some seconds, but whether a step may run on a worker does not
change while the worker lives. So a worker that may not run a step is hardly asked
about again, and one that may only while it has room or is about to have some.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.move_targets import (
    count_beside_long_runs,
    count_tasks_that_fit,
    measure_free,
)
from medlarspring_systems.scheduling.placement import (
    find_ticket,
    list_schedulable_workers,
)
from medlarspring_systems.scheduling.quotas import fits_quota
from medlarspring_tables.scheduling import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarspring_tables import PoolId, Seconds
    from medlarspring_tables.scheduling import (
        AdvicePolicy,
        Milliseconds,
        StepRun,
        Ticket,
        Worker,
        WorkerId,
        WorkTables,
    )

MAX_WORKERS_PER_REQUEST = 30
"""Maximum number of workers named in one call.

The customers' completion objective allows for calls of about this size.
"""
MAX_WORKERS_PER_RENEWAL = 5
"""The same for a renewal. The adviser serves one call at a time, and a step that can
start must not wait long for the end of a call that helps none to start."""
MAX_HALVINGS = MAX_WORKERS_PER_REQUEST.bit_length()
"""Bound of the halvings after failed calls; one worker is left after as many."""
MAX_VALIDITY_FRACTION = 0.5
"""Part of a ticket's validity that the call for it may take."""
RENEWAL_MARGIN_SECONDS = 0.3
"""Advice is requested again when it expires within this time."""
REFUSAL_CHECK_SECONDS = 30.0
"""Time after which a worker that may not run a step is asked about again, in case that
the adviser did not know the worker yet."""


class AdviceNeed(IntEnum):
    """What advice would help a step to; the lowest value is the most useful."""

    START = 0
    """A worker has room for a waiting task, and may run it as far as is known."""
    POLICY = 1
    """No such worker has room, but for some it is not known whether they may run it."""
    PREPARATION = 2
    """The step is not ready, and starts at once when it is with its first advice; or it
    has tasks at work that are to move."""
    RENEWAL = 3
    """The workers that may run it are full; with fresh tickets it starts as soon as
    one has room, and rounds can reserve that room for it."""


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """One call to the adviser."""

    step: StepRun
    need: AdviceNeed
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


def format_step_id(step: StepRun) -> str:
    """Return a step's identifier in calls to the adviser and in logs."""
    return f"{step.job.id}.{step.occurrence}.{step.index}"


@dataclass(slots=True)
class _KnownWorkers:
    """The workers of a step's pool by what the adviser has said about them."""

    unasked: list[Worker] = field(default_factory=list)
    expired: list[Worker] = field(default_factory=list)
    """Workers that may run the step, but need a new ticket."""
    refused_long_ago: list[Worker] = field(default_factory=list)
    room: int = 0
    """Number of tasks that can start with the present tickets."""


class AdviceNeeds:
    """The advice that steps need at one moment; lists each pool's workers once."""

    def __init__(self, tables: WorkTables, now: Seconds) -> None:
        self._tables = tables
        self._now = now
        self._workers_by_pool: dict[PoolId, list[Worker]] = {}

    def find_request(self, step: StepRun) -> AdviceRequest | None:
        """Return the most useful request about a step; None if it needs no advice."""
        workers = self._list_workers(step)
        if not step.ready:
            if step.tickets:
                return None
            return _create_request(step, AdviceNeed.PREPARATION, workers)
        if not step.waiting:
            return self._find_request_for_moves(step, workers)
        known = _sort_workers(step, workers, self._now)
        missing = len(step.waiting) - known.room
        if missing <= 0:
            return None
        if _may_start_soon(step, self._now):
            named = _choose_for_start(step, known, missing)
            if named:
                return _create_request(step, AdviceNeed.START, named)
        if known.unasked:
            return _create_request(step, AdviceNeed.POLICY, known.unasked)
        renewed = [each for each in known.expired if count_beside_long_runs(step, each)]
        return _create_request(
            step,
            AdviceNeed.RENEWAL,
            (renewed or known.refused_long_ago)[:MAX_WORKERS_PER_RENEWAL],
        )

    def _find_request_for_moves(
        self, step: StepRun, workers: list[Worker]
    ) -> AdviceRequest | None:
        """Return a request about workers that the next tasks to leave can move to.

        They are stopped only while there is a ticket to start them elsewhere with.
        """
        targets = [worker for worker in workers if not worker.due]
        known = _sort_workers(step, targets, self._now)
        missing = max(step.spec.max_unavailable, 1) - known.room
        named = _choose_for_start(step, known, missing)
        return _create_request(step, AdviceNeed.PREPARATION, named)

    def _list_workers(self, step: StepRun) -> list[Worker]:
        """Return the workers that may get tasks of the step, if the adviser permits."""
        pool_id = step.job.queue.pool_id
        workers = self._workers_by_pool.get(pool_id)
        if workers is None:
            workers = list_schedulable_workers(self._tables, pool_id, self._now)
            workers.sort(key=lambda worker: -worker.cpu_free)
            self._workers_by_pool[pool_id] = workers
        label = step.spec.required_label
        return [each for each in workers if label in each.labels] if label else workers


def has_tasks_to_move(step: StepRun) -> bool:
    """Return whether a long-running task of a step is to leave its worker."""
    if not step.spec.long_running:
        return False
    return any(
        run.worker.due or run.worker.draining
        for task in step.tasks
        for run in task.runs
    )


def _create_request(
    step: StepRun, need: AdviceNeed, workers: list[Worker]
) -> AdviceRequest | None:
    policy = step.job.queue.advice
    if not workers or policy is None:
        return None
    # A call that failed may have taken too long: the next one names fewer workers.
    failures = min(step.advice_calls.failures, MAX_HALVINGS)
    most = max(_count_workers_in_time(policy) >> failures, 1)
    named = workers[:most]
    return AdviceRequest(step, need, {worker.id: worker.born_ms for worker in named})


def _count_workers_in_time(policy: AdvicePolicy) -> int:
    """Return how many workers a call may name to leave time to use its tickets."""
    if not policy.per_worker_ms:
        return MAX_WORKERS_PER_REQUEST
    longest_ms = policy.valid_ms * MAX_VALIDITY_FRACTION - policy.decide_ms
    in_time = int(longest_ms // policy.per_worker_ms)
    return min(max(in_time, 1), MAX_WORKERS_PER_REQUEST)


def _sort_workers(
    step: StepRun, workers: Iterable[Worker], now: Seconds
) -> _KnownWorkers:
    known = _KnownWorkers()
    for worker in workers:
        ticket = find_ticket(step, worker)
        if ticket is None:
            known.unasked.append(worker)
        elif not ticket.text:
            if now > ticket.valid_until + REFUSAL_CHECK_SECONDS:
                known.refused_long_ago.append(worker)
        elif _is_current(ticket, now):
            known.room += _count_room(step, worker)
        else:
            known.expired.append(worker)
    return known


def _is_current(ticket: Ticket, now: Seconds) -> bool:
    return now < ticket.valid_until - RENEWAL_MARGIN_SECONDS


def _may_start_soon(step: StepRun, now: Seconds) -> bool:
    """Return whether a task of the step could start, given a worker and a ticket."""
    soon = now + RENEWAL_MARGIN_SECONDS
    return fits_quota(step) and any(task.not_before <= soon for task in step.waiting)


def _choose_for_start(
    step: StepRun, known: _KnownWorkers, missing: int
) -> list[Worker]:
    """Return workers with room for the waiting tasks: first those that may run them."""
    named: list[Worker] = []
    for worker in known.expired:
        room = _count_room(step, worker)
        if room and missing > 0:
            named.append(worker)
            missing -= room
    if missing > 0:
        named += [each for each in known.unasked if _count_room(step, each)]
    return named


def _count_room(step: StepRun, worker: Worker) -> int:
    """Return how many tasks a worker has room for, or could be given room for.

    A long-running task that waits for long gets the room of batch runs.
    """
    if step.spec.long_running:
        return count_beside_long_runs(step, worker)
    free = measure_free(worker)
    kept_free = Resources(
        free.cpu_millis - worker.kept_cpu_millis,
        free.memory_mb - worker.kept_memory_mb,
        free.accelerators,
    )
    return count_tasks_that_fit(step, worker, kept_free)


__all__ = [
    "AdviceNeed",
    "AdviceNeeds",
    "AdviceRequest",
    "format_step_id",
    "has_tasks_to_move",
]
