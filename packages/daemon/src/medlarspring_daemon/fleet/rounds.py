"""Runs rounds of fleet control work over all pools that this process holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_adapters.events import Event

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from medlarspring_adapters.clock import Clock
    from medlarspring_adapters.events import EventLog
    from medlarspring_daemon.fleet.controller import FleetController
    from medlarspring_daemon.node import Holders
    from medlarspring_tables import ConfigTable, PoolId, Revision, VMList

IDLE_TICK_SECONDS = 5.0
"""Interval of rounds for a pool without open waves, open moves or busy VMs."""
OBSERVATION_VALID_SECONDS = 5.0
"""Observations of VMs are dropped if none succeeded for longer than this."""
PROBE_SECONDS = (1.0, 3.0)
"""Range of the random delay between reads of a store that does not answer."""
RESTORE_AFTER_SECONDS = 10.0
"""Drained VMs are restored once the store has been unreachable for this long."""


class FleetRounds:
    """Takes over pools, observes their VMs and runs the pools that are due."""

    def __init__(
        self,
        controller: FleetController,
        clock: Clock,
        rng: random.Random,
        log: EventLog,
    ) -> None:
        self._controller = controller
        self._tables = controller.tables
        self._clock = clock
        self._rng = rng
        self._log = log
        self._fencing_revisions: dict[PoolId, Revision] = {}
        """Holder key's revision by pool, from the last round that read the store."""
        self._ticked_at: dict[PoolId, float] = {}
        self._observed_at: dict[PoolId, float] = {}
        self._store_lost_at: float | None = None
        self._next_probe_at = 0.0

    @property
    def is_holding(self) -> bool:
        """Whether any pool was held in the last round."""
        return bool(self._fencing_revisions)

    async def run(
        self, holders: Holders, config: ConfigTable, vm_list: VMList | None
    ) -> None:
        """Run one round."""
        now = self._clock.now()
        if self._controller.is_store_lost and now >= self._next_probe_at:
            self._next_probe_at = now + self._rng.uniform(*PROBE_SECONDS)
            await self._controller.load()
        self._update_store_state(now)
        if self._store_lost_at is not None:
            await self._handle_store_outage(self._store_lost_at, now)
            return
        if not await self._take_over(holders):
            return
        due = [
            each for each in sorted(self._fencing_revisions) if self._is_due(each, now)
        ]
        await self._observe(due, now)
        for pool_id in due:
            self._ticked_at[pool_id] = now
            wall = self._clock.wall()
            await self._controller.tick(pool_id, config, vm_list, wall)

    def _update_store_state(self, now: float) -> None:
        if not self._controller.is_store_lost:
            self._store_lost_at = None
        elif self._store_lost_at is None:
            self._store_lost_at = now
            self._log.warning(
                Event.FLEET_STORE_LOST, pools=len(self._fencing_revisions)
            )

    async def _handle_store_outage(self, lost_at: float, now: float) -> None:
        if now - lost_at < RESTORE_AFTER_SECONDS:
            return
        await self._observe(sorted(self._fencing_revisions), now)
        for pool_id in sorted(self._fencing_revisions):
            await self._controller.restore_drained_vms(pool_id)

    async def _take_over(self, holders: Holders) -> bool:
        fencing_revisions: dict[PoolId, Revision] = {}
        for pool_id in holders.held_pools():
            fence = holders.fence(pool_id)
            if fence is not None:
                fencing_revisions[pool_id] = fence.mod_revision
        if fencing_revisions == self._fencing_revisions:
            return True
        # A pool is lost when another process acquires it, or when the store cannot
        # be reached and the lease expires. In the second case drained VMs would
        # stay idle because no process can reboot them, so pools are given up only
        # once the store has answered.
        if not await self._controller.load():
            return False
        for pool_id, revision in self._fencing_revisions.items():
            if fencing_revisions.get(pool_id) != revision:
                self._controller.drop_unconfirmed_write(pool_id)
        self._fencing_revisions = fencing_revisions
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
            self._observed_at.update(dict.fromkeys(pool_ids, now))
            return
        self._log.warning(Event.VM_CONTROL_LOST, pools=len(pool_ids))
        self._drop_observations(
            pool_id
            for pool_id in pool_ids
            if now - self._observed_at.get(pool_id, 0.0) > OBSERVATION_VALID_SECONDS
        )

    def _drop_observations(self, pool_ids: Iterable[PoolId]) -> None:
        for pool_id in pool_ids:
            for vm_id in self._tables.vm_ids_by_pool.get(pool_id, ()):
                self._tables.observations_by_id.pop(vm_id, None)


__all__ = ["FleetRounds"]
