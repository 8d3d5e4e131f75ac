"""Scheduling rounds: assign the waiting tasks of a pool to workers.

A round takes the pool's ready steps in order of rank and places their tasks on
schedulable workers with enough free resources. It also selects the batch runs to
preempt for a long-running task.
"""

from __future__ import annotations

from operator import itemgetter
from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.attempts import attempt
from medlarspring_systems.scheduling.fair_order import order_by_shares
from medlarspring_systems.scheduling.isolation import (
    IsolationBudget,
    can_be_kept_free,
    count_most_crashes,
    find_isolated_run,
    may_skip_isolation,
    measure_waiting_time,
    rate_for_isolation,
)
from medlarspring_systems.scheduling.move_targets import count_beside_long_runs
from medlarspring_systems.scheduling.ordering import (
    TIER_ON_TIME,
    measure_size_weight,
    rank_step,
)
from medlarspring_systems.scheduling.placement import (
    WorkerRanking,
    choose_worker,
    fits,
    is_allowed,
    is_schedulable,
    list_fitting,
    list_schedulable_workers,
)
from medlarspring_systems.scheduling.probation import SiblingGate
from medlarspring_systems.scheduling.quotas import fits_quota
from medlarspring_systems.scheduling.recent_use import measure_capacity
from medlarspring_systems.scheduling.runs import (
    allocate_resources,
    intend_run,
    release_resources,
)
from medlarspring_tables.scheduling import QuarantineReason

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from medlarspring_systems.scheduling.ordering import Rank
    from medlarspring_tables import PoolId, RackId, Seconds
    from medlarspring_tables.scheduling import (
        Resources,
        Run,
        StepRun,
        Task,
        Worker,
        WorkTables,
    )

    RankRule = Callable[[StepRun, Seconds, float], Rank]

MAX_STARTS_PER_ROUND = 200
"""Bound on the starts of one round; the rest is left to the next round."""
RESERVE_AFTER_SECONDS = 0.25
"""Time that a step waits for resources before a worker is reserved for it.

Without the reservation, small tasks that fill each gap would starve large ones.
"""

SAME_RACK_WAIT_SECONDS = 1.0
"""Time that a task waits for its step's shared rack while other racks are idle."""
IDLE_CPU_FRACTION = 0.5
"""Fraction of a pool's CPU that must be free for the pool to count as idle."""


def plan_round(
    tables: WorkTables,
    pool_id: PoolId,
    now: Seconds,
    rank: RankRule = rank_step,
) -> list[Run]:
    """Return the runs to start now; they are already recorded in the tables.

    ``rank`` can be replaced to measure other orders of the steps. A step that raises
    is left out; once the others are placed, an ``ExceptionGroup`` tells of them.
    """
    ready = tables.ready_by_pool.get(pool_id)
    if not ready:
        return []
    _drop_finished(ready)
    workers = list_schedulable_workers(tables, pool_id, now)
    failures: list[Exception] = []
    steps, budget = _order_sound_steps(tables, ready, workers, now, rank, failures)
    intents: list[Run] = []
    unplaceable: list[Resources] = []
    for step in steps:
        if len(intents) >= MAX_STARTS_PER_ROUND or not workers:
            break
        # Long-running tasks may also use the room that is kept for them.
        if not step.spec.long_running and _needs_too_much(step.resources, unplaceable):
            continue
        placed = len(intents)
        is_placed = attempt(failures, _place_step, step, workers, budget, now, intents)
        if is_placed and placed == len(intents) and _fits_nowhere(step, workers):
            unplaceable = [
                each
                for each in unplaceable
                if not _needs_at_least(each, step.resources)
            ]
            unplaceable.append(step.resources)
        if not step.waiting:
            ready.pop(step, None)
    if failures:
        raise ExceptionGroup("steps could not be placed", failures)
    return intents


def _drop_finished(ready: dict[StepRun, None]) -> None:
    for step in list(ready):
        if not step.waiting or step.job.outcome is not None:
            del ready[step]


def _order_sound_steps(
    tables: WorkTables,
    ready: Collection[StepRun],
    workers: list[Worker],
    now: Seconds,
    rank: RankRule,
    failures: list[Exception],
) -> tuple[list[StepRun], IsolationBudget]:
    """Return the steps in their order without those that raise by themselves."""
    try:
        return _order_steps(tables, ready, workers, now, rank)
    except Exception:
        # One worker is enough to try a step, and hundreds may have to be tried.
        sound = [
            step
            for step in ready
            if attempt(failures, _order_steps, tables, [step], workers[:1], now, rank)
        ]
        if len(sound) == len(ready):
            raise
    return _order_steps(tables, sound, workers, now, rank)


def _fits_nowhere(step: StepRun, workers: list[Worker]) -> bool:
    return not list_fitting(step, workers)


def _needs_too_much(resources: Resources, unplaceable: list[Resources]) -> bool:
    """Return whether a task needs at least what a task that fits nowhere needs."""
    # A generator for each of hundreds of waiting steps takes longer than the checks.
    for each in unplaceable:  # noqa: SIM110
        if _needs_at_least(resources, each):
            return True
    return False


