"""Records of jobs, controllers and maintenance waves in the store."""

from __future__ import annotations

from enum import Enum
from typing import Annotated

from msgspec import Meta, Struct

from medlarspring_tables.bounds import Whole
from medlarspring_tables.ids import PartnerId, PoolId
from medlarspring_tables.scheduling.ids import Milliseconds, WorkerId
from medlarspring_tables.scheduling.specs import JobSpec, QueuePolicy

Amount = Annotated[float, Meta(ge=0.0, le=1e12)]
"""Recorded use; the limits keep out what no fleet can have used."""


class JobOutcome(Enum):
    """How a job ended."""

    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"


class JobOwner(Struct, frozen=True, omit_defaults=True):
    """Who submitted a job."""

    partner_id: PartnerId = PartnerId("")
    """Empty if the job was submitted without a credential."""
    fingerprint: str = ""
    """First digits of the digest of the credential it was submitted with."""


class JobRecord(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An accepted job; once it has ended, only its outcome.

    Written once by the entry VM that accepts the job, and once more by the
    controller when the job ends. The key is kept so that late repeats of the
    submission are recognized.
    """

    queue: QueuePolicy
    accepted_at_ms: Milliseconds
    spec: JobSpec | None = None
    """None once the job has ended."""
    outcome: JobOutcome | None = None
    ended_at_ms: Milliseconds = 0
    reason: str = ""
    owner: JobOwner = JobOwner()


class RunRecord(Struct, frozen=True, array_like=True):
    """A start of a task that was ordered or is about to be."""

    number: Whole
    worker_id: WorkerId
    life_ms: Milliseconds = 0
    """Start of the worker incarnation that it was meant for; 0 if not known."""


class CrashTally(Struct, frozen=True, array_like=True):
    """Counts of workers that ended without notice while a task may have run there."""

    total: Whole = 0
    suspected: Whole = 0
    """Crashes that the task may have caused; part of ``total``."""
    alone: Whole = 0
    """Crashes attributable to its own job alone; part of ``suspected``."""
    immediate: Whole = 0
    """Crashes right after its start; part of ``alone``."""


class StepRecord(Struct, kw_only=True, omit_defaults=True):
    """Progress of one step in one occurrence."""

    done: str = ""
    """Indexes of the tasks done, as a bit mask in hexadecimal."""
    runs: dict[Whole, tuple[RunRecord, ...]] = {}
    """Runs that may be on a worker, by task index."""
    last_runs: dict[Whole, Whole] = {}
    """Highest run number by task index, for tasks without an entry in ``runs``."""
    failures: dict[Whole, Whole] = {}
    crashes: dict[Whole, CrashTally] = {}
    checkpoints: dict[Whole, str] = {}


class ProgressRecord(Struct, kw_only=True, omit_defaults=True):
    """Progress of a job with ordered tasks, from which the next controller restores it.

    Runs are written before the order is sent to the worker, so that the next
    controller knows each task that may run on a worker it can't reach.
    """

    steps: dict[str, StepRecord] = {}
    """By occurrence and step, as in ``0.1``; steps that have not begun are omitted."""
    occurrences_done: Whole = 0
    """Occurrences with a lower index are done and no longer listed."""
    done_beyond: tuple[Whole, ...] = ()
    """Indexes of later occurrences that are done."""
    started: bool = False
    """Whether a worker had confirmed a start of a task by then; former versions don't
    write it."""


class CancelRecord(Struct, frozen=True, kw_only=True):
    """A customer's request to cancel a job; the presence of its key has the effect."""

    requested_at_ms: Milliseconds = 0


class ControllerRecord(Struct, frozen=True, kw_only=True):
    """The controller of a cell; the key's revision is its fencing token."""

    entry_vm_id: str
    peer_address: str = ""
    incarnation: int = 0
    """64 random bits, more than a bound can state; only ever compared."""


class WaveRecord(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The VMs of a maintenance wave whose maintenance has begun."""

    begun: tuple[str, ...] = ()


class WaitForecast(Struct, frozen=True, array_like=True):
    """Expected wait of a partner's new job, where the partner is beyond its share."""

    pool_id: PoolId
    priority: Whole
    """Holds for jobs of queues of this priority, and of less urgent ones."""
    partner_id: PartnerId
    wait_ms: Milliseconds
    """Time until a new job would get room, counted from the record's ``at_ms``."""


class LoadRecord(Struct, frozen=True, kw_only=True):
    """Load of a controller's queues, written about once a second.

    It is written also when nothing has changed: readers tell the age of the counts from
    the writes alone, as the clocks of VMs differ.
    """

    at_ms: Whole
    waiting_by_queue: dict[str, Whole] = {}
    """Number of accepted jobs of which no task has started."""
    waits: tuple[WaitForecast, ...] = ()
    """The longest waits, longest first; former versions neither write nor read them."""
    view_age_ms: Milliseconds = 0
    """Time since the controller was last certain to know all accepted jobs; 0 also from
    former versions."""
    delay_ms: Whole = 0
    """Mean time by which the controller acts late, if that is too late for urgent jobs;
    former versions neither write nor read it."""


class PartnerUse(Struct, frozen=True, array_like=True):
    """What a partner's batch tasks used, decayed to the time of the record."""

    core_seconds: Amount
    mb_seconds: Amount


class UsageRecord(Struct, frozen=True, kw_only=True):
    """Recent use of the partners that used most, written at most once a second."""

    at_ms: Milliseconds
    """Wall time of the VM that wrote it."""
    use_by_partner: dict[PartnerId, PartnerUse] = {}


class OperationsRecord(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Time of the last operation on each VM, for as long as it is needed."""

    sent_ms_by_vm: dict[str, Whole] = {}
    """Wall time in ms; written before the operation is sent."""


class SizesRecord(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Sizes of the pools when a controller first saw them; written once."""

    vms_by_pool: dict[str, Whole] = {}
    """Number of VMs."""


__all__ = [
    "CancelRecord",
    "ControllerRecord",
    "CrashTally",
    "JobOutcome",
    "JobOwner",
    "JobRecord",
    "LoadRecord",
    "OperationsRecord",
    "PartnerUse",
    "ProgressRecord",
    "RunRecord",
    "SizesRecord",
    "StepRecord",
    "UsageRecord",
    "WaitForecast",
    "WaveRecord",
]
