"""Replays of a queue's burst that needs more than its pool has."""

from __future__ import annotations

import pytest

from medlarspring_bench.measure.burst_overload import (
    LONG_JOBS,
    SHORT_JOBS,
    JobKind,
    rank_by_latest_start,
    replay_burst,
)
from medlarspring_systems.scheduling.ordering import rank_step

VMS = 20
SEEDS = range(3)


def measure(kind: JobKind, jobs_per_second: float, rank=rank_step) -> float:  # type: ignore[no-untyped-def]
    outcomes = [replay_burst(kind, seed, VMS, jobs_per_second, rank) for seed in SEEDS]
    return sum(outcome.value for outcome in outcomes) / len(outcomes)


@pytest.mark.parametrize(
    ("kind", "jobs_per_second", "at_least", "gain"),
    [
        (SHORT_JOBS, 50.0, 0.65, 0.12),
        (SHORT_JOBS, 73.0, 0.48, 0.15),
        (LONG_JOBS, 13.3, 0.40, 0.05),
    ],
    ids=["short-1.5", "short-2.2", "long-1.7"],
)
def test_overloaded_burst_yields_more_value_than_by_latest_start(
    kind: JobKind, jobs_per_second: float, at_least: float, gain: float
):
    """
    Guards against ordering by the latest start alone when more jobs arrive than the
    pool can do in time. Each job would start at the last moment and half of them too
    late, so that the pool spends its time on jobs that just miss their objective.
    """
    value = measure(kind, jobs_per_second)
    baseline = measure(kind, jobs_per_second, rank_by_latest_start)
    assert value >= at_least
    assert value - baseline >= gain


def test_full_pool_yields_no_less_than_by_latest_start():
    value = measure(SHORT_JOBS, 30.0)
    baseline = measure(SHORT_JOBS, 30.0, rank_by_latest_start)
    assert value >= baseline - 0.02
