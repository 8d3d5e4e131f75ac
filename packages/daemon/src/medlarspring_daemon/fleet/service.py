"""Runs the fleet control work of the pools that this process holds."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from medlarspring_adapters.background_tasks import BackgroundTasks
from medlarspring_adapters.metrics import Metric
from medlarspring_adapters.store_meter import Mechanism
from medlarspring_adapters.vm_control import HttpVMControl
from medlarspring_daemon.fleet.command_handler import FleetCommandHandler
from medlarspring_daemon.fleet.controller import FleetController
from medlarspring_daemon.fleet.feed import FleetFeed
from medlarspring_daemon.fleet.rounds import FleetRounds
from medlarspring_daemon.fleet.routes import FleetRoutes
from medlarspring_systems.availability import count_availability
from medlarspring_systems.draft import Draft
from medlarspring_tables.fleet_tables import FleetTables

if TYPE_CHECKING:
    from medlarspring_adapters.vm_control import VMControl
    from medlarspring_daemon.node import Node

TICK_SECONDS = 1.0


class FleetService:
    """Runs a round every second, and watches the records while it holds pools."""

    def __init__(self, node: Node, vm_control: VMControl | None) -> None:
        self._node = node
        self._vm_control = vm_control
        self._tasks = BackgroundTasks(node.log)
        self._store = node.store.with_mechanism(Mechanism.CONTROL_WORK)
        command_handler = FleetCommandHandler(self._store, node.clock, node.id)
        node.operator_routes.extend(
            FleetRoutes(node, command_handler, vm_control).routes()
        )

    async def start(self) -> None:
        """Start the loop if a VM control is configured."""
        if self._vm_control is not None:
            vm_control = self._vm_control
            self._tasks.run_with_restart(lambda: self._run(vm_control))

    async def stop(self) -> None:
        """Stop the loop; the next holder continues from the records in the store."""
        await self._tasks.cancel()
        if isinstance(self._vm_control, HttpVMControl):
            await self._vm_control.close()

    async def _run(self, vm_control: VMControl) -> None:
        node = self._node
        tables = node.fleet_tables = FleetTables()
        controller = FleetController(
            tables,
            self._store,
            vm_control,
            lambda pool_id: node.holders.fence(pool_id),
            node.decisions,
            node.log,
            record_leaving=lambda vm_id: node.record_leaving(vm_id),
            record_returned=lambda vm_id, pool_id: node.record_returned(vm_id, pool_id),
        )
        rounds = FleetRounds(controller, node.clock, node.rng, node.log)
        feed = FleetFeed(node, self._store, tables)
        try:
            while True:
                started_at = node.clock.now()
                if node.config is not None:
                    await rounds.run(node.holders, node.config, node.vm_list)
                if rounds.is_holding:
                    feed.start()
                    self._send_metrics()
                else:
                    await feed.stop()
                spent = node.clock.now() - started_at
                await asyncio.sleep(max(0.0, TICK_SECONDS - spent))
        finally:
            await feed.stop()

    def _send_metrics(self) -> None:
        config = self._node.config
        if config is None:
            return
        draft = Draft(self._node.fleet_tables)
        counted = [
            count_availability(draft, config.pools_by_id[pool_id])
            for pool_id in self._node.holders.held_pools()
            if pool_id in config.pools_by_id
        ]
        if not counted:
            return
        metrics = self._node.metrics
        disrupted = sum(each.disrupted for each in counted)
        metrics.gauge(Metric.FLEET_DISRUPTED, disrupted)
        metrics.gauge(Metric.FLEET_OUT, sum(each.out for each in counted))
        metrics.gauge(
            Metric.FLEET_LEAST_ROOM, min(each.disruptions_allowed for each in counted)
        )


def create_fleet_service(
    node: Node, vm_control: VMControl | None = None
) -> FleetService:
    """Return the service; without a VM control it only serves operators' requests."""
    section = node.settings.vm_control
    if vm_control is None and section is not None:
        vm_control = HttpVMControl(section.url, section.timeout_seconds)
    return FleetService(node, vm_control)


__all__ = ["FleetService", "create_fleet_service"]
