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
from medlarspring_systems.scheduling.recent_use import measure_use
from medlarspring_systems.slot_shares import divide_fairly

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarspring_systems.scheduling.ordering import Rank
    from medlarspring_systems.scheduling.recent_use import FleetCapacity
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import PartnerUsage, StepRun

MAX_ORDERED_STEPS = 400
"""Steps after which the others follow by their rank.

A round starts at most half as many tasks, and to order the rest would double its cost.
"""


@dataclass(slots=True, eq=False)
class _Claim:
    """A partner's use in parts of the fleet, and its steps that exceed its share."""

    usage: PartnerUsage
    cpu: float
    memory: float
    part: float
    """Use of the dominant resource."""
    wanted: float = 0.0
    """Use if all its steps of the present group ran."""
    limit: float = 0.0
    """Use up to which its steps are within its share."""
    excess: deque[StepRun] = field(default_factory=deque)


def order_by_shares(
    ranked: Iterable[tuple[Rank, StepRun]], capacity: FleetCapacity, now: Seconds
) -> list[StepRun]:
    """Return steps that are sorted by rank in the order among their partners."""
    order = _Order(capacity, now)
    for (tier, _), group in groupby(ranked, key=lambda pair: pair[0][:2]):
        steps = [step for _, step in group]
        if tier == TIER_LONG_RUNNING or len(order.steps) >= MAX_ORDERED_STEPS:
            order.steps.extend(steps)
        else:
            order.add_group(steps)
    return order.steps


class _Order:
    """The steps ordered so far, and what their partners use with them."""

    def __init__(self, capacity: FleetCapacity, now: Seconds) -> None:
        self.steps: list[StepRun] = []
        self._now = now
        self._cpu_unit = 1.0 / capacity.cpu_millis
        self._memory_unit = 1.0 / capacity.memory_mb
        self._claims: dict[PartnerUsage, _Claim] = {}

    def add_group(self, steps: list[StepRun]) -> None:
        """Add steps of equal tier and priority, which are sorted by rank."""
        claims = self._find_claims(steps)
        self._set_limits(dict.fromkeys(claims))
        excess: list[StepRun] = []
        exceeding: dict[_Claim, None] = {}
        for step, claim in zip(steps, claims, strict=True):
            if claim.part <= claim.limit:
                self._pick(step, claim)
            else:
                excess.append(step)
                claim.excess.append(step)
                exceeding[claim] = None
        self._fill_evenly(excess, list(exceeding))

    def _find_claims(self, steps: list[StepRun]) -> list[_Claim]:
        """Return the claim of each step's partner, with all that it wants."""
        cpu_unit, memory_unit = self._cpu_unit, self._memory_unit
        by_usage: dict[PartnerUsage, _Claim] = {}
        claims: list[_Claim] = []
        for step in steps:
            usage = step.job.partner
            claim = by_usage.get(usage)
            if claim is None:
                claim = by_usage[usage] = self._get_claim(usage)
            resources = step.resources
            cpu = resources.cpu_millis * cpu_unit
            memory = resources.memory_mb * memory_unit
            claim.wanted += len(step.waiting) * (cpu if cpu >= memory else memory)
            claims.append(claim)
        return claims

    def _set_limits(self, claims: Iterable[_Claim]) -> None:
        """Set the shares: what is used now, divided fairly among those who want it."""
        by_id = {claim.usage.partner_id: claim for claim in claims}
        shares = divide_fairly(
            {partner_id: claim.wanted for partner_id, claim in by_id.items()},
            {partner_id: claim.usage.weight for partner_id, claim in by_id.items()},
            sum(claim.part for claim in by_id.values()),
        )
        for partner_id, claim in by_id.items():
            claim.limit = shares[partner_id]

    def _get_claim(self, usage: PartnerUsage) -> _Claim:
        claim = self._claims.get(usage)
        if claim is None:
            cpu, memory = measure_use(usage, self._now)
            cpu, memory = cpu * self._cpu_unit, memory * self._memory_unit
            claim = _Claim(usage, cpu, memory, max(cpu, memory))
            self._claims[usage] = claim
        claim.wanted = claim.part
        return claim

    def _pick(self, step: StepRun, claim: _Claim) -> None:
        """Append a step, and count its waiting tasks as used."""
        tasks, resources = len(step.waiting), step.resources
        claim.cpu += tasks * resources.cpu_millis * self._cpu_unit
        claim.memory += tasks * resources.memory_mb * self._memory_unit
        claim.part = claim.cpu if claim.cpu >= claim.memory else claim.memory
        self.steps.append(step)

    def _fill_evenly(self, excess: list[StepRun], claims: list[_Claim]) -> None:
        """Append the steps beyond the shares, always of the partner with least use."""
        # Of partners with equal use, the one whose first step ranks first goes first.
        heap = [
            (claim.part / claim.usage.weight, place)
            for place, claim in enumerate(claims)
        ]
        heapify(heap)
        begin = len(self.steps)
        while heap and len(self.steps) < MAX_ORDERED_STEPS:
            place = heap[0][1]
            claim = claims[place]
            self._pick(claim.excess.popleft(), claim)
            if claim.excess:
                heapreplace(heap, (claim.part / claim.usage.weight, place))
            else:
                heappop(heap)
        if heap:
            filled = set(self.steps[begin:])
            self.steps.extend(step for step in excess if step not in filled)
            for claim in claims:
                claim.excess.clear()


__all__ = ["order_by_shares"]
