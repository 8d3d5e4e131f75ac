"""Replays bursts of several partners in one pool, and measures what a round costs.

Partners send short jobs at rates of their own for four seconds, in virtual time. Each
load is replayed by the order of a configuration without partners and by the order among
partners. The cost of a round is measured in pairs, one of each order by turns.

Command: ``python -m medlarspring_bench.measure shares``
"""

from __future__ import annotations

import random
import statistics
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from medlarspring_bench.measure.burst_overload import (
    BURST_SECONDS,
    POOL,
    SETTLE_SECONDS,
    SHORT_JOBS,
    TICK_SECONDS,
    Replay,
    compute_outcome,
    create_tables,
)
from medlarspring_systems.scheduling.quotas import apply_quotas
from medlarspring_systems.scheduling.rounds import plan_round
from medlarspring_systems.scheduling.runs import detach_run
from medlarspring_tables import PartnerId
from medlarspring_tables.scheduling import JobOwner, PartnerPolicy

if TYPE_CHECKING:
    from collections.abc import Mapping

    from medlarspring_bench.measure.burst_overload import BurstOutcome, SimulatedJob
    from medlarspring_tables.scheduling import WorkTables

VMS = 20
"""A pool that does about 33 short jobs a second."""
SEEDS = range(3)
ROUND_PARTNERS = 370
ROUND_JOBS = 2_000
ROUND_PAIRS = 30


def put_partners_in_force(
    tables: WorkTables, weights: Mapping[PartnerId, float]
) -> None:
    """Apply a configuration with partners of the given weights."""
    partners = {
        partner_id: PartnerPolicy(partner_id, weight=weight)
        for partner_id, weight in weights.items()
    }
    tables.config = replace(tables.config, partners_by_id=partners)
    apply_quotas(tables, tables.config)


def replay_partners(
    rates: Mapping[PartnerId, float],
    seed: int,
    *,
    weights: Mapping[PartnerId, float] | None,
    vms: int = VMS,
) -> dict[PartnerId, BurstOutcome]:
    """Replay a burst of partners' jobs a second; without weights, without shares."""
    rng = random.Random(seed)
    replay = Replay(SHORT_JOBS, rng, create_tables(vms))
    if weights is not None:
        put_partners_in_force(replay.tables, weights)
    owners: list[tuple[PartnerId, SimulatedJob]] = []
    arrivals = {each: rng.expovariate(rate) for each, rate in rates.items()}
    for tick in range(round((BURST_SECONDS + SETTLE_SECONDS) / TICK_SECONDS)):
        now = tick * TICK_SECONDS
        for partner_id, rate in rates.items():
            while arrivals[partner_id] <= min(now, BURST_SECONDS):
                number = len(owners)
                owner = JobOwner(partner_id)
                replay.add_job(number, arrivals[partner_id], now, owner)
                job = list(replay.jobs_by_id.values())[-1]
                owners.append((partner_id, job))
                arrivals[partner_id] += rng.expovariate(rate)
        replay.end_due(now)
        for run in plan_round(replay.tables, POOL, now):
            replay.start(run, now)
    return {
        partner_id: compute_outcome([job for who, job in owners if who == partner_id])
        for partner_id in dict.fromkeys(who for who, _ in owners)
    }


def measure_round(*, with_shares: bool) -> float:
    """Return the CPU milliseconds of two rounds of many partners under overload."""
    rng = random.Random(1)
    replay = Replay(SHORT_JOBS, rng, create_tables(60))
    partners = [PartnerId(f"p{number}") for number in range(ROUND_PARTNERS)]
    if with_shares:
        put_partners_in_force(replay.tables, dict.fromkeys(partners, 1.0))
    for number in range(ROUND_JOBS):
        owner = JobOwner(partners[number % ROUND_PARTNERS])
        replay.add_job(number, 0.0, 0.0, owner)
    began = time.process_time()
    runs = plan_round(replay.tables, POOL, 0.01)
    first = time.process_time() - began
    plan_round(replay.tables, POOL, 0.02)
    for run in runs[::4]:
        detach_run(replay.tables, run, 0.3)
    began = time.process_time()
    plan_round(replay.tables, POOL, 0.4)
    return 1_000.0 * (first + time.process_time() - began)


def _print_loads() -> None:
    hot = {PartnerId(f"p{number}"): 1.5 for number in range(20)}
    hot[PartnerId("p0")] = 12.0
    hot = {each: rate if each == "p0" else 1.5 for each, rate in hot.items()}
    two_large = {
        PartnerId(f"p{number}"): 25.0 if number < 2 else 1.0 for number in range(20)
    }
    hot_large = {
        PartnerId(f"p{number}"): 96.0 if not number else 1.0 for number in range(20)
    }
    for title, rates in (
        ("one of twenty sends eight times its usual", hot),
        ("two large and eighteen small", two_large),
        ("a large one sends eight times its usual", hot_large),
    ):
        print(title)
        for name, weights in (
            ("without shares", None),
            ("with shares", dict.fromkeys(rates, 1.0)),
        ):
            results = [replay_partners(rates, seed, weights=weights) for seed in SEEDS]
            values = {
                each: statistics.mean(
                    result[each].value for result in results if each in result
                )
                for each in rates
            }
            small = [values[each] for each in rates if rates[each] < 2.0]
            print(
                f"  {name:16} largest {values[PartnerId('p0')]:.3f}"
                f"  small: mean {statistics.mean(small):.3f} worst {min(small):.3f}"
            )


def _print_cost() -> None:
    without, with_shares = [], []
    for _ in range(ROUND_PAIRS):
        without.append(measure_round(with_shares=False))
        with_shares.append(measure_round(with_shares=True))
    before, after = min(without), min(with_shares)
    print(
        f"two rounds, {ROUND_JOBS} jobs of {ROUND_PARTNERS} partners: {before:.2f} ms"
        f" without shares, {after:.2f} ms with, {after / before:.2f} times"
    )


def main() -> None:
    """Print the value that partners' jobs keep, and the cost of a round."""
    _print_loads()
    _print_cost()


if __name__ == "__main__":
    main()


__all__ = ["main", "measure_round", "put_partners_in_force", "replay_partners"]
