"""Forecast waits: which partners are beyond their share or quota, and for how long."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st

from medlarspring_systems.scheduling.load_forecast import (
    MAX_FORECASTS,
    MAX_WAIT_SECONDS,
    MOVE_SECONDS,
    forecast_waits,
)
from medlarspring_systems.scheduling.quotas import apply_quotas
from medlarspring_tables import PartnerId
from medlarspring_tables.scheduling import (
    OperatorConfig,
    PartnerPolicy,
    PoolPolicy,
    Resources,
    WorkTables,
)

from .conftest import NOW, POOL, Scene, create_step, start

if TYPE_CHECKING:
    from collections.abc import Iterable

ZIWA, PWANI, MTO = (PartnerId(name) for name in ("ziwa", "pwani", "mto"))


def create_scene(policies: Iterable[PartnerPolicy], workers: int = 2) -> Scene:
    """Return tables with workers of 16 cores and 32 GB in one pool."""
    config = OperatorConfig(
        version=1,
        pools_by_id={POOL: PoolPolicy(POOL)},
        partners_by_id={policy.id: policy for policy in policies},
    )
    scene = Scene(WorkTables(config=config))
    apply_quotas(scene.tables, config)
    for number in range(workers):
        scene.add_worker(number)
    return scene


def add_jobs(scene: Scene, partner: PartnerId, jobs: int, **changes: object) -> None:
    """Add jobs of 8 core-seconds each, in 8 tasks."""
    step = create_step(**{"count": 8, "estimate_ms": 500, **changes})
    for _ in range(jobs):
        name = f"{partner}-{len(scene.tables.jobs_by_id)}"
        scene.add_job(name, step, partner=partner)


def find_waits(scene: Scene, now: float = NOW) -> dict[PartnerId, float]:
    waits = forecast_waits(scene.tables, now)
    assert all(wait.pool_id == POOL for wait in waits)
    return {wait.partner_id: wait.wait_ms / 1_000 for wait in waits}


def test_only_the_hot_partner_waits_in_a_full_pool():
    """Load: one of three partners sends eight times as much as each other."""
    scene = create_scene(PartnerPolicy(each) for each in (ZIWA, PWANI, MTO))
    add_jobs(scene, ZIWA, 32)
    add_jobs(scene, PWANI, 1, count=4)
    add_jobs(scene, MTO, 1, count=4)
    waits = find_waits(scene)
    assert waits.keys() == {ZIWA}
    # 256 core-seconds at what the 16 cores of the others leave of 32.
    assert waits[ZIWA] == pytest.approx(16.0, abs=0.1)


@pytest.mark.parametrize(
    ("weights", "ratio"),
    [
        ((1.0, 1.0), 1.0),
        ((3.0, 1.0), 1 / 3),
        ((0.0, 1.0), 1.0),
        ((-2.0, 1.0), 1.0),
        ((math.nan, 1.0), 1.0),
        ((math.inf, 1.0), 1.0),
        ((1e300, 1e300), 1.0),
        ((5e-324, 5e-324), 1.0),
    ],
)
def test_waits_follow_the_weights(weights: tuple[float, float], ratio: float):
    """Load: two partners with the same work, each several times what the pool has."""
    partners = zip((ZIWA, PWANI), weights, strict=True)
    scene = create_scene(PartnerPolicy(each, weight) for each, weight in partners)
    add_jobs(scene, ZIWA, 20)
    add_jobs(scene, PWANI, 20)
    waits = find_waits(scene)
    assert waits[ZIWA] / waits[PWANI] == pytest.approx(ratio, rel=0.01)


@pytest.mark.parametrize(
    ("partners", "jobs"), [((ZIWA, PWANI), 2), ((ZIWA,), 40), ((), 40)]
)
def test_nothing_is_forecast(partners: tuple[PartnerId, ...], jobs: int):
    """Load: a pool without overload, and deployments with fewer than two partners."""
    scene = create_scene(PartnerPolicy(each) for each in partners)
    add_jobs(scene, ZIWA, jobs)
    assert forecast_waits(scene.tables, NOW) == ()


def test_quota_lowered_far_below_use_lengthens_the_wait():
    """Load: a burst of two partners; one's quota falls to two cores of 32."""
    scene = create_scene(PartnerPolicy(each) for each in (ZIWA, PWANI))
    add_jobs(scene, ZIWA, 10)
    add_jobs(scene, PWANI, 10)
    start(scene)
    before = find_waits(scene)[ZIWA]
    quota = PartnerPolicy(ZIWA, quota=Resources(cpu_millis=2_000))
    apply_quotas(scene.tables, OperatorConfig(2, partners_by_id={ZIWA: quota}))
    after = find_waits(scene)
    assert after[ZIWA] > 5 * before
    assert after[PWANI] < after[ZIWA]


def test_quota_used_up_by_long_running_tasks_gives_the_longest_wait():
    scene = create_scene(
        [PartnerPolicy(ZIWA, quota=Resources(cpu_millis=4_000)), PartnerPolicy(PWANI)]
    )
    scene.add_job("held", create_step(count=2, long_running=True), partner=ZIWA)
    start(scene)
    add_jobs(scene, ZIWA, 4)
    add_jobs(scene, PWANI, 10)
    assert find_waits(scene)[ZIWA] == MAX_WAIT_SECONDS


