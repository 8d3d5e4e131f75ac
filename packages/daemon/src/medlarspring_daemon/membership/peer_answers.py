"""What this process answers on its peer port."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING, Protocol

import msgspec

from medlarspring_adapters import peer_pb2
from medlarspring_adapters.decisions import Subject
from medlarspring_adapters.events import Event
from medlarspring_tables import EntryVMId

if TYPE_CHECKING:
    from medlarspring_daemon.membership.peer_reports import ReportBuilder
    from medlarspring_daemon.node import Node
    from medlarspring_tables import ConfigTable

COMPRESSION_LEVEL = 6
WRONG_TOKEN_LOG_SECONDS = 10.0


class ReportTaker(Protocol):
    """Learns from the reports that peers send."""

    def take_report(self, report: peer_pb2.Report) -> None:
        """Learn from one report."""
        ...

    def note_bytes(self, sent: peer_pb2.Report, received: peer_pb2.Report) -> None:
        """Count what one exchange took."""
        ...


class PeerAnswers:
    """Implements ``PeerHandlers``."""

    def __init__(self, node: Node, reports: ReportBuilder, taker: ReportTaker) -> None:
        self._node = node
        self._reports = reports
        self._taker = taker
        self._packed: tuple[ConfigTable, bytes] | None = None
        self._wrong_token_logged_at = -WRONG_TOKEN_LOG_SECONDS

    def exchange(self, report: peer_pb2.Report) -> peer_pb2.Report:
        """Take a peer's report and return the own one."""
        self._taker.take_report(report)
        reply = self._reports.build(EntryVMId(report.sender))
        self._taker.note_bytes(reply, report)
        return reply

    def grant_slots(self, request: peer_pb2.SlotRequest) -> peer_pb2.SlotReply:
        """Grant slots of upstream VMs."""
        if self._node.slot_granter is None or self._node.stopping:
            return peer_pb2.SlotReply(
                sender=self._node.id, incarnation=self._node.incarnation
            )
        return self._node.slot_granter.grant_slots(request)

    def fetch_table(self, request: peer_pb2.TableRequest) -> peer_pb2.TableReply:
        """Return the table in force if it is newer than the asker's."""
        table = self._node.config
        if table is None:
            return peer_pb2.TableReply()
        if table.revision <= request.known_revision:
            return peer_pb2.TableReply(revision=table.revision)
        return peer_pb2.TableReply(revision=table.revision, table=self._pack(table))

    def find_decisions(self, query: peer_pb2.DecisionQuery) -> peer_pb2.DecisionReply:
        """Return what is remembered about a subject."""
        try:
            subject = Subject(query.kind)
        except ValueError:
            return peer_pb2.DecisionReply()
        found = self._node.decisions.find(subject, query.id)
        return peer_pb2.DecisionReply(
            decisions=[msgspec.json.encode(each) for each in found]
        )

    def record_wrong_token(self) -> None:
        """Log the refusal, seldom, since the caller will try again."""
        now = self._node.clock.now()
        if now - self._wrong_token_logged_at < WRONG_TOKEN_LOG_SECONDS:
            return
        self._wrong_token_logged_at = now
        self._node.log.warning(Event.PEER_TOKEN_WRONG)

    def _pack(self, table: ConfigTable) -> bytes:
        if self._packed is None or self._packed[0] is not table:
            encoded = msgspec.json.encode(table)
            self._packed = (table, zlib.compress(encoded, COMPRESSION_LEVEL))
        return self._packed[1]


__all__ = ["PeerAnswers", "ReportTaker"]
