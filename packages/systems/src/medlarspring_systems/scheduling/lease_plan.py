"""Wait times of hold calls to workers, and end times of leases and start orders."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.poll_rates import PollKind
from medlarspring_systems.scheduling.runs import is_serving
from medlarspring_systems.scheduling.workers import read_clock, read_slowest_clock
from medlarspring_tables.scheduling import RunState

if TYPE_CHECKING:
    from medlarspring_systems.scheduling.poll_rates import PollRates
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import Milliseconds, Run, Worker

LEASE_MARGIN_SECONDS = 0.5
"""Margin below the worker's maximum lease; the worker truncates longer leases."""
START_VALID_MS = 1_500
"""Time after which a worker refuses a start order.

A start order that seems lost may be delivered seconds later, when its task already
runs elsewhere. This limit makes the worker refuse it.
"""
MAX_CLOCK_LEAD_MS = 400
"""Most by which the clock in an order's limit may exceed the worker's slowest one.

While a worker is idle its clock is not read, and the estimate runs ahead. A start that
is carried out late would be accepted seconds after its time, when its task may already
run elsewhere. If the limit is too early instead, the refusal tells the time.
"""


def plan_hold_wait(
    worker: Worker, polls: PollRates, *, immediate: bool
) -> Milliseconds:
    """Return how long the worker may delay its answer to a hold call.

    ``immediate`` requests an answer without delay.
    """
    if not worker.reconciled or worker.unanswered_since or not worker.runs:
        polls.forget(worker.id)
        return 0
    if immediate:
        return 0
    return polls.plan_wait(worker.id, _find_poll_kind(worker))


def _find_poll_kind(worker: Worker) -> PollKind:
    runs = worker.runs.values()
    if any(run.stopping or run.state is RunState.UNKNOWN for run in runs):
        return PollKind.UNRESOLVED
    if not worker.long_runs:
        return PollKind.REGULAR
    if any(_starts_up(run) and run.task.is_moving for run in runs):
        return PollKind.STARTUP
    if any(_starts_up(run) for run in runs) or _needs_pacing(worker):
        return PollKind.FREQUENT
    return PollKind.REGULAR


def _starts_up(run: Run) -> bool:
    return run.task.step.spec.long_running and not is_serving(run)


def _needs_pacing(worker: Worker) -> bool:
    """Return whether best-effort runs may slow down a run with a latency target."""
    specs = [run.task.step.spec for run in worker.runs.values()]
    has_target = any(spec.latency_target_ms for spec in specs)
    return has_target and any(spec.uses_leftover for spec in specs)


def plan_lease_end(worker: Worker, max_lease: Seconds, now: Seconds) -> Milliseconds:
    """Return the lease end to request, on the worker's clock; 0 to request none.

    No extension is requested from an unresponsive worker. It might receive the
    extension although its answer is lost, and this controller could then never tell
    that the worker's runs have expired. Before the first answer to a hold call, the
    clock may be that of a former incarnation.
    """
    if not worker.reconciled or not worker.clock_at or worker.unanswered_since:
        return 0
    length = max_lease - LEASE_MARGIN_SECONDS
    clock_ms = _read_bounded_clock(worker, now)
    return _record_lease_end(worker, round(clock_ms + length * 1_000))


def plan_start_deadline(worker: Worker, now: Seconds) -> Milliseconds:
    """Return the time, on the worker's clock, until which it may accept a start."""
    clock_ms = _read_bounded_clock(worker, now)
    return _record_lease_end(worker, round(clock_ms) + START_VALID_MS)


def _read_bounded_clock(worker: Worker, now: Seconds) -> float:
    slowest_ms = read_slowest_clock(worker, now)
    return min(read_clock(worker, now), slowest_ms + MAX_CLOCK_LEAD_MS)


def _record_lease_end(worker: Worker, until: Milliseconds) -> Milliseconds:
    worker.lease_ms = max(worker.lease_ms, until)
    return until


__all__ = ["plan_hold_wait", "plan_lease_end", "plan_start_deadline"]
