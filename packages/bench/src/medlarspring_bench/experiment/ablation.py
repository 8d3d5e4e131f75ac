"""Runs with one mechanism disabled, compared with the same runs with all enabled."""

from __future__ import annotations

import statistics
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING

from medlarspring_bench.experiment.bursts import BurstPlan, run_bursts
from medlarspring_bench.experiment.mechanisms import MECHANISMS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from medlarspring_bench.experiment.bursts import BurstOutcome

PLANS = {
    "calm": BurstPlan(peak_vms=5.0),
    "overload": BurstPlan(peak_vms=9.0),
    "takeovers": BurstPlan(kills=(7.0, 19.0, 31.0)),
    "cold-start": BurstPlan(restarts=(13.0,)),
}
ALL_ON = "all on"


@dataclass(frozen=True, slots=True)
class Variant:
    """A plan, a disabled mechanism (or ``ALL_ON``) and a seed."""

    plan_name: str
    mechanism: str
    seed: int


@dataclass(frozen=True, slots=True)
class Row:
    """Effect of a mechanism in one plan: the result with it minus without it."""

    plan_name: str
    mechanism: str
    in_time: tuple[float, ...]
    """Difference in the fraction of jobs in time, by seed."""
    paid: tuple[float, ...]
    """Difference in paid VM-seconds, as a fraction of those with the mechanism."""
    moves: tuple[int, ...]

    def describe(self) -> str:
        """Return a line of a Markdown table."""
        low, high = min(self.in_time), max(self.in_time)
        return (
            f"| {self.plan_name} | {self.mechanism}"
            f" | {statistics.mean(self.in_time):+.3f} ({low:+.3f} to {high:+.3f})"
            f" | {statistics.mean(self.paid):+.1%}"
            f" | {statistics.mean(self.moves):+.0f} |"
        )


HEADER = (
    "| plan | mechanism | jobs in time | paid VM-seconds | moves |\n"
    "| --- | --- | --- | --- | --- |"
)


def run_variant(task: Variant) -> BurstOutcome:
    """Run one variant."""
    plan = PLANS[task.plan_name]
    if task.mechanism == ALL_ON:
        return run_bursts(plan, task.seed)
    mechanism = next(each for each in MECHANISMS if each.name == task.mechanism)
    with mechanism.switched_off():
        return run_bursts(plan, task.seed)


def measure(
    plan_names: Sequence[str], mechanisms: Sequence[str], seeds: int, jobs: int
) -> list[Row]:
    """Run all variants, ``jobs`` at a time; return a row per plan and mechanism."""
    tasks = [
        Variant(plan_name, mechanism, seed)
        for plan_name in plan_names
        for mechanism in (ALL_ON, *mechanisms)
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(jobs) as pool:
        outcomes = dict(zip(tasks, pool.map(run_variant, tasks), strict=True))
    return [
        _compare(outcomes, plan_name, mechanism, seeds)
        for plan_name in plan_names
        for mechanism in mechanisms
    ]


def _compare(
    outcomes: dict[Variant, BurstOutcome], plan_name: str, mechanism: str, seeds: int
) -> Row:
    pairs = [
        (
            outcomes[Variant(plan_name, ALL_ON, seed)],
            outcomes[Variant(plan_name, mechanism, seed)],
        )
        for seed in range(1, seeds + 1)
    ]
    return Row(
        plan_name=plan_name,
        mechanism=mechanism,
        in_time=tuple(on.in_time_part - off.in_time_part for on, off in pairs),
        paid=tuple(1.0 - off.paid_vm_seconds / on.paid_vm_seconds for on, off in pairs),
        moves=tuple(on.moves - off.moves for on, off in pairs),
    )


__all__ = ["ALL_ON", "HEADER", "PLANS", "Row", "Variant", "measure", "run_variant"]
