"""Storms of tasks that crash their workers, on the emulated platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from medlarspring_bench.platform_world.crash_storms import (
    PLAN,
    SILENT_PLAN,
    Storm,
    play_storm,
)

if TYPE_CHECKING:
    from medlarspring_bench.platform_world.plans import WorldPlan

LATE_CRASH_SECONDS = 1.0


@pytest.mark.parametrize(
    ("seed", "storm", "plan"),
    [
        pytest.param(1, Storm(0.1), PLAN, id="tenth"),
        pytest.param(2, Storm(0.1), SILENT_PLAN, id="tenth, silent"),
        pytest.param(2, Storm(0.2, jobs_per_second=8.0), PLAN, id="fifth"),
        pytest.param(
            2, Storm(0.1, seconds_to_crash=LATE_CRASH_SECONDS), PLAN, id="late crashes"
        ),
    ],
)
def test_no_job_is_starved_while_tasks_crash_their_workers(
    seed: int, storm: Storm, plan: WorldPlan
):
    """
    Guards against accepted jobs that wait for seconds while most of their pool is
    free, because its workers are withheld for suspected tasks.
    """
    outcome = play_storm(seed, storm, plan)
    assert outcome.breaches == []
    assert outcome.unfinished == []
