"""Jobs, their attempts on workers, and estimates of their size."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from msgspec import Struct

from medlarspring_tables.bounds import Real, Whole
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
    """Priority class of a job."""

    URGENT = "urgent"
    NORMAL = "normal"
    BULK = "bulk"
    """May start late but must not starve, for example reconciliation or reports."""


class JobState(Enum):
    """State of a job."""

    WAITING = "waiting"
    RUNNING = "running"
    """An attempt is intended or running; its worker may hold it."""
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


class AttemptState(Enum):
    """State of one attempt to run a job."""

    INTENDED = "intended"
    """Written before the worker is told; the worker may already run it."""
    RUNNING = "running"
    STOPPING = "stopping"
    """The worker was told to checkpoint or stop; it may still run the attempt."""


ROUNDING = 1e-9
"""Tolerance for floating-point error in sums after additions and subtractions."""


class Size(Struct, frozen=True):
    """An amount of processors, memory and accelerators."""

    cpus: Real
    memory_gb: Real
    accelerators: Whole = 0

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
        """Return whether no component exceeds that of ``other``."""
        return (
            self.cpus <= other.cpus + ROUNDING
            and self.memory_gb <= other.memory_gb + ROUNDING
            and self.accelerators <= other.accelerators
        )


NO_SIZE = Size(0.0, 0.0, 0)


class Attempt(Struct, frozen=True, kw_only=True):
    """One run of a job on one worker."""

    number: Whole
    """Counts from 1 for each job; the worker refuses a lower number."""
    vm_id: VMId
    state: AttemptState
    size: Size
    """Resources allocated to the attempt on the worker."""
    started_at: Seconds
    """Wall time at which the intent was written."""


class Job(Struct, frozen=True, kw_only=True):
    """A job as stored, with its current attempt as part of the record.

    Because the attempt is inside the record, one compare-and-swap decides
    where the job runs, and two holders cannot place it twice.
    """

    id: JobId
    partner_id: PartnerId
    pool_id: PoolId
    kind: str
    """Jobs of one partner and kind share one ``SizeEstimate``."""
    declared: Size
    declared_seconds: Real
    urgency: JobUrgency = JobUrgency.NORMAL
    can_checkpoint: bool = False
    can_throttle: bool = False
    """Recorded only; nothing throttles running work yet."""
    submitted_at: Seconds
    """Wall time."""
    submitted_by: str = ""
    ended_at: Seconds = 0.0
    """Wall time of the end; 0 while the job has not ended."""
    state: JobState = JobState.WAITING
    attempt: Attempt | None = None
    attempts_made: Whole = 0
    least: Size = NO_SIZE
    """Minimum allocation, raised after each attempt that ran out of memory."""
    failed_on: tuple[VMId, ...] = ()
    """Distinct workers on which the job failed, oldest first."""
    checkpoint: str = ""
    """Name of the newest checkpoint; empty when there is none."""
    reason: str = ""
    """Why the job failed or was cancelled."""


@dataclass(slots=True)
class Worker:
    """A worker of a pool, as used by placement."""

    id: VMId
    pool_id: PoolId
    rack_id: RackId
    zone_id: ZoneId
    capacity: Size
    accepts_work: bool = True
    """False while the VM is drained, moved, failed or not seen."""
    allocated: Size = NO_SIZE
    """Sum of the sizes of the attempts that the worker may hold."""
    job_ids: set[JobId] = field(default_factory=set)
    quarantined_until: Seconds = 0.0
    quarantine_count: int = 0
    """Quarantines since the last success; each lasts longer than the one before."""
    failed_job_ids: set[JobId] = field(default_factory=set)
    """Distinct jobs that failed on this worker since its last success."""
    reserved_for: JobId | None = None
    """A job that waits until this worker has enough free capacity for it."""


@dataclass(slots=True)
class PartnerUse:
    """A partner's weight, quota and allocated resources in a pool."""

    id: PartnerId
    weight: float
    quota: Size
    held: Size = NO_SIZE


@dataclass(slots=True)
class SizeEstimate:
    """Ratios of observed to declared use for one partner and kind, newest last."""

    cpu_ratios: deque[float] = field(default_factory=lambda: deque(maxlen=64))
    memory_ratios: deque[float] = field(default_factory=lambda: deque(maxlen=64))
    cpu_ratio: float = 1.0
    """Processors to allocate for each declared processor."""
    memory_ratio: float = 1.0
    """Memory to allocate for each declared GB."""


QueueEntry = tuple[Seconds, JobId]
"""Rank and id of a queued job; the lowest rank is placed first."""


@dataclass(slots=True)
class JobTables:
    """State from which the jobs of one pool are placed.

    The queues are heaps of ``(rank, id)``. An entry whose job no longer waits is
    dropped when it reaches the front, so that cancelling a job does not have to
    search the queue.
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
    """Total capacity of the workers that accept work."""
    preemptible: Size = NO_SIZE
    """Total size of the attempts that can be checkpointed within seconds."""
    held: Size = NO_SIZE
    """Total size of all attempts."""
    spare_percent: float = 10.0
    changes: int = 0
    """Incremented by each change that may let a waiting job start.

    Such changes are ended attempts and changed workers, partners or jobs.
    """
    settled_at_change: int = -1
    """Value of ``changes`` when the last round had placed all that it could."""
    settled_at: Seconds = 0.0
    rounds_at_change: int = 0
    """Number of rounds at the present value of ``changes``."""
    rounds_counted_at: int = -1
    """Value of ``changes`` at the latest round."""
    placement_rounds: int = 0
    """Number of rounds so far; the jobs tried beyond the front depend on it."""
    """Wall time of that round."""
    originals_by_id: dict[JobId, Job] = field(default_factory=dict)
    """Records as they were before changes that are not yet written."""


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
