"""Choosing the workers of a step's tasks from one ranking and one by one."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from medlarspring_systems.scheduling.placement import WorkerRanking, choose_worker
from medlarspring_systems.scheduling.runs import intend_run

from .conftest import create_step

if TYPE_CHECKING:
    from .conftest import Scene

NOW = 1_000.0
RACKS = ("r1-1", "r1-2", "r2-1")
ZONES = ("z-a", "z-b", "z-c")
RULES = (
    {},
    {"max_per_worker": 2},
    {"data_rack": "r1-2"},
    {"long_running": True},
    {"required_label": "r2-1"},
)


def add_varied_workers(scene: Scene, rng: random.Random) -> None:
    """Add workers with different free resources, racks, zones and speeds."""
    for number in range(12):
        worker = scene.add_worker(number, rack=rng.choice(RACKS))
        worker.cpu_free = rng.randrange(0, 16_000, 500)
        worker.long_runs = rng.choice((0, 0, 1))
        worker.slowness = rng.choice((1.0, 1.0, 2.0))
        worker.zone_id = rng.choice(ZONES)


@pytest.mark.parametrize("rules", RULES, ids=str)
@pytest.mark.parametrize("seed", range(6))
def test_ranking_agrees_with_single_choices(
    scene: Scene, seed: int, rules: dict[str, object]
):
    """
    Guards against outdated scores: the ranking of the workers is kept from task to
    task of a step. An outdated entry would place a task on a worse worker, or on one
    without enough free resources.
    """
    rng = random.Random(seed)
    add_varied_workers(scene, rng)
    spec = create_step(count=14, cpu_millis=2_500, memory_mb=100, **rules)
    job = scene.add_job("j", spec)
    step = job.occurrences_by_index[0][0]
    workers = list(scene.tables.workers_by_id.values())
    choice = WorkerRanking(step, workers, NOW)
    for task in list(step.waiting):
        if rng.random() < 0.2:
            task.failed_on.add(rng.choice(workers).vm_id)
        expected = choose_worker(step, task, workers, NOW)
        chosen = choice.choose(task)
        assert chosen is expected
        if chosen is None:
            break
        intend_run(task, chosen, 1, NOW)