def _needs_at_least(resources: Resources, unplaceable: Resources) -> bool:
    """Return whether a task needs at least the resources of one that fits nowhere.

    At the peak of a burst, hundreds of steps wait for a full pool. Without this
    check each of them would be compared with every worker in every round.
    """
    return (
        resources.cpu_millis >= unplaceable.cpu_millis
        and resources.memory_mb >= unplaceable.memory_mb
        and resources.accelerators >= unplaceable.accelerators
    )


def _order_steps(
    tables: WorkTables,
    ready: Iterable[StepRun],
    workers: list[Worker],
    now: Seconds,
    rank: RankRule,
) -> tuple[list[StepRun], IsolationBudget]:
    """Return the steps within their quotas in order, and their isolation budget."""
    steps = [step for step in ready if fits_quota(step)]
    size_weight = measure_size_weight(steps, workers)
    ranked = [(rank(step, now, size_weight), step) for step in steps]
    ranked.sort(key=itemgetter(0))
    if size_weight and tables.config.has_competing_partners:
        steps = order_by_shares(ranked, measure_capacity(tables), now)
    else:
        steps = [step for _, step in ranked]
    # Suspected tasks go first: after other steps were placed, they would never find
    # a worker without recent starts. Those with the most crashes need it most.
    steps.sort(key=count_most_crashes, reverse=True)
    return steps, IsolationBudget(steps, workers, now)


def _place_step(
    step: StepRun,
    workers: list[Worker],
    budget: IsolationBudget,
    now: Seconds,
    intents: list[Run],
) -> None:
    """Place the waiting tasks of a step.

    Removes from ``workers`` those that later steps must not use.
    """
    if step.spec.gang:
        _place_gang(step, workers, now, intents)
        return
    ranking = WorkerRanking(step, _list_rack_workers(step, workers), now)
    gate = SiblingGate(step)
    for task in _list_waiting(step):
        if task.not_before > now or gate.holds_back(task):
            continue
        if not fits_quota(step):
            return
        if task.is_suspect and not _may_try(task, budget, now):
            continue
        worker = ranking.choose(task)
        if worker is None and _may_leave_rack(step, task, workers, now):
            worker = choose_worker(step, task, workers, now)
        if worker is None and task.is_suspect:
            _keep_free_for_isolation(task, workers, budget, now)
            continue
        if worker is None:
            _reserve_worker(step, task, workers, now)
            return
        intents.append(_start(task, worker, budget, now))
        gate.record_start()
        if worker.quarantine_reason is not QuarantineReason.NONE:
            # This run is the worker's probe; no other may start until it has ended.
            workers.remove(worker)
            ranking = WorkerRanking(step, _list_rack_workers(step, workers), now)


def _list_waiting(step: StepRun) -> list[Task]:
    """Return the waiting tasks of a step, those with the most crashes first."""
    if not step.job.suspected:
        return list(step.waiting)
    return sorted(step.waiting, key=lambda task: -task.crashes.suspected)


def _may_try(task: Task, budget: IsolationBudget, now: Seconds) -> bool:
    """Return whether a suspected task may start now, isolated or not."""
    return budget.allows(task) or may_skip_isolation(task, now)


def _start(task: Task, worker: Worker, budget: IsolationBudget, now: Seconds) -> Run:
    """Record the start of a task; a suspected one is isolated within the budget."""
    is_isolated = task.is_suspect and budget.allows(task)
    if is_isolated and find_isolated_run(worker, now) is None:
        budget.use()
    return intend_run(task, worker, task.last_run + 1, now, isolated=is_isolated)


def _list_rack_workers(step: StepRun, workers: list[Worker]) -> list[Worker]:
    """Return the workers of the rack that a step's tasks share, else all workers.

    The rack is chosen with the first task: the data's rack if it has workers, else
    the rack with the most free CPU.
    """
    if not step.spec.same_rack:
        return workers
    if not any(worker.rack_id == step.rack_id for worker in workers):
        # Also chooses a new rack when the former one has lost its workers; the step
        # would wait forever otherwise.
        resources: dict[RackId, int] = {}
        for worker in workers:
            resources[worker.rack_id] = (
                resources.get(worker.rack_id, 0) + worker.cpu_free
            )
        if not resources:
            return workers
        data_rack = step.spec.data_rack
        step.rack_id = max(
            resources, key=lambda rack: (rack == data_rack, resources[rack])
        )
    return [worker for worker in workers if worker.rack_id == step.rack_id]


def _may_leave_rack(
    step: StepRun, task: Task, workers: list[Worker], now: Seconds
) -> bool:
    """Return whether a task may start on another rack than its siblings.

    It takes longer there, so it may not while the pool can use the resources for
    other work. Waiting without limit is no option either, since the rack may be
    full of long-running tasks.
    """
    if not step.spec.same_rack:
        return False
    if measure_waiting_time(task, now) < SAME_RACK_WAIT_SECONDS:
        return False
    free = sum(worker.cpu_free for worker in workers)
    return free >= IDLE_CPU_FRACTION * sum(
        worker.resources.cpu_millis for worker in workers
    )


