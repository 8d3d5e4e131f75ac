from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.pacing import plan_paces
from medlarspring_systems.scheduling.rounds import plan_round
from medlarspring_systems.scheduling.runs import confirm_run
from medlarspring_tables import PoolId
from medlarspring_tables.scheduling import StepSpec

if TYPE_CHECKING:
    from medlarspring_tables.scheduling import Run

    from .conftest import Scene

POOL = PoolId("consent")
NOW = 1_000.0
MAX_IMPACT_SECONDS = 4.0
"""Longest time for which the platform allows a latency target to be missed."""
SERVING = StepSpec(
    count=1, cpu_millis=2_000, memory_mb=500, long_running=True, latency_target_ms=100
)
BEST_EFFORT = StepSpec(count=1, cpu_millis=8_000, memory_mb=500, uses_leftover=True)


def start_both(scene: Scene) -> tuple[Run, Run]:
    scene.add_worker(1)
    scene.add_job("serving", SERVING)
    scene.add_job("best-effort", BEST_EFFORT)
    serving, best_effort = plan_round(scene.tables, POOL, NOW)
    for run in (serving, best_effort):
        confirm_run(run, NOW)
    return serving, best_effort


def test_best_effort_task_reserves_no_cpu(scene: Scene):
    start_both(scene)
    assert scene.tables.workers_by_id["i-1"].cpu_free == 14_000  # type: ignore[index]


def test_best_effort_task_stops_well_before_the_impact_limit(scene: Scene):
    """
    A best-effort task keeps a task on the same worker above its latency target at any
    pace. If its pace were only halved, it would still run when the limit is reached.
    """
    serving, best_effort = start_both(scene)
    serving.gauge = 250
    now = NOW
    while best_effort.pace_percent:
        now += 0.1
        plan_paces(scene.tables, now)
    assert now - NOW < MAX_IMPACT_SECONDS - 0.5


def test_pace_rises_in_steps_while_latency_is_low(scene: Scene):
    serving, best_effort = start_both(scene)
    best_effort.pace_percent, best_effort.paced_at = 30, NOW
    serving.gauge = 90
    assert plan_paces(scene.tables, NOW + 10.0) == []
    serving.gauge = 40
    assert plan_paces(scene.tables, NOW + 10.0) == [(best_effort, 45)]
    assert plan_paces(scene.tables, NOW + 10.5) == []


def test_best_effort_task_avoids_workers_with_latency_targets(scene: Scene):
    scene.add_worker(1)
    scene.add_job("serving", SERVING)
    plan_round(scene.tables, POOL, NOW)
    scene.add_worker(2)
    scene.add_job("best-effort", BEST_EFFORT)
    (run,) = plan_round(scene.tables, POOL, NOW)
    assert run.worker.id == "i-2"
