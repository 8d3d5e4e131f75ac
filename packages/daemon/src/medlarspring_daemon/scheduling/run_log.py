"""Log lines and metrics for the progress of runs, and of their workers and jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_adapters.events import Event
from medlarspring_adapters.metrics import Metric
from medlarspring_systems.scheduling.stragglers import StragglerAction
from medlarspring_tables.scheduling import JobOutcome, RunEnd

if TYPE_CHECKING:
    from medlarspring_adapters.worker_orders import OrderRefusal
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_daemon.scheduling.repeated_orders import OrderOutcome
    from medlarspring_systems.scheduling.backlog import Backlog, LongWait
    from medlarspring_systems.scheduling.crashes import CrashAssessment
    from medlarspring_systems.scheduling.listings import TaskBelief, UnknownEnd
    from medlarspring_systems.scheduling.stragglers import Straggler
    from medlarspring_tables import PoolId, Revision, Seconds
    from medlarspring_tables.scheduling import (
        ActiveJob,
        Milliseconds,
        Resources,
        Run,
        Worker,
    )

METRICS_BY_OUTCOME = {
    JobOutcome.COMPLETE: Metric.JOBS_COMPLETE,
    JobOutcome.FAILED: Metric.JOBS_FAILED,
    JobOutcome.CANCELLED: Metric.JOBS_CANCELLED,
}

MAX_SUSPECTS_LOGGED = 16


def log_run_started(node: SchedulingNode, run: Run) -> None:
    """Log a run whose start its worker confirmed."""
    waited_ms = (run.confirmed_at - run.task.waiting_since) * 1_000
    node.metrics.count(Metric.RUNS_STARTED)
    node.metrics.timing(Metric.RUN_WAIT_MS, waited_ms)
    node.log.info(
        Event.RUN_STARTED,
        task=run.task.id,
        run=run.number,
        worker=run.worker.id,
        waited_ms=round(waited_ms),
        copy=run.copy,
        crashes=run.task.crashes.total,
    )


def log_start_unanswered(
    node: SchedulingNode, run: Run, waited: Seconds, *, may_follow: bool
) -> None:
    """Log a start order without an answer; ``may_follow`` if it may still be executed.

    ``waited`` is the time since the order was sent.
    """
    node.metrics.count(Metric.RUNS_UNANSWERED)
    node.log.warning(
        Event.RUN_UNANSWERED,
        task=run.task.id,
        run=run.number,
        worker=run.worker.id,
        waited_ms=round(waited * 1_000),
        may_follow=may_follow,
    )


def log_start_repeated(
    node: SchedulingNode, run: Run, outcome: OrderOutcome, took: Seconds
) -> None:
    """Log a start order that was repeated, once all of its attempts are over.

    ``took`` is the time since the order was first sent.
    """
    repeats = outcome.sent - 1
    node.metrics.count(Metric.RUN_ORDER_REPEATS, repeats)
    if outcome.answered_attempt > 1:
        node.metrics.count(Metric.RUNS_ANSWERED_BY_REPEAT)
    node.log.info(
        Event.RUN_ORDER_REPEATED,
        task=run.task.id,
        run=run.number,
        worker=run.worker.id,
        repeats=repeats,
        answered_attempt=outcome.answered_attempt,
        took_ms=round(took * 1_000),
    )


def log_start_refused(node: SchedulingNode, run: Run, refusal: OrderRefusal) -> None:
    """Log a start order that the worker refused."""
    node.metrics.count(Metric.RUNS_REFUSED)
    node.log.warning(
        Event.RUN_REFUSED,
        task=run.task.id,
        run=run.number,
        worker=run.worker.id,
        reason=refusal.value,
        cpu_free=run.worker.cpu_free,
        memory_free=run.worker.memory_free,
    )


def log_run_ended(node: SchedulingNode, run: Run, end: RunEnd) -> None:
    """Log the end of a run, as listed by its worker."""
    if end is RunEnd.FAILED:
        node.metrics.count(Metric.RUNS_FAILED)
    elif end is RunEnd.DONE and run.copy and not run.stopping:
        node.metrics.count(Metric.RUN_COPIES_WON)
    node.log.info(
        Event.RUN_ENDED,
        task=run.task.id,
        run=run.number,
        worker=run.worker.id,
        end=end.value,
        reason=run.stop_reason,
        failures=run.task.failures,
    )


def log_straggler(node: SchedulingNode, straggler: Straggler) -> None:
    """Log a run on a slow worker that is copied or moved, and why."""
    if straggler.action is StragglerAction.MOVE:
        node.metrics.count(Metric.RUNS_MOVED_OFF_SLOW)
    projection = straggler.projection
    run = projection.run
    node.log.info(
        Event.RUN_ON_SLOW_WORKER,
        task=run.task.id,
        run=run.number,
        worker=run.worker.id,
        action=straggler.action.value,
        target=straggler.target.id,
        percent=run.percent,
        projected_s=round(projection.ends_at - node.clock.now(), 2),
        expected_s=round(projection.expected, 2),
        slowness=round(straggler.slowness, 2),
    )


def log_run_lost(node: SchedulingNode, run: Run, reason: str) -> None:
    """Log a run that is over although no worker listed its end.

    Call it before the worker's lease or clock changes: the line contains both, as the
    evidence on which a run with an expired lease is given up.
    """
    worker = run.worker
    clock_age = node.clock.now() - worker.clock_at if worker.clock_at else -1.0
    ran_ms = (node.clock.now() - run.started_at) * 1_000 if run.started_at else 0.0
    node.metrics.count(Metric.RUNS_LOST)
    node.log.warning(
        Event.RUN_LOST,
        task=run.task.id,
        run=run.number,
        worker=run.worker.id,
        reason=reason,
        ran_ms=round(ran_ms),
        lease_ms=worker.lease_ms,
        clock_ms=round(worker.clock_ms),
        clock_age_ms=round(clock_age * 1_000),
        silent_since=round(worker.unanswered_since, 3),
    )


def log_unknown_end(node: SchedulingNode, worker: Worker, unknown: UnknownEnd) -> None:
    """Log a listed end of a run that is not in the tables."""
    node.metrics.count(Metric.RUN_ENDS_UNKNOWN)
    node.log.info(
        Event.RUN_END_UNKNOWN,
        task=unknown.row.task_id,
        run=unknown.row.run,
        worker=worker.id,
        number=unknown.row.number,
        end=unknown.row.end.value,
        belief=unknown.belief.value,
    )


def log_unexpected_run(
    node: SchedulingNode, worker: Worker, task_id: str, number: int, belief: TaskBelief
) -> None:
    """Log a listed run that is not in the tables and will be stopped."""
    node.metrics.count(Metric.RUNS_UNEXPECTED)
    node.log.warning(
        Event.RUN_STRANGE,
        task=task_id,
        run=number,
        worker=worker.id,
        belief=belief.value,
    )


def log_worker_gone(
    node: SchedulingNode,
    worker: Worker,
    reason: str,
    vms_read_at: Seconds,
    verdict: CrashAssessment,
) -> None:
    """Log the end of a worker's incarnation; call it before its runs are detached."""
    if not verdict.planned:
        node.metrics.count(Metric.WORKERS_CRASHED)
    node.log.warning(
        Event.WORKER_GONE,
        worker=worker.id,
        vm=worker.vm_id,
        born_ms=worker.born_ms,
        reason=reason,
        planned=verdict.planned,
        runs=len(worker.runs),
        suspects=_list_tasks(verdict.suspects),
        attributed=verdict.attributed,
        vms_read_at=vms_read_at,
    )


