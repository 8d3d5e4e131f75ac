"""Order among partners while a pool has more work than it can do soon.

The order by latest start serves a partner the more, the more it sends. Under overload,
steps of the same tier and queue priority therefore go to the partner with the smallest
use of its dominant resource for its weight. Each step that is picked counts as used, so
that partners are filled up evenly (progressive filling), and within a partner the order
stays as it was. A partner's excess takes only what the others leave.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from heapq import heapify, heappop, heapreplace
from itertools import groupby
from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.ordering import TIER_LONG_RUNNING
from medlarspring_systems.scheduling.recent_use import measure_cpu, measure_memory

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarspring_systems.scheduling.ordering import Rank
    from medlarspring_systems.scheduling.recent_use import FleetCapacity
    from medlarspring_tables import PartnerId, Seconds
    from medlarspring_tables.scheduling import OperatorConfig, PartnerUsage, StepRun

MIN_PARTNERS = 2


@dataclass(slots=True)
class _Claim:
    """A partner's use in parts of the fleet for its weight, with the picked steps."""

    cpu: float
    memory: float
    cpu_unit: float
    """Part of the fleet's CPU that a millicore is, for the partner's weight."""
    memory_unit: float
    waiting: deque[StepRun] = field(default_factory=deque)

    def measure_level(self) -> float:
        return self.cpu if self.cpu >= self.memory else self.memory

    def add(self, step: StepRun) -> None:
        tasks = len(step.waiting)
        self.cpu += tasks * step.resources.cpu_millis * self.cpu_unit
        self.memory += tasks * step.resources.memory_mb * self.memory_unit


def has_shares(config: OperatorConfig) -> bool:
    """Return whether a configuration divides the fleet among partners."""
    return len(config.partners_by_id) >= MIN_PARTNERS


def order_by_shares(
    ranked: Iterable[tuple[Rank, StepRun]], capacity: FleetCapacity, now: Seconds
) -> list[StepRun]:
    """Return steps that are sorted by rank in the order among their partners."""
    claims: dict[PartnerId, _Claim] = {}
    ordered: list[StepRun] = []
    for (tier, _), group in groupby(ranked, key=lambda pair: pair[0][:2]):
        steps = [step for _, step in group]
        if tier != TIER_LONG_RUNNING:
            steps = _fill_evenly(steps, claims, capacity, now)
        ordered.extend(steps)
    return ordered


def _fill_evenly(
    steps: list[StepRun],
    claims: dict[PartnerId, _Claim],
    capacity: FleetCapacity,
    now: Seconds,
) -> list[StepRun]:
    active: dict[PartnerId, _Claim] = {}
    for step in steps:
        partner = step.job.partner
        claim = active.get(partner.partner_id)
        if claim is None:
            claim = claims.get(partner.partner_id)
            if claim is None:
                claim = _create_claim(partner, capacity, now)
                claims[partner.partner_id] = claim
            active[partner.partner_id] = claim
        claim.waiting.append(step)
    # Of partners with equal use, the one whose first step ranks first goes first.
    heap = [
        (claim.measure_level(), place, claim)
        for place, claim in enumerate(active.values())
    ]
    heapify(heap)
    ordered: list[StepRun] = []
    while heap:
        _, place, claim = heap[0]
        step = claim.waiting.popleft()
        ordered.append(step)
        claim.add(step)
        if claim.waiting:
            heapreplace(heap, (claim.measure_level(), place, claim))
        else:
            heappop(heap)
    return ordered


def _create_claim(usage: PartnerUsage, capacity: FleetCapacity, now: Seconds) -> _Claim:
    cpu_unit = 1.0 / (capacity.cpu_millis * usage.weight)
    memory_unit = 1.0 / (capacity.memory_mb * usage.weight)
    return _Claim(
        cpu=measure_cpu(usage, now) * cpu_unit,
        memory=measure_memory(usage, now) * memory_unit,
        cpu_unit=cpu_unit,
        memory_unit=memory_unit,
    )


__all__ = ["has_shares", "order_by_shares"]
