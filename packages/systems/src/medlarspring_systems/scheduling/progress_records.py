"""Conversion of a job's progress to and from its record in the store."""

from __future__ import annotations

import string
from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.indices import is_index
from medlarspring_systems.scheduling.jobs import count_occurrences, open_occurrence
from medlarspring_systems.scheduling.pacing import RESTORED_PACE_PERCENT
from medlarspring_systems.scheduling.runs import attach_run, record_task_or_gang_done
from medlarspring_tables.scheduling import (
    CrashTally,
    ProgressRecord,
    Run,
    RunRecord,
    RunState,
    StepRecord,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import (
        ActiveJob,
        JobSpec,
        StepRun,
        Worker,
        WorkerId,
        WorkTables,
    )

MAX_KEY_LENGTH = 40
"""Characters of an invalid key that a fault shows."""


def encode_progress(job: ActiveJob) -> ProgressRecord:
    """Return the record from which the next controller can continue a job."""
    steps: dict[str, StepRecord] = {}
    for occurrence, occurrence_steps in job.occurrences_by_index.items():
        for step in occurrence_steps:
            record = _encode_step(step)
            if record is not None:
                steps[f"{occurrence}.{step.index}"] = record
    first_open = 0
    while first_open in job.occurrences_done:
        first_open += 1
    beyond = sorted(each for each in job.occurrences_done if each > first_open)
    return ProgressRecord(
        steps=steps,
        occurrences_done=first_open,
        done_beyond=tuple(beyond),
        started=job.started,
    )


def _encode_step(step: StepRun) -> StepRecord | None:
    if step.is_done:
        return StepRecord(done=format((1 << len(step.tasks)) - 1, "x"))
    return _encode_open_step(step)


def _encode_open_step(step: StepRun) -> StepRecord | None:
    done = 0
    record = StepRecord(runs={}, last_runs={}, failures={}, crashes={}, checkpoints={})
    has_progress = False
    for task in step.tasks:
        if task.done:
            done |= 1 << task.index
            continue
        if not task.last_run and not task.failures:
            continue
        has_progress = True
        if task.runs:
            runs = [
                RunRecord(run.number, run.worker.id, run.life_ms) for run in task.runs
            ]
            record.runs[task.index] = tuple(runs)
        # The present runs tell the last number, unless a later run has ended.
        if task.last_run and task.last_run not in [run.number for run in task.runs]:
            record.last_runs[task.index] = task.last_run
        if task.failures:
            record.failures[task.index] = task.failures
        if task.crashes.total:
            record.crashes[task.index] = task.crashes
        if task.checkpoint:
            record.checkpoints[task.index] = task.checkpoint
    if done:
        record.done = format(done, "x")
    return record if done or has_progress else None


def find_progress_fault(record: ProgressRecord, spec: JobSpec) -> str:
    """Return the first inconsistency of a record with its job, or "" if there is none.

    A record that names occurrences or steps that the job does not have was written by
    another program or version. Restoring it would abort the takeover.
    """
    occurrences = max(spec.occurrences, 1)
    if not 0 <= record.occurrences_done <= occurrences:
        return f"{record.occurrences_done} of {occurrences} occurrences are done"
    if any(not 0 <= each < occurrences for each in record.done_beyond):
        return "it marks an occurrence as done that the job does not have"
    for key, step in record.steps.items():
        occurrence, _, index = key.partition(".")
        if not (is_index(occurrence) and is_index(index)):
            return f"{key[:MAX_KEY_LENGTH]} is not a valid step key"
        if int(occurrence) >= occurrences or int(index) >= len(spec.steps):
            return f"the job has no step {key}"
        if not _is_hex(step.done):
            return f"the done tasks of step {key} are not a hexadecimal bit mask"
    return ""


def _is_hex(text: str) -> bool:
    return all(digit in string.hexdigits for digit in text)


def restore_progress(
    tables: WorkTables,
    job: ActiveJob,
    record: ProgressRecord,
    find_worker: Callable[[WorkerId], Worker],
    now: Seconds,
    wall_ms: float,
) -> None:
    """Restore recorded progress; restored runs are unknown until they are listed."""
    job.started = _has_started(record)
    job.occurrences_done = set(range(record.occurrences_done))
    job.occurrences_done |= set(record.done_beyond)
    indexes = {int(key.partition(".")[0]) for key in record.steps}
    first_unopened = max(indexes, default=record.occurrences_done - 1) + 1
    job.next_occurrence = min(first_unopened, count_occurrences(job))
    for occurrence in range(record.occurrences_done, job.next_occurrence):
        if occurrence in job.occurrences_done:
            continue
        steps = open_occurrence(tables, job, occurrence, now, wall_ms)
        for step in steps:
            stored = record.steps.get(f"{occurrence}.{step.index}")
            if stored is not None:
                _restore_step(tables, step, stored, find_worker, now)


def _has_started(record: ProgressRecord) -> bool:
    """Return whether a task has certainly started.

    A record from before the first start was confirmed doesn't tell; neither does one of
    a former version with nothing but runs. The workers' listings do.
    """
    if record.started or record.occurrences_done or record.done_beyond:
        return True
    return any(
        step.done or step.failures or step.crashes or step.checkpoints
        for step in record.steps.values()
    )


def _restore_step(
    tables: WorkTables,
    step: StepRun,
    record: StepRecord,
    find_worker: Callable[[WorkerId], Worker],
    now: Seconds,
) -> None:
    done = int(record.done, 16) if record.done else 0
    for task in step.tasks:
        task.last_run = record.last_runs.get(task.index, 0)
        task.failures = record.failures.get(task.index, 0)
        task.crashes = record.crashes.get(task.index, CrashTally())
        step.job.suspected = step.job.suspected or task.is_suspect
        task.checkpoint = record.checkpoints.get(task.index, "")
        for stored in record.runs.get(task.index, ()):
            run = Run(
                task=task,
                number=stored.number,
                worker=find_worker(stored.worker_id),
                state=RunState.UNKNOWN,
                intended_at=now,
                ordered_at=now,
                life_ms=stored.life_ms,
                checkpoint=task.checkpoint,
                taken_over=True,
            )
            if step.spec.uses_leftover:
                run.pace_percent = RESTORED_PACE_PERCENT
            attach_run(run)
    for task in step.tasks:
        if done >> task.index & 1:
            record_task_or_gang_done(tables, task, now)


__all__ = ["encode_progress", "find_progress_fault", "restore_progress"]
