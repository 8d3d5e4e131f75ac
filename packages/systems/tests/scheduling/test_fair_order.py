"""Order among partners in an overloaded pool, and without partners."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies as st

from medlarspring_bench.measure.partner_shares import (
    put_partners_in_force,
    replay_partners,
)
from medlarspring_systems.scheduling.ordering import rank_step
from medlarspring_systems.scheduling.quotas import apply_quotas, find_usage
from medlarspring_systems.scheduling.recent_use import count_use
from medlarspring_systems.scheduling.rounds import plan_round
from medlarspring_systems.scheduling.runs import confirm_run, end_run
from medlarspring_systems.scheduling.share_report import list_partners_over_share
from medlarspring_systems.weights import normalise_weight
from medlarspring_tables import PartnerId
from medlarspring_tables.scheduling import (
    OperatorConfig,
    PartnerPolicy,
    Resources,
    RunEnd,
    WorkTables,
)

from .conftest import NOW, POOL, Scene, create_step, start

HOT, CALM, THIRD = PartnerId("hot"), PartnerId("calm"), PartnerId("third")
EQUAL = {HOT: 1.0, CALM: 1.0}
TASK_SECONDS = 0.5


def fill_pool(scene: Scene, *, partner: PartnerId = HOT, jobs: int = 24) -> None:
    """Add jobs of eight tasks; a worker of 16 cores runs one of them at a time."""
    for number in range(jobs):
        scene.add_job(f"{partner}-{number}", create_step(count=8), partner=partner)


def list_partners(scene: Scene, now: float) -> list[PartnerId]:
    """Start what fits, and return the partners of the started tasks."""
    return [run.task.step.job.owner.partner_id for run in start(scene, now)]


def end_all(scene: Scene, now: float) -> None:
    for worker in scene.tables.workers_by_id.values():
        for run in list(worker.runs.values()):
            end_run(scene.tables, run, RunEnd.DONE, "", now)


def test_job_of_a_calm_partner_goes_before_the_backlog_of_a_hot_one(scene: Scene):
    """Load: one partner's backlog of twelve seconds, and one job of another."""
    scene.add_worker(1)
    put_partners_in_force(scene.tables, EQUAL)
    fill_pool(scene)
    assert set(list_partners(scene, NOW)) == {HOT}
    scene.add_job("small", create_step(count=8), partner=CALM, now=NOW + 0.1)
    end_all(scene, NOW + TASK_SECONDS)
    assert set(list_partners(scene, NOW + TASK_SECONDS)) == {CALM}


def test_without_partners_the_order_is_by_rank(scene: Scene):
    """Guards against another order in a configuration without partners."""
    scene.add_worker(1)
    fill_pool(scene)
    scene.add_job("small", create_step(count=8), partner=CALM, now=NOW + 0.1)
    steps = list(scene.tables.ready_by_pool[POOL])
    ranks = {step: rank_step(step, NOW + 0.1, 0.125) for step in steps}
    expected = sorted(steps, key=ranks.__getitem__)[0]
    started = plan_round(scene.tables, POOL, NOW + 0.1)
    assert {run.task.step for run in started} == {expected}
    assert {run.task.step.job.owner.partner_id for run in started} == {HOT}


def test_pool_without_overload_keeps_the_order_by_rank(scene: Scene):
    scene.add_worker(1)
    put_partners_in_force(scene.tables, EQUAL)
    step = create_step(count=8, estimate_ms=400)
    scene.add_job("first", step, partner=HOT)
    usage = find_usage(scene.tables, HOT)
    usage.used_core_seconds, usage.used_at = 100.0, NOW
    scene.add_job("second", create_step(count=1), partner=CALM, now=NOW + 0.1)
    assert set(list_partners(scene, NOW + 0.1)) == {HOT}


def test_a_takeover_does_not_forget_who_used_most(scene: Scene):
    """Load: equal backlogs of two partners; one of them used the pool before."""
    scene.add_worker(1)
    put_partners_in_force(scene.tables, EQUAL)
    usage = find_usage(scene.tables, HOT)
    usage.used_core_seconds, usage.used_at = 100.0, NOW
    for partner in (HOT, CALM):
        fill_pool(scene, partner=partner, jobs=8)
    assert set(list_partners(scene, NOW)) == {CALM}


