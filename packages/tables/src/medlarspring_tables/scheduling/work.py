"""The state that the controller of a cell keeps of jobs, tasks and runs."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from medlarspring_tables.ids import (
    JobId,
    PartnerId,
    PoolId,
    RackId,
    Revision,
    Seconds,
    VMId,
)
from medlarspring_tables.scheduling.fleet import (
    OperatorConfig,
    Resources,
    VMEntry,
)
from medlarspring_tables.scheduling.records import CrashTally, JobOwner

if TYPE_CHECKING:
    from medlarspring_tables.scheduling.ids import Milliseconds, QueueId, WorkerId
    from medlarspring_tables.scheduling.records import JobOutcome
    from medlarspring_tables.scheduling.reports import EndedRow
    from medlarspring_tables.scheduling.specs import JobSpec, QueuePolicy, StepSpec
    from medlarspring_tables.scheduling.workers import (
        CrashTiming,
        Worker,
        WorkerCrash,
    )

SUSPECT_AFTER = 3
"""Crashes of any kind after which a task is suspected, even if they have a cause."""


class RunState(Enum):
    """State of one start of a task."""

    INTENDED = "intended"
    """The intent is to be recorded; no order has been sent."""
    ORDERED = "ordered"
    """The order was sent; the worker has not answered yet."""
    RUNNING = "running"
    """The worker has confirmed or listed the run."""
    UNKNOWN = "unknown"
    """The order got no answer; the worker may still execute it."""


class RunEnd(Enum):
    """How a run ended, as reported by its worker."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    """Its lease ended without an extension."""
    GANG_BROKEN = "broken"
    """Another member of its gang ended."""
    GANG_INCOMPLETE = "alone"
    """The other members of its gang did not start in time."""


@dataclass(frozen=True, slots=True)
class ProgressMark:
    """What a run reported at one moment."""

    percent: int
    at: Seconds


@dataclass(slots=True, eq=False)
class Run:
    """One start of a task on one worker.

    Fields that refer back to an owner are excluded from ``repr``. Otherwise printing
    one run, as a failed assertion does, would traverse all tables and never end.
    """

    task: Task
    number: int
    worker: Worker = field(repr=False)
    state: RunState = RunState.INTENDED
    intended_at: Seconds = 0.0
    ordered_at: Seconds = 0.0
    life_ms: Milliseconds = 0
    """Start of the worker incarnation that it was meant for; 0 if not known."""
    order_ends_ms: Milliseconds = 0
    """Time on the worker's clock after which the order is refused as late."""
    confirmed_at: Seconds = 0.0
    version: int = 0
    """Version of the job's record that holds the intent."""
    checkpoint: str = ""
    """Checkpoint from which it was started."""
    percent: int = 0
    advanced_at: Seconds = 0.0
    """When ``percent`` last rose."""
    marks: tuple[ProgressMark, ...] = ()
    """Up to two earlier reports, from which its pace is measured; oldest first."""
    gauge: int = 0
    """Tail latency in ms of a long-running task, else millicores in use."""
    pace_percent: int = 100
    paced_at: Seconds = 0.0
    taken_over: bool = False
    """Whether another controller ordered it."""
    copy: bool = False
    """Whether it is a copy, started while the task already had a run."""
    stopping: bool = False
    """Whether it is to be stopped; the stop is repeated until the end is known."""
    stop_reason: str = ""
    stop_confirmed_at: Seconds = 0.0
    listed_born_ms: Milliseconds = 0
    """Start of the worker incarnation that listed it; 0 before the first listing."""
    absent_since: Seconds = 0.0
    """Time of its worker's first listing after the order without it; 0 for none."""
    stall_counted: bool = False
    """Whether its stall has already been counted against the worker."""
    crash_counted: bool = False
    """Whether its worker's end has already been counted against the task."""
    isolated: bool = True
    """Whether other jobs' tasks stay away from it if its task is suspected."""

    @property
    def started_at(self) -> Seconds:
        """When it was confirmed or, before that, when it was ordered."""
        return self.confirmed_at or self.ordered_at


@dataclass(slots=True, eq=False)
class Task:
    """One task of a step."""

    step: StepRun = field(repr=False)
    index: int
    id: str
    """Id of the task on the workers."""
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
    """Earliest time of the next start; later than now after a failure."""
    last_seen_running: Seconds = 0.0
    is_moving: bool = False
    """Whether it left a VM that is due for maintenance, and does not serve yet."""
    failed_at: Seconds = 0.0
    """When its last run served and failed by itself; 0 if it ended in another way."""

    @property
    def is_suspect(self) -> bool:
        """Whether it may crash its workers and has to start in isolation."""
        return self.crashes.suspected > 0 or self.crashes.total >= SUSPECT_AFTER


