"""Measures shares, utilisation, urgent starts and overload in simulated fleets.

Seeds are fixed, so the same code gives the same figures.
"""

from __future__ import annotations

from dataclasses import dataclass

from medlarspring_bench.measure.requests_fleet import Fleet
from medlarspring_bench.measure.requests_model import (
    ONE_WAY_SECONDS,
    SLOTS,
    FleetShape,
    Sharing,
    Tally,
)
from medlarspring_tables.requests import Urgency

SEEDS = (1, 2, 3)
WARM_SECONDS = 8.0
COUNTED_SECONDS = 12.0
PARTNERS = ("p1", "p2", "p3", "p4")
FLOOD_FACTOR = 10.0
OVERLOAD_FACTOR = 3.0
URGENT_RATE = 4.0
URGENT_SERVICE_SECONDS = 0.5
URGENT_DEADLINE_SECONDS = 10.0


@dataclass(slots=True, frozen=True)
class SaturatedRun:
    """Results of one run of a saturated fleet."""

    worst_share: float
    """Smallest fraction of its entitlement that a non-flooding partner got."""
    utilisation: float
    over_slots: int
    refusals: int


def _capacity(shape: FleetShape) -> float:
    """Return the requests per second that all slots together can serve."""
    busy = shape.service_seconds + 2 * ONE_WAY_SECONDS
    return shape.upstreams * SLOTS / busy


def _create_shape() -> FleetShape:
    return FleetShape(weights_by_partner=dict.fromkeys(PARTNERS, 1.0))


def run_flood(sharing: Sharing, seed: int) -> SaturatedRun:
    """Run a flood: one partner sends ten times its entitlement, others once."""
    shape = _create_shape()
    fleet = Fleet(shape, sharing, seed)
    entitled = _capacity(shape) / len(PARTNERS)
    for partner in PARTNERS[1:]:
        fleet.add_load(partner, entitled)
    fleet.add_load(PARTNERS[0], FLOOD_FACTOR * entitled)
    tally = _count(fleet)
    shares = [
        tally.served[partner] / min(entitled * COUNTED_SECONDS, tally.offered[partner])
        for partner in PARTNERS[1:]
    ]
    slot_seconds = shape.upstreams * SLOTS * COUNTED_SECONDS
    return SaturatedRun(
        worst_share=min(shares),
        utilisation=tally.busy_slot_seconds / slot_seconds,
        over_slots=tally.over_slots,
        refusals=tally.refusals_by_upstreams,
    )


def _count(fleet: Fleet) -> Tally:
    fleet.run_until(WARM_SECONDS)
    fleet.counts_from = fleet.clock.now()
    fleet.run_until(WARM_SECONDS + COUNTED_SECONDS)
    return fleet.tally


def measure_urgent_start(seed: int) -> float:
    """Return the p99 wait of urgent requests on a full fleet, in seconds."""
    shape = _create_shape()
    shape.service_seconds = URGENT_SERVICE_SECONDS
    shape.deadline_seconds = URGENT_DEADLINE_SECONDS
    fleet = Fleet(shape, Sharing.CREDITS, seed)
    entitled = _capacity(shape) / len(PARTNERS)
    for partner in PARTNERS[:3]:
        fleet.add_load(partner, 2 * entitled, Urgency.BULK)
    fleet.add_load(PARTNERS[3], URGENT_RATE, Urgency.URGENT)
    waits = sorted(_count(fleet).urgent_waits)
    return waits[len(waits) * 99 // 100]


def measure_goodput(load: float, seed: int) -> float:
    """Return responses within their deadline per second.

    ``load`` is the offered load as a multiple of the capacity.
    """
    shape = _create_shape()
    fleet = Fleet(shape, Sharing.CREDITS, seed)
    for partner in PARTNERS:
        fleet.add_load(partner, load * _capacity(shape) / len(PARTNERS))
    return _count(fleet).served.total() / COUNTED_SECONDS


def measure_sharing() -> list[str]:
    """Return one table row for each scheme of sharing slots."""
    rows = []
    for sharing in Sharing:
        runs = [run_flood(sharing, seed) for seed in SEEDS]
        rows.append(
            f"| {sharing.value} | {min(run.worst_share for run in runs):.3f}"
            f" | {min(run.utilisation for run in runs):.3f}"
            f" | {sum(run.refusals for run in runs)}"
            f" | {sum(run.over_slots for run in runs)} |"
        )
    return rows


def main() -> None:
    """Print the table."""
    print("| way | worst share | utilisation | refused by VMs | over slots |")
    print("| --- | --- | --- | --- | --- |")
    for row in measure_sharing():
        print(row)
    urgent = max(measure_urgent_start(seed) for seed in SEEDS)
    print(f"| p99 of urgent start on a full fleet (s) | {urgent:.3f} |")
    ratios = [
        measure_goodput(OVERLOAD_FACTOR, s) / measure_goodput(1.0, s) for s in SEEDS
    ]
    print(f"| goodput at 3 times / at 1 time the capacity | {min(ratios):.3f} |")


if __name__ == "__main__":
    main()
