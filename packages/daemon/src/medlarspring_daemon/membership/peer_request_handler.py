"""Handles the calls that peers make to this process's peer port."""

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


class ReportReceiver(Protocol):
    """Processes the reports that peers send."""

    def apply_report(self, report: peer_pb2.Report) -> None:
        """Apply one report."""
        ...

    def record_exchange_bytes(
        self, sent: peer_pb2.Report, received: peer_pb2.Report
    ) -> None:
        """Count the bytes of one exchange."""
        ...


class PeerRequestHandler:
    """Implements ``PeerHandlers``, the calls of the peer port."""

    def __init__(
        self, node: Node, reports: ReportBuilder, receiver: ReportReceiver
    ) -> None:
        self._node = node
        self._reports = reports
        self._receiver = receiver
        self._compressed: tuple[ConfigTable, bytes] | None = None
        self._wrong_token_logged_at = -WRONG_TOKEN_LOG_SECONDS

    def exchange(self, report: peer_pb2.Report) -> peer_pb2.Report:
        """Apply a peer's report and return this process's report."""
        self._receiver.apply_report(report)
        reply = self._reports.build(EntryVMId(report.sender))
        self._receiver.record_exchange_bytes(reply, report)
        return reply

    def grant_slots(self, request: peer_pb2.SlotRequest) -> peer_pb2.SlotReply:
        """Grant slots of upstream VMs; the reply has no grants during shutdown."""
        if self._node.slot_granter is None or self._node.stopping:
            return peer_pb2.SlotReply(
                sender=self._node.id, incarnation=self._node.incarnation
            )
        return self._node.slot_granter.grant_slots(request)

    def fetch_table(self, request: peer_pb2.TableRequest) -> peer_pb2.TableReply:
        """Return the table in force if it is newer than the caller's."""
        table = self._node.config
        if table is None:
            return peer_pb2.TableReply()
        if table.revision <= request.known_revision:
            return peer_pb2.TableReply(revision=table.revision)
        return peer_pb2.TableReply(revision=table.revision, table=self._compress(table))

    def find_decisions(self, query: peer_pb2.DecisionQuery) -> peer_pb2.DecisionReply:
        """Return the recorded decisions on a subject; none if its kind is unknown."""
        try:
            subject = Subject(query.kind)
        except ValueError:
            return peer_pb2.DecisionReply()
        found = self._node.decisions.find(subject, query.id)
        return peer_pb2.DecisionReply(
            decisions=[msgspec.json.encode(each) for each in found]
        )

    def record_wrong_token(self) -> None:
        """Log a call with a wrong token, at most once in 10 s since callers retry."""
        now = self._node.clock.now()
        if now - self._wrong_token_logged_at < WRONG_TOKEN_LOG_SECONDS:
            return
        self._wrong_token_logged_at = now
        self._node.log.warning(Event.PEER_TOKEN_WRONG)

    def _compress(self, table: ConfigTable) -> bytes:
        if self._compressed is None or self._compressed[0] is not table:
            encoded = msgspec.json.encode(table)
            self._compressed = (table, zlib.compress(encoded, COMPRESSION_LEVEL))
        return self._compressed[1]


__all__ = ["PeerRequestHandler", "ReportReceiver"]
