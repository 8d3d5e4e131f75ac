"""Estimates of the CPU demand of incoming work and of its trend.

Running and waiting tasks are a poor measure of the needed capacity: work queues up
while VMs are being moved, and a pool sized by its backlog would become twice as large
as its work requires. So each job counts with the CPU that it would use if it started
at once, for the duration of its critical path, regardless of the pool's size.
"""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.estimates import estimate_seconds
from medlarspring_tables.scheduling import ArrivalMeter

if TYPE_CHECKING:
    from medlarspring_tables import PoolId, Seconds
    from medlarspring_tables.scheduling import StepRun, WorkTables

MEAN_WINDOW_SECONDS = 1.5
"""Time constant of the mean that the level is compared with; equals a move's duration.
"""
TREND_GAIN = 1.0
"""Extrapolation factor: a rising level is expected to rise by the same amount
again before VMs that are requested now become available."""
SHORT_MEAN_WINDOW_SECONDS = 0.5
"""Time constant that smooths single large jobs if they can wait for a VM. With a longer
one, the pool follows a burst too late to make use of the jobs' slack."""
RISE_GAIN = 1.5
"""Extrapolation factor for jobs that can wait: a VM that is requested now takes tasks
1.5 s later, and the demand of a burst goes on rising until its first jobs end."""
SINGLE_JOB_RISE = 0.4
"""Largest difference of the two means that a single job causes, relative to its own
demand."""
SLACK_WEIGHT = 0.1
"""Weight of the newest job in the smoothed slack of its queue."""
MIN_JOB_SECONDS = 0.3
"""Minimum time for which a job counts, since estimates may be much too short."""


def record_arrival(
    tables: WorkTables, steps: list[StepRun], due_at: Seconds, now: Seconds
) -> None:
    """Add the work of an occurrence that has become due to its pool's demand.

    A new controller loads jobs that arrived up to several seconds ago, so each one
    counts from its arrival. If all of them counted as arriving at once, a pool whose
    burst is over would request half of the fleet for seconds, while the pool of the
    next burst waits for VMs.
    """
    if not steps:
        return
    queue = steps[0].job.queue
    work = sum(
        step.spec.count
        * step.resources.cpu_millis
        * estimate_seconds(tables, queue.id, step.spec)
        for step in steps
        if not step.spec.long_running
    )
    if not work:
        return
    path_seconds = max(steps[0].remaining_path, MIN_JOB_SECONDS)
    meter = tables.arrivals_by_pool.setdefault(queue.pool_id, ArrivalMeter(at=now))
    _advance(meter, now)
    ends_at = due_at + path_seconds
    _add_past_work(meter, work / path_seconds, due_at, min(ends_at, now))
    if ends_at > now:
        heapq.heappush(meter.ends, (ends_at, work / path_seconds))
        meter.level += work / path_seconds
    for step in steps:
        step.counted_until = ends_at


def _add_past_work(
    meter: ArrivalMeter, millicores: float, began_at: Seconds, stopped_at: Seconds
) -> None:
    """Add past demand to both means, decayed to the meter's time.

    ``millicores`` were in demand from ``began_at`` to ``stopped_at``.
    """
    if began_at >= stopped_at:
        return
    meter.mean += millicores * _integrate_decay(
        meter.at, began_at, stopped_at, MEAN_WINDOW_SECONDS
    )
    meter.short_mean += millicores * _integrate_decay(
        meter.at, began_at, stopped_at, SHORT_MEAN_WINDOW_SECONDS
    )


def _integrate_decay(
    at: Seconds, began_at: Seconds, stopped_at: Seconds, window: Seconds
) -> float:
    return math.exp((stopped_at - at) / window) - math.exp((began_at - at) / window)


def record_slack(tables: WorkTables, steps: list[StepRun], slack: Seconds) -> None:
    """Update the smoothed time that a queue's jobs can wait for a VM."""
    if any(step.spec.long_running for step in steps):
        return
    queue_id = steps[0].job.queue.id
    previous = tables.slack_by_queue.get(queue_id, slack)
    tables.slack_by_queue[queue_id] = previous + SLACK_WEIGHT * (slack - previous)


def find_slack(tables: WorkTables, pool_id: PoolId) -> Seconds | None:
    """Return the smallest slack of the pool's queues; None before the first job."""
    slacks = [
        tables.slack_by_queue[queue.id]
        for queue in tables.config.queues_by_id.values()
        if queue.pool_id == pool_id and queue.id in tables.slack_by_queue
    ]
    return min(slacks, default=None)


def project_demand(
    tables: WorkTables, pool_id: PoolId, now: Seconds, *, can_wait: bool
) -> float:
    """Return the millicores that incoming work is expected to need shortly.

    Jobs that can wait for a VM are counted by their mean demand and its rise. A single
    one of them may need several VMs, but their pool needs only enough for the average.
    """
    meter = tables.arrivals_by_pool.get(pool_id)
    if meter is None:
        return 0.0
    _advance(meter, now)
    if can_wait:
        return meter.short_mean + RISE_GAIN * _measure_rise(meter)
    return meter.level + TREND_GAIN * max(meter.level - meter.mean, 0.0)


def _measure_rise(meter: ArrivalMeter) -> float:
    """Return by how much the mean demand rose in the last second, in millicores.

    The rise that a single job causes is left out.
    """
    if not meter.ends:
        return 0.0
    per_job = meter.level / len(meter.ends)
    rise = meter.short_mean - meter.mean - SINGLE_JOB_RISE * per_job
    return max(rise, 0.0)


def _advance(meter: ArrivalMeter, now: Seconds) -> None:
    """Update the level and both means to ``now``, applying each end in between."""
    while meter.ends and meter.ends[0][0] <= now:
        ended_at, millicores = heapq.heappop(meter.ends)
        _smooth(meter, ended_at)
        meter.level -= millicores
    if not meter.ends:
        meter.level = 0.0
    _smooth(meter, now)


def _smooth(meter: ArrivalMeter, at: Seconds) -> None:
    elapsed = max(at - meter.at, 0.0)
    difference = meter.level - meter.mean
    meter.mean += (1.0 - math.exp(-elapsed / MEAN_WINDOW_SECONDS)) * difference
    difference = meter.level - meter.short_mean
    meter.short_mean += (
        1.0 - math.exp(-elapsed / SHORT_MEAN_WINDOW_SECONDS)
    ) * difference
    meter.at = max(meter.at, at)


__all__ = ["find_slack", "project_demand", "record_arrival", "record_slack"]
