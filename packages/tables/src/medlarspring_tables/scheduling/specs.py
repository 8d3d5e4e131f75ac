"""What a submitted job asks for, and the policy of its queue."""

from __future__ import annotations

from msgspec import Struct

from medlarspring_tables.ids import PoolId
from medlarspring_tables.scheduling.ids import Milliseconds, QueueId


class StepSpec(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A number of like tasks that may run once earlier steps are done."""

    count: int
    cpu_millis: int = 0
    """Thousandths of a core that each task asks for."""
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: Milliseconds = 0
    """The submitter's rough estimate of a task's duration; often wrong by half."""
    after: tuple[int, ...] = ()
    """Earlier steps, counted from 0, that must be done first."""
    checkpoints: bool = False
    gang: bool = False
    """The tasks work only while all of one run are present, and end together."""
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    """Rack that holds the data; tasks take longer on any other."""
    max_per_worker: int = 0
    """Most tasks of the step on one worker; 0 for no limit."""
    speculative: bool = False
    """Copies of a task may run in parallel; the first to finish counts."""
    long_running: bool = False
    """Runs until the job is cancelled, and is restarted however it ends."""
    max_unavailable: int = 0
    """Tasks that may be away at once because of this system's own actions."""
    image: str = ""
    """Tasks of the same image behave alike."""
    latency_target_ms: Milliseconds = 0
    """Bound on the tail latency of what a long-running task serves; 0 for none."""
    uses_leftover: bool = False
    """Takes the processor time that other tasks leave; not counted as used."""


class JobSpec(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A job as submitted."""

    payload: str
    """Opaque text that every start of a task carries to the worker."""
    steps: tuple[StepSpec, ...]
    occurrences: int = 0
    """How often the steps run; 0 for once, as soon as possible."""
    first_at_ms: Milliseconds = 0
    interval_ms: Milliseconds = 0


class AdvicePolicy(Struct, frozen=True, kw_only=True):
    """A queue whose steps may run only on workers that an adviser allows."""

    decide_ms: Milliseconds = 0
    per_worker_ms: Milliseconds = 0
    valid_ms: Milliseconds = 0


class QueuePolicy(Struct, frozen=True, kw_only=True):
    """What the operator's configuration says of a queue."""

    id: QueueId
    pool_id: PoolId
    priority: int = 0
    """0 comes first."""
    max_attempts: int = 1
    stretch: float = 1.0
    """The objective is this many times the job's critical path, and more."""
    allowance_ms: Milliseconds = 0
    """Added to the objective."""
    advice: AdvicePolicy | None = None


__all__ = ["AdvicePolicy", "JobSpec", "QueuePolicy", "StepSpec"]
