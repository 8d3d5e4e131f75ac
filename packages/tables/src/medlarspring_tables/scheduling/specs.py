"""Specifications of submitted jobs, and the policies of their queues."""

from __future__ import annotations

from msgspec import Struct

from medlarspring_tables.bounds import Real, Whole
from medlarspring_tables.ids import PoolId
from medlarspring_tables.scheduling.ids import Milliseconds, QueueId


class StepSpec(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A number of identical tasks that may run once earlier steps are done."""

    count: Whole
    cpu_millis: Whole = 0
    """Thousandths of a core that each task requests."""
    memory_mb: Whole = 0
    accelerators: Whole = 0
    estimate_ms: Milliseconds = 0
    """The submitter's rough estimate of a task's duration, often wrong by 50%."""
    after: tuple[Whole, ...] = ()
    """Indexes, from 0, of earlier steps that must be done first."""
    checkpoints: bool = False
    gang: bool = False
    """The tasks work only while all members of the same run are present.

    They end together.
    """
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    """Rack that holds the data; tasks take longer on other racks."""
    max_per_worker: Whole = 0
    """Limit on the tasks of the step on one worker; 0 for no limit."""
    speculative: bool = False
    """Copies of a task may run in parallel; the first to finish counts."""
    long_running: bool = False
    """Runs until the job is cancelled, and is restarted however it ends."""
    max_unavailable: Whole = 0
    """Tasks that this system's own actions may make unavailable at the same time."""
    image: str = ""
    """Tasks with the same image behave alike."""
    latency_target_ms: Milliseconds = 0
    """Bound on the tail latency of a long-running task's service; 0 for none."""
    uses_leftover: bool = False
    """Best-effort: uses the CPU that other tasks leave; not counted as used."""


class JobSpec(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A job as submitted."""

    payload: str
    """Opaque text that is sent to the worker with each start of a task."""
    steps: tuple[StepSpec, ...]
    occurrences: Whole = 0
    """How many times the steps run; 0 for once, as soon as possible."""
    first_at_ms: Milliseconds = 0
    interval_ms: Milliseconds = 0


class AdvicePolicy(Struct, frozen=True, kw_only=True):
    """Limits for a queue whose steps may run only on workers an adviser permits."""

    decide_ms: Milliseconds = 0
    per_worker_ms: Milliseconds = 0
    valid_ms: Milliseconds = 0


class QueuePolicy(Struct, frozen=True, kw_only=True):
    """Settings of a queue in the operator's configuration."""

    id: QueueId
    pool_id: PoolId
    priority: Whole = 0
    """0 is the highest."""
    max_attempts: Whole = 1
    stretch: Real = 1.0
    """The objective is this many times the job's critical path plus the allowance."""
    allowance_ms: Milliseconds = 0
    """Constant part of the objective."""
    advice: AdvicePolicy | None = None


__all__ = ["AdvicePolicy", "JobSpec", "QueuePolicy", "StepSpec"]
