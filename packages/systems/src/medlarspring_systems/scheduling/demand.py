"""How many processors incoming work will keep busy, and whether that rises.

What runs and waits at a moment says little about what to provide: while VMs are on
their way work piles up, and a pool that grew for the pile would be twice as large
as its work. So each job counts with the processors that it would use if it were
served at once, for as long as that would take, whatever the pool's size.
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
"""The level is compared with its mean over so long, which is what a move takes."""
TREND_GAIN = 1.0
"""A rising level is taken to rise as much again until VMs called now are there."""
SHORT_MEAN_WINDOW_SECONDS = 0.5
"""For jobs that can wait for a VM single lumps of work are smoothed over so long;
longer, their pool follows a turn too late to use what they can wait."""
SLACK_WEIGHT = 0.1
"""Weight of the newest job in the smoothed slack of its queue."""
MIN_JOB_SECONDS = 0.3
"""A job counts for at least so long; estimates may be much too short."""


def record_arrival(
    tables: WorkTables, steps: list[StepRun], due_at: Seconds, now: Seconds
) -> None:
    """Count the work of an occurrence that has become due.

    A new controller loads jobs that came up to seconds ago; each counts from when
    it came. Counted as if all had come at once, a pool whose turn was over wanted
    half of the fleet for seconds while the next one waited for it.
    """
    if not steps:
        return
    queue = steps[0].job.queue
    work = sum(
        step.spec.count
        * step.room.cpu_millis
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
    """Bring a part of the level from before now into the means, as they decay."""
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
    """Learn how long the jobs of a queue can wait for a VM to come."""
    if any(step.spec.long_running for step in steps):
        return
    queue_id = steps[0].job.queue.id
    previous = tables.slack_by_queue.get(queue_id, slack)
    tables.slack_by_queue[queue_id] = previous + SLACK_WEIGHT * (slack - previous)


def find_slack(tables: WorkTables, pool_id: PoolId) -> Seconds | None:
    """Return the least slack of the pool's queues; None before any had a job."""
    slacks = [
        tables.slack_by_queue[queue.id]
        for queue in tables.config.queues_by_id.values()
        if queue.pool_id == pool_id and queue.id in tables.slack_by_queue
    ]
    return min(slacks, default=None)


def project_demand(
    tables: WorkTables, pool_id: PoolId, now: Seconds, *, can_wait: bool
) -> float:
    """Return the millicores that incoming work will keep busy in a moment.

    Jobs that can wait for a VM even out: their pool needs no more than they bring
    on average, where each one may be worth several VMs by itself.
    """
    meter = tables.arrivals_by_pool.get(pool_id)
    if meter is None:
        return 0.0
    _advance(meter, now)
    if can_wait:
        return meter.short_mean
    return meter.level + TREND_GAIN * max(meter.level - meter.mean, 0.0)


def _advance(meter: ArrivalMeter, now: Seconds) -> None:
    """Bring level and mean up to date, through each end in between."""
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


__all__ = ["find_slack", "record_arrival", "record_slack", "project_demand"]
