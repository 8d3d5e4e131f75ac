"""One scheduling round of a pool: waiting tasks to workers with room."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.isolation import (
    find_isolated_run,
    has_suspected_task,
    rate_for_isolation,
)
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
    list_schedulable_workers,
)
from medlarspring_systems.scheduling.runs import (
    allocate_resources,
    intend_run,
    release_resources,
)
from medlarspring_tables.scheduling import QuarantineReason

if TYPE_CHECKING:
    from collections.abc import Callable

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
"""Starts decided in one round; more are left to the next one."""
RESERVE_AFTER_SECONDS = 0.25
"""A step that waits so long for room keeps the emptiest worker to itself.

Small tasks that fill each gap would otherwise keep large ones waiting for ever.
"""

SAME_RACK_WAIT_SECONDS = 1.0
"""A task waits so long for the rack that its step shares while others stand idle."""
IDLE_CPU_FRACTION = 0.5
"""Part of a pool's processors that is free when others stand idle."""


def plan_round(
    tables: WorkTables,
    pool_id: PoolId,
    now: Seconds,
    rank: RankRule = rank_step,
) -> list[Run]:
    """Return the runs that can be started now, already entered in the tables.

    ``rank`` is for measurements that compare orders.
    """
    ready = tables.ready_by_pool.get(pool_id)
    if not ready:
        return []
    workers = list_schedulable_workers(tables, pool_id, now)
    min_workers = len(workers) // 2
    intents: list[Run] = []
    unplaceable: list[Resources] = []
    for step in _list_steps(ready, workers, now, rank):
        if len(intents) >= MAX_STARTS_PER_ROUND or not workers:
            break
        if any(_needs_at_least(step.resources, resources) for resources in unplaceable):
            continue
        placed = len(intents)
        _place_step(step, workers, min_workers, now, intents)
        if placed == len(intents) and _fits_nowhere(step, workers):
            unplaceable.append(step.resources)
        if not step.waiting:
            ready.pop(step, None)
    return intents


def _fits_nowhere(step: StepRun, workers: list[Worker]) -> bool:
    return not any(fits(step, worker) for worker in workers)


def _needs_at_least(resources: Resources, unplaceable: Resources) -> bool:
    """Tell whether a task needs as much of everything as one that fits nowhere.

    In a turn's peak hundreds of steps wait for a full pool; each of them looked at
    every worker in every round.
    """
    return (
        resources.cpu_millis >= unplaceable.cpu_millis
        and resources.memory_mb >= unplaceable.memory_mb
        and resources.accelerators >= unplaceable.accelerators
    )


def _list_steps(
    ready: dict[StepRun, None], workers: list[Worker], now: Seconds, rank: RankRule
) -> list[StepRun]:
    steps: list[StepRun] = []
    for step in list(ready):
        if not step.waiting or step.job.outcome is not None:
            del ready[step]
            continue
        steps.append(step)
    size_weight = measure_size_weight(steps, workers)
    steps.sort(key=lambda step: rank(step, now, size_weight))
    # Behind others, suspected tasks would never find a worker without fresh starts.
    steps.sort(key=lambda step: not has_suspected_task(step))
    return steps


def _place_step(
    step: StepRun,
    workers: list[Worker],
    min_workers: int,
    now: Seconds,
    intents: list[Run],
) -> None:
    """Place a step's waiting tasks; workers kept from later steps leave the list.

    Trials of suspected tasks leave ``least_workers`` to the others.
    """
    if step.spec.gang:
        _place_gang(step, workers, now, intents)
        return
    choice = WorkerRanking(step, _list_rack_workers(step, workers), now)
    for task in list(step.waiting):
        if task.not_before > now:
            continue
        worker = choice.choose(task)
        if worker is None and _may_leave_rack(step, task, workers, now):
            worker = choose_worker(step, task, workers, now)
        if worker is None and task.is_suspect:
            _keep_free_for_isolation(step, workers, min_workers, now)
            continue
        if worker is None:
            _reserve_worker(step, task, workers, now)
            return
        intents.append(intend_run(task, worker, task.last_run + 1, now))
        if worker.doubt is not QuarantineReason.NONE:
            # This run tries the worker; others wait for what becomes of it.
            workers.remove(worker)
            choice = WorkerRanking(step, _list_rack_workers(step, workers), now)


