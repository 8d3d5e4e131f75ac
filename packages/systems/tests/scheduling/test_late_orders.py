from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.late_orders import (
    MAX_ORDER_DELAY_SECONDS,
    pop_late_orders,
    record_unanswered_order,
)
from medlarspring_systems.scheduling.rounds import plan_round
from medlarspring_tables import PoolId

from .conftest import create_step

if TYPE_CHECKING:
    from .conftest import Scene

POOL = PoolId("consent")
NOW = 1_000.0


def test_unanswered_orders_expire_after_the_maximum_delay(scene: Scene):
    worker = scene.add_worker(1)
    for number, asked_at in enumerate((NOW, NOW + 1.0, NOW + 5.0), start=1):
        record_unanswered_order(scene.tables, worker.id, "j.0.0.0", number, asked_at)
    later = NOW + 1.5 + MAX_ORDER_DELAY_SECONDS
    assert pop_late_orders(scene.tables, worker, later) == [("j.0.0.0", 3)]
    assert pop_late_orders(scene.tables, worker, later) == []


def test_late_orders_exclude_runs_recorded_on_the_worker(scene: Scene):
    worker = scene.add_worker(1)
    scene.add_job("j", create_step())
    (run,) = plan_round(scene.tables, POOL, NOW)
    record_unanswered_order(scene.tables, worker.id, run.task.id, run.number, NOW)
    assert pop_late_orders(scene.tables, worker, NOW + 1.0) == []
