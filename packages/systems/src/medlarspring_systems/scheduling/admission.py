"""Validation of submitted jobs against size limits and step dependencies."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_tables import MedlarspringError

if TYPE_CHECKING:
    from medlarspring_tables.scheduling import JobSpec, StepSpec

MAX_PAYLOAD_BYTES = 4_000
"""Maximum payload size that workers accept."""
MAX_STEPS = 100
MAX_TASKS = 10_000
"""Across all steps; keeps a progress record well below the store's value limit."""

MAX_OCCURRENCES = 10_000
MAX_TOTAL_TASKS = 100_000
"""Across all occurrences. Without this limit, a job that is due every millisecond would
exhaust the controller's memory."""


class JobInvalid(MedlarspringError):
    """Raised for a submitted job whose specification can't run."""

    code = "job-invalid"

    def __init__(self, detail: str, remedy: str) -> None:
        super().__init__(detail, remedy)
        self.detail = detail
        self.remedy = remedy

    def message(self) -> str:
        """Return the user-facing text: what is wrong and how to fix it."""
        return f"The job was not accepted: {self.detail}. {self.remedy}"


def check_job(spec: JobSpec) -> JobInvalid | None:
    """Return the first fault in the job's specification, or None if it is valid."""
    if len(spec.payload.encode()) > MAX_PAYLOAD_BYTES:
        return JobInvalid(
            f"the payload has more than {MAX_PAYLOAD_BYTES} bytes",
            "Shorten it, or pass a reference to the data instead.",
        )
    if not spec.steps:
        return JobInvalid("it has no steps", "Specify at least one step.")
    if len(spec.steps) > MAX_STEPS:
        return JobInvalid(
            f"it has {len(spec.steps)} steps; at most {MAX_STEPS} are allowed",
            "Split it into several jobs.",
        )
    if sum(step.count for step in spec.steps) > MAX_TASKS:
        return JobInvalid(
            f"it has more than {MAX_TASKS} tasks", "Split it into several jobs."
        )
    if spec.occurrences < 0 or (spec.occurrences > 1 and spec.interval_ms <= 0):
        return JobInvalid(
            "its occurrences have no valid interval",
            "Specify a positive interval, or a single occurrence.",
        )
    tasks = sum(step.count for step in spec.steps) * max(spec.occurrences, 1)
    if spec.occurrences > MAX_OCCURRENCES or tasks > MAX_TOTAL_TASKS:
        return JobInvalid(
            f"it has {spec.occurrences} occurrences with {tasks} tasks in total;"
            f" at most {MAX_OCCURRENCES} and {MAX_TOTAL_TASKS} are allowed",
            "Submit fewer occurrences at a time.",
        )
    for index, step in enumerate(spec.steps):
        fault = _check_step(index, step)
        if fault is not None:
            return fault
    return None


def _check_step(index: int, step: StepSpec) -> JobInvalid | None:
    if step.count < 1:
        return JobInvalid(f"step {index} has no tasks", "Specify a count of 1 or more.")
    sizes = (step.cpu_millis, step.memory_mb, step.accelerators, step.estimate_ms)
    if min(sizes) < 0 or min(step.max_per_worker, step.max_unavailable) < 0:
        return JobInvalid(f"step {index} has a negative value", "Use 0 for none.")
    if any(not 0 <= earlier < index for earlier in step.after):
        return JobInvalid(
            f"step {index} depends on a step that does not precede it",
            "Let each step depend only on steps with lower numbers.",
        )
    return None


__all__ = ["JobInvalid", "check_job"]
