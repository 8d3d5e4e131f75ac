"""Estimates the size of jobs from lagging reports of their resource use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_tables import Size, SizeEstimate

if TYPE_CHECKING:
    from collections import deque

    from medlarspring_tables import Job, JobTables

MIN_OBSERVATIONS = 4
CPU_QUANTILE = 0.8
"""Lower than the memory quantile: too few processors only slow a job down."""
MEMORY_QUANTILE = 0.95
"""Too little memory ends a job, so memory is estimated more cautiously."""
HEADROOM = 1.15
"""Factor by which a reservation exceeds the quantile of the observed use."""
MIN_RATIO = 0.05
MAX_RATIO = 12.0
DEFAULT_ESTIMATE = SizeEstimate()
"""The declared size applies until a few attempts of a kind were observed."""


def estimate_size(tables: JobTables, job: Job, largest: Size) -> Size:
    """Return the size to reserve for a job, at most that of a whole worker.

    Accelerators are whole devices that a job opens itself, so their declared
    number applies.
    """
    estimate = tables.estimates_by_kind.get(
        (job.partner_id, job.kind), DEFAULT_ESTIMATE
    )
    cpus = job.declared.cpus * estimate.cpu_ratio
    memory_gb = job.declared.memory_gb * estimate.memory_ratio
    return Size(
        min(max(cpus, job.least.cpus), largest.cpus),
        min(max(memory_gb, job.least.memory_gb), largest.memory_gb),
        job.declared.accelerators,
    )


def raise_minimum_size(job: Job, peak: Size) -> Size:
    """Return the minimum size to reserve after an attempt ran out of memory.

    With the same size, every further attempt would run out of memory too.
    Doubling reaches a whole worker within a few attempts even when the reported
    peak is cut off at the worker's limit.
    """
    assert job.attempt is not None
    memory = max(peak.memory_gb * HEADROOM, job.attempt.size.memory_gb * 2)
    return Size(job.least.cpus, max(memory, job.least.memory_gb))


def record_peak_use(tables: JobTables, job: Job, peak: Size) -> None:
    """Record the peak use of one attempt that ran for a while."""
    key = (job.partner_id, job.kind)
    estimate = tables.estimates_by_kind.setdefault(key, SizeEstimate())
    _add_ratio(estimate.cpu_ratios, peak.cpus, job.declared.cpus)
    _add_ratio(estimate.memory_ratios, peak.memory_gb, job.declared.memory_gb)
    if len(estimate.cpu_ratios) >= MIN_OBSERVATIONS:
        estimate.cpu_ratio = _quantile(estimate.cpu_ratios, CPU_QUANTILE) * HEADROOM
    if len(estimate.memory_ratios) >= MIN_OBSERVATIONS:
        estimate.memory_ratio = (
            _quantile(estimate.memory_ratios, MEMORY_QUANTILE) * HEADROOM
        )


def correct_attempt_size(job: Job, used: Size) -> Size | None:
    """Return a larger size for a running job that exceeds its reservation, or None.

    Reports lag, so an attempt may have grown before its use is reported. Reserving
    the observed use keeps new work off the worker until the use decreases.
    """
    if job.attempt is None:
        return None
    size = job.attempt.size
    if used.cpus <= size.cpus and used.memory_gb <= size.memory_gb:
        return None
    return Size(
        max(size.cpus, used.cpus),
        max(size.memory_gb, used.memory_gb * HEADROOM),
        size.accelerators,
    )


def _add_ratio(ratios: deque[float], used: float, declared: float) -> None:
    if declared > 0:
        ratios.append(min(max(used / declared, MIN_RATIO), MAX_RATIO))


def _quantile(ratios: deque[float], quantile: float) -> float:
    ordered = sorted(ratios)
    return ordered[min(int(len(ordered) * quantile), len(ordered) - 1)]


__all__ = [
    "estimate_size",
    "correct_attempt_size",
    "record_peak_use",
    "raise_minimum_size",
]