def test_long_running_tasks_take_capacity_from_batch_work():
    """Load: two hot partners, without and with long-running tasks on half the cores."""
    waits = []
    for long_tasks in (0, 8):
        scene = create_scene(PartnerPolicy(each) for each in (ZIWA, PWANI, MTO))
        if long_tasks:
            step = create_step(count=long_tasks, long_running=True)
            scene.add_job("held", step, partner=MTO)
            start(scene)
        add_jobs(scene, ZIWA, 10)
        add_jobs(scene, PWANI, 10)
        waits.append(find_waits(scene)[ZIWA])
    assert waits[1] == pytest.approx(2 * waits[0], rel=0.01)


def test_wait_is_no_longer_than_with_all_vms_of_the_fleet():
    """Guards against refusals for a pool that is about to grow."""
    waits = []
    for spare_vms in (0, 14):
        scene = create_scene(PartnerPolicy(each) for each in (ZIWA, PWANI))
        for number in range(spare_vms):
            scene.add_vm(100 + number)
        add_jobs(scene, ZIWA, 40)
        add_jobs(scene, PWANI, 40)
        waits.append(find_waits(scene)[ZIWA])
    assert waits[1] == pytest.approx(waits[0] / 8 + MOVE_SECONDS, rel=0.01)


def test_late_work_counts_half():
    """Guards against waits for work that is placed after new jobs."""
    scene = create_scene(PartnerPolicy(each) for each in (ZIWA, PWANI))
    add_jobs(scene, ZIWA, 20)
    add_jobs(scene, PWANI, 20)
    later = find_waits(scene, NOW + 1.5)
    assert later[ZIWA] == pytest.approx(find_waits(scene)[ZIWA] / 2, rel=0.01)


def test_overdue_work_delays_nobody():
    """Guards against refusals for a backlog that new jobs are placed before."""
    scene = create_scene(PartnerPolicy(each) for each in (ZIWA, PWANI))
    add_jobs(scene, ZIWA, 40)
    add_jobs(scene, PWANI, 40)
    assert find_waits(scene, NOW).keys() == {ZIWA, PWANI}
    assert find_waits(scene, NOW + 20.0) == {}


def test_takeover_counts_workers_that_were_not_reached_yet():
    """Guards against refusals by a new controller that has called few workers."""
    scene = create_scene(PartnerPolicy(each) for each in (ZIWA, PWANI))
    add_jobs(scene, ZIWA, 20)
    add_jobs(scene, PWANI, 20)
    before = find_waits(scene)
    for worker in scene.tables.workers_by_id.values():
        worker.reconciled = False
    assert find_waits(scene) == before
    for worker in scene.tables.workers_by_id.values():
        worker.unanswered_since = NOW - 5.0
    assert find_waits(scene) == {}


def test_less_urgent_work_delays_no_urgent_job():
    """Load: an overload of a queue with priority 1; 0 goes first."""
    scene = create_scene(PartnerPolicy(each) for each in (ZIWA, PWANI))
    for partner in (ZIWA, PWANI):
        for number in range(20):
            step = create_step(count=8)
            scene.add_job(f"{partner}{number}", step, partner=partner, priority=1)
    assert {each.priority for each in forecast_waits(scene.tables, NOW)} == {1}


def test_thousand_partners_give_a_bounded_record():
    """Load: a thousand partners with work in one pool, each tenth of them hot."""
    partners = [PartnerId(f"p{number}") for number in range(1_000)]
    scene = create_scene((PartnerPolicy(each) for each in partners), workers=40)
    for number, partner in enumerate(partners):
        add_jobs(scene, partner, 4 if number % 10 == 0 else 1, count=1 + number % 7)
    waits = forecast_waits(scene.tables, NOW)
    assert len(waits) == MAX_FORECASTS
    lengths = [each.wait_ms for each in waits]
    assert lengths == sorted(lengths, reverse=True)


@settings(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    jobs=st.lists(st.integers(0, 30), min_size=2, max_size=6),
    weights=st.lists(st.floats(0.1, 10.0), min_size=6, max_size=6),
    memory=st.integers(1, 16_000),
)
def test_partner_within_its_share_is_never_forecast(
    jobs: list[int], weights: list[float], memory: int
):
    """Guards against refusing a partner whose open tasks fit into its own part."""
    partners = [PartnerId(f"p{number}") for number in range(len(jobs))]
    policies = [
        PartnerPolicy(each, weight)
        for each, weight in zip(partners, weights, strict=False)
    ]
    scene = create_scene(policies)
    for number, partner in enumerate(partners):
        is_wide = number % 2 == 0
        add_jobs(scene, partner, jobs[number], memory_mb=memory if is_wide else 10)
    total_weight = sum(weights[: len(jobs)])
    waits = find_waits(scene)
    for number, partner in enumerate(partners):
        cores = 16.0 * jobs[number]
        gigabytes = 8 * jobs[number] * (memory if number % 2 == 0 else 10) / 1_000
        demand = max(cores / 32.0, gigabytes / 65.536)
        if demand <= weights[number] / total_weight:
            assert partner not in waits
