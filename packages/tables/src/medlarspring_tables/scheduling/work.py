"""Jobs, tasks, runs and workers as the controller of a cell sees them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from medlarspring_tables.ids import JobId, PoolId, RackId, Revision, Seconds, VMId
from medlarspring_tables.scheduling.fleet import (
    OperatorConfig,
    Resources,
    VMEntry,
)
from medlarspring_tables.scheduling.records import CrashTally

if TYPE_CHECKING:
    from medlarspring_tables.scheduling.ids import Milliseconds, QueueId, WorkerId
    from medlarspring_tables.scheduling.records import JobOutcome
    from medlarspring_tables.scheduling.specs import JobSpec, QueuePolicy, StepSpec

SUSPECT_AFTER = 3
"""Crashes of any kind after which a task is suspected, whatever explains them."""


class RunState(Enum):
    """How far one start of a task has come."""

    INTENDED = "intended"
    """To be recorded; the worker has not been told."""
    ORDERED = "ordered"
    """The worker was told and has not answered yet."""
    RUNNING = "running"
    """The worker confirmed or listed it."""
    UNKNOWN = "unknown"
    """The order got no answer; it may be carried out later."""


class RunEnd(Enum):
    """How a worker says that a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    GANG_BROKEN = "broken"
    """Another member of the gang ended."""
    GANG_INCOMPLETE = "alone"
    """The other members of the gang did not come."""


@dataclass(slots=True, eq=False)
class Run:
    """One start of a task on one worker.

    Rows that refer back to their owner leave it out of their ``repr``: printed whole,
    a failed assertion on one run walked all tables along each path and never ended.
    """

    task: Task
    number: int
    worker: Worker = field(repr=False)
    state: RunState = RunState.INTENDED
    intended_at: Seconds = 0.0
    ordered_at: Seconds = 0.0
    life_ms: Milliseconds = 0
    """Start of the worker's life that it was meant for; 0 if that was not known."""
    order_ends_ms: Milliseconds = 0
    """Worker's clock; an order that arrives later is refused as late."""
    confirmed_at: Seconds = 0.0
    version: int = 0
    """Version of the job's record that holds the intent."""
    checkpoint: str = ""
    """What it was started from."""
    percent: int = 0
    advanced_at: Seconds = 0.0
    """When ``percent`` last rose."""
    gauge: int = 0
    """Tail latency in ms of a long-running task, else millicores in use."""
    pace_percent: int = 100
    paced_at: Seconds = 0.0
    copy: bool = False
    """A further run of a task that already has one."""
    stopping: bool = False
    """A stop was decided; it is repeated until the end is known."""
    stop_reason: str = ""
    stop_confirmed_at: Seconds = 0.0
    listed_born_ms: Milliseconds = 0
    """Start of the worker's life that listed it; 0 before the first listing."""
    absent_since: Seconds = 0.0
    """First listing of its worker without it, after the order; 0 for none."""
    stall_counted: bool = False
    """Whether its standing still already counted against the worker."""
    crash_counted: bool = False
    """Whether the end of its worker's life already counted against the task."""

    @property
    def started_at(self) -> Seconds:
        """When it was confirmed; as long as it is not, when it was ordered."""
        return self.confirmed_at or self.ordered_at


@dataclass(slots=True, eq=False)
class Task:
    """One task of a step."""

    step: StepRun = field(repr=False)
    index: int
    id: str
    """The task's name on the workers."""
    done: bool = False
    failures: int = 0
    crashes: CrashTally = CrashTally()
    last_run: int = 0
    """Highest run number used so far."""
    runs: list[Run] = field(default_factory=list, repr=False)
    checkpoint: str = ""
    checkpoint_percent: int = 0
    failed_on: set[VMId] = field(default_factory=set)
    waiting_since: Seconds = 0.0
    not_before: Seconds = 0.0
    """A task that just failed is not started again at once."""
    last_seen_running: Seconds = 0.0

    @property
    def is_suspect(self) -> bool:
        """Whether it may crash its workers, and starts apart from other jobs' tasks."""
        return self.crashes.suspected > 0 or self.crashes.total >= SUSPECT_AFTER


