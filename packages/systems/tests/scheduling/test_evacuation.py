"""Replays of one queue's turn that begins while another's ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from medlarspring_systems.scheduling.fleet import FleetTables
from medlarspring_systems.scheduling.fleet_plan import plan_operations
from medlarspring_systems.scheduling.rounds import plan_round
from medlarspring_systems.scheduling.runs import confirm_run
from medlarspring_tables import PoolId
from medlarspring_tables.scheduling import FleetLimits, PoolPolicy, QueueId, StepSpec

if TYPE_CHECKING:
    from medlarspring_systems.scheduling.fleet import FleetPlan

    from .conftest import Scene

ENDING = PoolId("consent")
BEGINNING = PoolId("survey")
NOW = 1_000.0
SAVED = StepSpec(count=1, cpu_millis=2_000, memory_mb=500, checkpoints=True)
UNSAVED = StepSpec(count=1, cpu_millis=2_000, memory_mb=500)
BIG = StepSpec(count=1, cpu_millis=12_000, memory_mb=500, checkpoints=True)
WAITING = StepSpec(count=40, cpu_millis=4_000, memory_mb=500, estimate_ms=2_000)


def look(scene: Scene, step: StepSpec, *, turn: bool, standby: int = 0) -> FleetPlan:
    """Plan for four VMs with a task each, while another pool's turn begins."""
    config = scene.tables.config
    config.pools_by_id[BEGINNING] = PoolPolicy(BEGINNING)
    config.queues_by_id[QueueId("lookup")] = scene.create_queue()
    for number in range(4):
        scene.add_worker(number)
        scene.add_job(f"{number:016x}", step, now=NOW)
        for run in plan_round(scene.tables, ENDING, NOW):
            confirm_run(run, NOW)
        for worker in scene.tables.workers_by_id.values():
            worker.listed = False  # The next task goes to the next VM.
    for worker in scene.tables.workers_by_id.values():
        worker.listed = True
    for number in range(20, 20 + standby):
        scene.add_vm(number)
    scene.add_worker(9, pool=BEGINNING)
    if turn:
        job = scene.add_job("f" * 16, WAITING, now=NOW)
        ready = scene.tables.ready_by_pool
        ready[BEGINNING] = {job.occurrences_by_index[0][0]: None}
        del ready[ENDING][job.occurrences_by_index[0][0]]
    scene.tables.vms_read_at = NOW + 5.0
    fleet = FleetTables(sizes_known=True, first_sizes={ENDING: 1, BEGINNING: 1})
    plan = plan_operations(scene.tables, fleet, FleetLimits(), NOW + 5.0)
    assert len(plan.stops) <= len(fleet.leaving_pool)
    return plan


@pytest.mark.parametrize(
    ("step", "turn", "standby", "stopped"),
    [
        (SAVED, True, 0, 3),
        (SAVED, False, 0, 0),
        (SAVED, True, 20, 0),
        (UNSAVED, True, 0, 0),
        (BIG, True, 0, 0),
    ],
    ids=["turn", "no-turn", "standby-left", "no-checkpoints", "busy"],
)
def test_least_busy_vms_are_freed_for_a_turn_that_begins(
    scene: Scene, step: StepSpec, turn: bool, standby: int, stopped: int
):
    """
    The last tasks of one queue's turn are spread over its pool's VMs when the next
    queue's turn begins. Left to end by themselves, they held the VMs for two
    seconds of the four that the turn lasts, and its jobs became late.
    """
    plan = look(scene, step, turn=turn, standby=standby)
    assert len(plan.stops) == stopped
