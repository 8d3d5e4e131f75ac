"""Runs the jobs of all pools that this process holds."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp

from medlarspring_adapters.background_tasks import BackgroundTasks
from medlarspring_adapters.job_store import JobStore, pool_prefix
from medlarspring_adapters.prefix_follower import PrefixFollower
from medlarspring_adapters.worker_control import create_worker_control
from medlarspring_daemon.jobs.controller import JobController
from medlarspring_daemon.jobs.request_handler import JobRequestHandler
from medlarspring_daemon.jobs.routes import JobRoutes
from medlarspring_systems.job_records import (
    forget_worker,
    put_partner,
    put_worker,
)
from medlarspring_tables import (
    JobTables,
    ListedState,
    PartnerUse,
    Revision,
    Size,
    Worker,
)
from medlarspring_tables.vms import VMState

if TYPE_CHECKING:
    from medlarspring_adapters.worker_control import WorkerControl
    from medlarspring_daemon.node import Node
    from medlarspring_tables import ListedVM, PoolId, Seconds, VMId

TICK_SECONDS = 0.25
REFRESH_SECONDS = 1.0
"""Interval at which workers and partners are updated from the table and VM list."""
DELETE_INTERVAL_SECONDS = 60.0
KEEP_ENDED_SECONDS = 3600.0
"""How long the record of an ended job is kept."""


@dataclass(slots=True)
class HeldPool:
    """Controller and watch of one pool's jobs, with the times of periodic work."""

    controller: JobController
    follower: PrefixFollower
    ended_deleted_at: Seconds
    refreshed_at: Seconds = float("-inf")


class JobService:
    """Runs one controller for each held pool in a single loop."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._jobs = JobStore(node.store)
        self._tasks = BackgroundTasks(node.log)
        self._pools_by_id: dict[PoolId, HeldPool] = {}
        self._session: aiohttp.ClientSession | None = None
        self._workers: WorkerControl | None = None
        request_handler = JobRequestHandler(
            self._jobs, node.clock, self.build_tables, self._table_revision
        )
        node.operator_routes.extend(JobRoutes(request_handler, node.id).routes())

    async def start(self) -> None:
        """Open the HTTP session to workers and start the loop."""
        self._session = aiohttp.ClientSession()
        self._workers = create_worker_control(self._session)
        self._tasks.run_with_restart(self._run)

    async def stop(self) -> None:
        """Stop the loop; the next holder continues from the records in the store."""
        await self._tasks.cancel()
        for pool in self._pools_by_id.values():
            await pool.follower.stop()
        if self._session is not None:
            await self._session.close()

    def build_tables(self, pool_id: PoolId) -> JobTables:
        """Return tables with a pool's workers and partners, without jobs."""
        tables = JobTables()
        self._fill_tables(tables, pool_id)
        return tables

    def _table_revision(self) -> Revision:
        config = self._node.config
        return config.revision if config else Revision(0)

    async def _run(self) -> None:
        while True:
            started_at = self._node.clock.now()
            await self._run_round()
            spent = self._node.clock.now() - started_at
            await asyncio.sleep(max(0.0, TICK_SECONDS - spent))

    async def _run_round(self) -> None:
        await self._update_held_pools()
        await asyncio.gather(
            *(self._run_pool(pool) for pool in self._pools_by_id.values())
        )

    async def _update_held_pools(self) -> None:
        """Start controllers for acquired pools and stop those of lost pools.

        While the store is unreachable, pools whose lease expired are kept: their
        controllers cannot write without the fencing revision, but they renew the
        tasks' leases so that running tasks survive the outage.
        """
        held = self._node.holders.held_pools()
        for pool_id in held - self._pools_by_id.keys():
            self._pools_by_id[pool_id] = self._create_pool(pool_id)
        if self._node.store.failing_seconds() > 0:
            return
        for pool_id in self._pools_by_id.keys() - held:
            await self._pools_by_id.pop(pool_id).follower.stop()

    def _create_pool(self, pool_id: PoolId) -> HeldPool:
        node = self._node
        assert self._workers is not None
        controller = JobController(
            pool_id,
            self._jobs,
            self._workers,
            node.clock,
            node.decisions,
            lambda: node.holders.fence(pool_id),
        )
        prefix = pool_prefix(pool_id)
        follower = PrefixFollower(node, node.store, prefix, controller)
        follower.start()
        return HeldPool(controller, follower, node.clock.now())

    async def _run_pool(self, pool: HeldPool) -> None:
        controller = pool.controller
        now = self._node.clock.now()
        if now - pool.refreshed_at >= REFRESH_SECONDS:
            pool.refreshed_at = now
            addresses = self._fill_tables(controller.tables, controller.pool_id)
            controller.workers.set_addresses(addresses)
        await controller.tick()
        if now - pool.ended_deleted_at >= DELETE_INTERVAL_SECONDS:
            pool.ended_deleted_at = now
            await controller.delete_ended_jobs(KEEP_ENDED_SECONDS)

    def _fill_tables(self, tables: JobTables, pool_id: PoolId) -> dict[VMId, str]:
        """Update workers and partners; return the workers' addresses."""
        config = self._node.config
        vm_list = self._node.vm_list
        if config is None or vm_list is None:
            return {}
        tables.spare_percent = config.fleet.spare_percent
        for row in config.partners_by_id.values():
            quota = Size(row.quota_cpus, row.quota_memory_gb, row.quota_accelerators)
            put_partner(tables, PartnerUse(row.id, row.weight, quota))
        addresses: dict[VMId, str] = {}
        for vm in vm_list.vms_by_id.values():
            if self._find_pool_id(vm) != pool_id:
                continue
            addresses[vm.id] = vm.address
            put_worker(tables, self._create_worker(vm, pool_id))
        for vm_id in tables.workers_by_id.keys() - addresses.keys():
            forget_worker(tables, vm_id)
        return addresses

    def _find_pool_id(self, vm: ListedVM) -> PoolId:
        """Return the pool in the VM's record, or in the VM list if it has no record."""
        record = self._node.fleet_tables.vms_by_id.get(vm.id)
        return record.pool_id if record else vm.pool_id

    def _create_worker(self, vm: ListedVM, pool_id: PoolId) -> Worker:
        record = self._node.fleet_tables.vms_by_id.get(vm.id)
        is_serving = record is None or record.state is VMState.SERVING
        return Worker(
            id=vm.id,
            pool_id=pool_id,
            rack_id=vm.rack_id,
            zone_id=vm.zone_id,
            capacity=Size(vm.cpus, vm.memory_gb, vm.accelerators),
            accepts_work=is_serving and vm.state is ListedState.LIVE,
        )


def create_job_service(node: Node) -> JobService:
    """Return the service; creating it adds its routes to the operator port."""
    return JobService(node)


__all__ = ["JobService", "create_job_service"]
