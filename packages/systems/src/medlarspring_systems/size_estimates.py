"""What size a job is believed to have, learnt from lagged reports of use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_tables import Size, SizeEstimate

if TYPE_CHECKING:
    from collections import deque

    from medlarspring_tables import Job, JobTables

MIN_OBSERVATIONS = 4
CPU_QUANTILE = 0.8
"""Too little processor time only slows a job down."""
MEMORY_QUANTILE = 0.95
"""Too little memory ends a job, so memory leaves more room."""
HEADROOM = 1.15
"""Set aside this much more than the quantile of what was seen."""
MIN_RATIO = 0.05
MAX_RATIO = 12.0
DEFAULT_ESTIMATE = SizeEstimate()
"""Until a few attempts of a kind were seen, the declaration holds."""


def estimate_size(tables: JobTables, job: Job, largest: Size) -> Size:
    """Return what to set aside for a job, never more than a whole worker.

    Accelerators are whole devices that a job opens itself: the declaration
    holds.
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
    """Return the least to set aside after an attempt ran out of memory.

    Placed again with the same size, the job would be ended again and again
    wherever it starts. Doubling reaches a whole worker within a few attempts
    even when the reported peak is cut off at the worker's limit.
    """
    assert job.attempt is not None
    memory = max(peak.memory_gb * HEADROOM, job.attempt.size.memory_gb * 2)
    return Size(job.least.cpus, max(memory, job.least.memory_gb))


def record_peak_use(tables: JobTables, job: Job, peak: Size) -> None:
    """Remember the largest use seen of one attempt that ran for a while."""
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
    """Return a larger size for a running job that outgrew what was set aside.

    Reports lag, so an attempt may grow before anyone knows; setting aside the
    use that was seen keeps new work off the worker until it shrinks.
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
