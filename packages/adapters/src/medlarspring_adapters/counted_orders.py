"""Counts the calls to workers, also those that wait in this process."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from typing import TypeVar

    from returns.result import Result

    from medlarspring_adapters.worker_orders import (
        HoldAnswer,
        HoldOrder,
        OrderAnswer,
        PaceOrder,
        StartOrder,
        StopOrder,
        WorkerAddress,
        WorkerOrders,
        WorkerUnresponsive,
    )
    from medlarspring_tables import Seconds

    T = TypeVar("T")


class CountedOrders:
    """Implements ``WorkerOrders`` by other ones, and counts their calls."""

    def __init__(self, inner: WorkerOrders) -> None:
        self._inner = inner
        self.made = 0
        """Calls made since the start of this process."""
        self.open = 0
        """Calls whose answer or timeout has not been handled."""

    async def start(
        self, worker: WorkerAddress, order: StartOrder, timeout_seconds: Seconds
    ) -> Result[OrderAnswer, WorkerUnresponsive]:
        """Start a run."""
        return await self._count(self._inner.start(worker, order, timeout_seconds))

    async def stop(
        self, worker: WorkerAddress, order: StopOrder, timeout_seconds: Seconds
    ) -> Result[OrderAnswer, WorkerUnresponsive]:
        """Stop a run."""
        return await self._count(self._inner.stop(worker, order, timeout_seconds))

    async def pace(
        self, worker: WorkerAddress, order: PaceOrder, timeout_seconds: Seconds
    ) -> Result[OrderAnswer, WorkerUnresponsive]:
        """Change a run's speed."""
        return await self._count(self._inner.pace(worker, order, timeout_seconds))

    async def hold(
        self, worker: WorkerAddress, order: HoldOrder, timeout_seconds: Seconds
    ) -> Result[HoldAnswer, WorkerUnresponsive]:
        """Extend the lease and request the worker's state."""
        return await self._count(self._inner.hold(worker, order, timeout_seconds))

    def close_connections(self, worker: WorkerAddress) -> None:
        """Close the connections to a terminated worker."""
        self._inner.close_connections(worker)

    async def _count(self, call: Awaitable[T]) -> T:
        self.made += 1
        self.open += 1
        try:
            return await call
        finally:
            self.open -= 1


__all__ = ["CountedOrders"]