@dataclass(frozen=True, slots=True)
class Ticket:
    """The adviser's answer on whether one step may run on one worker."""

    text: str
    """Text to send with starts; empty if the step may not run there."""
    valid_until: Seconds
    life_ms: Milliseconds = 0
    """Start of the worker incarnation that it is valid for."""


@dataclass(slots=True)
class AdviceCalls:
    """The calls to the adviser about one step."""

    asked_at: Seconds = 0.0
    """When the latest call was sent; 0 before the first."""
    is_open: bool = False
    """Whether the latest call has no answer yet."""
    failures: int = 0
    """Failed calls in a row."""
    failed_at: Seconds = 0.0
    """When the latest call failed; 0 if none did since the last answer."""
    not_before: Seconds = 0.0
    """Earliest time of the next call; later than now after a failed one."""


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
    """Local time after which completing the occurrence has no value."""
    counted_until: Seconds = 0.0
    """Time until which the occurrence counts as incoming work of its pool."""
    remaining_path: Seconds = 0.0
    """Estimated duration of the critical path from this step to the job's end."""
    expected: Seconds = 0.0
    """Expected duration of one task."""
    remaining_work: float = 0.0
    """Expected core-seconds of this step and the steps after it."""
    resources: Resources = field(default_factory=Resources)
    """Resources that one task requests of a worker."""
    per_worker: dict[WorkerId, int] = field(default_factory=dict)
    """Number of runs by worker; maintained only if the step limits them."""
    mean_duration_ms: float = 0.0
    """Mean duration of the step's ended tasks; 0 before the first."""
    ended_runs: int = 0
    reserved: Worker | None = None
    tickets: dict[WorkerId, Ticket] = field(default_factory=dict)
    """The adviser's tickets, for a queue that needs advice."""
    advice_calls: AdviceCalls = field(default_factory=AdviceCalls)
    rack_id: RackId | None = None
    """Rack chosen for a step whose tasks should share one."""

    @property
    def is_done(self) -> bool:
        """Whether every task is done."""
        return self.done_count >= self.spec.count


@dataclass(slots=True, eq=False)
class PartnerUsage:
    """What one partner may use, and what its runs use over all workers.

    A run counts from its intent until it is certainly over.
    """

    partner_id: PartnerId = PartnerId("")
    """Empty for all jobs that were submitted without a credential."""
    quota: Resources = Resources()
    """0 for no limit. A partner that is removed keeps its last quota."""
    runs: int = 0
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    weight: float = 1.0
    """Its share relative to the other partners' under overload; always positive."""
    held_cpu_millis: int = 0
    """CPU that the workers of its batch runs have reserved for them."""
    held_memory_mb: int = 0
    used_core_seconds: float = 0.0
    """Use by its batch runs, decayed to ``used_at``."""
    used_mb_seconds: float = 0.0
    used_at: Seconds = 0.0
    advice_turn_at: Seconds = 0.0
    """When one of its steps last had its turn at the adviser; 0 before the first."""


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
    owner: JobOwner = JobOwner()
    partner: PartnerUsage = field(default_factory=PartnerUsage, repr=False)
    """Usage of its owner; shared with the partner's other jobs."""
    progress_revision: Revision = Revision(0)
    """Store revision of the progress record; 0 before the first write."""
    occurrences_by_index: dict[int, list[StepRun]] = field(default_factory=dict)
    occurrences_done: set[int] = field(default_factory=set)
    runs: dict[Run, None] = field(default_factory=dict, repr=False)
    """Its runs on all workers, as an ordered set."""
    zone_id: str = ""
    """Availability zone of its first run, preferred for its other runs."""
    next_occurrence: int = 0
    started: bool = False
    """Whether a worker confirmed a start of a task."""
    cancelled: bool = False
    outcome: JobOutcome | None = None
    reason: str = ""
    suspected: bool = False
    """Whether one of its tasks is suspected of crashing its workers."""
    version: int = 0
    """Number of changes that have to be recorded."""
    written_version: int = 0
    """Highest ``version`` that has been recorded."""
    writing: bool = False
    """Whether the progress record is being written."""