@dataclass(frozen=True, slots=True)
class Ticket:
    """The adviser's word on one worker for one step."""

    text: str
    """What starts carry; empty if the step may not run there."""
    valid_until: Seconds
    life_ms: Milliseconds = 0
    """Start of the worker's life that it holds for."""


@dataclass(slots=True, eq=False)
class StepRun:
    """One step of a job in one occurrence."""

    job: ActiveJob = field(repr=False)
    occurrence: int
    index: int
    spec: StepSpec
    tasks: list[Task] = field(default_factory=list)
    done_count: int = 0
    waiting: list[Task] = field(default_factory=list)
    """Tasks that have no run and are not done."""
    ready: bool = False
    ready_at: Seconds = 0.0
    objective_at: Seconds = 0.0
    """Local time by which the occurrence should be complete."""
    useful_until: Seconds = 0.0
    """Local time after which completing it is of no more use to the customer."""
    counted_until: Seconds = 0.0
    """Until when the occurrence counts as incoming work of its pool."""
    remaining_path: Seconds = 0.0
    """Longest chain of estimates from this step's start to the end."""
    expected: Seconds = 0.0
    """What one task is expected to take."""
    remaining_work: float = 0.0
    """Core-seconds expected of this step and those that follow it."""
    resources: Resources = field(default_factory=Resources)
    """What one task asks of a worker."""
    per_worker: dict[WorkerId, int] = field(default_factory=dict)
    """Runs by worker, where the step limits them."""
    mean_duration_ms: float = 0.0
    """Mean duration of the step's own tasks that ended; 0 before the first."""
    ended_runs: int = 0
    reserved: Worker | None = None
    tickets: dict[WorkerId, Ticket] = field(default_factory=dict)
    """Advice for a queue whose steps may run only on some workers."""
    rack_id: RackId | None = None
    """Rack chosen for a step whose tasks should share one."""

    @property
    def is_done(self) -> bool:
        """Whether every task is done."""
        return self.done_count >= self.spec.count


@dataclass(slots=True, eq=False)
class ActiveJob:
    """An accepted job that has not ended."""

    id: JobId
    queue: QueuePolicy
    spec: JobSpec
    accepted_at_ms: Milliseconds
    job_revision: Revision
    """Store revision of the job's own record."""
    arrived_at: Seconds
    """When it was accepted."""
    progress_revision: Revision = Revision(0)
    """Store revision of the progress record; 0 before the first write."""
    occurrences_by_index: dict[int, list[StepRun]] = field(default_factory=dict)
    occurrences_done: set[int] = field(default_factory=set)
    runs: dict[Run, None] = field(default_factory=dict, repr=False)
    """Its runs on all workers."""
    zone_id: str = ""
    """Availability zone of its first run; the others go there if they can."""
    next_occurrence: int = 0
    started: bool = False
    """Whether any task was ever started."""
    cancelled: bool = False
    outcome: JobOutcome | None = None
    reason: str = ""
    suspected: bool = False
    """Whether one of its tasks is suspected of crashing its workers."""
    version: int = 0
    """Counts changes that have to be recorded."""
    written_version: int = 0
    writing: bool = False


class QuarantineReason(Enum):
    """Why a worker gets no new tasks, or fewer."""

    NONE = "none"
    UNREACHABLE = "unreachable"
    FAILING = "failing"
    STALLED = "stalled"
    SLOW = "slow"
    REFUSING = "refusing"


