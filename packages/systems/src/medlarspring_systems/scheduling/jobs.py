"""Lifecycle of a job: its occurrences, steps and tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.demand import record_arrival, record_slack
from medlarspring_systems.scheduling.estimates import (
    estimate_seconds,
    find_critical_paths,
)
from medlarspring_systems.scheduling.quotas import find_usage
from medlarspring_tables.scheduling import (
    ActiveJob,
    JobOutcome,
    Resources,
    StepRun,
    Task,
)

if TYPE_CHECKING:
    from medlarspring_tables import JobId, Revision, Seconds
    from medlarspring_tables.scheduling import (
        JobRecord,
        Milliseconds,
        QueuePolicy,
        WorkTables,
    )

ABANDON_FACTOR = 3.0
"""Multiple of a job's time objective after which its completion has no value.

Between the objective and this limit, completing it has little value.
"""
EARLY_START_SECONDS = 0.05
"""How long before its due time an occurrence is opened, so that it is ready in time."""


def admit_job(
    tables: WorkTables,
    job_id: JobId,
    record: JobRecord,
    revision: Revision,
    arrived_at: Seconds,
) -> ActiveJob:
    """Add an accepted job to the tables; its occurrences are opened later.

    ``arrived_at`` is the local time at which it was accepted.
    """
    assert record.spec is not None
    job = ActiveJob(
        id=job_id,
        queue=record.queue,
        spec=record.spec,
        accepted_at_ms=record.accepted_at_ms,
        job_revision=revision,
        arrived_at=arrived_at,
        owner=record.owner,
        partner=find_usage(tables, record.owner.partner_id),
    )
    tables.jobs_by_id[job_id] = job
    return job


def count_occurrences(job: ActiveJob) -> int:
    """Return the total number of the job's occurrences."""
    return max(job.spec.occurrences, 1)


def find_due_ms(job: ActiveJob, occurrence: int) -> Milliseconds:
    """Return the wall-clock time in Unix milliseconds at which an occurrence is due."""
    if not job.spec.occurrences:
        return job.accepted_at_ms
    return job.spec.first_at_ms + occurrence * job.spec.interval_ms


def find_due_at(
    job: ActiveJob, occurrence: int, now: Seconds, wall_ms: float
) -> Seconds:
    """Return the local time at which an occurrence is due.

    A job without scheduled occurrences is due on arrival. Wall clocks of entry VMs
    differ and may jump, so a due time computed from them could make the job late on
    arrival.
    """
    if not job.spec.occurrences:
        return job.arrived_at
    return now + (find_due_ms(job, occurrence) - wall_ms) / 1_000.0


def find_objective(queue: QueuePolicy, path: Seconds) -> Seconds:
    """Return the time in which a job with this critical path should complete."""
    return queue.stretch * path + queue.allowance_ms / 1_000.0


def open_due_occurrences(
    tables: WorkTables, job: ActiveJob, now: Seconds, wall_ms: float
) -> bool:
    """Open the occurrences that are due; return whether any was opened."""
    opened = False
    while job.outcome is None and not job.cancelled:
        occurrence = job.next_occurrence
        if occurrence >= count_occurrences(job):
            break
        due_ms = find_due_ms(job, occurrence)
        if job.spec.occurrences and due_ms > wall_ms + EARLY_START_SECONDS * 1_000:
            break
        job.next_occurrence += 1
        if occurrence in job.occurrences_done:
            continue
        open_occurrence(tables, job, occurrence, now, wall_ms)
        opened = True
    return opened


def open_occurrence(
    tables: WorkTables, job: ActiveJob, occurrence: int, now: Seconds, wall_ms: float
) -> list[StepRun]:
    """Create the steps of one occurrence and mark those that can start as ready."""
    due_at = find_due_at(job, occurrence, now, wall_ms)
    paths = find_critical_paths(tables, job.queue.id, job.spec.steps)
    objective = find_objective(job.queue, max(paths))
    steps: list[StepRun] = []
    for index, spec in enumerate(job.spec.steps):
        step = StepRun(job=job, occurrence=occurrence, index=index, spec=spec)
        step.objective_at = due_at + objective
        step.useful_until = due_at + ABANDON_FACTOR * objective
        step.remaining_path = paths[index]
        cpu = 0 if spec.uses_leftover else spec.cpu_millis
        step.resources = Resources(cpu, spec.memory_mb, spec.accelerators)
        prefix = f"{job.id}.{occurrence}.{index}"
        step.tasks = [
            Task(step=step, index=number, id=f"{prefix}.{number}", waiting_since=now)
            for number in range(spec.count)
        ]
        step.waiting = list(step.tasks)
        step.expected = estimate_seconds(tables, job.queue.id, spec)
        steps.append(step)
    _sum_remaining_work(steps)
    job.occurrences_by_index[occurrence] = steps
    record_arrival(tables, steps, due_at, now)
    record_slack(tables, steps, objective - max(paths))
    refresh_ready(tables, steps, now)
    return steps


