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
IMPACT_SECONDS = 4.0
"""The platform allows a missed target for no longer."""
SERVING = StepSpec(
    count=1, cpu_millis=2_000, memory_mb=500, long_running=True, latency_target_ms=100
)
FILLING = StepSpec(count=1, cpu_millis=8_000, memory_mb=500, uses_leftover=True)


def start_both(scene: Scene) -> tuple[Run, Run]:
    scene.add_worker(1)
    scene.add_job("serving", SERVING)
    scene.add_job("filling", FILLING)
    serving, filling = plan_round(scene.tables, POOL, NOW)
    for run in (serving, filling):
        confirm_run(run, NOW)
    return serving, filling


def test_what_fills_takes_no_counted_processors(scene: Scene):
    start_both(scene)
    assert scene.tables.workers_by_id["i-1"].cpu_free == 14_000  # type: ignore[index]


def test_filling_task_is_stopped_well_within_the_limit_while_the_target_is_missed(
    scene: Scene,
):
    """
    A task that fills keeps a neighbour over its latency target whatever its pace.
    Halved again and again, it would still work when the limit is reached.
    """
    serving, filling = start_both(scene)
    serving.gauge = 250
    now = NOW
    while filling.pace_percent:
        now += 0.1
        plan_paces(scene.tables, now)
    assert now - NOW < IMPACT_SECONDS - 0.5


def test_pace_rises_slowly_while_there_is_room_and_rests_in_between(scene: Scene):
    serving, filling = start_both(scene)
    filling.pace_percent, filling.paced_at = 30, NOW
    serving.gauge = 90
    assert plan_paces(scene.tables, NOW + 10.0) == []
    serving.gauge = 40
    assert plan_paces(scene.tables, NOW + 10.0) == [(filling, 45)]
    assert plan_paces(scene.tables, NOW + 10.5) == []


def test_filling_task_goes_where_nothing_serves_with_a_target(scene: Scene):
    scene.add_worker(1)
    scene.add_job("serving", SERVING)
    plan_round(scene.tables, POOL, NOW)
    scene.add_worker(2)
    scene.add_job("filling", FILLING)
    (run,) = plan_round(scene.tables, POOL, NOW)
    assert run.worker.id == "i-2"
