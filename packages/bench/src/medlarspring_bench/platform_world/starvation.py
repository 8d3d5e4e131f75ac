"""Watches for accepted jobs that wait although their pool has room for them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from medlarspring_bench.platform_world.history import Breach

if TYPE_CHECKING:
    from medlarspring_bench.platform_world.worker_model import WorkerModel
    from medlarspring_bench.platform_world.world import World
    from medlarspring_tables import JobId, PoolId, Seconds
    from medlarspring_tables.scheduling import ActiveJob, Resources, StepRun, WorkTables

STARVED_SECONDS = 3.0
"""Time without any run after which a job that has room counts as starved."""
TASKS_WITH_ROOM = 2
"""A job has room if this many of its tasks would fit."""
BUSY_FRACTION = 0.5
"""Fraction of a pool's CPU in use from which its jobs may wait."""
WATCH_SECONDS = 0.1


class StarvationWatch:
    """Records the jobs that have nothing running although their pool has room."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._since_by_job: dict[JobId, Seconds] = {}
        self._longest_by_job: dict[JobId, Seconds] = {}

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            self._look()
            await asyncio.sleep(WATCH_SECONDS)

    def list_breaches(self) -> list[Breach]:
        """Return the jobs that were starved."""
        return [
            Breach("starved", job_id, f"for {seconds:.1f} s beside free room")
            for job_id, seconds in self._longest_by_job.items()
            if seconds >= STARVED_SECONDS
        ]

    def _look(self) -> None:
        now = self._world.clock.now()
        waiting = set(self._find_waiting())
        for job_id in self._since_by_job.keys() - waiting:
            del self._since_by_job[job_id]
        for job_id in waiting:
            since = self._since_by_job.setdefault(job_id, now)
            longest = max(self._longest_by_job.get(job_id, 0.0), now - since)
            self._longest_by_job[job_id] = longest

    def _find_waiting(self) -> list[JobId]:
        return [
            job.id
            for node in self._world.nodes_by_name.values()
            for tables in node.service.list_tables()
            for job in tables.jobs_by_id.values()
            if job.outcome is None and not job.runs and self._has_room(tables, job)
        ]

    def _has_room(self, tables: WorkTables, job: ActiveJob) -> bool:
        workers = self._list_workers(job.queue.pool_id)
        used = sum(_sum_cpu(worker) for worker in workers)
        total = sum(worker.resources.cpu_millis for worker in workers)
        if used >= BUSY_FRACTION * total:
            return False
        ready = tables.ready_by_pool.get(job.queue.pool_id, {})
        return any(
            step.job is job
            and step.waiting
            and _count_fitting(workers, step) >= TASKS_WITH_ROOM
            for step in ready
        )

    def _list_workers(self, pool_id: PoolId) -> list[WorkerModel]:
        return [
            worker
            for worker in self._world.fleet.workers_by_id.values()
            if worker.alive and not worker.draining and worker.pool_id == pool_id
        ]


def _sum_cpu(worker: WorkerModel) -> int:
    return sum(run.facts.spec.cpu_millis for run in worker.runs.values())


def _count_fitting(workers: list[WorkerModel], step: StepRun) -> int:
    needed = step.resources
    return sum(_count_fitting_on(worker, needed) for worker in workers)


def _count_fitting_on(worker: WorkerModel, needed: Resources) -> int:
    memory = sum(run.facts.spec.memory_mb for run in worker.runs.values())
    cpu_free = worker.resources.cpu_millis - _sum_cpu(worker)
    memory_free = worker.resources.memory_mb - memory
    return min(
        cpu_free // max(needed.cpu_millis, 1), memory_free // max(needed.memory_mb, 1)
    )


__all__ = ["StarvationWatch"]
