"""Estimates of task durations, based on the durations of completed runs.

Submitters' estimates are off by half or more. A queue's measured mean corrects their
common error. Tasks of one step have similar durations, so the first completed run of a
step is the best predictor for its other tasks.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import QueueId, StepRun, StepSpec, WorkTables

DEFAULT_MS = 1_000.0
"""Used for a task without an estimate in a queue without completed runs."""
ESTIMATE_WEIGHT = 0.5
"""Weight of the submitter's estimate relative to the queue's mean log duration.

The estimates vary as widely as the durations themselves, so both get equal weight.
"""
MAX_SAMPLE_COUNT = 200.0
"""Completed runs of a queue after which older ones lose weight."""


def estimate_seconds(
    tables: WorkTables, queue_id: QueueId, spec: StepSpec, mean_duration_ms: float = 0.0
) -> Seconds:
    """Return the expected duration of one task of a step.

    ``seen_ms`` is the mean duration of the step's completed runs, or 0 if there are
    none; it takes precedence over all other estimates.
    """
    if mean_duration_ms > 0.0:
        return mean_duration_ms / 1_000.0
    count, mean_log = tables.durations_by_queue.get(queue_id, (0.0, 0.0))
    if spec.estimate_ms <= 0:
        return (math.exp(mean_log) if count else DEFAULT_MS) / 1_000.0
    if not count:
        return spec.estimate_ms / 1_000.0
    stated = math.log(spec.estimate_ms)
    blended = ESTIMATE_WEIGHT * stated + (1.0 - ESTIMATE_WEIGHT) * mean_log
    return math.exp(blended) / 1_000.0


def record_duration(tables: WorkTables, step: StepRun, milliseconds: float) -> None:
    """Update the step's and the queue's mean with the duration of a complete run."""
    measured = max(milliseconds, 1.0)
    step.ended_runs += 1
    step.mean_duration_ms += (measured - step.mean_duration_ms) / step.ended_runs
    queue_id = step.job.queue.id
    count, mean_log = tables.durations_by_queue.get(queue_id, (0.0, 0.0))
    count = min(count + 1.0, MAX_SAMPLE_COUNT)
    mean_log += (math.log(measured) - mean_log) / count
    tables.durations_by_queue[queue_id] = (count, mean_log)


def find_critical_paths(
    tables: WorkTables, queue_id: QueueId, specs: tuple[StepSpec, ...]
) -> list[Seconds]:
    """Return the critical path length of each step: from its start to the job's end."""
    durations = [estimate_seconds(tables, queue_id, spec) for spec in specs]
    return sum_critical_paths(specs, durations)


def sum_critical_paths(
    specs: Sequence[StepSpec], durations: Sequence[Seconds]
) -> list[Seconds]:
    """Return the critical path length of each step, from the steps' durations."""
    paths = [0.0] * len(specs)
    for index in range(len(specs) - 1, -1, -1):
        followers = [
            paths[later]
            for later in range(index + 1, len(specs))
            if index in specs[later].after
        ]
        paths[index] = durations[index] + max(followers, default=0.0)
    return paths


__all__ = [
    "estimate_seconds",
    "find_critical_paths",
    "record_duration",
    "sum_critical_paths",
]