@pytest.mark.parametrize(
    ("weight", "expected"), [(1.0, {CALM}), (4.0, {HOT})], ids=["equal", "raised"]
)
def test_changed_weight_counts_in_the_next_round(
    scene: Scene, weight: float, expected: set[PartnerId]
):
    scene.add_worker(1)
    put_partners_in_force(scene.tables, EQUAL)
    for partner, used in ((HOT, 200.0), (CALM, 100.0)):
        fill_pool(scene, partner=partner, jobs=8)
        usage = find_usage(scene.tables, partner)
        usage.used_core_seconds, usage.used_at = used, NOW
    put_partners_in_force(scene.tables, {HOT: weight, CALM: 1.0})
    assert set(list_partners(scene, NOW)) == expected


@pytest.mark.parametrize(
    ("stated", "in_force"),
    [
        (None, 1.0),
        (0.0, 1.0),
        (-2.0, 1.0),
        (float("nan"), 1.0),
        (float("inf"), 1.0),
        (0.25, 0.25),
    ],
)
def test_unusable_weight_counts_as_one(
    scene: Scene, stated: float | None, in_force: float
):
    assert normalise_weight(stated) == in_force
    policy = PartnerPolicy(HOT, weight=stated)  # type: ignore[arg-type]
    config = OperatorConfig(version=2, partners_by_id={HOT: policy})
    apply_quotas(scene.tables, config)
    assert find_usage(scene.tables, HOT).weight == in_force


def test_a_thousand_partners_each_get_a_task(scene: Scene):
    scene.add_worker(1, cpu=2_000_000, memory=2_000_000)
    partners = [PartnerId(f"p{number}") for number in range(1_000)]
    put_partners_in_force(scene.tables, dict.fromkeys(partners, 1.0))
    for partner in partners:
        step = create_step(count=1, cpu_millis=20_000)
        scene.add_job(f"job-{partner}", step, partner=partner)
    runs = [run for _ in range(5) for run in plan_round(scene.tables, POOL, NOW)]
    assert len({run.task.step.job.partner.partner_id for run in runs}) == 100


def measure_burst(
    rates: dict[PartnerId, float], seed: int
) -> tuple[dict[PartnerId, float], dict[PartnerId, float]]:
    """Return the kept worth by partner, by the order among partners and without."""
    weights = dict.fromkeys(rates, 1.0)
    shared = replay_partners(rates, seed, weights=weights, vms=10)
    plain = replay_partners(rates, seed, weights=None, vms=10)
    return (
        {partner: outcome.value for partner, outcome in shared.items()},
        {partner: outcome.value for partner, outcome in plain.items()},
    )


@pytest.mark.parametrize("seed", range(2))
def test_hot_partner_costs_the_others_nothing_of_their_shares(seed: int):
    """Load: nine of ten partners within their shares, one sends eight times that."""
    rates = {PartnerId(f"p{number}"): 1.0 for number in range(10)}
    shared, plain = measure_burst({**rates, PartnerId("p0"): 40.0}, seed)
    others = [shared[partner] for partner in shared if partner != "p0"]
    before = [plain[partner] for partner in shared if partner != "p0"]
    assert sum(others) / len(others) >= 0.85
    assert sum(others) - sum(before) >= 0.2 * len(others)


@pytest.mark.parametrize("seed", range(2))
def test_small_partners_keep_their_service_in_a_burst_of_two_large(seed: int):
    """Load: two large and eighteen small partners, twice the pool's room."""
    rates = {PartnerId(f"p{number}"): 0.5 for number in range(20)}
    large = {PartnerId("p0"): 13.0, PartnerId("p1"): 13.0}
    shared, plain = measure_burst({**rates, **large}, seed)
    small = [partner for partner in shared if partner not in large]
    gained = [shared[partner] - plain[partner] for partner in small]
    assert sum(shared[partner] for partner in small) / len(small) >= 0.85
    assert sum(gained) > 0.0


def test_equal_partners_lose_little_against_one_common_order():
    """Guards against starting a part of every partner's jobs and completing none."""
    rates = {PartnerId(f"p{number}"): 3.3 for number in range(10)}
    shared, plain = measure_burst(rates, 0)
    assert sum(shared.values()) >= 0.92 * sum(plain.values())


def test_report_names_the_partner_over_its_share_until_it_is_back(scene: Scene):
    scene.add_worker(1)
    put_partners_in_force(scene.tables, EQUAL)
    fill_pool(scene)
    start(scene)
    assert list_partners_over_share(scene.tables, (), NOW + 0.1) == {}
    fill_pool(scene, partner=CALM)
    over = list_partners_over_share(scene.tables, (), NOW + 0.1)
    assert list(over) == [HOT]
    assert over[HOT].ratio > 1.9
    assert over[HOT].waiting == 23 * 8
    end_all(scene, NOW + TASK_SECONDS)
    start(scene, NOW + TASK_SECONDS)
    assert HOT not in list_partners_over_share(scene.tables, over, NOW + 0.6)


