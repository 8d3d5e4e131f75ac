"""Shared dependencies of the scheduling services in one process."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from medlarspring_adapters.counted_orders import CountedOrders
from medlarspring_adapters.unreadable_records import UnreadableRecords
from medlarspring_daemon.scheduling.failure_log import FailureLog
from medlarspring_tables.scheduling import CellId

if TYPE_CHECKING:
    import random

    from medlarspring_adapters.adviser import Adviser
    from medlarspring_adapters.clock import Clock
    from medlarspring_adapters.events import EventLog
    from medlarspring_adapters.fleet_codec import FleetCodec
    from medlarspring_adapters.metrics import Metrics
    from medlarspring_adapters.store import Store
    from medlarspring_adapters.vm_lifecycle import VMLifecycle
    from medlarspring_adapters.worker_orders import WorkerOrders
    from medlarspring_tables import EntryVMId, Seconds
    from medlarspring_tables.scheduling import FleetLimits

CELLS = (CellId("0"),)
"""A single controller is enough for the present fleet size; see docs/CAPACITY.md."""


class StoreHealth(Protocol):
    """Whether the store answers this process."""

    @property
    def failing_since(self) -> Seconds | None:
        """Time of the first failed call since the last answered one; None if none."""
        ...


@dataclass(slots=True)
class SchedulingNode:
    """Identity, adapters and limits of one scheduling process."""

    id: EntryVMId
    incarnation: int
    """Random number of this process; it changes with each restart."""
    clock: Clock
    rng: random.Random
    log: EventLog
    metrics: Metrics
    store: Store
    store_health: StoreHealth
    codec: FleetCodec
    orders: WorkerOrders
    lifecycle: VMLifecycle
    limits: FleetLimits
    adviser: Adviser | None = None
    peer_address: str = ""
    cores: float = 1.0
    """CPU cores that this process may use on average."""
    cells: tuple[CellId, ...] = CELLS
    stopping: bool = field(default=False)
    unreadable: UnreadableRecords = field(init=False)
    failures: FailureLog = field(init=False)
    counted_orders: CountedOrders = field(init=False)
    """The calls of ``orders``, counted."""

    def __post_init__(self) -> None:
        self.unreadable = UnreadableRecords(self.log)
        self.failures = FailureLog(self.log, self.metrics, self.clock)
        self.orders = self.counted_orders = CountedOrders(self.orders)


__all__ = ["CELLS", "SchedulingNode", "StoreHealth"]
