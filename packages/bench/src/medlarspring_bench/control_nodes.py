"""Nodes in one process: real peer ports and services over a store in memory."""

from __future__ import annotations

import io
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from medlarspring_adapters.clock import SystemClock
from medlarspring_adapters.events import create_event_log
from medlarspring_adapters.metrics import NoMetrics
from medlarspring_bench.memory_store import MemoryStore
from medlarspring_daemon.configuration.config_service import (
    ConfigService,
    create_config_service,
)
from medlarspring_daemon.membership.holder_service import (
    HolderService,
    create_holder_service,
)
from medlarspring_daemon.membership.peer_service import PeerService, create_peer_service
from medlarspring_daemon.node import Node, create_node
from medlarspring_daemon.settings import Settings
from medlarspring_tables import (
    EntryVMId,
    ListedEntryVM,
    RegionId,
    VMList,
    ZoneId,
)

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from medlarspring_bench.key_value_state import KeyValueState

TOKEN = "control-token"


@dataclass(slots=True)
class ControlNode:
    """One node with the services of configuration and membership."""

    node: Node
    store: MemoryStore
    peers: PeerService
    config: ConfigService
    holders: HolderService
    lines: io.StringIO

    def events(self, number: int) -> list[dict[str, object]]:
        """Return the logged events with a number."""
        records = map(msgspec.json.decode, self.lines.getvalue().splitlines())
        return [record for record in records if record["event"] == number]

    async def start(self) -> None:
        """Start the services in the daemon's order."""
        await self.peers.start()
        await self.config.start()
        await self.holders.start()

    async def stop(self) -> None:
        """Shut down as the daemon does."""
        self.node.stopping = True
        await self.holders.stop()
        await self.config.stop()
        await self.peers.stop()


def create_control_node(
    name: str,
    state: KeyValueState,
    folder: Path,
    *,
    zone: str = "zone-1",
    token: str = TOKEN,
    peer_listen: str = "127.0.0.1:0",
) -> ControlNode:
    """Return a node that is not started; nodes with the same state share a store."""
    token_file = folder / f"{name}.token"
    token_file.write_text(token)
    port = {"listen": "127.0.0.1:0", "token_file": str(token_file)}
    settings = Settings.model_validate(
        {
            "entry_vm": {"id": name, "zone": zone, "region": "region-1"},
            "caller": {"listen": "127.0.0.1:0"},
            "operator": port,
            "peer": port | {"listen": peer_listen},
            "store": {"endpoints": ["127.0.0.1:1"]},
            "vm_list": {"url": "http://127.0.0.1:1/targets"},
        }
    )
    lines = io.StringIO()
    log = create_event_log(EntryVMId(name), stream=lines)
    store = MemoryStore(state)
    node = create_node(
        settings, SystemClock(), random.Random(name), log, NoMetrics(), store
    )
    peers = create_peer_service(node)
    config = create_config_service(node, peers)
    holders = create_holder_service(node, peers)
    return ControlNode(node, store, peers, config, holders, lines)


def list_nodes(nodes: Sequence[ControlNode]) -> None:
    """Make the started nodes known to one another, as the VM list does."""
    entries = {
        each.node.id: ListedEntryVM(
            id=each.node.id,
            peer_address=each.node.addresses["peer"],
            zone_id=ZoneId(each.node.settings.entry_vm.zone),
            region_id=RegionId("region-1"),
        )
        for each in nodes
    }
    for each in nodes:
        each.node.vm_list = VMList(entry_vms_by_id=dict(entries))


__all__ = ["ControlNode", "create_control_node", "list_nodes"]
