"""Time between a start and a crash of its worker, and the pools at risk of crashes.

A task that crashes its workers mostly does so right after its start. How many of a
pool's crashes came then tells how much such a crash proves.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_tables.scheduling import CrashTiming

if TYPE_CHECKING:
    from medlarspring_tables import PoolId, Seconds
    from medlarspring_tables.scheduling import Run, Worker, WorkTables

IMMEDIATE_SECONDS = 0.08
"""A start this shortly before a crash explains it better than any earlier start.

An unstable VM, or a task that crashes its workers late, rarely does so just then.
"""
CRASH_RISK_SECONDS = 20.0
"""Time for which the starts in a pool are staggered after a crash under a start."""
TOGETHER_SECONDS = 1.0
"""Crashes that are noticed at most this far apart may have one cause."""
MIN_IMMEDIATE_FRACTION = 0.8
"""Fraction of a pool's crashes that have to be immediate for one of them to prove much.

In a busy pool, a crash at any other time often follows some start by chance.
"""
MIN_SILENT_CRASHES = 5
"""Number of recent crashes from which this fraction says something of silent ones."""


def is_immediate(worker: Worker, started_at: Seconds, now: Seconds) -> bool:
    """Return whether a worker stopped answering right after a start.

    When a worker falls silent, that is noticed late. While starts are staggered, each
    is followed by a poll, so that the last answer tells when it fell silent.
    """
    lost_at = find_last_contact(worker, now)
    was_staggered = worker.crash_risk_since <= started_at <= worker.crash_risk_until
    if was_staggered and worker.answered_at >= started_at:
        lost_at = min(lost_at, worker.answered_at)
    return lost_at - started_at <= IMMEDIATE_SECONDS


def find_last_contact(worker: Worker, now: Seconds) -> Seconds:
    """Return when a worker stopped answering; ``now`` if it still answers."""
    return worker.unanswered_since or now


def record_crash_timing(tables: WorkTables, suspects: list[Run], now: Seconds) -> None:
    """Record a crash under a start; starts in its pool may be staggered from now on."""
    pool_id = suspects[0].worker.pool_id
    timings = tables.crash_timings_by_pool.setdefault(pool_id, [])
    immediate = any(_is_confirmed_and_immediate(run, now) for run in suspects)
    timings.append(CrashTiming(now, immediate=immediate))
    while timings[0].at < now - CRASH_RISK_SECONDS:
        timings.pop(0)
    until = find_crash_risk_end(tables, pool_id)
    for worker in tables.workers_by_pool.get(pool_id, {}).values():
        if not is_at_crash_risk(worker, now):
            worker.crash_risk_since = now
        worker.crash_risk_until = until


def is_start_decisive(tables: WorkTables, suspects: list[Run], now: Seconds) -> bool:
    """Return whether a start right before a crash is hardly there by chance.

    It is if nearly all recent crashes of the pool came right after a start. If the
    worker fell silent, the time of its crash is less certain, and it takes several
    such crashes.
    """
    if not any(_is_confirmed_and_immediate(run, now) for run in suspects):
        return False
    timings = tables.crash_timings_by_pool.get(suspects[0].worker.pool_id, [])
    immediate = sum(timing.immediate for timing in timings)
    if immediate < MIN_IMMEDIATE_FRACTION * len(timings):
        return False
    return len(timings) >= MIN_SILENT_CRASHES or any(
        find_last_contact(run.worker, now) - run.confirmed_at <= IMMEDIATE_SECONDS
        for run in suspects
        if run.confirmed_at
    )


def _is_confirmed_and_immediate(run: Run, now: Seconds) -> bool:
    """Return whether a worker confirmed a run and stopped answering right after it.

    An order without an answer may have been sent to a worker that was already down.
    """
    return bool(run.confirmed_at) and is_immediate(run.worker, run.confirmed_at, now)


def find_crash_risk_end(tables: WorkTables, pool_id: PoolId) -> Seconds:
    """Return the time until which the starts in a pool are staggered; 0 for none.

    They are not for workers that crashed together, unless right after a start: that
    is a failure of their VMs rather than of a task.
    """
    timings = tables.crash_timings_by_pool.get(pool_id)
    if not timings:
        return 0.0
    is_repeated = timings[-1].at - timings[0].at > TOGETHER_SECONDS
    if not is_repeated and not any(timing.immediate for timing in timings):
        return 0.0
    return timings[-1].at + CRASH_RISK_SECONDS


def is_at_crash_risk(worker: Worker, now: Seconds) -> bool:
    """Return whether the starts on a worker are staggered, as its pool had a crash."""
    return now < worker.crash_risk_until


__all__ = [
    "IMMEDIATE_SECONDS",
    "find_crash_risk_end",
    "find_last_contact",
    "is_at_crash_risk",
    "is_immediate",
    "is_start_decisive",
    "record_crash_timing",
]
