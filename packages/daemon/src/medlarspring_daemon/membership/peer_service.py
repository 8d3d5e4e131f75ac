"""Exchanges reports with the other entry VMs and makes calls to them for services."""

from __future__ import annotations

import asyncio
import zlib
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from medlarspring_adapters import peer_pb2
from medlarspring_adapters.background_tasks import BackgroundTasks
from medlarspring_adapters.events import Event
from medlarspring_adapters.peer_client import (
    PeerClient,
    PeerError,
    PeerRefused,
    PeerUnreachable,
    create_peer_client,
)
from medlarspring_adapters.peer_server import create_peer_server
from medlarspring_daemon.membership.peer_reports import ReportBuilder, to_heartbeat
from medlarspring_daemon.membership.peer_request_handler import PeerRequestHandler
from medlarspring_systems import membership
from medlarspring_systems.exchange import (
    ExchangePlan,
    list_due_peers,
    record_exchange_bytes,
    remove_departed_members,
)
from medlarspring_tables import EntryVMId, Member, MemberTable, Revision, ZoneId

if TYPE_CHECKING:
    from collections.abc import Mapping

    from medlarspring_daemon.node import Node
    from medlarspring_systems.membership import MemberChange
    from medlarspring_tables import ConfigTable, Seconds, VMList

TICK_SECONDS = 0.1
EXCHANGE_TIMEOUT_SECONDS = 1.0
FETCH_TABLE_TIMEOUT_SECONDS = 3.0
FIND_DECISIONS_TIMEOUT_SECONDS = 2.0
LEAVING_TIMEOUT_SECONDS = 0.5
FAILURES_BEFORE_RECONNECT = 2
FRAMING_BYTES = 240
"""HTTP/2 and TCP framing of one exchange, both directions."""