class ShareHistory:
    """A pool whose tasks all take the same time, one round for each time."""

    def __init__(self, workers: int, weights: dict[PartnerId, float]) -> None:
        self.scene = Scene(WorkTables(config=OperatorConfig(version=1)))
        for number in range(1, workers + 1):
            self.scene.add_worker(number)
        put_partners_in_force(self.scene.tables, weights)
        self.count = 0

    def submit(self, partner: PartnerId, tasks: int, now: float) -> None:
        self.count += 1
        step = create_step(count=tasks, estimate_ms=round(TASK_SECONDS * 1_000))
        self.scene.add_job(f"j{self.count}", step, partner=partner, now=now)

    def play_round(self, now: float) -> dict[PartnerId, int]:
        end_all(self.scene, now)
        started: dict[PartnerId, int] = {}
        for run in plan_round(self.scene.tables, POOL, now):
            confirm_run(run, now)
            partner = run.task.step.job.owner.partner_id
            started[partner] = started.get(partner, 0) + 1
        return started


@settings(max_examples=40, deadline=None, derandomize=True)
@given(
    workers=st.integers(1, 3),
    weight=st.sampled_from([0.5, 1.0, 2.0]),
    hot_jobs=st.integers(6, 30),
    calm_jobs=st.integers(1, 6),
    quota_tasks=st.integers(0, 12),
)
def test_any_burst_keeps_quota_work_and_shares(
    workers: int, weight: float, hot_jobs: int, calm_jobs: int, quota_tasks: int
):
    """No partner is over its quota, no room idles, and no share is cut by a burst."""
    history = ShareHistory(workers, {HOT: 1.0, CALM: weight})
    tables = history.scene.tables
    if quota_tasks:
        quota = Resources(cpu_millis=2_000 * quota_tasks)
        tables.usage_by_partner[HOT].quota = quota
    room = 8 * workers
    for _ in range(hot_jobs):
        history.submit(HOT, 8, NOW)
    hot_left, calm_left = 8 * hot_jobs, 8 * calm_jobs
    hot_left -= history.play_round(NOW).get(HOT, 0)
    for _ in range(calm_jobs):
        history.submit(CALM, 8, NOW + 0.1)
    served = 0
    for number in range(1, 8):
        started = history.play_round(NOW + number * TASK_SECONDS)
        hot, calm = started.get(HOT, 0), started.get(CALM, 0)
        assert not quota_tasks or hot <= quota_tasks
        may_start = min(hot_left, quota_tasks or hot_left) + calm_left
        assert hot + calm == min(room, may_start)
        hot_left, calm_left, served = hot_left - hot, calm_left - calm, served + calm
        # The share of a job's eight tasks is the one task time that it may be behind.
        share = number * room * weight / (1.0 + weight)
        assert served >= min(8 * calm_jobs, share - max(room, 8))


def test_order_is_steady_about_the_threshold_of_overload(scene: Scene):
    """Load: a backlog that crosses the threshold in each round."""
    scene.add_worker(1)
    put_partners_in_force(scene.tables, {**EQUAL, THIRD: 1.0})
    waits: list[float] = []
    for number in range(20):
        now = NOW + number * TASK_SECONDS
        end_all(scene, now)
        for index in range(1 + number % 2):
            step = create_step(count=8)
            scene.add_job(f"hot-{number}-{index}", step, partner=HOT, now=now)
        step = create_step(count=1)
        scene.add_job(f"calm-{number}", step, partner=CALM, now=now)
        waits.extend(
            now - run.task.step.ready_at
            for run in start(scene, now)
            if run.task.step.job.owner.partner_id == CALM
        )
    assert len(waits) >= 18
    assert max(waits) <= 2 * TASK_SECONDS


def test_removed_partner_keeps_its_use_and_weight(scene: Scene):
    put_partners_in_force(scene.tables, {HOT: 2.0, CALM: 1.0})
    config = replace(scene.tables.config, partners_by_id={})
    apply_quotas(scene.tables, config)
    usage = find_usage(scene.tables, HOT)
    count_use(usage, NOW)
    assert usage.weight == 2.0