def _list_rack_workers(step: StepRun, workers: list[Worker]) -> list[Worker]:
    """Return the workers of the rack that a step's tasks share, if they should.

    The rack is that of its first task; the one with most room is chosen for it.
    """
    if not step.spec.same_rack:
        return workers
    if not any(worker.rack_id == step.rack_id for worker in workers):
        # Bound to a rack that has lost its workers, the step would wait for good.
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
    """Tell whether a task may go to another rack than its siblings.

    It takes longer there, so not while the pool has other work for that room. But a
    rack may be full of tasks that last: waiting for it would have no end.
    """
    if not step.spec.same_rack:
        return False
    if now - max(task.waiting_since, step.ready_at) < SAME_RACK_WAIT_SECONDS:
        return False
    free = sum(worker.cpu_free for worker in workers)
    return free >= IDLE_CPU_FRACTION * sum(
        worker.resources.cpu_millis for worker in workers
    )


def _reserve_worker(
    step: StepRun, task: Task, workers: list[Worker], now: Seconds
) -> None:
    """Keep the worker nearest to having room away from steps of lower rank."""
    if now - max(task.waiting_since, step.ready_at) < RESERVE_AFTER_SECONDS:
        return
    if rank_step(step, now)[0] > TIER_ON_TIME:
        return
    allowed = [
        worker
        for worker in workers
        if is_allowed(step, worker, now)
        and worker.resources.cpu_millis >= step.resources.cpu_millis
        and worker.resources.memory_mb >= step.resources.memory_mb
    ]
    if not allowed or len(workers) == 1:
        return
    emptiest = max(allowed, key=lambda worker: (worker.cpu_free, worker.memory_free))
    workers.remove(emptiest)


def _keep_free_for_isolation(
    step: StepRun, workers: list[Worker], min_workers: int, now: Seconds
) -> None:
    """Keep new starts away from a worker, so that a suspected task can go there."""
    if len(workers) <= min_workers:
        return
    allowed = [
        worker
        for worker in workers
        if find_isolated_run(worker, now) is None
        and fits(step, worker)
        and is_allowed(step, worker, now)
    ]
    if allowed:
        workers.remove(min(allowed, key=lambda worker: rate_for_isolation(worker, now)))


def _place_gang(
    step: StepRun, workers: list[Worker], now: Seconds, intents: list[Run]
) -> None:
    """Place all tasks of a gang, or none: a part of it would wait and end alone."""
    members = step.tasks
    if len(step.waiting) < len(members):
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
    """Return a worker for each member, or None; leaves the tables as they were."""
    chosen: list[Worker] = []
    for member in step.tasks:
        worker = choose_worker(step, member, workers, now)
        if worker is None:
            break
        allocate_resources(worker, step)
        step.per_worker[worker.id] = step.per_worker.get(worker.id, 0) + 1
        chosen.append(worker)
    for worker in chosen:
        release_resources(worker, step)
        step.per_worker[worker.id] -= 1
    return chosen if len(chosen) == len(step.tasks) else None


def find_preemptible(step: StepRun, workers: list[Worker], now: Seconds) -> list[Run]:
    """Return batch runs to stop so that a long-running task finds room.

    Long-running tasks serve users all the time; a pool full of batch work would
    keep a lost one away for as long as the longest task takes.
    """
    best: list[Run] = []
    best_cost = float("inf")
    for worker in workers:
        if not is_schedulable(worker, now) or not is_allowed(step, worker, now):
            continue
        if fits(step, worker):
            return []
        stops = _find_stops(step, worker)
        cost = sum(run.percent * run.task.step.resources.cpu_millis for run in stops)
        if stops and cost < best_cost:
            best, best_cost = stops, cost
    return best


def _find_stops(step: StepRun, worker: Worker) -> list[Run]:
    """Return the fewest runs of little progress that make room, or none."""
    cpu = step.resources.cpu_millis - worker.cpu_free
    memory = step.resources.memory_mb - worker.memory_free
    stops: list[Run] = []
    candidates = [
        run
        for run in worker.runs.values()
        if not run.task.step.spec.long_running and not run.stopping
    ]
    for run in sorted(candidates, key=lambda run: run.percent):
        if cpu <= 0 and memory <= 0:
            break
        stops.append(run)
        cpu -= run.task.step.resources.cpu_millis
        memory -= run.task.step.resources.memory_mb
    return stops if cpu <= 0 and memory <= 0 else []


__all__ = ["find_preemptible", "plan_round"]
