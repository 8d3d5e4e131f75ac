"""Recent use: counted with the runs, decayed, recorded and restored."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from medlarspring_bench.measure.partner_shares import put_partners_in_force
from medlarspring_systems.decayed_use import find_remaining, grow_unit, integrate
from medlarspring_systems.scheduling.quotas import find_usage
from medlarspring_systems.scheduling.recent_use import (
    MAX_RECORD_AGE_SECONDS,
    RECENT_SECONDS,
    count_use,
    list_largest_use,
    measure_capacity,
    measure_change,
    measure_level,
    restore_use,
)
from medlarspring_systems.scheduling.runs import end_run
from medlarspring_tables import PartnerId
from medlarspring_tables.scheduling import PartnerUse, RunEnd

from .conftest import NOW, Scene, create_step, start

ZIWA, PWANI = PartnerId("ziwa"), PartnerId("pwani")


def test_both_units_of_decayed_use_agree():
    """Guards against requests and jobs that forget past use at different rates."""
    unit = grow_unit(3.0, 2.0)
    assert unit is not None
    assert 1.0 / unit == pytest.approx(find_remaining(3.0, 2.0))
    assert grow_unit(1_000.0, 2.0) is None
    assert find_remaining(1e9, 2.0) >= 0.0
    later = find_remaining(2.0, 4.0) * integrate(1.0, 4.0) + integrate(2.0, 4.0)
    assert later == pytest.approx(integrate(3.0, 4.0))


def test_use_rises_while_a_run_lasts_and_decays_after_it(scene: Scene):
    scene.add_worker(1)
    scene.add_job("j", create_step(count=2), partner=ZIWA)
    runs = start(scene)
    usage = find_usage(scene.tables, ZIWA)
    assert (usage.held_cpu_millis, usage.used_core_seconds) == (4_000, 0.0)
    for run in runs:
        end_run(scene.tables, run, RunEnd.DONE, "", NOW + 1.0)
    assert usage.held_cpu_millis == usage.held_memory_mb == 0
    expected = 4.0 * RECENT_SECONDS * (1.0 - math.exp(-1.0 / RECENT_SECONDS))
    assert usage.used_core_seconds == pytest.approx(expected)
    count_use(usage, NOW + 1.0 + RECENT_SECONDS)
    assert usage.used_core_seconds == pytest.approx(expected / math.e)


def test_long_running_tasks_are_no_use(scene: Scene):
    scene.add_worker(1)
    scene.add_job("j", create_step(long_running=True), partner=ZIWA)
    assert len(start(scene)) == 1
    assert find_usage(scene.tables, ZIWA).held_cpu_millis == 0


def test_level_is_of_the_dominant_resource_for_the_weight(scene: Scene):
    scene.add_worker(1, cpu=10_000, memory=10_000)
    scene.add_job("j", create_step(cpu_millis=1_000, memory_mb=5_000), partner=ZIWA)
    start(scene)
    usage = find_usage(scene.tables, ZIWA)
    usage.weight = 2.0
    capacity = measure_capacity(scene.tables)
    assert measure_level(usage, capacity, NOW) == pytest.approx(0.25)


@pytest.mark.parametrize(
    ("age", "fraction"),
    [
        (0.0, 1.0),
        (-100.0, 1.0),
        (RECENT_SECONDS, 1.0 / math.e),
        (MAX_RECORD_AGE_SECONDS + 1.0, 0.0),
        (1e9, 0.0),
    ],
    ids=["now", "clock ahead", "decayed", "old", "very old"],
)
def test_record_counts_by_its_age_on_top_of_what_was_measured(
    scene: Scene, age: float, fraction: float
):
    put_partners_in_force(scene.tables, {ZIWA: 1.0})
    usage = find_usage(scene.tables, ZIWA)
    usage.used_core_seconds, usage.used_at = 3.0, NOW
    record = {ZIWA: PartnerUse(10.0, 20.0), PWANI: PartnerUse(10.0, 20.0)}
    restored = restore_use(scene.tables, record, age, NOW)
    assert restored == (1 if fraction else 0)
    assert usage.used_core_seconds == pytest.approx(3.0 + 10.0 * fraction)
    assert usage.used_mb_seconds == pytest.approx(20.0 * fraction)
    assert PWANI not in scene.tables.usage_by_partner


def test_record_holds_the_partners_with_the_largest_use(scene: Scene):
    scene.add_worker(1)
    partners = [PartnerId(f"p{number}") for number in range(1_000)]
    put_partners_in_force(scene.tables, dict.fromkeys(partners, 1.0))
    for number, partner in enumerate(partners):
        usage = find_usage(scene.tables, partner)
        usage.used_core_seconds, usage.used_at = float(number), NOW
    recorded = list_largest_use(scene.tables, 50, NOW)
    assert set(recorded) == set(partners[-50:])


def test_decay_alone_is_no_change_of_the_record(scene: Scene):
    """Guards against writes each second while nothing runs."""
    scene.add_worker(1)
    put_partners_in_force(scene.tables, {ZIWA: 1.0, PWANI: 1.0})
    usage = find_usage(scene.tables, ZIWA)
    usage.used_core_seconds, usage.used_at = 100.0, NOW
    former = list_largest_use(scene.tables, 50, NOW)
    current = list_largest_use(scene.tables, 50, NOW + 3.0)
    assert measure_change(scene.tables, former, current, 3.0) < 0.001
    assert measure_change(scene.tables, {}, current, 3.0) > 0.1


def test_partner_without_a_configuration_restores_nothing(scene: Scene):
    scene.tables.config = replace(scene.tables.config, partners_by_id={})
    assert restore_use(scene.tables, {ZIWA: PartnerUse(1.0, 1.0)}, 0.0, NOW) == 0
