"""The sizing policy on fleets and load patterns other than the default plan.

The policy must not depend on a deployment's size or on the duration of bursts or
tasks. Each floor is 0.03 to 0.05 below the fraction of jobs in time that was measured
with the plan.
"""

from __future__ import annotations

import pytest

from medlarspring_bench.experiment.bursts import BurstPlan, run_bursts

SEED = 1


@pytest.mark.parametrize(
    ("plan", "floor"),
    [
        pytest.param(BurstPlan(), 0.88, id="as-measured"),
        pytest.param(BurstPlan(burst_seconds=1.5, cycles=4), 0.74, id="turns-of-1.5-s"),
        pytest.param(
            BurstPlan(burst_seconds=20.0, cycles=1, queues=2), 0.93, id="turns-of-20-s"
        ),
        pytest.param(BurstPlan(burst_seconds=0.0, cycles=3), 0.93, id="no-turns"),
        pytest.param(
            BurstPlan(vms_per_pool=3, standby_vms=2, peak_vms=4.0),
            0.88,
            id="three-vms-a-pool",
        ),
        pytest.param(
            BurstPlan(
                vms_per_pool=60,
                standby_vms=30,
                peak_vms=50.0,
                queues=2,
                cycles=1,
                task_millis=8_000,
            ),
            0.86,
            id="sixty-vms-a-pool",
        ),
        pytest.param(
            BurstPlan(task_seconds=0.1, peak_vms=2.0, cycles=1),
            0.95,
            id="tasks-of-0.1-s",
        ),
        pytest.param(
            BurstPlan(task_seconds=30.0, peak_vms=8.0, cycles=1, burst_seconds=20.0),
            0.95,
            id="tasks-of-30-s",
        ),
        pytest.param(BurstPlan(restarts=(13.0,)), 0.83, id="cold-start"),
    ],
)
def test_most_jobs_are_in_time_and_no_promise_is_broken(plan: BurstPlan, floor: float):
    outcome = run_bursts(plan, SEED)
    assert outcome.breaches == []
    assert outcome.in_time_part > floor
