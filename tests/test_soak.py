"""Short seeded soaks of the real processes; ``measure``-sized ones are by hand."""

from __future__ import annotations

import pytest

from medlarspring_bench.soak.runner import SoakPlan, run_soak

SHORT = SoakPlan(traffic_seconds=6.0, fault_count=3)
FRESH_SEEDS = (101, 102)

KEPT_SCHEDULES = (
    # The store fell silent while a new controller read its records, and leases
    # stood still: it kept the cell afterwards and did nothing for it.
    (
        (0.3, "reset links"),
        (0.6, "freeze a node"),
        (1.0, "stop a node"),
        (3.9, "store paused"),
    ),
    # Tasks crashed one worker after the other, across takeovers.
    (
        (0.5, "task crashes its workers"),
        (1.0, "kill a node"),
        (1.5, "task crashes its workers"),
        (2.5, "stop a node"),
    ),
)
"""Faults, in seconds of traffic, of soaks that once broke a promise."""


@pytest.mark.timeout(180)
@pytest.mark.parametrize("seed", FRESH_SEEDS)
async def test_promises_hold_under_faults_from_outside(seed: int):
    result = await run_soak(seed, SHORT)
    assert result.breaches == [], result.faults
    assert result.unfinished == [], result.faults
    assert result.accepted > 0


@pytest.mark.timeout(180)
@pytest.mark.parametrize(
    "schedule", KEPT_SCHEDULES, ids=["takeover-in-outage", "crashes"]
)
async def test_promises_hold_in_soaks_that_once_broke_them(
    schedule: tuple[tuple[float, str], ...],
):
    result = await run_soak(1, SoakPlan(traffic_seconds=6.0, schedule=schedule))
    assert result.breaches == [], result.faults
    assert result.unfinished == [], result.faults