def _reserve_worker(
    step: StepRun, task: Task, workers: list[Worker], now: Seconds
) -> None:
    """Reserve the worker with the most free CPU: steps of lower rank can't use it.

    Only a worker that has room once its batch runs have ended is reserved. A step that
    no end of a run can help must not keep others from idle workers.
    """
    if measure_waiting_time(task, now) < RESERVE_AFTER_SECONDS:
        return
    if rank_step(step, now)[0] > TIER_ON_TIME:
        return
    allowed = [
        worker
        for worker in workers
        if is_allowed(step, worker, now) and count_beside_long_runs(step, worker)
    ]
    if not allowed or len(workers) == 1:
        return
    emptiest = max(allowed, key=lambda worker: (worker.cpu_free, worker.memory_free))
    workers.remove(emptiest)


def _keep_free_for_isolation(
    task: Task, workers: list[Worker], budget: IsolationBudget, now: Seconds
) -> None:
    """Keep other starts off a worker so that a suspected task can start there later."""
    if not budget.allows(task):
        return
    step = task.step
    allowed = [
        worker
        for worker in workers
        if can_be_kept_free(task, worker, now)
        and fits(step, worker)
        and is_allowed(step, worker, now)
    ]
    if allowed:
        worker = min(allowed, key=lambda worker: rate_for_isolation(worker, now))
        worker.kept_free_at = now
        workers.remove(worker)
        budget.use()


def _place_gang(
    step: StepRun, workers: list[Worker], now: Seconds, intents: list[Run]
) -> None:
    """Place all tasks of a gang or none: an incomplete gang would time out and end."""
    members = step.tasks
    if len(step.waiting) < len(members) or not fits_quota(step, len(members)):
        return
    if any(member.not_before > now for member in members):
        return
    chosen = _choose_gang_workers(step, workers, now)
    if chosen is None:
        return
    number = max(member.last_run for member in members) + 1
    for member, worker in zip(members, chosen, strict=True):
        intents.append(intend_run(member, worker, number, now))


def _choose_gang_workers(
    step: StepRun, workers: list[Worker], now: Seconds
) -> list[Worker] | None:
    if not step.spec.same_rack:
        return _assign_gang(step, workers, now)
    racks = sorted({worker.rack_id for worker in workers})
    racks.sort(key=lambda rack: rack != step.spec.data_rack)
    for rack in racks:
        chosen = _assign_gang(
            step, [each for each in workers if each.rack_id == rack], now
        )
        if chosen is not None:
            return chosen
    return _assign_gang(step, workers, now)


def _assign_gang(
    step: StepRun, workers: list[Worker], now: Seconds
) -> list[Worker] | None:
    """Return a worker for each member, or None; the tables are left unchanged."""
    chosen: list[Worker] = []
    try:
        for member in step.tasks:
            worker = choose_worker(step, member, workers, now)
            if worker is None:
                break
            allocate_resources(worker, step)
            step.per_worker[worker.id] = step.per_worker.get(worker.id, 0) + 1
            chosen.append(worker)
    finally:
        for worker in chosen:
            release_resources(worker, step)
            step.per_worker[worker.id] -= 1
    return chosen if len(chosen) == len(step.tasks) else None


def find_preemptible(step: StepRun, workers: list[Worker], now: Seconds) -> list[Run]:
    """Return the batch runs to stop so that a long-running task can be placed.

    Long-running tasks serve users continuously. In a pool full of batch work, one
    that was lost would otherwise stay down until enough batch tasks have ended.
    """
    best: list[Run] = []
    best_cost = float("inf")
    for worker in workers:
        if not is_schedulable(worker, now) or not is_allowed(step, worker, now):
            continue
        if fits(step, worker):
            return []
        stops = _find_runs_to_stop(step, worker)
        cost = sum(run.percent * run.task.step.resources.cpu_millis for run in stops)
        if stops and cost < best_cost:
            best, best_cost = stops, cost
    return best


def _find_runs_to_stop(step: StepRun, worker: Worker) -> list[Run]:
    """Return the batch runs with the least progress that free enough resources.

    The list is empty if stopping all batch runs would not be enough.
    """
    cpu = step.resources.cpu_millis - worker.cpu_free
    memory = step.resources.memory_mb - worker.memory_free
    accelerators = step.resources.accelerators - worker.accelerators_free
    stops: list[Run] = []
    candidates = [
        run
        for run in worker.runs.values()
        if not run.task.step.spec.long_running and not run.stopping
    ]
    for run in sorted(candidates, key=lambda run: run.percent):
        if max(cpu, memory, accelerators) <= 0:
            break
        stops.append(run)
        cpu -= run.task.step.resources.cpu_millis
        memory -= run.task.step.resources.memory_mb
        accelerators -= run.task.step.resources.accelerators
    return stops if max(cpu, memory, accelerators) <= 0 else []


__all__ = ["find_preemptible", "plan_round"]
