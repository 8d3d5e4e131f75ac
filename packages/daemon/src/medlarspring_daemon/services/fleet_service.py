"""Runs the control work of the pools that this process holds."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from medlarspring_adapters.events import Event
from medlarspring_adapters.vm_control import HttpVMControl
from medlarspring_daemon.services.fleet_controller import FleetController
from medlarspring_daemon.services.fleet_feed import FleetFeed
from medlarspring_tables.fleet_tables import FleetTables

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarspring_adapters.vm_control import VMControl
    from medlarspring_daemon.node import Node
    from medlarspring_tables import ConfigTable, PoolId

TICK_SECONDS = 1.0
IDLE_TICK_SECONDS = 5.0
"""A pool without wave, move or busy VM is looked at this often."""
SIGHTING_SECONDS = 5.0
"""VMs not seen for this long count as unseen."""
PROBE_SECONDS = (1.0, 3.0)
"""A lost store is tried again after a random time between these."""
PUT_BACK_AFTER_SECONDS = 10.0
"""Drained VMs are put back once the store has been out of reach this long."""


class FleetService:
    """Looks, plans, writes and acts, pool by pool, once a second."""

    def __init__(self, node: Node, vm_control: VMControl) -> None:
        self._node = node
        self._tables = FleetTables()
        self._controller = FleetController(
            self._tables,
            node.store,
            vm_control,
            node.holders,
            node.decisions,
            node.log,
        )
        self._feed = FleetFeed(node.store, self._tables, node.rng)
        self._vm_control = vm_control
        self._task: asyncio.Task[None] | None = None
        self._held: frozenset[PoolId] = frozenset()
        """Pools of the last round with the store in reach."""
        self._ticked_at: dict[PoolId, float] = {}
        self._seen_at: dict[PoolId, float] = {}
        self._store_lost_at: float | None = None
        self._probe_at = 0.0

    async def start(self) -> None:
        """Start the loop."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop between two calls; the records let a successor go on."""
        if self._task is not None:
            self._task.cancel()
            with suppress(asyncio.CancelledError):
                await self._task
        await self._feed.stop()
        if isinstance(self._vm_control, HttpVMControl):
            await self._vm_control.close()

    async def _run(self) -> None:
        while True:
            started_at = self._node.clock.now()
            if self._node.config is not None:
                await self.run_round(self._node.config)
            spent = self._node.clock.now() - started_at
            await asyncio.sleep(max(0.0, TICK_SECONDS - spent))

    async def run_round(self, config: ConfigTable) -> None:
        """Do one round over all held pools."""
        now = self._node.clock.now()
        held = self._node.holders.held_pools()
        if self._controller.is_store_lost and now >= self._probe_at:
            self._probe_at = now + self._node.rng.uniform(*PROBE_SECONDS)
            await self._controller.load()
        self._note_store(now)
        if self._store_lost_at is not None:
            await self._wait_for_store(now)
            return
        if not await self._take_over(held):
            return
        due = [pool_id for pool_id in sorted(held) if self._is_due(pool_id, now)]
        await self._observe(due, now)
        for pool_id in due:
            self._ticked_at[pool_id] = now
            await self._controller.tick(
                pool_id, config, self._node.vm_list, self._node.clock.wall()
            )

    def _note_store(self, now: float) -> None:
        if not self._controller.is_store_lost:
            self._store_lost_at = None
        elif self._store_lost_at is None:
            self._store_lost_at = now
            self._node.log.warning(Event.FLEET_STORE_LOST)

    async def _wait_for_store(self, now: float) -> None:
        lost_at = self._store_lost_at
        if lost_at is not None and now - lost_at >= PUT_BACK_AFTER_SECONDS:
            await self._observe(sorted(self._held), now)
            for pool_id in sorted(self._held):
                await self._controller.put_back(pool_id)

    async def _take_over(self, held: frozenset[PoolId]) -> bool:
        for pool_id in self._held - held:
            self._controller.forget_unsettled(pool_id)
        # A pool is lost when another process takes it, or when the store cannot
        # be reached and the lease lapses. Only then may drained VMs stand idle
        # with nobody to reboot them, so the store is tried before letting go.
        if held != self._held and not await self._controller.load():
            return False
        self._held = held
        if held:
            self._feed.start()
        else:
            await self._feed.stop()
        return True

    def _is_due(self, pool_id: PoolId, now: float) -> bool:
        is_active = (
            bool(self._tables.busy_vm_ids_by_pool.get(pool_id))
            or bool(self._tables.open_waves_by_id)
            or bool(self._tables.open_moves_by_id)
        )
        ticked_at = self._ticked_at.get(pool_id)
        return is_active or ticked_at is None or now - ticked_at >= IDLE_TICK_SECONDS

    async def _observe(self, pool_ids: list[PoolId], now: float) -> None:
        if not pool_ids:
            return
        if await self._controller.observe(pool_ids):
            self._seen_at.update(dict.fromkeys(pool_ids, now))
            return
        self._node.log.warning(Event.VM_CONTROL_LOST, pools=len(pool_ids))
        self._forget_sightings(
            pool_id
            for pool_id in pool_ids
            if now - self._seen_at.get(pool_id, 0.0) > SIGHTING_SECONDS
        )

    def _forget_sightings(self, pool_ids: Iterable[PoolId]) -> None:
        for pool_id in pool_ids:
            for vm_id in self._tables.vm_ids_by_pool.get(pool_id, ()):
                self._tables.sightings_by_id.pop(vm_id, None)


def create_fleet_service(
    node: Node, vm_control: VMControl | None = None
) -> FleetService | None:
    """Return the service, or None if the settings name no VM control."""
    if vm_control is not None:
        return FleetService(node, vm_control)
    section = node.settings.vm_control
    if section is None:
        return None
    return FleetService(node, HttpVMControl(section.url, section.timeout_seconds))


__all__ = ["FleetService", "create_fleet_service"]
