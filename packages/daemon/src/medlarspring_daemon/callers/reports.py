"""Exchanges partner usage and leaving or returned upstream VMs between entry VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_adapters.events import Event
from medlarspring_systems import fair_queue
from medlarspring_systems.leaving import (
    list_leaving,
    list_returned,
    record_leaving,
    record_returned,
)
from medlarspring_tables import EntryVMId, PartnerId, PoolId, VMId
from medlarspring_tables.requests import PeerUsage

if TYPE_CHECKING:
    from medlarspring_adapters import peer_pb2
    from medlarspring_daemon.callers.state import CallerState
    from medlarspring_tables import Seconds


class CallerReports:
    """Reports usage and upstream VM states; implements ``ReportContributor``."""

    def __init__(self, state: CallerState) -> None:
        self._state = state
        self._reported_at: dict[EntryVMId, Seconds] = {}

    def fill_report(self, report: peer_pb2.Report) -> None:
        """Add usage by partner and pool, and upstream VMs that leave or returned."""
        now = self._state.node.clock.now()
        for pool in self._state.pools_by_id.values():
            for queue in pool.queues_by_partner.values():
                fair_queue.count_slot_time(queue, now)
                if not queue.slot_seconds and not queue.waiting:
                    continue
                report.usage.add(
                    partner=queue.partner_id,
                    pool=pool.pool_id,
                    slot_ms=int(queue.slot_seconds * 1000),
                    waiting=queue.waiting,
                    running=queue.running,
                )
        for vm_id, age in list_leaving(self._state.upstreams, now):
            report.leaving_upstreams.add(vm=vm_id, age_ms=int(age * 1000))
        for upstream, age in list_returned(self._state.upstreams, now):
            report.returned_upstreams.add(
                vm=upstream.id, pool=upstream.pool_id, age_ms=int(age * 1000)
            )

    def apply_report(self, report: peer_pb2.Report) -> None:
        """Charge partners for usage on the peer; record leaving and returned VMs."""
        now = self._state.node.clock.now()
        peer = EntryVMId(report.sender)
        elapsed = now - self._reported_at.get(peer, now)
        self._reported_at[peer] = now
        for usage in report.usage:
            fair_queue.record_peer_usage(
                self._state.get_pool(PoolId(usage.pool)),
                peer,
                PartnerId(usage.partner),
                PeerUsage(
                    incarnation=report.incarnation,
                    slot_seconds=usage.slot_ms / 1000.0,
                    waiting=usage.waiting,
                    running=usage.running,
                    reported_at=now,
                ),
                elapsed,
            )
        for returned in report.returned_upstreams:
            age = returned.age_ms / 1000.0
            self.record_returned(VMId(returned.vm), PoolId(returned.pool), age, peer)
        for leaving in report.leaving_upstreams:
            self.record_leaving(VMId(leaving.vm), leaving.age_ms / 1000.0, peer)

    def record_leaving(self, vm_id: VMId, age: Seconds, source: str) -> None:
        """Record that an upstream VM is leaving, and log it if it was not known."""
        node = self._state.node
        if record_leaving(self._state.upstreams, vm_id, age, node.clock.now()):
            node.log.info(Event.UPSTREAM_LEAVING, vm=vm_id, source=source)

    def record_returned(
        self, vm_id: VMId, pool_id: PoolId, age: Seconds, source: str
    ) -> None:
        """Record that an upstream VM serves again, and log it if it was not known."""
        node = self._state.node
        now = node.clock.now()
        if record_returned(self._state.upstreams, vm_id, pool_id, age, now):
            node.log.info(Event.UPSTREAM_RETURNED, vm=vm_id, source=source)


__all__ = ["CallerReports"]
