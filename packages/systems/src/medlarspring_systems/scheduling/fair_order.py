"""Order among partners while a pool has more work than it can do soon.

The order by latest start serves a partner the more, the more it sends. Under overload,
partners are therefore compared by their use of their dominant resource for their
weight. Among steps of the same tier and queue priority, those of partners within their
share go first, in the order they had; the share is the weighted max-min share of what
the waiting partners use. What exceeds the shares follows, always a step of the partner
with the smallest use (progressive filling). Each picked step counts as used.

Filling alone would start a few steps of each partner's jobs and complete none in time,
even if all partners are equal.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from heapq import heapify, heappop, heapreplace
from itertools import groupby
from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.ordering import TIER_LONG_RUNNING
from medlarspring_systems.scheduling.recent_use import measure_cpu, measure_memory
from medlarspring_systems.slot_shares import divide_fairly

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarspring_systems.scheduling.ordering import Rank
    from medlarspring_systems.scheduling.recent_use import FleetCapacity
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import OperatorConfig, PartnerUsage, StepRun

MIN_PARTNERS = 2
STEPS_BEYOND_SHARE = 1.0
"""Mean waiting steps by which a partner may exceed its share.

Steps are started whole, so that partners with equal use are this far apart at any time.
"""


@dataclass(slots=True)
class _Claim:
    """A partner's use, and its steps that are to be ordered.

    Use is in parts of the fleet; ``cpu_unit`` and ``memory_unit`` are the parts that a
    millicore and a MB are.
    """

    usage: PartnerUsage
    cpu_unit: float
    memory_unit: float
    cpu: float = 0.0
    memory: float = 0.0
    waiting: deque[StepRun] = field(default_factory=deque)

    def add(self, step: StepRun) -> None:
        """Count the step's waiting tasks as used."""
        tasks = len(step.waiting)
        self.cpu += tasks * step.resources.cpu_millis * self.cpu_unit
        self.memory += tasks * step.resources.memory_mb * self.memory_unit

    def measure_part(self) -> float:
        """Return the use of the dominant resource."""
        return self.cpu if self.cpu >= self.memory else self.memory

    def measure_level(self) -> float:
        """Return the use of the dominant resource for the partner's weight."""
        return self.measure_part() / self.usage.weight


def has_shares(config: OperatorConfig) -> bool:
    """Return whether a configuration divides the fleet among partners."""
    return len(config.partners_by_id) >= MIN_PARTNERS


def order_by_shares(
    ranked: Iterable[tuple[Rank, StepRun]], capacity: FleetCapacity, now: Seconds
) -> list[StepRun]:
    """Return steps that are sorted by rank in the order among their partners."""
    claims: dict[PartnerUsage, _Claim] = {}
    ordered: list[StepRun] = []
    for (tier, _), group in groupby(ranked, key=lambda pair: pair[0][:2]):
        steps = [step for _, step in group]
        if tier == TIER_LONG_RUNNING:
            ordered.extend(steps)
            continue
        for usage in {step.job.partner: None for step in steps}:
            if usage not in claims:
                claims[usage] = _create_claim(usage, capacity, now)
        excess = _take_within_shares(steps, claims, ordered)
        ordered.extend(_fill_evenly(excess, claims))
    return ordered


def _create_claim(usage: PartnerUsage, capacity: FleetCapacity, now: Seconds) -> _Claim:
    cpu_unit = 1.0 / capacity.cpu_millis
    memory_unit = 1.0 / capacity.memory_mb
    return _Claim(
        usage,
        cpu_unit,
        memory_unit,
        cpu=measure_cpu(usage, now) * cpu_unit,
        memory=measure_memory(usage, now) * memory_unit,
    )


def _take_within_shares(
    steps: list[StepRun],
    claims: dict[PartnerUsage, _Claim],
    ordered: list[StepRun],
) -> list[StepRun]:
    """Append the steps within their partners' shares; return the others."""
    level, step_part = _find_share_level(steps, claims)
    allowance = STEPS_BEYOND_SHARE * step_part
    excess: list[StepRun] = []
    for step in steps:
        usage = step.job.partner
        claim = claims[usage]
        if claim.measure_part() <= level * usage.weight + allowance:
            claim.add(step)
            ordered.append(step)
        else:
            excess.append(step)
    return excess


def _find_share_level(
    steps: list[StepRun], claims: dict[PartnerUsage, _Claim]
) -> tuple[float, float]:
    """Return the use for its weight up to which a partner is within its share.

    Also returns the mean part of the fleet that a step's waiting tasks need.
    """
    waiting: dict[PartnerUsage, float] = {}
    for step in steps:
        usage = step.job.partner
        claim = claims[usage]
        part = len(step.waiting) * max(
            step.resources.cpu_millis * claim.cpu_unit,
            step.resources.memory_mb * claim.memory_unit,
        )
        waiting[usage] = waiting.get(usage, 0.0) + part
    used = {usage.partner_id: claims[usage].measure_part() for usage in waiting}
    wanted = {
        usage.partner_id: used[usage.partner_id] + part
        for usage, part in waiting.items()
    }
    weights = {usage.partner_id: usage.weight for usage in waiting}
    shares = divide_fairly(wanted, weights, sum(used.values()))
    level = max(share / weights[partner_id] for partner_id, share in shares.items())
    return level, sum(waiting.values()) / len(steps)


def _fill_evenly(
    steps: list[StepRun], claims: dict[PartnerUsage, _Claim]
) -> Iterable[StepRun]:
    """Yield the steps so that the partner with the smallest use is always the next."""
    active: dict[PartnerUsage, _Claim] = {}
    for step in steps:
        claim = active[step.job.partner] = claims[step.job.partner]
        claim.waiting.append(step)
    # Of partners with equal use, the one whose first step ranks first goes first.
    heap = [
        (claim.measure_level(), place, claim)
        for place, claim in enumerate(active.values())
    ]
    heapify(heap)
    while heap:
        _, place, claim = heap[0]
        step = claim.waiting.popleft()
        claim.add(step)
        yield step
        if claim.waiting:
            heapreplace(heap, (claim.measure_level(), place, claim))
        else:
            heappop(heap)


__all__ = ["has_shares", "order_by_shares"]
