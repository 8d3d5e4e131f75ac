"""The ``medlarspring status`` command."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_adapters.operator_api import Health, StatusAnswer
from medlarspring_cli.commands.operator_command import OperatorCommand
from medlarspring_cli.render import format_time, render_table

if TYPE_CHECKING:
    from collections.abc import Iterator

    from medlarspring_adapters.operator_api import Finding, PeerStatus


class StatusCommand(OperatorCommand):
    """Show what is partitioned, stale or degraded."""

    name = "status"
    description = "Show what is partitioned, stale or degraded, and since when"

    def run_command(self) -> int:
        """Print the status of the first daemon that responds."""
        status = self.create_client().get("/v1/status", StatusAnswer)
        if self.wants_json:
            self.print_json(status)
            return 0
        self.print_text("\n".join(_describe(status)))
        return 0


def _describe(status: StatusAnswer) -> Iterator[str]:
    place = f"zone {status.zone}, region {status.region}"
    yield f"{status.entry_vm} ({place}): {status.health.value}"
    yield ""
    ordered = sorted(status.findings, key=lambda finding: finding.health is Health.OK)
    yield render_table(
        ["area", "state", "since", "detail"], map(_create_finding_row, ordered)
    )
    yield ""
    yield render_table(
        ["entry VM", "zone", "state", "heard", "table", "operator port"],
        map(_create_peer_row, status.peers),
    )
    yield ""
    yield f"control work held for pools: {', '.join(status.held_pools) or 'none'}"
    calls = ", ".join(f"{name} {count}" for name, count in status.store_calls.items())
    yield f"store calls since the start: {calls or 'none'}"


def _create_finding_row(finding: Finding) -> list[object]:
    since = None if finding.since is None else format_time(finding.since)
    return [finding.area, finding.health.value, since, finding.detail]


def _create_peer_row(peer: PeerStatus) -> list[object]:
    heard = None
    if peer.heard_seconds_ago is not None:
        heard = f"{peer.heard_seconds_ago:.1f} s ago"
    state = f"{peer.state}, one way" if peer.one_way else peer.state
    return [
        peer.id,
        peer.zone,
        state,
        heard,
        peer.table_revision,
        peer.operator_address,
    ]


__all__ = ["StatusCommand"]
