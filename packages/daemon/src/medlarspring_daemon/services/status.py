"""Works out what of this entry VM is cut off, stale or degraded."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_adapters.operator_api import StatusAnswer

if TYPE_CHECKING:
    from medlarspring_daemon.node import Node


def describe_status(node: Node) -> StatusAnswer:
    """Return the state of one entry VM as it knows it."""
    return StatusAnswer(
        entry_vm=node.id,
        zone=node.settings.entry_vm.zone,
        table_revision=node.config.revision if node.config else None,
        stopping=node.stopping,
    )


__all__ = ["describe_status"]
