"""Jobs, their attempts on workers, and what is believed of their size."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from msgspec import Struct

from medlarspring_tables.ids import (
    JobId,
    PartnerId,
    PoolId,
    RackId,
    Revision,
    Seconds,
    VMId,
    ZoneId,
)


class JobUrgency(Enum):
    """How soon a job has to start."""

    URGENT = "urgent"
    NORMAL = "normal"
    BULK = "bulk"
    """May be slow, is never skipped: reconciliation, reports."""


class JobState(Enum):
    """Where a job stands."""

    WAITING = "waiting"
    RUNNING = "running"
    """An attempt is intended or runs; its VM may hold it."""
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


class AttemptState(Enum):
    """Where one attempt to run a job stands."""

    INTENDED = "intended"
    """Written before the worker is told; the worker may already run it."""
    RUNNING = "running"
    STOPPING = "stopping"
    """The worker was told to checkpoint or stop; it may still run it."""


ROUNDING = 1e-9
"""Sums of floats that went up and down again may be off by this much."""


class Size(Struct, frozen=True):
    """Processors, memory and accelerators."""

    cpus: float
    memory_gb: float
    accelerators: int = 0

    def plus(self, other: Size) -> Size:
        """Return the sum."""
        return Size(
            self.cpus + other.cpus,
            self.memory_gb + other.memory_gb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Size) -> Size:
        """Return the difference; it may be negative."""
        return Size(
            self.cpus - other.cpus,
            self.memory_gb - other.memory_gb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, other: Size) -> bool:
        """Tell whether every part is covered by ``other``."""
        return (
            self.cpus <= other.cpus + ROUNDING
            and self.memory_gb <= other.memory_gb + ROUNDING
            and self.accelerators <= other.accelerators
        )


NO_SIZE = Size(0.0, 0.0, 0)


class Attempt(Struct, frozen=True, kw_only=True):
    """One run of a job on one worker."""

    number: int
    """Counts from 1 for each job; the worker refuses a smaller one."""
    vm_id: VMId
    state: AttemptState
    size: Size
    """What is set aside for it on the worker."""
    started_at: Seconds
    """Wall time of the intent."""


class Job(Struct, frozen=True, kw_only=True):
    """One job as kept in the store; its single attempt is part of the record.

    With the attempt inside the record, one compare-and-swap decides who runs
    the job, so that no two holders can place it twice.
    """

    id: JobId
    partner_id: PartnerId
    pool_id: PoolId
    kind: str
    """Jobs of one partner and kind are taken to have like errors of size."""
    declared: Size
    declared_seconds: float
    urgency: JobUrgency = JobUrgency.NORMAL
    can_checkpoint: bool = False
    can_throttle: bool = False
    """Kept on record only; nothing throttles running work yet."""
    submitted_at: Seconds
    """Wall time."""
    submitted_by: str = ""
    ended_at: Seconds = 0.0
    """Wall time of the end; 0 before it."""
    state: JobState = JobState.WAITING
    attempt: Attempt | None = None
    attempts_made: int = 0
    least: Size = NO_SIZE
    """Least to set aside, from attempts that ended for want of memory."""
    failed_on: tuple[VMId, ...] = ()
    """Different workers on which the job failed, oldest first."""
    checkpoint: str = ""
    """Name of the newest checkpoint; empty when there is none."""
    reason: str = ""
    """Why the job failed or was cancelled."""


@dataclass(slots=True)
class Worker:
    """A worker of a pool as the placement sees it."""

    id: VMId
    pool_id: PoolId
    rack_id: RackId
    zone_id: ZoneId
    capacity: Size
    accepts_work: bool = True
    """False while the VM is drained, moved, failed or not seen."""
    allocated: Size = NO_SIZE
    """Sum over the attempts that the worker may hold."""
    job_ids: set[JobId] = field(default_factory=set)
    quarantined_until: Seconds = 0.0
    quarantine_count: int = 0
    """Quarantines since the last success; each one is longer."""
    failed_job_ids: set[JobId] = field(default_factory=set)
    """Different jobs that failed here since the last success."""
    reserved_for: JobId | None = None
    """A large job that waits until this worker is empty enough."""


@dataclass(slots=True)
class PartnerUse:
    """What one partner holds and may hold in a pool."""

    id: PartnerId
    weight: float
    quota: Size
    held: Size = NO_SIZE


@dataclass(slots=True)
class SizeEstimate:
    """Observed use divided by declared use, newest last, by partner and kind."""

    cpu_ratios: deque[float] = field(default_factory=lambda: deque(maxlen=64))
    memory_ratios: deque[float] = field(default_factory=lambda: deque(maxlen=64))
    cpu_ratio: float = 1.0
    """What to set aside for each declared processor."""
    memory_ratio: float = 1.0


QueueEntry = tuple[Seconds, JobId]
"""A job in a queue; the smallest rank is placed first."""


@dataclass(slots=True)
class JobTables:
    """All that the placement of one pool's jobs looks at.

    The queues are heaps of ``(rank, id)``. An id whose job no longer waits is
    dropped when it comes to the front, so that a cancellation costs no search.
    """

    jobs_by_id: dict[JobId, Job] = field(default_factory=dict)
    revisions_by_id: dict[JobId, Revision] = field(default_factory=dict)
    workers_by_id: dict[VMId, Worker] = field(default_factory=dict)
    partners_by_id: dict[PartnerId, PartnerUse] = field(default_factory=dict)
    estimates_by_kind: dict[tuple[PartnerId, str], SizeEstimate] = field(
        default_factory=dict
    )
    urgent_by_partner: dict[PartnerId, list[QueueEntry]] = field(default_factory=dict)
    waiting_by_partner: dict[PartnerId, list[QueueEntry]] = field(default_factory=dict)
    capacity: Size = NO_SIZE
    """Sum over the workers that accept work."""
    preemptible: Size = NO_SIZE
    """Sum over the attempts that can be checkpointed within seconds."""
    held: Size = NO_SIZE
    """Sum over all attempts."""
    spare_percent: float = 10.0
    changes: int = 0
    """Counts what may let a waiting job start: ends, workers, partners, jobs."""
    settled_at_change: int = -1
    """The count at which the last round found nothing more to place."""
    settled_at: Seconds = 0.0
    originals_by_id: dict[JobId, Job] = field(default_factory=dict)
    """Records as they stood before changes that are not yet written."""


__all__ = [
    "NO_SIZE",
    "Attempt",
    "AttemptState",
    "Job",
    "JobState",
    "JobTables",
    "JobUrgency",
    "PartnerUse",
    "QueueEntry",
    "Size",
    "SizeEstimate",
    "Worker",
]
