"""Counts crashes of workers against the tasks that may have caused them.

A worker that crashes does not report why. A task that crashes its workers usually
does so soon after its start, so that the latest starts on a worker are suspected
first. A job fails once enough crashes are attributable to one of its tasks, that is,
have no other explanation.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.crash_timing import (
    IMMEDIATE_SECONDS,
    find_last_contact,
    is_immediate,
    is_start_decisive,
    record_crash_timing,
)
from medlarspring_systems.scheduling.jobs import fail_job
from medlarspring_systems.scheduling.runs import is_serving
from medlarspring_tables.scheduling import (
    CrashTally,
    RunState,
    VMPhase,
    WorkerCrash,
)

if TYPE_CHECKING:
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import (
        ActiveJob,
        Run,
        Task,
        Worker,
        WorkTables,
    )

RECENT_START_SECONDS = 2.0
"""A start is suspected of a crash that is noticed within this time.

It includes the delay until the crash is noticed.
"""
SIMULTANEOUS_SECONDS = 1.0
"""Starts at most this far apart are suspected together."""
HEALTHY_RUN_SECONDS = 2.0
"""A long-running task that has served for this long is not suspected of a crash."""
MAX_ATTRIBUTABLE_CRASHES = 3
"""Crashes attributable to the task's own job alone at which the job fails."""
MAX_IMMEDIATE_CRASHES = 2
"""The same for crashes right after the start, which hardly have another cause."""
MAX_CRASHES_BESIDE = 2
"""A task with more crashes explains another one as well as a start just before it."""
MAX_CRASHES = 5
"""Crashes of any kind at which the job fails.

The platform permits two more starts after the third crash.
"""
OUTAGE_SECONDS = 1.0
"""Workers of a zone that end at most this far apart are taken to have one cause."""
OUTAGE_WORKERS = 4
"""This many of them count as an outage, even if each had a recent start."""
SIMULTANEOUS_LOSS_SECONDS = 0.1
"""In an outage, workers stop answering at most this far apart."""
UNSTABLE_SECONDS = 30.0
"""Time for which a VM counts as unstable after a crash that was not attributable."""


@dataclass(slots=True)
class CrashAssessment:
    """Assessment of the end of a worker's incarnation."""

    planned: bool
    """The VM was moved or maintained, or the worker left after notice."""
    suspects: list[Run] = field(default_factory=list)
    """Runs that may have crashed the worker."""
    attributed: bool = False
    """Whether only the suspects' job can explain the crash."""
    jobs: list[ActiveJob] = field(default_factory=list)
    """Jobs against which the crash counts, without repeats; some may have failed."""


def record_worker_end(
    tables: WorkTables, worker: Worker, now: Seconds
) -> CrashAssessment:
    """Count the end of a worker's incarnation against the tasks that were on it.

    Must be called while its runs are still attached to the worker.
    """
    if _is_planned_end(tables, worker):
        return CrashAssessment(planned=True)
    suspects = _find_suspects(worker, now)
    outage = _is_outage(tables, worker, now)
    alone = not outage and _is_attributable(worker, suspects, now)
    _record_crash(tables, worker, now, idle=not suspects, attributed=alone)
    for run in worker.runs.values():
        if _has_run_healthily(run, now):
            run.task.crashes = CrashTally()
    if suspects and not outage:
        record_crash_timing(tables, suspects, now)
    decisive = is_start_decisive(tables, suspects, now)
    counted = _list_counted_runs(worker, now)
    for run in counted:
        suspected = run in suspects
        _count_crash(
            run,
            suspected=suspected and not outage,
            alone=suspected and alone,
            immediate=suspected and alone and decisive and bool(run.confirmed_at),
        )
    return CrashAssessment(
        planned=False,
        suspects=[] if outage else suspects,
        attributed=alone,
        jobs=list(dict.fromkeys(run.task.step.job for run in counted)),
    )


def record_vanished_run(run: Run) -> None:
    """Count a run that is over although neither its end nor its worker's is known.

    Its worker may have crashed without this controller noticing. The crash counts
    towards the limit for crashes of any kind; the task is not suspected for it.
    """
    if not run.crash_counted:
        _count_crash(run, suspected=False, alone=False, immediate=False)


def _count_crash(run: Run, *, suspected: bool, alone: bool, immediate: bool) -> None:
    run.crash_counted = True
    task, job = run.task, run.task.step.job
    if task.done:
        return
    # Another crash of the same VM under this task may be due to an unstable VM.
    alone = alone and run.worker.vm_id not in task.failed_on
    known = task.crashes
    task.crashes = CrashTally(
        total=known.total + 1,
        suspected=known.suspected + suspected,
        alone=known.alone + alone,
        immediate=known.immediate + (alone and immediate),
    )
    job.version += 1
    if suspected:
        task.failed_on.add(run.worker.vm_id)
    job.suspected = job.suspected or task.is_suspect
    if _has_too_many_crashes(task):
        count = task.crashes.total
        fail_job(job, f"{count} workers crashed under task {task.id}")


def _has_too_many_crashes(task: Task) -> bool:
    """Return whether a task has so many crashes that its job has to fail.

    Crashes beside recent starts of other jobs, in an outage or on an unstable VM are
    not attributable. Without a limit for these, a task could be restarted forever.
    """
    return (
        task.crashes.alone >= MAX_ATTRIBUTABLE_CRASHES
        or task.crashes.immediate >= MAX_IMMEDIATE_CRASHES
        or task.crashes.total >= MAX_CRASHES
    )


