"""Determines what is cut off, stale or degraded on this entry VM, and since when."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_adapters.operator_api import (
    Finding,
    Health,
    PeerStatus,
    StatusAnswer,
)
from medlarspring_tables.members import MemberState

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from medlarspring_daemon.node import Node
    from medlarspring_tables import ConfigTable, Member, Seconds

STALE_AFTER_POLLS = 3
"""Number of poll intervals after which the VM list counts as stale."""
STORE_OUTAGE_SECONDS = 1.0
"""Failures of the store for less time are treated as lost calls, not an outage."""

_RANK = {health: rank for rank, health in enumerate(Health)}


class StatusReporter:
    """Reports the status of one entry VM, and since when its table is in force."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._in_force_since: Seconds | None = None
        node.config_listeners.append(self._record_table)

    def describe(self) -> StatusAnswer:
        """Return the status of this entry VM as far as it is known here."""
        node = self._node
        findings = tuple(self._list_findings())
        entry_vm_settings = node.settings.entry_vm
        return StatusAnswer(
            entry_vm=node.id,
            zone=entry_vm_settings.zone,
            region=entry_vm_settings.region,
            at=node.clock.wall(),
            health=find_worst_health(findings),
            table_revision=node.config.revision if node.config else None,
            stopping=node.stopping,
            findings=findings,
            peers=tuple(self._describe_peers()),
            held_pools=tuple(sorted(node.holders.held_pools())),
            store_calls={
                mechanism.value: calls
                for mechanism, calls in node.store.calls.calls_by_mechanism.items()
            },
            addresses=dict(node.addresses),
        )

    def _record_table(self, table: ConfigTable) -> None:
        self._in_force_since = self._node.clock.now()

    def _list_findings(self) -> Iterator[Finding]:
        if self._node.stopping:
            detail = "shutting down; requests in flight are finished"
            yield Finding(area="daemon", health=Health.DEGRADED, detail=detail)
        yield self._check_store()
        yield self._check_table()
        yield from self._check_peers()
        yield self._check_vm_list()
        for source in self._node.status_sources:
            yield from source()

    def _check_store(self) -> Finding:
        calls = self._node.store.calls
        failing = self._node.store.failing_seconds()
        if failing >= STORE_OUTAGE_SECONDS:
            return Finding(
                area="store",
                health=Health.PARTITIONED,
                detail=f"no answer for {failing:.0f} s; edits and control work wait",
                since=self._to_wall(calls.failing_since),
            )
        if calls.answered_at is None:
            detail = "not asked yet"
            return Finding(area="store", health=Health.OK, detail=detail)
        age = self._node.clock.now() - calls.answered_at
        detail = f"last answer {age:.0f} s ago"
        return Finding(area="store", health=Health.OK, detail=detail)

    def _check_table(self) -> Finding:
        table = self._node.config
        since = self._to_wall(self._in_force_since)
        if table is None:
            detail = "none in force; callers are refused as not run"
            return Finding(area="table", health=Health.PARTITIONED, detail=detail)
        newest = max(
            (peer.table_revision for peer in self._node.peers.heard_by_id.values()),
            default=table.revision,
        )
        if newest > table.revision:
            detail = f"revision {table.revision} in force, a peer has {newest}"
            return Finding(area="table", health=Health.STALE, detail=detail)
        detail = f"revision {table.revision} in force"
        return Finding(area="table", health=Health.OK, detail=detail, since=since)

    def _check_peers(self) -> Iterator[Finding]:
        peers = list(self._node.peers.known_by_id.values())
        if not peers:
            detail = "no other entry VM is known"
            yield Finding(area="peers", health=Health.DEGRADED, detail=detail)
            return
        lost = [peer for peer in peers if _is_lost(peer)]
        for zone in sorted({peer.zone_id for peer in lost}):
            yield self._describe_lost(
                str(zone), [peer for peer in peers if peer.zone_id == zone]
            )
        if not lost:
            detail = f"all {len(peers)} heard"
            yield Finding(area="peers", health=Health.OK, detail=detail)

    def _describe_lost(self, zone: str, peers: list[Member]) -> Finding:
        lost = [peer for peer in peers if _is_lost(peer)]
        names = ", ".join(sorted(f"{peer.id} {peer.state.value}" for peer in lost))
        since = self._to_wall(min(peer.changed_at for peer in lost))
        area = f"zone {zone}"
        if len(lost) == len(peers) and zone != self._node.settings.entry_vm.zone:
            detail = f"no entry VM of the zone is heard ({names})"
            return Finding(
                area=area, health=Health.PARTITIONED, detail=detail, since=since
            )
        detail = f"{len(lost)} of {len(peers)} other entry VMs not heard ({names})"
        return Finding(area=area, health=Health.DEGRADED, detail=detail, since=since)

    def _check_vm_list(self) -> Finding:
        vm_list = self._node.vm_list
        if vm_list is None:
            detail = "none read yet; no upstream VM is known"
            return Finding(area="vm list", health=Health.PARTITIONED, detail=detail)
        age = self._node.clock.now() - vm_list.read_at
        vms = len(vm_list.vms_by_id)
        detail = f"{vms} upstream VMs, read {age:.0f} s ago"
        if age <= STALE_AFTER_POLLS * self._node.settings.vm_list.poll_seconds:
            return Finding(area="vm list", health=Health.OK, detail=detail)
        since = self._to_wall(vm_list.read_at)
        return Finding(area="vm list", health=Health.STALE, detail=detail, since=since)

    def _describe_peers(self) -> Iterator[PeerStatus]:
        now = self._node.clock.now()
        known = self._node.peers.known_by_id
        for peer_id in sorted(known):
            peer = known[peer_id]
            heard = None if peer.heard_at is None else round(now - peer.heard_at, 3)
            yield PeerStatus(
                id=peer.id,
                zone=peer.zone_id,
                state=peer.state.value,
                heard_seconds_ago=heard,
                table_revision=peer.table_revision,
                operator_address=peer.operator_address,
                one_way=peer.one_way,
            )

    def _to_wall(self, at: Seconds | None) -> float | None:
        if at is None:
            return None
        return self._node.clock.wall() - (self._node.clock.now() - at)


def find_worst_health(findings: Iterable[Finding]) -> Health:
    """Return the worst health among the findings; OK if there are none."""
    found = (finding.health for finding in findings)
    return max(found, key=_RANK.__getitem__, default=Health.OK)


def _is_lost(peer: Member) -> bool:
    return peer.state in (MemberState.SILENT, MemberState.LISTED, MemberState.DEAD)


__all__ = ["StatusReporter", "find_worst_health"]
