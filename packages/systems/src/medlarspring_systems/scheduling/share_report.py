"""Which partners' tasks wait behind others because they used more than their share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.ordering import measure_size_weight
from medlarspring_systems.scheduling.placement import list_schedulable_workers
from medlarspring_systems.scheduling.quotas import fits_quota
from medlarspring_systems.scheduling.recent_use import (
    measure_capacity,
    measure_level,
    measure_use,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    from medlarspring_tables import PartnerId, Seconds
    from medlarspring_tables.scheduling import StepRun, WorkTables

OVER_RATIO = 1.25
"""Multiple of its share from which a partner counts as over it.

It counts so until it is back at its share, so that use about the limit, which changes
with each task, is not reported over and over.
"""


@dataclass(frozen=True, slots=True)
class OverShare:
    """The figures that put a partner's waiting tasks behind those of others."""

    ratio: float
    """Its use for its weight, as a multiple of the mean of the active partners."""
    waiting: int
    """Number of its waiting batch tasks in overloaded pools."""
    weight: float
    cpu_millis: int
    """Held now plus held recently on average."""
    memory_mb: int


def list_partners_over_share(
    tables: WorkTables, former: Collection[PartnerId], now: Seconds
) -> dict[PartnerId, OverShare]:
    """Return the partners that wait in overloaded pools because of their use.

    ``former`` are those that were returned the last time.
    """
    if not tables.config.has_competing_partners:
        return {}
    waiting = _count_waiting_in_overload(tables, now)
    if len(waiting) < 2:
        return {}
    capacity = measure_capacity(tables)
    levels = {
        partner_id: measure_level(usage, capacity, now)
        for partner_id, usage in tables.usage_by_partner.items()
        if partner_id in waiting or usage.held_cpu_millis
    }
    weights = {each: tables.usage_by_partner[each].weight for each in levels}
    used = sum(level * weights[each] for each, level in levels.items())
    mean = used / sum(weights.values())
    over: dict[PartnerId, OverShare] = {}
    for partner_id, tasks in waiting.items():
        ratio = levels[partner_id] / mean if mean else 0.0
        if ratio <= (1.0 if partner_id in former else OVER_RATIO):
            continue
        usage = tables.usage_by_partner[partner_id]
        cpu, memory = measure_use(usage, now)
        over[partner_id] = OverShare(
            ratio=ratio,
            waiting=tasks,
            weight=usage.weight,
            cpu_millis=round(cpu),
            memory_mb=round(memory),
        )
    return over


def _count_waiting_in_overload(
    tables: WorkTables, now: Seconds
) -> dict[PartnerId, int]:
    counts: dict[PartnerId, int] = {}
    for pool_id, ready in tables.ready_by_pool.items():
        steps = [step for step in ready if _is_waiting(step)]
        if not steps:
            continue
        workers = list_schedulable_workers(tables, pool_id, now)
        if not measure_size_weight(steps, workers):
            continue
        for step in steps:
            partner_id = step.job.partner.partner_id
            counts[partner_id] = counts.get(partner_id, 0) + len(step.waiting)
    return counts


def _is_waiting(step: StepRun) -> bool:
    return (
        bool(step.waiting)
        and not step.spec.long_running
        and step.job.outcome is None
        and fits_quota(step)
    )


__all__ = ["OVER_RATIO", "OverShare", "list_partners_over_share"]