class PeerService:
    """Owns the member table; implements ``Peers`` for the other services."""

    def __init__(self, node: Node) -> None:
        self._node = node
        section = node.settings.peer
        self._token = section.token_file.read_text(encoding="utf-8").strip()
        self.members = MemberTable(node.id, ZoneId(node.settings.entry_vm.zone))
        self.newer_table_seen = asyncio.Event()
        """Set when a report names a newer table than the one in force."""
        self.bytes_exchanged = 0
        self.slot_bytes = 0
        self.calls = 0
        self._reports = ReportBuilder(node, self.members)
        self._request_handler = PeerRequestHandler(node, self._reports, self)
        self._server = create_peer_server(
            section.listen, self._token, self._request_handler
        )
        self._plan = ExchangePlan()
        self._clients_by_id: dict[EntryVMId, PeerClient] = {}
        self._failures_by_id: dict[EntryVMId, int] = {}
        self._in_flight: set[EntryVMId] = set()
        self._contacted: set[EntryVMId] = set()
        self._tasks = BackgroundTasks(node.log)
        self._applied_vm_list: VMList | None = None
        self._ticked_at = node.clock.now()

    async def start(self) -> None:
        """Open the peer port and start exchanging reports."""
        self._node.addresses["peer"] = await self._server.start()
        self._node.peers = self
        self._node.config_listeners.append(self._announce_table)
        self._ticked_at = self._node.clock.now()
        self._tasks.run_with_restart(self._run)

    async def stop(self) -> None:
        """Send the peers a last report marked as leaving, then close the port."""
        await self._tasks.cancel()
        heard = list(self.heard_by_id.values())
        leaving_exchanges = [
            self._exchange(member, LEAVING_TIMEOUT_SECONDS) for member in heard
        ]
        await asyncio.gather(*leaving_exchanges)
        for client in self._clients_by_id.values():
            await client.close()
        self._clients_by_id.clear()
        self.members.members_by_id.clear()
        await self._server.stop()

    @property
    def heard_by_id(self) -> Mapping[EntryVMId, Member]:
        """Other entry VMs that were heard within the timeout and are not leaving."""
        return membership.list_heard(self.members)

    @property
    def known_by_id(self) -> Mapping[EntryVMId, Member]:
        """All other entry VMs that are listed or were recently heard."""
        return self.members.members_by_id

    @property
    def zone_members(self) -> tuple[EntryVMId, ...]:
        """This entry VM and those heard in its availability zone, sorted."""
        return membership.list_zone(self.members)

    @property
    def refused_by_id(self) -> Mapping[EntryVMId, Seconds]:
        """Time of a refused connection, for peers that were not heard since."""
        return {
            member.id: member.refused_at
            for member in self.members.members_by_id.values()
            if member.refused_at is not None
        }

    def list_stable(self, *, own_zone_only: bool = False) -> list[Member]:
        """Return the heard peers to which duties may be assigned."""
        now = self._node.clock.now()
        ids = membership.list_stable(self.members, now, own_zone_only=own_zone_only)
        return [self.members.members_by_id[each] for each in ids]

    def has_contacted_zone(self) -> bool:
        """Return whether a call to each listed peer of the zone has completed."""
        if self._applied_vm_list is None:
            return False
        own_zone_ids = {
            member.id
            for member in self.members.members_by_id.values()
            if member.listed and member.zone_id == self.members.own_zone_id
        }
        return own_zone_ids <= self._contacted

    async def call_grant_slots(
        self,
        entry_vm_id: EntryVMId,
        request: peer_pb2.SlotRequest,
        timeout_seconds: Seconds,
    ) -> Result[peer_pb2.SlotReply, PeerError]:
        """Request slots from one peer."""
        member = self.members.members_by_id.get(entry_vm_id)
        if member is None:
            return Failure(PeerUnreachable(entry_vm_id, "it is not known"))
        answer = await self._open_client(member).grant_slots(request, timeout_seconds)
        self._record_call_result(member, answer)
        self.slot_bytes += request.ByteSize() + FRAMING_BYTES
        if isinstance(answer, Success):
            self.slot_bytes += answer.unwrap().ByteSize()
        return answer

    async def fetch_table(
        self, entry_vm_id: EntryVMId, known: Revision
    ) -> Result[bytes, PeerError]:
        """Return a peer's table as JSON, or empty bytes if it is not newer."""
        member = self.members.members_by_id.get(entry_vm_id)
        if member is None:
            return Failure(PeerUnreachable(entry_vm_id, "it is not known"))
        request = peer_pb2.TableRequest(known_revision=known)
        answer = await self._open_client(member).fetch_table(
            request, FETCH_TABLE_TIMEOUT_SECONDS
        )
        self._record_call_result(member, answer)
        if not isinstance(answer, Success):
            return Failure(answer.failure())
        compressed = answer.unwrap().table
        self.bytes_exchanged += len(compressed) + FRAMING_BYTES
        return Success(zlib.decompress(compressed) if compressed else b"")

    async def find_decisions(self, kind: str, id: str) -> list[bytes]:  # noqa: A002
        """Return the decisions recorded by this process and heard peers, as JSON."""
        query = peer_pb2.DecisionQuery(kind=kind, id=id)
        found = list(self._request_handler.find_decisions(query).decisions)
        clients = [self._open_client(each) for each in self.heard_by_id.values()]
        answers = await asyncio.gather(
            *(
                client.find_decisions(query, FIND_DECISIONS_TIMEOUT_SECONDS)
                for client in clients
            )
        )
        for answer in answers:
            if isinstance(answer, Success):
                found += answer.unwrap().decisions
        return found

    def apply_report(self, report: peer_pb2.Report) -> None:
        """Apply one report, unless it is outdated or a duplicate."""
        now = self._node.clock.now()
        heartbeat = to_heartbeat(report)
        is_new, changes = membership.apply_heartbeat(self.members, heartbeat, now)
        self._log_changes(changes)
        if not is_new:
            return
        for part in self._node.report_contributors:
            part.apply_report(report)
        known = self._node.config.revision if self._node.config else 0
        if heartbeat.table_revision > known:
            self.newer_table_seen.set()

    def record_exchange_bytes(
        self, sent: peer_pb2.Report, received: peer_pb2.Report
    ) -> None:
        """Count one exchange and its bytes, including protocol overhead."""
        exchanged = sent.ByteSize() + received.ByteSize() + FRAMING_BYTES
        self.bytes_exchanged += exchanged
        self.calls += 1
        record_exchange_bytes(self._plan, exchanged)

    async def _run(self) -> None:
        while True:
            self._tick()
            await asyncio.sleep(TICK_SECONDS)

    def _tick(self) -> None:
        now = self._node.clock.now()
        gap = now - self._ticked_at
        self._ticked_at = now
        if gap > membership.PAUSE_SECONDS:
            membership.correct_for_pause(self.members, gap, now)
            self._node.log.warning(Event.FROZEN, seconds=round(gap, 3))
        vm_list = self._node.vm_list
        if vm_list is not None and vm_list is not self._applied_vm_list:
            membership.apply_listed_members(self.members, vm_list, now)
            self._applied_vm_list = vm_list
        self._log_changes(membership.tick(self.members, now))
        for member in list_due_peers(self._plan, self.members, now, self._node.rng):
            self._begin_exchange(member)

    def _begin_exchange(self, member: Member) -> None:
        if member.id in self._in_flight:
            return
        self._in_flight.add(member.id)
        self._tasks.start(self._exchange(member, EXCHANGE_TIMEOUT_SECONDS))

    def _announce_table(self, table: ConfigTable) -> None:
        """Report a newer table to the zone at once, not at the next interval."""
        for member in self.heard_by_id.values():
            if member.zone_id != self.members.own_zone_id:
                continue
            if member.table_revision < table.revision:
                self._begin_exchange(member)

    async def _exchange(self, member: Member, timeout_seconds: Seconds) -> None:
        try:
            client = self._open_client(member)
            report = self._reports.build(member.id)
            answer = await client.exchange(report, timeout_seconds)
        finally:
            self._in_flight.discard(member.id)
        self._record_call_result(member, answer)
        if not isinstance(answer, Success):
            return
        reply = answer.unwrap()
        self.record_exchange_bytes(report, reply)
        if reply.sender != member.id:
            # The platform assigned the address to a new VM and has not yet updated
            # its list. The previous VM has ended; until it timed out, its slots and
            # pools would stay assigned to a VM that does not exist.
            now = self._node.clock.now()
            self._log_changes(
                membership.record_refused_connection(self.members, member.id, now)
            )
        self.apply_report(reply)
        self._repeat_if_table_changed(member, report)

    def _repeat_if_table_changed(self, member: Member, sent: peer_pb2.Report) -> None:
        """Exchange again at once if a newer table came in force during the call."""
        table = self._node.config
        if table is None or member.zone_id != self.members.own_zone_id:
            return
        if sent.table_revision < table.revision > member.table_revision:
            self._begin_exchange(member)

    def _open_client(self, member: Member) -> PeerClient:
        client = self._clients_by_id.get(member.id)
        if client is not None and client.address == member.peer_address:
            return client
        if client is not None:
            self._tasks.start(client.close())
        client = create_peer_client(member.id, member.peer_address, self._token)
        self._clients_by_id[member.id] = client
        return client

    def _record_call_result(
        self, member: Member, answer: Result[Any, PeerError]
    ) -> None:
        now = self._node.clock.now()
        self._contacted.add(member.id)
        if isinstance(answer, Success):
            member.reached_at = now
            self._failures_by_id[member.id] = 0
            return
        failures = self._failures_by_id.get(member.id, 0) + 1
        self._failures_by_id[member.id] = failures
        if isinstance(answer.failure(), PeerRefused):
            self._log_changes(
                membership.record_refused_connection(self.members, member.id, now)
            )
            return
        if failures % FAILURES_BEFORE_RECONNECT == 0:
            self._drop_client(member.id)

    def _drop_client(self, entry_vm_id: EntryVMId) -> None:
        """Close the connection to a peer; the next call opens a new one.

        Calls on a dead connection keep failing although a new connection would
        work, and the keepalive detects this only after 12 s.
        """
        client = self._clients_by_id.pop(entry_vm_id, None)
        if client is not None:
            self._tasks.start(client.close())

    def _log_changes(self, changes: list[MemberChange]) -> None:
        for change in changes:
            self._node.log.info(
                Event.MEMBER_CHANGED, member=change.id, became=change.event.value
            )
            if change.event is membership.MemberEvent.FORGOTTEN:
                self._drop_client(change.id)
                self._failures_by_id.pop(change.id, None)
                remove_departed_members(self._plan, self.members)
                self._reports.remove_departed_members()


def create_peer_service(node: Node) -> PeerService:
    """Return the service that owns the peer port and the member table."""
    return PeerService(node)


__all__ = ["PeerService", "create_peer_service"]
