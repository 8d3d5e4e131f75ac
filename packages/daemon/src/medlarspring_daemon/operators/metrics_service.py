"""Sends metrics of the cost of control work."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from medlarspring_adapters.background_tasks import BackgroundTasks
from medlarspring_adapters.metrics import Metric
from medlarspring_adapters.store_meter import Mechanism

if TYPE_CHECKING:
    from medlarspring_daemon.membership.peer_service import PeerService
    from medlarspring_daemon.node import Node

SEND_SECONDS = 10.0


class ControlMetricsService:
    """Sends counts since the last interval, and the current values of gauges."""

    def __init__(self, node: Node, peers: PeerService) -> None:
        self._node = node
        self._peers = peers
        self._tasks = BackgroundTasks(node.log)
        self._sent_by_metric: dict[Metric, int] = {}

    async def start(self) -> None:
        """Start sending metrics periodically."""
        self._tasks.run_with_restart(self._run)

    async def stop(self) -> None:
        """Stop sending metrics."""
        await self._tasks.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(SEND_SECONDS)
            self._send()

    def _send(self) -> None:
        node = self._node
        metrics = node.metrics
        calls = node.store.calls.calls_by_mechanism
        for mechanism in Mechanism:
            metric = Metric(f"{Metric.STORE_CALLS.value}.{mechanism.value}")
            self._count(metric, calls.get(mechanism, 0))
        over_budget = sum(node.store.calls.over_budget_by_mechanism.values())
        self._count(Metric.STORE_CALLS, sum(calls.values()))
        self._count(Metric.STORE_CALLS_OVER_BUDGET, over_budget)
        self._count(Metric.PEER_CALLS, self._peers.calls)
        self._count(Metric.PEER_BYTES, self._peers.bytes_exchanged)
        self._count(Metric.PEER_SLOT_BYTES, self._peers.slot_bytes)
        metrics.gauge(Metric.STORE_FAILING_SECONDS, node.store.failing_seconds())
        metrics.gauge(Metric.PEERS_HEARD, len(node.peers.heard_by_id))
        metrics.gauge(Metric.POOLS_HELD, len(node.holders.held_pools()))
        if node.config is not None:
            metrics.gauge(Metric.TABLE_REVISION, node.config.revision)

    def _count(self, metric: Metric, total: int) -> None:
        amount = total - self._sent_by_metric.get(metric, 0)
        self._sent_by_metric[metric] = total
        if amount:
            self._node.metrics.count(metric, amount)


def create_control_metrics_service(
    node: Node, peers: PeerService
) -> ControlMetricsService:
    """Return the service that sends the cost of control work."""
    return ControlMetricsService(node, peers)


__all__ = ["ControlMetricsService", "create_control_metrics_service"]
