"""Recent use of CPU and memory by each partner's batch tasks.

A partner's use is what its runs hold now plus what they held on average over the last
seconds, as parts of the fleet. What it holds counts from the moment of the decision, so
that one round after another can't give it everything; the average is remembered when
runs have ended. Long-running tasks are left out: they are placed before all others.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from medlarspring_systems.decayed_use import find_remaining, integrate
from medlarspring_systems.scheduling.quotas import find_usage
from medlarspring_tables.scheduling import PartnerUse

if TYPE_CHECKING:
    from collections.abc import Mapping

    from medlarspring_tables import PartnerId, Seconds
    from medlarspring_tables.scheduling import PartnerUsage, StepRun, WorkTables

RECENT_SECONDS = 10.0
"""Time constant of the decay of past use, which is several times a batch task's
duration and longer than a takeover."""

MAX_RECORD_AGE_SECONDS = 6.0 * RECENT_SECONDS
"""Age from which a record of use is ignored: it would count less than 1/400."""


@dataclass(frozen=True, slots=True)
class FleetCapacity:
    """CPU and memory of all workers; never 0, so that parts of it are defined."""

    cpu_millis: float
    memory_mb: float


def measure_capacity(tables: WorkTables) -> FleetCapacity:
    """Return what all workers have together."""
    cpu = memory = 0
    for worker in tables.workers_by_id.values():
        cpu += worker.resources.cpu_millis
        memory += worker.resources.memory_mb
    return FleetCapacity(float(max(cpu, 1)), float(max(memory, 1)))


def begin_use(step: StepRun, now: Seconds) -> None:
    """Count a run of the step's tasks as holding its resources from now on."""
    if step.spec.long_running:
        return
    usage = step.job.partner
    count_use(usage, now)
    usage.held_cpu_millis += step.resources.cpu_millis
    usage.held_memory_mb += step.resources.memory_mb


def end_use(step: StepRun, now: Seconds) -> None:
    """Stop counting a run of the step's tasks; its use until now is remembered."""
    if step.spec.long_running:
        return
    usage = step.job.partner
    count_use(usage, now)
    usage.held_cpu_millis -= step.resources.cpu_millis
    usage.held_memory_mb -= step.resources.memory_mb


def count_use(usage: PartnerUsage, now: Seconds) -> None:
    """Update a partner's past use to now."""
    elapsed = now - usage.used_at
    if elapsed <= 0.0:
        return
    remaining = find_remaining(elapsed, RECENT_SECONDS)
    added = integrate(elapsed, RECENT_SECONDS)
    cores = usage.held_cpu_millis / 1_000.0
    usage.used_core_seconds = remaining * usage.used_core_seconds + added * cores
    usage.used_mb_seconds = (
        remaining * usage.used_mb_seconds + added * usage.held_memory_mb
    )
    usage.used_at = now


def measure_use(usage: PartnerUsage, now: Seconds) -> tuple[float, float]:
    """Return the millicores and MB held now plus those held recently on average."""
    count_use(usage, now)
    return (
        usage.held_cpu_millis + 1_000.0 * usage.used_core_seconds / RECENT_SECONDS,
        usage.held_memory_mb + usage.used_mb_seconds / RECENT_SECONDS,
    )


def measure_level(usage: PartnerUsage, capacity: FleetCapacity, now: Seconds) -> float:
    """Return a partner's use of its dominant resource for its weight.

    The dominant resource is the one of which it uses the larger part of the fleet's.
    """
    cpu, memory = measure_use(usage, now)
    part = max(cpu / capacity.cpu_millis, memory / capacity.memory_mb)
    return part / usage.weight


def list_largest_use(
    tables: WorkTables, limit: int, now: Seconds
) -> dict[PartnerId, PartnerUse]:
    """Return the past use of the partners that used the largest parts of the fleet."""
    capacity = measure_capacity(tables)
    parts: list[tuple[float, PartnerId]] = []
    for partner_id, usage in tables.usage_by_partner.items():
        count_use(usage, now)
        part = _find_past_part(usage.used_core_seconds, usage.used_mb_seconds, capacity)
        if part > 0.0:
            parts.append((part, partner_id))
    parts.sort(reverse=True)
    return {
        partner_id: PartnerUse(
            round(usage.used_core_seconds, 1), round(usage.used_mb_seconds)
        )
        for _, partner_id in parts[:limit]
        for usage in (tables.usage_by_partner[partner_id],)
    }


def measure_change(
    tables: WorkTables,
    former: Mapping[PartnerId, PartnerUse],
    current: Mapping[PartnerId, PartnerUse],
    elapsed: Seconds,
) -> float:
    """Return the largest error of a former record, as a part of the fleet.

    A successor lets a record decay by its age, so that only use since then counts.
    """
    capacity = measure_capacity(tables)
    remaining = find_remaining(elapsed, RECENT_SECONDS)
    nothing = PartnerUse(0.0, 0.0)
    changes = []
    for partner_id in former.keys() | current.keys():
        before = former.get(partner_id, nothing)
        after = current.get(partner_id, nothing)
        cores = abs(after.core_seconds - remaining * before.core_seconds)
        memory = abs(after.mb_seconds - remaining * before.mb_seconds)
        changes.append(_find_past_part(cores, memory, capacity))
    return max(changes, default=0.0)


def _find_past_part(
    core_seconds: float, mb_seconds: float, capacity: FleetCapacity
) -> float:
    cpu = 1_000.0 * core_seconds / capacity.cpu_millis
    return max(cpu, mb_seconds / capacity.memory_mb) / RECENT_SECONDS


def restore_use(
    tables: WorkTables,
    use_by_partner: Mapping[PartnerId, PartnerUse],
    age: Seconds,
    now: Seconds,
) -> int:
    """Add a former controller's record to the use measured since.

    Partners that the configuration in force does not contain are left out. Returns how
    many were restored; none from a record that is too old. An age below 0, from a VM
    whose clock is ahead, counts as 0.
    """
    if age > MAX_RECORD_AGE_SECONDS:
        return 0
    remaining = find_remaining(age, RECENT_SECONDS)
    restored = 0
    for partner_id, use in use_by_partner.items():
        if partner_id not in tables.config.partners_by_id:
            continue
        usage = find_usage(tables, partner_id)
        count_use(usage, now)
        usage.used_core_seconds += remaining * use.core_seconds
        usage.used_mb_seconds += remaining * use.mb_seconds
        restored += 1
    return restored


__all__ = [
    "MAX_RECORD_AGE_SECONDS",
    "RECENT_SECONDS",
    "FleetCapacity",
    "begin_use",
    "count_use",
    "end_use",
    "list_largest_use",
    "measure_capacity",
    "measure_change",
    "measure_level",
    "measure_use",
    "restore_use",
]