def _sum_remaining_work(steps: list[StepRun]) -> None:
    """Set each step's remaining work in core-seconds, including all later steps."""
    remaining = 0.0
    for step in reversed(steps):
        if not step.spec.long_running:
            cores = step.resources.cpu_millis / 1_000.0
            remaining += step.spec.count * cores * step.expected
        step.remaining_work = remaining


def refresh_ready(tables: WorkTables, steps: list[StepRun], now: Seconds) -> None:
    """Mark steps as ready if all steps that they depend on are done."""
    for step in steps:
        if step.ready or step.is_done:
            continue
        if all(steps[earlier].is_done for earlier in step.spec.after):
            step.ready = True
            step.ready_at = now
            queue_step(tables, step)


def queue_step(tables: WorkTables, step: StepRun) -> None:
    """Add a step with tasks to place to its pool's ready steps."""
    pool = tables.ready_by_pool.setdefault(step.job.queue.pool_id, {})
    pool[step] = None


def mark_task_done(tables: WorkTables, task: Task, now: Seconds) -> None:
    """Mark a task as done; update its step's dependents or close the occurrence."""
    if task.done:
        return
    step = task.step
    task.done = True
    step.done_count += 1
    step.job.version += 1
    if task in step.waiting:
        step.waiting.remove(task)
    if not step.is_done:
        return
    steps = step.job.occurrences_by_index.get(step.occurrence)
    if steps is None:
        return
    if all(each.is_done for each in steps):
        close_occurrence(step.job, step.occurrence)
        return
    refresh_ready(tables, steps, now)


def close_occurrence(job: ActiveJob, occurrence: int) -> None:
    """Drop a finished occurrence; the last one completes the job."""
    job.occurrences_by_index.pop(occurrence, None)
    job.occurrences_done.add(occurrence)
    if len(job.occurrences_done) == count_occurrences(job) and job.outcome is None:
        job.outcome = JobOutcome.COMPLETE


def fail_job(job: ActiveJob, reason: str) -> None:
    """End a job as failed, with the reason given."""
    if job.outcome is None:
        job.outcome = JobOutcome.FAILED
        job.reason = reason
        job.version += 1


def cancel_job(job: ActiveJob) -> None:
    """End a job at its customer's request."""
    job.cancelled = True
    if job.outcome is None:
        job.outcome = JobOutcome.CANCELLED
        job.reason = "cancelled by its customer"
        job.version += 1


ENDED_JOB_RETENTION_SECONDS = 60.0
"""How long the ids of ended jobs are kept.

Listings and late watch events of the inbox are never older than this.
"""


def forget_job(tables: WorkTables, job: ActiveJob, now: Seconds) -> None:
    """Remove a job whose end is recorded, and remember its id.

    A listing that was read before the end and is applied after it still shows the job
    as open. Without the remembered id, the job would be treated as new and run again
    from its first step.
    """
    tables.jobs_by_id.pop(job.id, None)
    tables.ended_job_ids[job.id] = now
    _drop_old_ids(tables, now)
    ready = tables.ready_by_pool.get(job.queue.pool_id, {})
    for steps in job.occurrences_by_index.values():
        for step in steps:
            ready.pop(step, None)


def _drop_old_ids(tables: WorkTables, now: Seconds) -> None:
    """Drop the ids of the jobs that ended too long ago, which come first."""
    while tables.ended_job_ids:
        job_id, ended_at = next(iter(tables.ended_job_ids.items()))
        if now - ended_at < ENDED_JOB_RETENTION_SECONDS:
            return
        del tables.ended_job_ids[job_id]


def is_unstarted(job: ActiveJob) -> bool:
    """Return whether the job is open and no worker has confirmed a start of a task."""
    return not job.started and job.outcome is None


__all__ = [
    "admit_job",
    "cancel_job",
    "close_occurrence",
    "count_occurrences",
    "fail_job",
    "find_due_ms",
    "find_objective",
    "forget_job",
    "is_unstarted",
    "mark_task_done",
    "open_due_occurrences",
    "open_occurrence",
    "queue_step",
    "refresh_ready",
]
