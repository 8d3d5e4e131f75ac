"""In which order steps get the workers of their pool.

The load it answers: a queue's turn asks for more than its pool holds for some
seconds, and a job is worth nearly all within its objective and little after it.
So jobs that can still make their objective come first, by the latest moment at
which the step has to start; a step that can't make it any more does not take the
place of one that can.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import StepRun

Rank = tuple[int, int, float]
"""Tier, priority of the queue, latest start; the smallest goes first."""

TIER_LONG_RUNNING = 0
TIER_ON_TIME = 1
TIER_LATE = 2
TIER_OVERDUE = 3

FEASIBILITY_SLACK = 0.15
"""Part of the remaining path by which an estimate may be too long.

A job is not put last for a miss that its estimate's error may explain.
"""


def rank_step(step: StepRun, now: Seconds) -> Rank:
    """Return the rank of a step with waiting tasks."""
    priority = step.job.queue.priority
    if step.spec.long_running:
        return (TIER_LONG_RUNNING, priority, step.ready_at)
    latest_start = step.objective_at - step.remaining_path
    slack = FEASIBILITY_SLACK * step.remaining_path
    if now <= latest_start + slack:
        return (TIER_ON_TIME, priority, latest_start)
    latest_useful = step.given_up_at - step.remaining_path
    if now <= latest_useful:
        return (TIER_LATE, priority, latest_useful)
    return (TIER_OVERDUE, priority, step.ready_at)


__all__ = ["Rank", "rank_step"]
