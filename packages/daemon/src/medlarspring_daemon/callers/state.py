"""Tables of the request path, updated from the configuration and the VM list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems import fair_queue
from medlarspring_systems.routing import update_upstreams
from medlarspring_tables import ZoneId
from medlarspring_tables.requests import PoolQueue
from medlarspring_tables.upstreams import UpstreamTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_daemon.node import Node
    from medlarspring_tables import ConfigTable, PoolId, Seconds, VMList
    from medlarspring_tables.upstreams import Upstream


class CallerState:
    """The state shared by the caller port and the exchange of slots."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.zone_id = ZoneId(node.settings.entry_vm.zone)
        self.upstreams = UpstreamTable()
        self.pools_by_id: dict[PoolId, PoolQueue] = {}
        self.own_pools: frozenset[PoolId] = frozenset()
        """Pools with upstream VMs in the own zone."""
        self.list_listeners: list[Callable[[VMList], None]] = []
        self._config: ConfigTable | None = None
        self._vm_list: VMList | None = None

    def refresh(self) -> None:
        """Apply a new configuration table or VM list, if there is one."""
        node = self.node
        if node.vm_list is not self._vm_list and node.vm_list is not None:
            self._vm_list = node.vm_list
            update_upstreams(self.upstreams, node.vm_list)
            self.own_pools = frozenset(
                upstream.pool_id
                for upstream in self.upstreams.upstreams_by_id.values()
                if upstream.zone_id == self.zone_id
            )
            for pool in self.pools_by_id.values():
                fair_queue.remove_departed_peers(pool, node.vm_list.entry_vms_by_id)
            for listener in self.list_listeners:
                listener(node.vm_list)
        if node.config is not self._config and node.config is not None:
            self._config = node.config
            for pool in self.pools_by_id.values():
                fair_queue.apply_partner_config(pool, node.config)

    def get_pool(self, pool_id: PoolId) -> PoolQueue:
        """Return the queue of a pool; it is created on first use."""
        pool = self.pools_by_id.get(pool_id)
        if pool is None:
            pool = PoolQueue(pool_id)
            self.pools_by_id[pool_id] = pool
            if self._config is not None:
                fair_queue.apply_partner_config(pool, self._config)
        return pool

    def list_upstreams(self, pool_id: PoolId) -> list[Upstream]:
        """Return all upstream VMs of a pool."""
        return self.upstreams.upstreams_by_pool.get(pool_id, [])

    def count_fleet_slots(self, pool_id: PoolId) -> int:
        """Return the number of slots of a pool in the whole fleet."""
        return sum(upstream.slots for upstream in self.list_upstreams(pool_id))

    def count_usable_slots(self, pool_id: PoolId, now: Seconds) -> int:
        """Return the number of slots of a pool that this entry VM may use now."""
        return sum(
            upstream.credit
            for upstream in self.list_upstreams(pool_id)
            if now < upstream.credit_until
        )


__all__ = ["CallerState"]
