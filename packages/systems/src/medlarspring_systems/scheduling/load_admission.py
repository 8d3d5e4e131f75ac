"""Decides whether a new job is refused for load, and when its caller may return.

A job is refused only if a fresh forecast says that it can't complete while that is
still of use. In each case of doubt it is accepted.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.estimates import DEFAULT_MS, sum_critical_paths
from medlarspring_systems.scheduling.jobs import ABANDON_FACTOR, find_objective
from medlarspring_systems.scheduling.lateness import estimate_start_wait

if TYPE_CHECKING:
    from medlarspring_tables import PartnerId, Seconds
    from medlarspring_tables.scheduling import JobSpec, LoadRecord, QueuePolicy

MAX_RECORD_AGE_SECONDS = 2.5
"""A load record that may be older than this refuses nothing.

It is published each 0.8 s and read at most once a second, and the clocks of entry VMs
differ a little.
"""
MAX_CLOCK_LEAD_SECONDS = 0.2
"""A record from further in the future has an unknown age."""
MIN_RETRY_AFTER_SECONDS = 1
MAX_RETRY_AFTER_SECONDS = 15
"""Whole seconds. Forecasts further ahead say little of when room will be there."""
RETRY_SPREAD_SECONDS = 4
"""Callers that are refused together return over this many seconds."""


@dataclass(frozen=True, slots=True)
class LoadSample:
    """A load record, with the times that tell how old it is."""

    record: LoadRecord
    read_seconds_ago: Seconds
    """Time since it was read from the store, by the local monotonic clock."""
    wall_ms: float
    """The local wall clock in Unix milliseconds."""

    @property
    def age(self) -> Seconds:
        """The larger of its ages by both clocks."""
        by_wall = (self.wall_ms - self.record.at_ms) / 1_000.0
        return max(self.read_seconds_ago, by_wall)

    @property
    def is_fresh(self) -> bool:
        """Whether it is certainly recent."""
        lead = (self.record.at_ms - self.wall_ms) / 1_000.0
        return self.age <= MAX_RECORD_AGE_SECONDS and lead <= MAX_CLOCK_LEAD_SECONDS


@dataclass(frozen=True, slots=True)
class LoadRefusal:
    """Why a job is refused for load, and when to send it again."""

    expected_wait: Seconds
    path: Seconds
    """Estimated duration of the job's critical path."""
    limit: Seconds
    """Time after which the job's completion is of no use."""
    record_age: Seconds
    retry_after: int
    """Whole seconds."""


def decide_admission(
    queue: QueuePolicy,
    spec: JobSpec,
    partner_id: PartnerId,
    sample: LoadSample | None,
    spread: float,
) -> LoadRefusal | None:
    """Return the refusal of a new job for load, or None if it is to be accepted.

    ``spread`` from 0 to below 1 sets the caller's place among those that return.
    """
    if sample is None or not sample.is_fresh or not can_be_refused(spec):
        return None
    wait = find_wait(sample.record, queue, partner_id)
    if wait is None:
        return None
    path = measure_path(spec)
    limit = ABANDON_FACTOR * find_objective(queue, path)
    if wait + path <= limit:
        return None
    return LoadRefusal(wait, path, limit, sample.age, find_retry_after(wait, spread))


def decide_late_admission(
    queue: QueuePolicy, spec: JobSpec, sample: LoadSample | None, spread: float
) -> int | None:
    """Return when to repeat a job, in whole seconds, if the controller is too late.

    None if the job is to be accepted, as its completion is of use after the wait.
    """
    if sample is None or not sample.is_fresh or not can_be_refused(spec):
        return None
    if not sample.record.delay_ms:
        return None
    wait = estimate_start_wait(sample.record.delay_ms)
    path = measure_path(spec)
    if wait + path <= ABANDON_FACTOR * find_objective(queue, path):
        return None
    return find_retry_after(wait, spread)


def can_be_refused(spec: JobSpec) -> bool:
    """Return whether load may be a reason to refuse a job at all.

    Long-running and scheduled jobs are of use whenever they start, and best-effort
    tasks use what the work in the forecast leaves.
    """
    return not spec.occurrences and not any(
        step.long_running or step.uses_leftover for step in spec.steps
    )


def find_wait(
    record: LoadRecord, queue: QueuePolicy, partner_id: PartnerId
) -> Seconds | None:
    """Return the expected wait of a partner's new job; None within its share."""
    waits = [
        forecast.wait_ms / 1_000.0
        for forecast in record.waits
        if forecast.pool_id == queue.pool_id
        and forecast.partner_id == partner_id
        and forecast.priority <= queue.priority
    ]
    return max(waits, default=None)


def measure_path(spec: JobSpec) -> Seconds:
    """Return the duration of a job's critical path by the submitter's estimates."""
    durations = [(step.estimate_ms or DEFAULT_MS) / 1_000.0 for step in spec.steps]
    return max(sum_critical_paths(spec.steps, durations), default=0.0)


def find_retry_after(wait: Seconds, spread: float) -> int:
    """Return the whole seconds until room is expected, plus the caller's spread."""
    longest = MAX_RETRY_AFTER_SECONDS - RETRY_SPREAD_SECONDS + 1
    base = math.ceil(min(max(wait, MIN_RETRY_AFTER_SECONDS), longest))
    return base + int(spread * RETRY_SPREAD_SECONDS)


__all__ = [
    "MAX_RECORD_AGE_SECONDS",
    "MAX_RETRY_AFTER_SECONDS",
    "MIN_RETRY_AFTER_SECONDS",
    "LoadRefusal",
    "LoadSample",
    "can_be_refused",
    "decide_admission",
    "decide_late_admission",
    "find_retry_after",
    "find_wait",
    "measure_path",
]
