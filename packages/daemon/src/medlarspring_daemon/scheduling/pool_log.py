"""Logs and counts what the planning of VMs decides for each pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_adapters.events import Event
from medlarspring_adapters.metrics import Metric

if TYPE_CHECKING:
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_systems.scheduling.fleet import FleetTables
    from medlarspring_tables import PoolId
    from medlarspring_tables.scheduling import WorkTables


class PoolLog:
    """Writes a line for each pool whose need or number of yielding VMs changed."""

    def __init__(self, node: SchedulingNode) -> None:
        self._node = node
        self._vms_by_pool: dict[PoolId, int] = {}
        self._yielding_by_pool: dict[PoolId, int] = {}

    def record(self, tables: WorkTables, fleet: FleetTables) -> None:
        """Log the changes of the latest planning pass."""
        self._log_needs(tables, fleet)
        self._log_yields(tables, fleet)

    def _log_needs(self, tables: WorkTables, fleet: FleetTables) -> None:
        for pool_id, need in fleet.needs_by_pool.items():
            if self._vms_by_pool.get(pool_id) == need.vms:
                continue
            self._vms_by_pool[pool_id] = need.vms
            self._node.log.info(
                Event.POOL_SIZED,
                pool=pool_id,
                wanted=need.vms,
                timely=need.timely_vms,
                has=fleet.vm_counts_by_pool.get(pool_id, 0),
                lasting_millis=round(need.lasting_millis),
                incoming_millis=round(need.incoming_millis),
                waiting_millis=round(need.waiting_millis),
                vms_read_at=round(tables.vms_read_at, 3),
            )

    def _log_yields(self, tables: WorkTables, fleet: FleetTables) -> None:
        yielding: dict[PoolId, int] = dict.fromkeys(self._yielding_by_pool, 0)
        for vm_id in fleet.yielding_since_by_vm:
            vm = tables.vms_by_id.get(vm_id)
            if vm is not None:
                yielding[vm.pool_id] = yielding.get(vm.pool_id, 0) + 1
        self._node.metrics.gauge(Metric.VMS_YIELDING, sum(yielding.values()))
        for pool_id, vms in yielding.items():
            if self._yielding_by_pool.get(pool_id, 0) == vms:
                continue
            self._yielding_by_pool[pool_id] = vms
            need = fleet.needs_by_pool.get(pool_id)
            self._node.log.info(
                Event.VMS_YIELD,
                pool=pool_id,
                vms=vms,
                has=fleet.vm_counts_by_pool.get(pool_id, 0),
                allotted=fleet.allotted_by_pool.get(pool_id, 0),
                timely=need.timely_vms if need is not None else 0,
            )


__all__ = ["PoolLog"]