def _list_tasks(runs: list[Run]) -> list[str]:
    """Return the tasks' ids, each with its crash counts after this crash."""
    return [
        f"{run.task.id} {counts.total}/{counts.suspected}/{counts.alone}"
        for run in runs[:MAX_SUSPECTS_LOGGED]
        for counts in (run.task.crashes,)
    ]


def log_backlog(node: SchedulingNode, pool_id: PoolId, backlog: Backlog) -> None:
    """Log why tasks of a pool have waited for long."""
    node.log.info(
        Event.TASKS_WAIT,
        pool=pool_id,
        waiting=backlog.waiting,
        suspected=backlog.suspected,
        **_describe_wait(backlog.longest, ""),
        **_describe_wait(backlog.longest_suspected, "suspect_"),
        workers=backlog.workers,
        idle=backlog.idle,
        isolated=backlog.isolated,
        kept_free=backlog.kept_free,
        unstable=backlog.unstable,
        cpu=backlog.cpu_millis,
        cpu_free=backlog.cpu_free,
    )


def _describe_wait(wait: LongWait | None, prefix: str) -> dict[str, str | int]:
    if wait is None:
        return {}
    return {
        f"{prefix}task": wait.task.id,
        f"{prefix}cause": wait.cause.value if wait.cause is not None else "",
        f"{prefix}waited_ms": round(wait.waited * 1_000),
    }


