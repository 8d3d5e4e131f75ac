"""How long a look at a worker waits, and until when its leases are to hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.workers import read_clock
from medlarspring_tables.scheduling import RunState

if TYPE_CHECKING:
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import Milliseconds, Worker

LEASE_MARGIN_SECONDS = 0.5
"""Leases are asked for so much below the worker's limit, which cuts longer ones."""
START_VALID_MS = 1_500
"""A start that arrives later than this is refused by the worker.

A lost start may be carried out seconds later, when its task already runs
elsewhere; with this limit it is refused instead.
"""
HOLD_WAIT_MS = 500
"""How long a worker holds the answer back without news.

Progress is needed about twice a second to see tasks that stand still; the lease
itself would allow 2,000 ms.
"""
UNSETTLED_WAIT_MS = 50
"""The same while a stop or an order without an answer is to be settled."""


def plan_hold_wait(worker: Worker, *, immediate: bool) -> Milliseconds:
    """Return how long the worker may hold its answer back."""
    if immediate or not worker.settled or worker.unanswered_since:
        return 0
    if not worker.runs:
        return 0
    if any(
        run.stopping or run.state is RunState.UNKNOWN for run in worker.runs.values()
    ):
        return UNSETTLED_WAIT_MS
    return HOLD_WAIT_MS


def plan_lease_end(worker: Worker, max_lease: Seconds, now: Seconds) -> Milliseconds:
    """Return the lease end to ask for, on the worker's clock; 0 to ask for none.

    A worker that is silent is only looked at: each further extension might
    reach it unheard, and its runs would never be known to have lapsed.
    """
    if not worker.clock_at or worker.unanswered_since:
        return 0
    length = max_lease - LEASE_MARGIN_SECONDS
    return _record_lease_end(worker, round(read_clock(worker, now) + length * 1_000))


def plan_start_deadline(worker: Worker, now: Seconds) -> Milliseconds:
    """Return until when, on the worker's clock, a start may be carried out."""
    return _record_lease_end(worker, round(read_clock(worker, now)) + START_VALID_MS)


def _record_lease_end(worker: Worker, until: Milliseconds) -> Milliseconds:
    worker.lease_ms = max(worker.lease_ms, until)
    return until


__all__ = ["plan_lease_end", "plan_start_deadline", "plan_hold_wait"]
