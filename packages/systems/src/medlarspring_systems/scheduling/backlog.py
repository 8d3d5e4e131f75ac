"""Summarizes, for each pool, which tasks wait, why, and what limits its workers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.isolation import (
    find_isolated_run,
    measure_unstable_time,
    measure_waiting_time,
)
from medlarspring_systems.scheduling.placement import list_schedulable_workers
from medlarspring_systems.scheduling.waiting import find_wait_cause, is_kept_free

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarspring_systems.scheduling.waiting import WaitCause
    from medlarspring_tables import PoolId, Seconds
    from medlarspring_tables.scheduling import Task, WorkTables

LONG_WAIT_SECONDS = 1.0
"""Waiting time after which a task is reported."""


@dataclass(frozen=True, slots=True)
class LongWait:
    """The task that has waited longest among those of one kind."""

    task: Task
    waited: Seconds
    cause: WaitCause | None


@dataclass(frozen=True, slots=True)
class Backlog:
    """The waiting tasks of a pool, and its workers."""

    waiting: int
    """Tasks that could start now and have no run."""
    suspected: int
    """Those of them that are suspected of crashing their workers."""
    longest: LongWait | None
    """Longest wait of a task that is not suspected, if it is long."""
    longest_suspected: LongWait | None
    workers: int
    """Workers that may get new tasks."""
    idle: int
    """Those of them without any run."""
    isolated: int
    """Those of them on which a suspected run is isolated."""
    kept_free: int
    """Those of them that are kept free for suspected tasks."""
    unstable: int
    """Those of them whose VM counts as unstable."""
    cpu_millis: int
    """Millicores of these workers."""
    cpu_free: int
    """Millicores of these workers that no run uses."""


def describe_backlog(
    tables: WorkTables, pool_id: PoolId, now: Seconds
) -> Backlog | None:
    """Return the backlog of a pool; None if none of its tasks has waited for long."""
    tasks = [
        task
        for step in tables.ready_by_pool.get(pool_id, {})
        if step.job.outcome is None
        for task in step.waiting
    ]
    suspects = [task for task in tasks if task.is_suspect]
    longest = _find_longest(tables, [t for t in tasks if not t.is_suspect], now)
    longest_suspected = _find_longest(tables, suspects, now)
    if longest is None and longest_suspected is None:
        return None
    workers = list_schedulable_workers(tables, pool_id, now)
    return Backlog(
        waiting=len(tasks),
        suspected=len(suspects),
        longest=longest,
        longest_suspected=longest_suspected,
        workers=len(workers),
        idle=sum(1 for each in workers if not each.runs),
        isolated=sum(1 for each in workers if find_isolated_run(each, now) is not None),
        kept_free=sum(1 for each in workers if is_kept_free(each, now)),
        unstable=sum(1 for each in workers if measure_unstable_time(each, now) > 0),
        cpu_millis=sum(each.resources.cpu_millis for each in workers),
        cpu_free=sum(each.cpu_free for each in workers),
    )


def _find_longest(
    tables: WorkTables, tasks: Iterable[Task], now: Seconds
) -> LongWait | None:
    task = max(tasks, key=lambda each: measure_waiting_time(each, now), default=None)
    if task is None:
        return None
    waited = measure_waiting_time(task, now)
    if waited < LONG_WAIT_SECONDS:
        return None
    return LongWait(task, waited, find_wait_cause(tables, task, now))


__all__ = ["Backlog", "LongWait", "describe_backlog"]
