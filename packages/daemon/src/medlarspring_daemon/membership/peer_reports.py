"""Builds the reports that are sent to peers, and decodes received ones."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from medlarspring_adapters import peer_pb2
from medlarspring_systems.membership import Heartbeat, list_heard
from medlarspring_tables import EntryVMId, Revision, ZoneId

if TYPE_CHECKING:
    from medlarspring_daemon.node import Node
    from medlarspring_tables import MemberTable, Seconds

COLLECT_INTERVAL_SECONDS = 0.2
"""Shortest time between collections of the services' data, shared by all peers."""
FULL_REPORT_INTERVAL_SECONDS = 5.0
"""Interval at which unchanged usage is sent again, in case a report was lost."""

MAX_USAGE_ENTRIES = 32
"""Maximum number of changed shares in one report; later reports carry the rest."""

Usage = tuple[int, int, int]
"""Slot time in ms, waiting and running requests."""


@dataclass(slots=True)
class SentUsage:
    """The usage that one peer was sent last, by partner and pool."""

    usage_by_share: dict[tuple[str, str], Usage | None] = field(default_factory=dict)
    """In the order of sending, oldest first; None if it must be sent again."""
    full_sent_at: Seconds = -FULL_REPORT_INTERVAL_SECONDS


class ReportBuilder:
    """Builds a report for each exchange that contains only what changed."""

    def __init__(self, node: Node, members: MemberTable) -> None:
        self._node = node
        self._members = members
        self._sequence = 0
        self._collected = peer_pb2.Report()
        self._collected_at: Seconds | None = None
        self._sent_by_id: dict[EntryVMId, SentUsage] = {}

    def build(self, recipient: EntryVMId) -> peer_pb2.Report:
        """Return the next report for one peer."""
        now = self._node.clock.now()
        self._collect(now)
        report = peer_pb2.Report()
        report.CopyFrom(self._collected)
        self._sequence += 1
        report.sequence = self._sequence
        report.leaving = self._node.stopping
        # Naming every member that was heard would make up most of a report in a
        # large fleet. A peer only needs to know whether its own reports arrive.
        if recipient in list_heard(self._members):
            report.heard.append(recipient)
        if self._node.config is not None:
            report.table_revision = self._node.config.revision
        self._remove_unchanged(report, recipient, now)
        return report

    def remove_departed_members(self) -> None:
        """Delete the state of members that are no longer in the member table."""
        for entry_vm_id in self._sent_by_id.keys() - self._members.members_by_id.keys():
            del self._sent_by_id[entry_vm_id]

    def _collect(self, now: Seconds) -> None:
        if (
            self._collected_at is not None
            and now - self._collected_at < COLLECT_INTERVAL_SECONDS
        ):
            return
        self._collected_at = now
        report = peer_pb2.Report(
            sender=self._node.id,
            incarnation=self._node.incarnation,
            zone=self._node.settings.entry_vm.zone,
            operator_address=self._node.addresses.get("operator", ""),
            peer_address=self._node.addresses.get("peer", ""),
            store_failing_ms=int(self._node.store.failing_seconds() * 1000),
        )
        for part in self._node.report_contributors:
            part.fill_report(report)
        self._collected = report

    def _remove_unchanged(
        self, report: peer_pb2.Report, recipient: EntryVMId, now: Seconds
    ) -> None:
        sent = self._sent_by_id.setdefault(recipient, SentUsage())
        if now - sent.full_sent_at >= FULL_REPORT_INTERVAL_SECONDS:
            sent.full_sent_at = now
            sent.usage_by_share = dict.fromkeys(sent.usage_by_share)
        else:
            report.ClearField("operator_address")
            report.ClearField("peer_address")
        changed = _choose_changed(report, sent)
        if len(changed) == len(report.usage):
            return
        kept = peer_pb2.Report(usage=changed)
        report.ClearField("usage")
        report.usage.extend(kept.usage)


def _choose_changed(
    report: peer_pb2.Report, sent: SentUsage
) -> list[peer_pb2.PartnerUsage]:
    """Return the changed shares, new ones first, then those sent longest ago.

    With hundreds of active partners not all changes fit into one report; this
    order ensures that every share is sent eventually.
    """
    order = {share: position for position, share in enumerate(sent.usage_by_share)}
    changed = []
    for usage in report.usage:
        values = (usage.slot_ms, usage.waiting, usage.running)
        share = (usage.partner, usage.pool)
        if sent.usage_by_share.get(share) != values:
            changed.append((order.get(share, -1), share, values, usage))
    changed.sort(key=lambda each: each[0])
    for _, share, values, _ in changed[:MAX_USAGE_ENTRIES]:
        sent.usage_by_share.pop(share, None)
        sent.usage_by_share[share] = values
    return [each[3] for each in changed[:MAX_USAGE_ENTRIES]]


def to_heartbeat(report: peer_pb2.Report) -> Heartbeat:
    """Return the fields of a report that membership needs."""
    return Heartbeat(
        sender=EntryVMId(report.sender),
        incarnation=report.incarnation,
        zone_id=ZoneId(report.zone),
        sequence=report.sequence,
        table_revision=Revision(report.table_revision),
        leaving=report.leaving,
        operator_address=report.operator_address,
        peer_address=report.peer_address,
        store_failing=report.store_failing_ms / 1000,
        heard=tuple(EntryVMId(each) for each in report.heard),
    )


__all__ = ["ReportBuilder", "to_heartbeat"]