def _is_planned_end(tables: WorkTables, worker: Worker) -> bool:
    """Return whether an incarnation ended by an operation on its VM or after notice."""
    if worker.draining or worker.leaving:
        return True
    vm = tables.vms_by_id.get(worker.vm_id)
    if vm is None:
        return False
    if vm.phase in (VMPhase.MOVING, VMPhase.MAINTENANCE):
        return True
    return vm.pool_id != worker.pool_id


def _find_suspects(worker: Worker, now: Seconds) -> list[Run]:
    """Return the runs that may have crashed their worker.

    These are the latest starts. If there was no recent start when the worker stopped
    answering, all runs are suspected except those with a healthy record.
    """
    runs = [run for run in worker.runs.values() if may_have_caused_crash(run, now)]
    if not runs:
        return []
    newest = max(run.started_at for run in runs)
    if not _is_recent(worker, newest, now):
        return runs
    window = SIMULTANEOUS_SECONDS
    if is_immediate(worker, newest, now):
        window = IMMEDIATE_SECONDS
    return [run for run in runs if run.started_at >= newest - window]


def _list_counted_runs(worker: Worker, now: Seconds) -> list[Run]:
    """Return the runs against which a crash counts, suspected or not.

    A task that crashes its workers late is never suspected beside recent starts. If
    only suspects were counted, it could be restarted forever.
    """
    return [
        run
        for run in worker.runs.values()
        if may_have_caused_crash(run, now) and not run.crash_counted
    ]


def may_have_caused_crash(run: Run, now: Seconds) -> bool:
    """Return whether a run may have been started and has no healthy record."""
    return run.state is not RunState.INTENDED and not _has_run_healthily(run, now)


def _has_run_healthily(run: Run, now: Seconds) -> bool:
    """Return whether a long-running task has served long enough not to be suspected."""
    if not run.task.step.spec.long_running or not is_serving(run):
        return False
    return find_last_contact(run.worker, now) - run.confirmed_at >= HEALTHY_RUN_SECONDS


def _is_recent(worker: Worker, started_at: Seconds, now: Seconds) -> bool:
    return find_last_contact(worker, now) - started_at <= RECENT_START_SECONDS


def _is_attributable(worker: Worker, suspects: list[Run], now: Seconds) -> bool:
    """Return whether only the job of the suspected runs can explain a crash.

    The crash is not attributable if the suspects belong to several jobs. Unless it
    came right after a start, it is not either if the VM is unstable, or if another
    job's task there has earlier crashes and might be one that crashes its workers
    late. Nor is it if no suspect is known to have started recently; for runs restored
    from records the time of the start is not known.
    """
    jobs = {run.task.step.job for run in suspects}
    if len(jobs) != 1:
        return False
    known = [run.confirmed_at for run in suspects if run.confirmed_at]
    others = [run for run in worker.runs.values() if run.task.step.job not in jobs]
    most_crashes = max((run.task.crashes.total for run in others), default=0)
    if any(is_immediate(worker, started_at, now) for started_at in known):
        return most_crashes <= MAX_CRASHES_BESIDE
    if now < worker.unstable_until or most_crashes:
        return False
    return any(_is_recent(worker, started_at, now) for started_at in known)


def _is_outage(tables: WorkTables, worker: Worker, now: Seconds) -> bool:
    """Return whether a crash is part of an outage of its zone.

    It is if many workers of the zone have just ended, or one that no task can have
    crashed. Where tasks crash many workers, those of a zone end one after the other;
    a crash right after a start is part of an outage only if the others stopped
    answering at the same moment.
    """
    same_zone = [
        crash
        for crash in tables.recent_crashes
        if crash.zone_id == worker.zone_id and now - crash.at <= OUTAGE_SECONDS
    ]
    newest = max((run.started_at for run in worker.runs.values()), default=0.0)
    lost_at = find_last_contact(worker, now)
    if newest and lost_at - newest <= IMMEDIATE_SECONDS:
        same_zone = [
            crash
            for crash in same_zone
            if abs(crash.lost_contact_at - lost_at) <= SIMULTANEOUS_LOSS_SECONDS
        ]
    return len(same_zone) >= OUTAGE_WORKERS or any(crash.idle for crash in same_zone)


def _record_crash(
    tables: WorkTables, worker: Worker, now: Seconds, *, idle: bool, attributed: bool
) -> None:
    tables.recent_crashes = [
        crash for crash in tables.recent_crashes if now - crash.at <= OUTAGE_SECONDS
    ]
    lost_contact_at = find_last_contact(worker, now)
    tables.recent_crashes.append(
        WorkerCrash(now, worker.zone_id, lost_contact_at, idle=idle)
    )
    if attributed:
        return
    worker.unstable_until = now + UNSTABLE_SECONDS
    tables.unstable_until_by_vm = {
        vm_id: until
        for vm_id, until in tables.unstable_until_by_vm.items()
        if now < until
    }
    if worker.vm_id:
        tables.unstable_until_by_vm[worker.vm_id] = worker.unstable_until


__all__ = [
    "MAX_CRASHES",
    "SIMULTANEOUS_SECONDS",
    "CrashAssessment",
    "may_have_caused_crash",
    "record_vanished_run",
    "record_worker_end",
]
