"""In which order steps get the workers of their pool.

The load it answers: a queue's turn asks for more than its pool holds for some
seconds, and a job is worth nearly all within its objective and little after it.
While everything fits, the earliest latest start goes first. Under overload that
order alone is the worst there is: each job is started at its last moment, and half
of them a little later than that. So the more work waits, the more a step's size
counts against it: the pool's time goes to the jobs of which it can serve most.

A turn of 4 s of short jobs that ask for 1.0, 1.5 and 2.2 times a pool's processors
earned 0.99, 0.73 and 0.53 of its worth, with the latest start alone 0.99, 0.53 and
0.29 (``measure turns``; the first three seeds also in the tests).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import StepRun, Worker

Rank = tuple[int, int, float]
"""Tier, priority of the queue, latest start with the step's size; the smallest goes
first."""

TIER_LONG_RUNNING = 0
TIER_ON_TIME = 1
TIER_LATE = 2
TIER_OVERDUE = 3

FEASIBILITY_SLACK = 0.3
"""Part of the remaining path by which an estimate may be too long.

A job is not put last for a miss that its estimate's error may explain.
"""
LIGHT_BACKLOG_SECONDS = 0.5
"""Up to so much waiting work sizes do not count: it is done within what a short job's
objective leaves it to wait. With 0 a pool that was just full lost 0.04 of its worth."""
FULL_OVERLOAD_SECONDS = 1.5
"""A pool with so much waiting work counts as overloaded in full."""
SIZE_PENALTY = 2.0
"""Under full overload a step goes back so many seconds for each second of a whole VM
that it takes. With 1.0 the replayed turn of short jobs gave 0.02 less of the worth."""


def measure_size_weight(ready: Iterable[StepRun], workers: Iterable[Worker]) -> float:
    """Return the seconds that each core-second of a step counts against it.

    It grows with the pool's backlog: the time in which its processors could do
    all that waits.
    """
    cores = largest = 0.0
    for worker in workers:
        cores += worker.resources.cpu_millis / 1_000.0
        largest = max(largest, worker.resources.cpu_millis / 1_000.0)
    if not cores:
        return 0.0
    waiting = sum(
        len(step.waiting) * step.resources.cpu_millis / 1_000.0 * step.expected
        for step in ready
        if not step.spec.long_running
    )
    backlog = waiting / cores
    excess = (backlog - LIGHT_BACKLOG_SECONDS) / (
        FULL_OVERLOAD_SECONDS - LIGHT_BACKLOG_SECONDS
    )
    overload = min(max(excess, 0.0), 1.0)
    return overload * SIZE_PENALTY / largest


def rank_step(step: StepRun, now: Seconds, size_weight: float = 0.0) -> Rank:
    """Return the rank of a step with waiting tasks."""
    priority = step.job.queue.priority
    if step.spec.long_running:
        return (TIER_LONG_RUNNING, priority, step.ready_at)
    latest_start = step.objective_at - step.remaining_path
    slack = FEASIBILITY_SLACK * step.remaining_path
    if now <= latest_start + slack:
        size = size_weight * step.remaining_work
        return (TIER_ON_TIME, priority, latest_start + size)
    latest_useful = step.useful_until - step.remaining_path
    if now <= latest_useful:
        return (TIER_LATE, priority, step.remaining_work)
    return (TIER_OVERDUE, priority, step.ready_at)


__all__ = ["Rank", "measure_size_weight", "rank_step"]
