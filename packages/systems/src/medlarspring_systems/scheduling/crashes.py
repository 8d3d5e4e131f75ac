"""Which runs may have crashed the worker that they were on, and what follows.

A worker that crashes tells nothing about its end. A task that crashes each worker
that starts it does so soon, so that the latest starts on a worker are suspected first.
A task is given up once nothing else explains the crashes under it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

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
"""A crash so soon after a start may be its doing; part of this passes until the crash
is noticed."""
SIMULTANEOUS_SECONDS = 1.0
"""Starts so close to each other are suspected together."""
HEALTHY_RUN_SECONDS = 2.0
"""A long-running task at work for so long does not crash its worker."""
MAX_ATTRIBUTABLE_CRASHES = 3
"""Crashes that nothing but the task's own job explains before it is given up."""
MAX_CRASHES = 5
"""Crashes of any kind before a task is given up; the platform allows two starts more
after the third."""
OUTAGE_SECONDS = 1.0
"""Workers of a zone that end so close to each other end for one reason."""
OUTAGE_WORKERS = 4
"""So many of them are an outage, even if each had a fresh start."""
UNSTABLE_SECONDS = 30.0
"""A VM that crashed without an explanation is no witness for so long."""


@dataclass(slots=True)
class CrashAssessment:
    """What the end of a worker's life says about its runs."""

    planned: bool
    """It was moved, maintained, or left after its notice."""
    suspects: list[Run] = field(default_factory=list)
    jobs: list[ActiveJob] = field(default_factory=list)
    """Jobs against which it counts, each once; some may have failed by it."""


def record_worker_end(
    tables: WorkTables, worker: Worker, now: Seconds
) -> CrashAssessment:
    """Count the end of a worker's life against the tasks that were on it.

    Called while its runs are still entered.
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
    counted = _list_counted_runs(worker, now)
    for run in counted:
        suspected = run in suspects
        _count_crash(run, suspected=suspected and not outage, alone=suspected and alone)
    return CrashAssessment(
        planned=False,
        suspects=[] if outage else suspects,
        jobs=list(dict.fromkeys(run.task.step.job for run in counted)),
    )


def record_vanished_run(run: Run) -> None:
    """Count a run that is over without an end or a known end of its worker's life.

    Its worker may have crashed unseen; nothing there is suspected for it.
    """
    if not run.crash_counted:
        _count_crash(run, suspected=False, alone=False)


def _count_crash(run: Run, *, suspected: bool, alone: bool) -> None:
    run.crash_counted = True
    task, job = run.task, run.task.step.job
    if task.done:
        return
    # A VM that goes up and down proves nothing by crashing under the same task again.
    alone = alone and run.worker.vm_id not in task.failed_on
    known = task.crashes
    task.crashes = CrashTally(
        total=known.total + 1,
        suspected=known.suspected + suspected,
        alone=known.alone + alone,
    )
    job.version += 1
    if suspected:
        task.failed_on.add(run.worker.vm_id)
    job.suspected = job.suspected or task.is_suspect
    if _has_too_many_crashes(task):
        count = task.crashes.total
        fail_job(job, f"{count} workers crashed under task {task.id}")


def _has_too_many_crashes(task: Task) -> bool:
    """Tell whether a task is not started again for the workers that it crashed.

    Crashes beside other jobs' fresh starts, in an outage or on an unsteady VM prove
    nothing; the limit for them keeps a task from going on without end.
    """
    return (
        task.crashes.alone >= MAX_ATTRIBUTABLE_CRASHES
        or task.crashes.total >= MAX_CRASHES
    )


def _is_planned_end(tables: WorkTables, worker: Worker) -> bool:
    """Tell whether a worker's life ended by an operation or after its notice."""
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

    These are the latest starts. If none was fresh when the worker fell silent, all
    runs that have not proven themselves are suspected.
    """
    runs = [run for run in worker.runs.values() if may_have_caused_crash(run, now)]
    if not runs:
        return []
    newest = max(run.started_at for run in runs)
    if not _is_recent(worker, newest, now):
        return runs
    return [run for run in runs if run.started_at >= newest - SIMULTANEOUS_SECONDS]


def _list_counted_runs(worker: Worker, now: Seconds) -> list[Run]:
    """Return the runs against which a crash counts, suspected or not.

    A task that crashes its workers late is never suspected beside fresh starts, and
    would go on without end.
    """
    return [
        run
        for run in worker.runs.values()
        if may_have_caused_crash(run, now) and not run.crash_counted
    ]


def may_have_caused_crash(run: Run, now: Seconds) -> bool:
    """Tell whether a run was perhaps started and has not proven itself."""
    return run.state is not RunState.INTENDED and not _has_run_healthily(run, now)


def _has_run_healthily(run: Run, now: Seconds) -> bool:
    """Tell whether a long-running task has worked long enough to be trusted."""
    if not run.task.step.spec.long_running or not is_serving(run):
        return False
    return _find_last_contact(run.worker, now) - run.confirmed_at >= HEALTHY_RUN_SECONDS


def _is_recent(worker: Worker, started_at: Seconds, now: Seconds) -> bool:
    return _find_last_contact(worker, now) - started_at <= RECENT_START_SECONDS


def _find_last_contact(worker: Worker, now: Seconds) -> Seconds:
    """Return since when a worker does not answer; ``now`` if it still does."""
    return worker.unanswered_since or now


def _is_attributable(worker: Worker, suspects: list[Run], now: Seconds) -> bool:
    """Tell whether a crash speaks against the only job that had fresh starts there.

    Of a start that only a record tells, nobody knows how fresh it was. A task that
    crashes its workers late is not among the suspects, but has been beside crashes.
    """
    jobs = {run.task.step.job for run in suspects}
    if len(jobs) != 1 or now < worker.unstable_until:
        return False
    if any(
        run.task.crashes.total and run.task.step.job not in jobs
        for run in worker.runs.values()
    ):
        return False
    return any(
        _is_recent(worker, run.started_at, now)
        for run in suspects
        if run.version or run.confirmed_at
    )


def _is_outage(tables: WorkTables, worker: Worker, now: Seconds) -> bool:
    """Tell whether other workers of the zone end now that no task can have crashed."""
    same_zone = [
        crash
        for crash in tables.recent_crashes
        if crash.zone_id == worker.zone_id and now - crash.at <= OUTAGE_SECONDS
    ]
    return len(same_zone) >= OUTAGE_WORKERS or any(crash.idle for crash in same_zone)


def _record_crash(
    tables: WorkTables, worker: Worker, now: Seconds, *, idle: bool, attributed: bool
) -> None:
    tables.recent_crashes = [
        crash for crash in tables.recent_crashes if now - crash.at <= OUTAGE_SECONDS
    ]
    tables.recent_crashes.append(WorkerCrash(now, worker.zone_id, idle=idle))
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
    "SIMULTANEOUS_SECONDS",
    "CrashAssessment",
    "may_have_caused_crash",
    "record_vanished_run",
    "record_worker_end",
]
