"""How long tasks are expected to run, learnt from those that ended.

Submitters' estimates are wrong by half or more. A queue's own mean, learnt from
its ends, corrects what is wrong with all of them; siblings of one step resemble
each other, so the first end of a step tells most about the rest of it.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import QueueId, StepRun, StepSpec, WorkTables

DEFAULT_MS = 1_000.0
"""Taken for a task without an estimate in a queue without ends."""
ESTIMATE_WEIGHT = 0.5
"""Weight of the submitter's estimate against the queue's mean, in logarithms.

Estimates that spread as widely as the durations themselves deserve half.
"""
MAX_SAMPLE_COUNT = 200.0
"""Ends of a queue after which older ones fade."""


def estimate_seconds(
    tables: WorkTables, queue_id: QueueId, spec: StepSpec, seen_ms: float = 0.0
) -> Seconds:
    """Return the expected duration of one task of a step."""
    if seen_ms > 0.0:
        return seen_ms / 1_000.0
    count, mean_log = tables.durations_by_queue.get(queue_id, (0.0, 0.0))
    if spec.estimate_ms <= 0:
        return (math.exp(mean_log) if count else DEFAULT_MS) / 1_000.0
    if not count:
        return spec.estimate_ms / 1_000.0
    stated = math.log(spec.estimate_ms)
    blended = ESTIMATE_WEIGHT * stated + (1.0 - ESTIMATE_WEIGHT) * mean_log
    return math.exp(blended) / 1_000.0


def record_duration(tables: WorkTables, step: StepRun, milliseconds: float) -> None:
    """Take over the duration of a run that went from its start to its end."""
    measured = max(milliseconds, 1.0)
    step.ended_runs += 1
    step.seen_ms += (measured - step.seen_ms) / step.ended_runs
    queue_id = step.job.queue.id
    count, mean_log = tables.durations_by_queue.get(queue_id, (0.0, 0.0))
    count = min(count + 1.0, MAX_SAMPLE_COUNT)
    mean_log += (math.log(measured) - mean_log) / count
    tables.durations_by_queue[queue_id] = (count, mean_log)


def find_critical_paths(
    tables: WorkTables, queue_id: QueueId, specs: tuple[StepSpec, ...]
) -> list[Seconds]:
    """Return, for each step, the longest expected time from its start to the end."""
    paths = [0.0] * len(specs)
    for index in range(len(specs) - 1, -1, -1):
        own = estimate_seconds(tables, queue_id, specs[index])
        followers = [
            paths[later]
            for later in range(index + 1, len(specs))
            if index in specs[later].after
        ]
        paths[index] = own + max(followers, default=0.0)
    return paths


__all__ = ["estimate_seconds", "find_critical_paths", "record_duration"]