@dataclass(slots=True, eq=False)
class Worker:
    """A worker as the controller knows it."""

    id: WorkerId
    vm_id: VMId
    pool_id: PoolId
    rack_id: RackId
    zone_id: str
    address: str
    resources: Resources
    labels: frozenset[str]
    born_ms: Milliseconds = 0
    """When this life began, in Unix time by its own word; 0 while it is not known."""
    entry_born_ms: Milliseconds = 0
    """Start of the life whose entry told what the worker offers."""
    draining: bool = False
    listed: bool = True
    """Whether the registry still has its entry."""
    reserved: bool = False
    """Kept free for maintenance or a move; gets no new tasks."""
    leaving: bool = False
    """Whether a move or maintenance of its VM was sent."""
    reconciled: bool = False
    """Whether this controller knows all that runs there."""
    gone: bool = False
    """Whether this life of the VM is certainly over."""
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
    """The worker's clock at ``clock_at``, as last told."""
    clock_at: Seconds = 0.0
    lease_ms: Milliseconds = 0
    """Latest lease end that any order asked for, on the worker's clock."""
    last_end_number: int = 0
    """Number of the last end taken over."""
    unanswered_since: Seconds = 0.0
    """First call in a row without an answer; 0 when the last one was answered."""
    answered_at: Seconds = 0.0
    doubt: QuarantineReason = QuarantineReason.NONE
    quarantined_until: Seconds = 0.0
    quarantine_count: int = 0
    failures_by_job: dict[JobId, int] = field(default_factory=dict)
    """Jobs that failed here since the last success."""
    slowness: float = 1.0
    """Smoothed duration of its tasks against that of their siblings."""
    ready_at: Seconds = 0.0
    """When a worker that just started is at full speed."""
    first_seen_at: Seconds = 0.0
    """When its entry in the registry was first seen."""
    isolated_run: Run | None = field(default=None, repr=False)
    """Latest run here of a task that is suspected of crashing its workers."""
    unstable_until: Seconds = 0.0
    """Its VM crashed for no known reason; until then another crash proves nothing."""


@dataclass(frozen=True, slots=True)
class WorkerCrash:
    """A worker's life that ended without notice."""

    at: Seconds
    """When it was noticed."""
    zone_id: str
    idle: bool
    """Whether no run there can have caused it."""


@dataclass(slots=True)
class ArrivalMeter:
    """Millicores that a pool's incoming work would use if served at once."""

    at: Seconds
    level: float = 0.0
    mean: float = 0.0
    """Smoothed level, to see whether it rises."""
    short_mean: float = 0.0
    """Level smoothed over the lumps of single jobs only."""
    ends: list[tuple[Seconds, float]] = field(default_factory=list)
    """Heap of when a job's part of the level ends, and that part."""


@dataclass(slots=True)
class WorkTables:
    """All that the controller of a cell looks at."""

    config: OperatorConfig
    jobs_by_id: dict[JobId, ActiveJob] = field(default_factory=dict)
    workers_by_id: dict[WorkerId, Worker] = field(default_factory=dict)
    workers_by_pool: dict[PoolId, dict[WorkerId, Worker]] = field(default_factory=dict)
    ended_incarnations: set[tuple[WorkerId, Milliseconds]] = field(default_factory=set)
    """Lives that are over, by worker and start; a lagging registry may still list
    them. The worker may be back under its id, which only the start tells."""
    unanswered_orders: dict[WorkerId, dict[tuple[str, int], Seconds]] = field(
        default_factory=dict
    )
    """When starts got no answer, by worker, task id and run number."""
    recent_crashes: list[WorkerCrash] = field(default_factory=list)
    """Those of the last moment, the latest last."""
    unstable_until_by_vm: dict[VMId, Seconds] = field(default_factory=dict)
    ended_job_ids: dict[JobId, Seconds] = field(default_factory=dict)
    """Jobs whose end was recorded lately, and when; a listing that was read
    before that still holds them."""
    vms_by_id: dict[VMId, VMEntry] = field(default_factory=dict)
    vms_read_at: Seconds = 0.0
    arrivals_by_pool: dict[PoolId, ArrivalMeter] = field(default_factory=dict)
    ready_by_pool: dict[PoolId, dict[StepRun, None]] = field(default_factory=dict)
    """Steps with waiting tasks, in the order in which they became ready."""
    slack_by_queue: dict[QueueId, Seconds] = field(default_factory=dict)
    """Time that a queue's jobs can wait and still make their objective, smoothed."""
    durations_by_queue: dict[QueueId, tuple[float, float]] = field(default_factory=dict)
    """Sum of weights and weighted mean of log duration in ms, by queue."""


__all__ = [
    "SUSPECT_AFTER",
    "ActiveJob",
    "ArrivalMeter",
    "Run",
    "RunEnd",
    "RunState",
    "StepRun",
    "Task",
    "Ticket",
    "Worker",
    "WorkerCrash",
    "QuarantineReason",
    "WorkTables",
]