@dataclass(slots=True)
class ArrivalMeter:
    """Millicores that a pool's incoming work would use if it were served at once."""

    at: Seconds
    level: float = 0.0
    mean: float = 0.0
    """Smoothed level, from which a rise is detected."""
    short_mean: float = 0.0
    """Level smoothed over a short time, to even out single jobs only."""
    ends: list[tuple[Seconds, float]] = field(default_factory=list)
    """Heap of the times at which a job's part of the level ends, with that part."""


@dataclass(slots=True, eq=False)
class HeldEnd:
    """A listed end that its worker must keep until the job is loaded."""

    worker: Worker = field(repr=False)
    row: EndedRow
    released: bool = False
    """Whether the worker may discard it once ``version`` of ``job`` is recorded."""
    job: ActiveJob | None = None
    """None if no job needs the end."""
    version: int = 0

    def is_recorded(self) -> bool:
        """Return whether the worker may discard the end."""
        if not self.released:
            return False
        return self.job is None or self.job.written_version >= self.version


@dataclass(slots=True)
class UnloadedJob:
    """An open job that is not scheduled, although its runs may go on."""

    cancelled: bool = False
    ends: list[HeldEnd] = field(default_factory=list)
    """Ends that workers have listed meanwhile, to be applied when it is loaded."""


@dataclass(slots=True)
class WorkTables:
    """All state on which the controller of a cell bases its decisions."""

    config: OperatorConfig
    predecessors_until: Seconds = 0.0
    """Local time after which no earlier controller of the cell extends a lease."""
    jobs_by_id: dict[JobId, ActiveJob] = field(default_factory=dict)
    unloaded_by_id: dict[JobId, UnloadedJob] = field(default_factory=dict)
    """Open jobs that could not be loaded yet."""
    workers_by_id: dict[WorkerId, Worker] = field(default_factory=dict)
    workers_by_pool: dict[PoolId, dict[WorkerId, Worker]] = field(default_factory=dict)
    ended_incarnations: set[tuple[WorkerId, Milliseconds]] = field(default_factory=set)
    """Worker ids and starts of the incarnations that are over.

    An outdated registry may still list them. If the worker is back under its id,
    only the start distinguishes its new incarnation.
    """
    unanswered_orders: dict[WorkerId, dict[tuple[str, int], Seconds]] = field(
        default_factory=dict
    )
    """Times of start orders without an answer, by worker, task id and run number."""
    recent_crashes: list[WorkerCrash] = field(default_factory=list)
    """Crashes within the time in which they may be one outage; the latest is last."""
    unstable_until_by_vm: dict[VMId, Seconds] = field(default_factory=dict)
    crash_timings_by_pool: dict[PoolId, list[CrashTiming]] = field(default_factory=dict)
    """The recent crashes of each pool's workers under a start, oldest first."""
    ended_job_ids: dict[JobId, Seconds] = field(default_factory=dict)
    """Times of the recently recorded ends of jobs.

    A listing that was read before such an end still contains the job.
    """
    vms_by_id: dict[VMId, VMEntry] = field(default_factory=dict)
    stragglers_checked_at: Seconds = 0.0
    """When runs on slow workers were last looked for."""
    vms_read_at: Seconds = 0.0
    arrivals_by_pool: dict[PoolId, ArrivalMeter] = field(default_factory=dict)
    ready_by_pool: dict[PoolId, dict[StepRun, None]] = field(default_factory=dict)
    """Steps with waiting tasks, in the order in which they became ready."""
    slack_by_queue: dict[QueueId, Seconds] = field(default_factory=dict)
    """Smoothed time that a queue's jobs can wait and still meet their objective."""
    usage_by_partner: dict[PartnerId, PartnerUsage] = field(default_factory=dict)
    advice_calls_made: int = 0
    """Calls to the adviser so far; whose turn is next depends on it."""
    advice_answered_at: Seconds = 0.0
    """When the adviser last answered a call; 0 before the first answer."""
    durations_by_queue: dict[QueueId, tuple[float, float]] = field(default_factory=dict)
    """Sum of weights and weighted mean of log duration in ms, by queue."""


__all__ = [
    "SUSPECT_AFTER",
    "ActiveJob",
    "AdviceCalls",
    "ArrivalMeter",
    "HeldEnd",
    "PartnerUsage",
    "Run",
    "RunEnd",
    "RunState",
    "StepRun",
    "ProgressMark",
    "Task",
    "Ticket",
    "UnloadedJob",
    "WorkTables",
]
