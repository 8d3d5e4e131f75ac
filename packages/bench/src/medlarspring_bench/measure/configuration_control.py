"""Measures the cost of configuration, membership and pool holders alone.

Many nodes run in one process with real peer ports and an in-memory store, so the
figures contain neither the request path of callers nor HTTP.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import msgspec
import psutil

from medlarspring_adapters.clock import SystemClock
from medlarspring_bench.control_nodes import (
    ControlNode,
    create_control_node,
    list_nodes,
)
from medlarspring_bench.key_value_ops import PutOp
from medlarspring_bench.key_value_state import KeyValueState
from medlarspring_bench.measure.configuration_fleet import add_partners, add_pools
from medlarspring_tables import ConfigTable, Revision

if TYPE_CHECKING:
    from pathlib import Path

    from medlarspring_adapters import peer_pb2

ZONES = 7
SETTLE_SECONDS = 12.0
MEASURED_SECONDS = 15.0
PARTNERS = 370
POOLS = 46
ACTIVE_SHARES = (0, 4, 32)


class UsageReporter:
    """Adds a fixed number of shares, which always change, to each report."""

    def __init__(self, shares: int) -> None:
        self._shares = shares
        self._filled = 0

    def fill_report(self, report: peer_pb2.Report) -> None:
        """Add usage that differs from the previous report."""
        self._filled += 1
        for number in range(self._shares):
            report.usage.add(
                partner=f"partner-{number:03d}",
                pool=f"pool-{number % POOLS:02d}",
                slot_ms=10_000 + 97 * self._filled,
                running=3,
            )

    def apply_report(self, report: peer_pb2.Report) -> None:
        """Ignore reports of peers."""


def measure_control(daemons: int, folder: Path) -> None:
    """Print CPU time and traffic per node for each number of changing shares."""
    for shares in ACTIVE_SHARES:
        asyncio.run(_measure(daemons, folder, shares))


async def _measure(daemons: int, folder: Path, shares: int) -> None:
    state = KeyValueState(SystemClock())
    table = add_pools(add_partners(ConfigTable(), PARTNERS), POOLS)
    table = msgspec.structs.replace(table, revision=Revision(1))
    state.apply(PutOp(b"config/table", msgspec.json.encode(table)))
    nodes = [
        create_control_node(
            f"entry-{number:02d}", state, folder, zone=f"zone-{number % ZONES}"
        )
        for number in range(daemons)
    ]
    for node in nodes:
        node.node.report_contributors.append(UsageReporter(shares))
        await node.start()
    list_nodes(nodes)
    await asyncio.sleep(SETTLE_SECONDS)
    bytes_before = sum(node.peers.bytes_exchanged for node in nodes)
    exchanges_before = sum(node.peers.calls for node in nodes)
    store_before = _count_store_calls(nodes)
    cpu_before = time.process_time()
    began = time.monotonic()
    await asyncio.sleep(MEASURED_SECONDS)
    seconds = time.monotonic() - began
    cpu = 100 * (time.process_time() - cpu_before) / seconds / daemons
    exchanged = sum(node.peers.bytes_exchanged for node in nodes) - bytes_before
    exchanges = sum(node.peers.calls for node in nodes) - exchanges_before
    store = _count_store_calls(nodes) - store_before
    heard = min(len(node.peers.heard_by_id) for node in nodes) + 1
    resident = psutil.Process().memory_info().rss / 1_048_576
    print(
        f"{daemons:3d} nodes, {shares} shares changing: heard {heard},"
        f" cpu {cpu:.2f}% a node, {exchanged / seconds / daemons / 1000:.2f} KB/s and"
        f" {exchanges / seconds / daemons:.1f} exchanges/s a node,"
        f" store calls {store / seconds:.1f}/s in all,"
        f" resident {resident:.0f} MB in all",
        flush=True,
    )
    await asyncio.gather(*(node.stop() for node in nodes))


def _count_store_calls(nodes: list[ControlNode]) -> int:
    return sum(sum(node.node.store.calls.calls_by_mechanism.values()) for node in nodes)


__all__ = ["measure_control"]
