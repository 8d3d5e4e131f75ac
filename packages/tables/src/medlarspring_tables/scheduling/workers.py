"""The state that the controller of a cell keeps of its workers."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables.ids import JobId, PoolId, RackId, Seconds, VMId
    from medlarspring_tables.scheduling.fleet import Resources
    from medlarspring_tables.scheduling.ids import Milliseconds, WorkerId
    from medlarspring_tables.scheduling.work import Run


class QuarantineReason(Enum):
    """Why a worker gets no new tasks, or only probes."""

    NONE = "none"
    UNREACHABLE = "unreachable"
    FAILING = "failing"
    STALLED = "stalled"
    SLOW = "slow"
    REFUSING = "refusing"


@dataclass(slots=True, eq=False)
class Worker:
    """The controller's last known state of a worker."""

    id: WorkerId
    vm_id: VMId
    pool_id: PoolId
    rack_id: RackId
    zone_id: str
    address: str
    resources: Resources
    labels: frozenset[str]
    born_ms: Milliseconds = 0
    """Reported start of its present incarnation, in Unix time; 0 if not known."""
    entry_born_ms: Milliseconds = 0
    """Start of the incarnation whose registry entry set the other attributes."""
    draining: bool = False
    listed: bool = True
    """Whether the registry still has its entry."""
    reserved: bool = False
    """Kept free for maintenance or a move; gets no new tasks."""
    due: bool = False
    """Whether its VM still needs maintenance in an open wave."""
    kept_cpu_millis: int = 0
    """Part of its free CPU that only long-running tasks may use."""
    kept_memory_mb: int = 0
    """Part of its free memory that only long-running tasks may use."""
    leaving: bool = False
    """Whether an operation that moves or maintains its VM was sent."""
    reconciled: bool = False
    """Whether this controller knows all runs on the worker."""
    gone: bool = False
    """Whether this incarnation is certainly over."""
    cpu_free: int = 0
    memory_free: int = 0
    accelerators_free: int = 0
    runs: dict[tuple[str, int], Run] = field(default_factory=dict, repr=False)
    """By task id and run number."""
    batch_runs: int = 0
    """Runs that are not long-running."""
    long_runs: int = 0
    idle_since: Seconds = 0.0
    clock_ms: float = 0.0
    """The worker's clock at ``clock_at``, as last reported."""
    clock_at: Seconds = 0.0
    lease_ms: Milliseconds = 0
    """Latest end of a lease requested by an order, on the worker's clock."""
    last_end_number: int = 0
    """Number of the last end that was recorded."""
    unanswered_since: Seconds = 0.0
    """First of the consecutive unanswered calls; 0 if the last call was answered."""
    answered_at: Seconds = 0.0
    """When it last answered any call."""
    reported_at: Seconds = 0.0
    """When it last listed its runs and their progress."""
    quarantine_reason: QuarantineReason = QuarantineReason.NONE
    """Reason for its quarantine; ``NONE`` if it is not quarantined."""
    quarantined_until: Seconds = 0.0
    quarantine_count: int = 0
    """Number of quarantines since the last success."""
    failures_by_job: dict[JobId, int] = field(default_factory=dict)
    """Jobs that failed here since the last success."""
    slowness: float = 1.0
    """Smoothed ratio of its tasks' durations to those of their siblings."""
    usual_pace_at: Seconds = 0.0
    """When a run last ended here after about its expected duration."""
    stall_due_at: Seconds = 0.0
    """Before this time none of its runs can count as stalled."""
    ready_at: Seconds = 0.0
    """When the worker, if it has just started, is at full speed."""
    first_seen_at: Seconds = 0.0
    """When this incarnation was first seen."""
    isolated_run: Run | None = field(default=None, repr=False)
    """Its latest run of a task that is suspected of crashing its workers."""
    unstable_until: Seconds = 0.0
    """Time until which its VM counts as unstable, after a crash without known cause.

    A crash before then is not attributed to a task.
    """
    crash_risk_since: Seconds = 0.0
    """When its starts began to be staggered; 0 if they were from its beginning."""
    crash_risk_until: Seconds = 0.0
    """Time until which starts in its pool are staggered, after a crash there."""
    kept_free_at: Seconds = 0.0
    """When a round last kept it free for a suspected task; 0 for never."""


@dataclass(frozen=True, slots=True)
class WorkerCrash:
    """An incarnation of a worker that ended without notice."""

    at: Seconds
    """When it was noticed."""
    zone_id: str
    lost_contact_at: Seconds
    """When the worker stopped answering; ``at`` if it answered until then."""
    idle: bool
    """Whether the worker had no run that can have caused it."""


@dataclass(frozen=True, slots=True)
class CrashTiming:
    """A crash of a worker on which tasks had started."""

    at: Seconds
    """When it was noticed."""
    immediate: bool
    """Whether it came right after a start."""


__all__ = ["CrashTiming", "QuarantineReason", "Worker", "WorkerCrash"]