def log_worker_quarantined(node: SchedulingNode, worker: Worker) -> None:
    """Log a worker that was quarantined."""
    node.log.warning(
        Event.WORKER_DOUBTED,
        worker=worker.id,
        vm=worker.vm_id,
        doubt=worker.quarantine_reason.value,
        until=round(worker.quarantined_until, 3),
        jobs=sorted(worker.failures_by_job),
    )


def log_worker_restarted(
    node: SchedulingNode,
    worker: Worker,
    former_ms: Milliseconds,
    lost: int,
    verdict: CrashAssessment,
) -> None:
    """Log a worker that restarted under the same id.

    ``former_ms`` is the start of its previous incarnation, ``lost`` the number of its
    runs that ended with that incarnation.
    """
    node.log.warning(
        Event.WORKER_STARTED_AGAIN,
        worker=worker.id,
        vm=worker.vm_id,
        born_ms=worker.born_ms,
        former_born_ms=former_ms,
        lost=lost,
        unsettled=len(worker.runs),
        suspects=_list_tasks(verdict.suspects),
        attributed=verdict.attributed,
    )


def log_worker_resized(
    node: SchedulingNode, worker: Worker, former: Resources, revision: Revision
) -> None:
    """Log a worker whose resources shrank or grew."""
    node.log.info(
        Event.WORKER_RESIZED,
        worker=worker.id,
        vm=worker.vm_id,
        cpu=worker.resources.cpu_millis,
        memory=worker.resources.memory_mb,
        accelerators=worker.resources.accelerators,
        former_cpu=former.cpu_millis,
        former_memory=former.memory_mb,
        former_accelerators=former.accelerators,
        cpu_free=worker.cpu_free,
        memory_free=worker.memory_free,
        revision=revision,
    )


def log_job_ended(node: SchedulingNode, job: ActiveJob) -> None:
    """Log a job whose end is recorded in the store."""
    assert job.outcome is not None
    took_ms = node.clock.wall() * 1_000 - job.accepted_at_ms
    node.metrics.count(METRICS_BY_OUTCOME[job.outcome])
    node.metrics.timing(Metric.JOB_MS, took_ms)
    node.log.info(
        Event.JOB_ENDED,
        job=job.id,
        queue=job.queue.id,
        outcome=job.outcome.value,
        reason=job.reason,
        took_ms=round(took_ms),
    )


__all__ = [
    "log_backlog",
    "log_worker_quarantined",
    "log_run_ended",
    "log_job_ended",
    "log_run_lost",
    "log_start_refused",
    "log_straggler",
    "log_start_repeated",
    "log_unexpected_run",
    "log_unknown_end",
    "log_worker_resized",
    "log_run_started",
    "log_worker_restarted",
    "log_start_unanswered",
    "log_worker_gone",
]
