"""Drawn days of restricted queues on the emulated platform."""

from __future__ import annotations

import pytest

from medlarspring_bench.platform_world.restricted_days import (
    RestrictedDay,
    play_restricted_day,
)


@pytest.mark.parametrize("seed", [0, 1, 2, 3, 4, 5])
def test_no_job_of_a_restricted_queue_is_left_waiting(seed: int):
    """Guards against jobs that are never begun amid troubles of the adviser."""
    assert play_restricted_day(seed) == RestrictedDay(broken=[], waiting=[])
