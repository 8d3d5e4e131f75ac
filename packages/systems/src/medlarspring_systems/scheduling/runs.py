"""Life cycle of a task's runs on workers: intent, order, confirmation and end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.estimates import record_duration
from medlarspring_systems.scheduling.jobs import fail_job, mark_task_done, queue_step
from medlarspring_systems.scheduling.quotas import add_usage, remove_usage
from medlarspring_systems.scheduling.recent_use import begin_use, end_use
from medlarspring_systems.scheduling.worker_pace import record_pace
from medlarspring_tables.scheduling import Run, RunEnd, RunState

if TYPE_CHECKING:
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import StepRun, Task, Worker, WorkTables

RETRY_SECONDS = 0.1
"""Pause before a failed task starts again, in which a failing worker is detected."""
SERVING_PERCENT = 100
"""Progress at which a long-running task reports that it serves."""
ENDS_AFTER_START = {RunEnd.DONE, RunEnd.FAILED, RunEnd.LAPSED, RunEnd.GANG_BROKEN}
"""Ends of runs that have begun; a run may be stopped, or lack its gang, before that."""
LONG_RETRY_SECONDS = 0.2
"""Pause before a failed long-running task starts again, without limit of attempts."""


def allocate_resources(worker: Worker, step: StepRun) -> None:
    """Subtract the request of one task of the step from a worker's free resources."""
    worker.cpu_free -= step.resources.cpu_millis
    worker.memory_free -= step.resources.memory_mb
    worker.accelerators_free -= step.resources.accelerators


def release_resources(worker: Worker, step: StepRun) -> None:
    """Add the request of one task of the step to a worker's free resources."""
    worker.cpu_free += step.resources.cpu_millis
    worker.memory_free += step.resources.memory_mb
    worker.accelerators_free += step.resources.accelerators


def intend_run(
    task: Task,
    worker: Worker,
    number: int,
    now: Seconds,
    *,
    copy: bool = False,
    isolated: bool = True,
) -> Run:
    """Create a run to be started; it is ordered once the intent has been recorded."""
    run = Run(
        task=task,
        number=number,
        worker=worker,
        intended_at=now,
        life_ms=worker.born_ms,
        checkpoint=task.checkpoint,
        copy=copy,
        isolated=isolated,
    )
    attach_run(run)
    job = task.step.job
    job.version += 1
    run.version = job.version
    return run


def attach_run(run: Run) -> None:
    """Attach a run to its task, its job and its worker."""
    task, worker = run.task, run.worker
    step = task.step
    task.last_run = max(task.last_run, run.number)
    task.runs.append(run)
    if task in step.waiting:
        step.waiting.remove(task)
    worker.runs[(task.id, run.number)] = run
    if task.is_suspect and run.isolated:
        worker.isolated_run = run
    step.job.runs[run] = None
    if not step.job.zone_id:
        step.job.zone_id = worker.zone_id
    allocate_resources(worker, step)
    add_usage(step.job.partner, step.spec)
    begin_use(step, run.intended_at)
    if step.spec.long_running:
        worker.long_runs += 1
    else:
        worker.batch_runs += 1
    if step.spec.max_per_worker:
        step.per_worker[worker.id] = step.per_worker.get(worker.id, 0) + 1


def detach_run(tables: WorkTables, run: Run, now: Seconds) -> None:
    """Detach a run that is certainly over; its task is queued again if not done."""
    task, worker = run.task, run.worker
    step = task.step
    if worker.runs.pop((task.id, run.number), None) is None:
        return
    task.runs.remove(run)
    task.failed_at = 0.0
    del step.job.runs[run]
    if worker.isolated_run is run:
        worker.isolated_run = None
    release_resources(worker, step)
    remove_usage(step.job.partner, step.spec)
    end_use(step, now)
    if step.spec.long_running:
        worker.long_runs -= 1
    else:
        worker.batch_runs -= 1
    if not worker.runs:
        worker.idle_since = now
    if step.spec.max_per_worker:
        step.per_worker[worker.id] = step.per_worker.get(worker.id, 1) - 1
    step.job.version += 1
    if not task.done and not task.runs and step.job.outcome is None:
        task.waiting_since = now
        step.waiting.append(task)
        queue_step(tables, step)


def confirm_run(run: Run, now: Seconds) -> None:
    """Record that the worker has the run."""
    if run.state is not RunState.RUNNING:
        run.state = RunState.RUNNING
        run.confirmed_at = now
        run.advanced_at = now
        run.crash_counted = False
        run.task.step.job.started = True
    run.absent_since = 0.0


def end_run(
    tables: WorkTables, run: Run, end: RunEnd, checkpoint: str, now: Seconds
) -> None:
    """Record the end of a run; its task is then done, retried or fails its job."""
    task = run.task
    record_start_by_end(task, end)
    if checkpoint:
        task.checkpoint = checkpoint
    if end is RunEnd.DONE:
        _record_done_run(tables, run, now)
    elif end is RunEnd.FAILED:
        _record_failed_run(run, now)
    failed_by_itself = end is RunEnd.FAILED and not run.stopping and is_serving(run)
    detach_run(tables, run, now)
    if failed_by_itself:
        task.failed_at = now


def record_start_by_end(task: Task, end: RunEnd) -> None:
    """Record that a task has started, if that is certain from an end of a run."""
    if end in ENDS_AFTER_START:
        task.step.job.started = True


def _record_done_run(tables: WorkTables, run: Run, now: Seconds) -> None:
    task = run.task
    if run.confirmed_at and not run.checkpoint and not task.step.spec.gang:
        duration = now - run.confirmed_at
        record_pace(run, duration, now)
        record_duration(tables, task.step, duration * 1_000.0)
    if not task.step.spec.long_running:
        record_task_or_gang_done(tables, task, now)


def record_task_or_gang_done(tables: WorkTables, task: Task, now: Seconds) -> None:
    """Mark a task as done; for a gang, a run's successful end completes all members."""
    members = list(task.step.tasks) if task.step.spec.gang else [task]
    for member in members:
        mark_task_done(tables, member, now)


def _record_failed_run(run: Run, now: Seconds) -> None:
    task = run.task
    step = task.step
    task.failed_on.add(run.worker.vm_id)
    if step.spec.long_running:
        task.not_before = now + LONG_RETRY_SECONDS
        return
    task.failures += 1
    task.not_before = now + RETRY_SECONDS
    if count_failures(task) >= step.job.queue.max_attempts:
        fail_job(step.job, f"task {task.id} failed {task.failures} times")


def drop_needless_runs(tables: WorkTables, task: Task, now: Seconds) -> list[Run]:
    """Detach the runs of a done task that are not ordered; return those to stop.

    A task has other runs when it is done if it was copied, or if a run that was given
    up turns out to have succeeded.
    """
    if not task.done:
        return []
    for run in list(task.runs):
        if run.state is RunState.INTENDED:
            detach_run(tables, run, now)
    return list(task.runs)


def is_serving(run: Run) -> bool:
    """Return whether a run of a long-running task serves, as its worker reports."""
    return run.state is RunState.RUNNING and run.percent >= SERVING_PERCENT


def count_failures(task: Task) -> int:
    """Return the failures of the task, or of all members of its gang."""
    if not task.step.spec.gang:
        return task.failures
    return sum(member.failures for member in task.step.tasks)


__all__ = [
    "attach_run",
    "confirm_run",
    "count_failures",
    "detach_run",
    "drop_needless_runs",
    "end_run",
    "intend_run",
    "is_serving",
    "record_start_by_end",
    "record_task_or_gang_done",
]
