"""The ablation tool: runs are reproducible, and each mechanism can be disabled."""

from __future__ import annotations

import pytest

from medlarspring_bench.experiment.ablation import ALL_ON, PLANS, Variant, run_variant
from medlarspring_bench.experiment.bursts import BurstPlan, run_bursts
from medlarspring_bench.experiment.mechanisms import MECHANISMS

SHORT = BurstPlan(queues=2, cycles=1, burst_seconds=4.0, kills=(4.5,))


def test_same_seed_gives_the_same_outcome():
    first, second = run_bursts(SHORT, 3), run_bursts(SHORT, 3)
    assert (first.jobs, first.in_time, first.moves) == (
        second.jobs,
        second.in_time,
        second.moves,
    )
    assert first.jobs > 50


@pytest.mark.parametrize("mechanism", MECHANISMS, ids=lambda each: each.name)
def test_mechanism_is_switched_off_and_on_again(mechanism):  # type: ignore[no-untyped-def]
    before = getattr(mechanism.owner, mechanism.attribute)
    with mechanism.switched_off():
        assert getattr(mechanism.owner, mechanism.attribute) is mechanism.off
    assert getattr(mechanism.owner, mechanism.attribute) is before


def test_guarantees_hold_without_any_one_mechanism():
    """Mechanisms affect only the timing of jobs, so guarantees hold without them."""
    for mechanism in MECHANISMS:
        with mechanism.switched_off():
            assert run_bursts(SHORT, 1).breaches == []


def test_named_plans_and_mechanisms_can_be_run():
    assert {each.name for each in MECHANISMS}
    assert len({each.name for each in MECHANISMS}) == len(MECHANISMS)
    assert run_variant(Variant("calm", ALL_ON, 1)).in_time_part > 0.9
    assert set(PLANS) == {"calm", "overload", "takeovers", "cold-start"}
