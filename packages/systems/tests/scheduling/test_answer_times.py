"""Tests of how long an answer is waited for, by the answers of a load."""

from __future__ import annotations

import random

import pytest

from medlarspring_systems.scheduling.answer_times import (
    DEFAULT_PATIENCE_SECONDS,
    MAX_PATIENCE_SECONDS,
    MIN_PATIENCE_SECONDS,
    AnswerTimes,
)

CALLS = 2_000
MOST_REPEATS_PER_CALL = 0.25


def play(times: AnswerTimes, lost: float, lowest: float, highest: float) -> int:
    """Make calls and repeat those that are late once; returns the repeats."""
    rng = random.Random(1)
    repeats = 0
    for _ in range(CALLS):
        times.record_call()
        seconds = rng.uniform(lowest, highest)
        is_lost = rng.random() < lost
        if (is_lost or seconds > times.patience) and times.take_repeat():
            repeats += 1
        if not is_lost:
            times.record_answer(seconds)
    return repeats


@pytest.mark.parametrize(
    ("lost", "lowest", "highest", "patience", "repeats"),
    [
        pytest.param(0.0, 0.003, 0.005, MIN_PATIENCE_SECONDS, 0, id="no fault"),
        pytest.param(0.08, 0.003, 0.005, MIN_PATIENCE_SECONDS, 160, id="8% lost"),
        pytest.param(0.08, 0.02, 0.03, 0.09, 160, id="8% lost, distant workers"),
        pytest.param(0.0, 0.3, 0.5, MAX_PATIENCE_SECONDS, 420, id="all late"),
        pytest.param(1.0, 0.0, 0.0, DEFAULT_PATIENCE_SECONDS, 420, id="all lost"),
    ],
)
def test_repeats_of_a_load(
    lost: float, lowest: float, highest: float, patience: float, repeats: int
):
    times = AnswerTimes()
    assert play(times, lost, lowest, highest) == pytest.approx(repeats, rel=0.15)
    assert times.patience == pytest.approx(patience, rel=0.05)
    assert repeats <= MOST_REPEATS_PER_CALL * CALLS


def test_patience_grows_with_the_answer_times_and_recovers():
    """Guards against repeats of every call once this process has become slow."""
    times = AnswerTimes()
    play(times, 0.0, 0.003, 0.005)
    play(times, 0.0, 0.04, 0.06)
    assert times.patience == MAX_PATIENCE_SECONDS
    assert play(times, 0.0, 0.04, 0.06) == 0
    play(times, 0.0, 0.003, 0.005)
    assert times.patience == MIN_PATIENCE_SECONDS
