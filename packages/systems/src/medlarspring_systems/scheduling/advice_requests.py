"""Selection of the step to ask the adviser about next.

The adviser serves one call of this process at a time, and a call takes longer the
more workers it names. Every other call goes to the most urgent step that it can help
to start. The calls between go to the partner, and to the step of that partner, whose
last turn is the longest ago. Otherwise steps that rank first, and whose advice expires
before they can use it, would keep all others from theirs.

Tickets of steps that have no room yet are renewed only while no other step needs
advice.
"""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING

from medlarspring_systems.backoff import double_bounded
from medlarspring_systems.scheduling.advice_needs import (
    AdviceNeed,
    AdviceNeeds,
    AdviceRequest,
    has_tasks_to_move,
)
from medlarspring_systems.scheduling.fleet import run_unguarded
from medlarspring_systems.scheduling.ordering import rank_step
from medlarspring_tables.scheduling import Ticket

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from medlarspring_systems.scheduling.fleet import Attempt
    from medlarspring_systems.scheduling.ordering import Rank
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import StepRun, WorkerId, WorkTables

RETRY_SECONDS = 0.2
"""Pause of a step after its first failed call."""
MAX_RETRY_SECONDS = 5.0
"""Longest pause of a step whose calls fail while others are answered."""
CALLS_PER_CYCLE = 2
"""One call of each cycle goes to the step whose last turn is the longest ago."""


def choose_advice_request(
    tables: WorkTables, now: Seconds, attempt: Attempt = run_unguarded
) -> AdviceRequest | None:
    """Return the next request, or None if no advice is missing.

    If a step raises, each is tried by ``attempt``, and those that raise are left out.
    """
    steps = _list_askable(tables, now)
    try:
        return _choose(tables, steps, now)
    except Exception:
        sound = [step for step in steps if attempt(_choose, tables, [step], now)]
        if len(sound) == len(steps):
            raise
    return _choose(tables, sound, now)


def _choose(
    tables: WorkTables, steps: Iterable[StepRun], now: Seconds
) -> AdviceRequest | None:
    needs = AdviceNeeds(tables, now)
    if _is_turn_of_longest_unasked(tables):
        return _find_for_longest_unasked(steps, needs)
    return _find_most_urgent(steps, needs, now)


def record_advice_call(
    tables: WorkTables, request: AdviceRequest, now: Seconds
) -> None:
    """Record that a request is being sent, so that the next call is another's turn."""
    if _is_turn_of_longest_unasked(tables):
        request.step.job.partner.advice_turn_at = now
    tables.advice_calls_made += 1
    request.step.advice_calls.asked_at = now
    request.step.advice_calls.is_open = True


def record_advice_failure(
    tables: WorkTables, request: AdviceRequest, now: Seconds
) -> None:
    """Record that a call got no usable answer; its step pauses before the next one.

    The pause grows while the adviser answers the calls about other steps. If it answers
    none, the fault is not the step's, and the step should start soon after the outage.
    """
    calls = request.step.advice_calls
    is_fault_of_step = tables.advice_answered_at > calls.failed_at
    doublings = calls.failures if is_fault_of_step else 0
    pause = double_bounded(RETRY_SECONDS, doublings, MAX_RETRY_SECONDS)
    calls.is_open = False
    calls.failures += 1
    calls.failed_at = now
    calls.not_before = now + pause


def _list_askable(tables: WorkTables, now: Seconds) -> list[StepRun]:
    """Return the steps without an open call that do not pause after a failed one.

    Of the steps whose last call failed, one is asked about at a time: an adviser that
    is too slow for one call would be for several, and the others need their turn.
    """
    steps = list(_list_steps(tables))
    is_retrying = any(
        step.advice_calls.is_open and step.advice_calls.failures for step in steps
    )
    return [
        step
        for step in steps
        if not step.advice_calls.is_open
        and now >= step.advice_calls.not_before
        and not (is_retrying and step.advice_calls.failures)
    ]


