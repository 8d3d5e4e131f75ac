"""Demand estimates of a controller that takes over in the middle of a burst."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st

from medlarspring_systems.scheduling.demand import project_demand
from medlarspring_systems.scheduling.fleet import FleetTables
from medlarspring_systems.scheduling.jobs import admit_job, open_due_occurrences
from medlarspring_systems.scheduling.pool_needs import find_pool_need
from medlarspring_tables import JobId, PoolId, Revision
from medlarspring_tables.scheduling import (
    JobRecord,
    JobSpec,
    OperatorConfig,
    QueueId,
    StepSpec,
    WorkTables,
)

from .conftest import WALL_MS, Scene

if TYPE_CHECKING:
    from medlarspring_tables.scheduling import ArrivalMeter

POOL = PoolId("consent")
NOW = 1_000.0
STEP = StepSpec(count=6, cpu_millis=2_000, memory_mb=500, estimate_ms=1_000)
LONG = StepSpec(count=8, cpu_millis=4_000, memory_mb=500, estimate_ms=4_000)


def create_scene() -> Scene:
    return Scene(WorkTables(config=OperatorConfig(version=1)))


def read_meter(scene: Scene, now: float) -> ArrivalMeter:
    project_demand(scene.tables, POOL, now, can_wait=False)
    return scene.tables.arrivals_by_pool[POOL]


@settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(
    ages=st.lists(st.integers(0, 80), min_size=1, max_size=25),
    order=st.randoms(use_true_random=False),
)
def test_rebuilt_demand_matches_the_previous_controller(ages, order):  # type: ignore[no-untyped-def]
    """
    Jobs arrive over eight seconds. A controller that saw each arrival and one that
    loads all jobs now, in the order of their ids, must compute the same level and
    means.
    """
    seen, loaded = create_scene(), create_scene()
    for number, age in enumerate(sorted(ages, reverse=True)):
        seen.add_job(f"{number:016x}", STEP, now=NOW - age / 10)
    shuffled = list(ages)
    order.shuffle(shuffled)
    for number, age in enumerate(shuffled):
        loaded.add_job(f"{number:016x}", STEP, now=NOW, age=age / 10)
    first, second = read_meter(seen, NOW), read_meter(loaded, NOW)
    for name in ("level", "mean", "short_mean"):
        assert getattr(second, name) == pytest.approx(getattr(first, name), abs=1e-3)


def test_pool_does_not_grow_after_a_takeover_once_its_burst_is_over(scene: Scene):
    """
    A queue's burst ended five seconds ago, and the rest of its tasks run when the
    controller is replaced. When they all counted as new arrivals, the pool requested
    24 VMs, while the queue with the current burst had four.
    """
    for number in range(20):
        scene.add_worker(number)
    for number in range(40):
        scene.add_job(f"{number:016x}", LONG, age=5.0 + number / 10)
    fleet = FleetTables(initial_sizes_known=True, initial_sizes={POOL: 4})
    scene.tables.config.queues_by_id[QueueId("lookup")] = scene.create_queue()
    for job in scene.tables.jobs_by_id.values():
        for step in job.occurrences_by_index[0]:
            step.waiting.clear()
    needs = [
        find_pool_need(scene.tables, fleet, POOL, NOW + at / 5).vms for at in range(20)
    ]
    assert max(needs) <= 4


def test_late_job_still_counts_as_waiting_work(scene: Scene):
    scene.add_worker(0)
    scene.add_job("00000000000000aa", LONG, age=9.0)
    need = find_pool_need(
        scene.tables, FleetTables(initial_sizes_known=True), POOL, NOW
    )
    assert need.incoming_millis == 0.0
    assert need.waiting_millis > 0.0


def test_slow_entry_vm_clock_does_not_make_a_new_job_late(scene: Scene):
    """
    The clock of the entry VM that accepted a job is one hour slow. The job has no
    scheduled time, so its objective counts from its arrival.
    """
    queue = scene.create_queue()
    record = JobRecord(
        queue=queue,
        accepted_at_ms=WALL_MS - 3_600_000,
        spec=JobSpec(payload="", steps=(STEP,)),
    )
    job = admit_job(scene.tables, JobId("aa"), record, Revision(1), arrived_at=NOW)
    open_due_occurrences(scene.tables, job, NOW, WALL_MS)
    (step,) = job.occurrences_by_index[0]
    assert step.objective_at > NOW