def _is_turn_of_longest_unasked(tables: WorkTables) -> bool:
    return tables.advice_calls_made % CALLS_PER_CYCLE == CALLS_PER_CYCLE - 1


def _find_most_urgent(
    steps: Iterable[StepRun], needs: AdviceNeeds, now: Seconds
) -> AdviceRequest | None:
    """Return the request of the greatest use, of these that of the first in rank.

    Steps whose last call failed come after the others, which may fare better.
    """
    best: AdviceRequest | None = None
    for step in sorted(steps, key=lambda step: _rank_by_urgency(step, now)):
        request = needs.find_request(step)
        if request is None:
            continue
        if request.need is AdviceNeed.START:
            return request
        if best is None or request.need < best.need:
            best = request
    return best


def _rank_by_urgency(step: StepRun, now: Seconds) -> tuple[bool, bool, Rank]:
    return (not step.ready, step.advice_calls.failures > 0, rank_step(step, now))


def _find_for_longest_unasked(
    steps: Iterable[StepRun], needs: AdviceNeeds
) -> AdviceRequest | None:
    """Return the request of the step whose turn it is; renewals come last."""
    renewal: AdviceRequest | None = None
    for step in sorted(steps, key=_rank_by_last_turn):
        request = needs.find_request(step)
        if request is None:
            continue
        if request.need is not AdviceNeed.RENEWAL:
            return request
        renewal = renewal or request
    return renewal


def _rank_by_last_turn(step: StepRun) -> tuple[Seconds, Seconds, bool]:
    since = step.advice_calls.asked_at
    if not since:
        since = step.ready_at if step.ready else step.job.arrived_at
    return (step.job.partner.advice_turn_at, since, not step.ready)


def list_unadvised_steps(
    tables: WorkTables, now: Seconds
) -> list[tuple[StepRun, Seconds]]:
    """Return the steps that advice could help to start, and for how long they wait.

    The longest wait comes first. It counts from when the step was ready, from its last
    call to the adviser or from the end of its last advice, whichever was last.
    """
    needs = AdviceNeeds(tables, now)
    unadvised = []
    for step in _list_steps(tables):
        request = needs.find_request(step)
        if request is not None and request.need is AdviceNeed.START:
            wait = max(now - _find_unadvised_since(step), 0.0)
            unadvised.append((step, wait))
    return sorted(unadvised, key=lambda pair: -pair[1])


def _find_unadvised_since(step: StepRun) -> Seconds:
    ends = (ticket.valid_until for ticket in step.tickets.values())
    return max(step.ready_at, step.advice_calls.asked_at, *ends)


def _list_steps(tables: WorkTables) -> Iterator[StepRun]:
    """Yield the steps that wait or are to move, and the next of each occurrence."""
    for job in tables.jobs_by_id.values():
        if job.queue.advice is None or job.outcome is not None:
            continue
        for steps in job.occurrences_by_index.values():
            upcoming = [step for step in steps if not step.ready][:1]
            yield from chain(filter(_may_start_tasks, steps), upcoming)


def _may_start_tasks(step: StepRun) -> bool:
    return step.ready and (bool(step.waiting) or has_tasks_to_move(step))


def record_advice(
    tables: WorkTables,
    request: AdviceRequest,
    tickets_by_worker: dict[WorkerId, str],
    valid_until: Seconds,
    now: Seconds,
) -> None:
    """Store the adviser's answer; the step may not run on workers that it omits."""
    tables.advice_answered_at = now
    calls = request.step.advice_calls
    calls.is_open, calls.failures = False, 0
    calls.failed_at = calls.not_before = 0.0
    for worker_id, life_ms in request.incarnations_by_worker.items():
        text = tickets_by_worker.get(worker_id, "")
        request.step.tickets[worker_id] = Ticket(text, valid_until, life_ms)


__all__ = [
    "AdviceRequest",
    "choose_advice_request",
    "list_unadvised_steps",
    "record_advice",
    "record_advice_call",
    "record_advice_failure",
]
