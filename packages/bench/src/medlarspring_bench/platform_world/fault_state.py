"""What is out of order at present: links, the store, orders, processes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from medlarspring_tables import Seconds


LATE_SECONDS = (0.5, 4.0)
"""When calls that got no answer are carried out, if late."""


class StoreMode(Enum):
    """How the store answers a node."""

    WELL = "well"
    BUSY = "busy"
    """Refuses at once, without effect."""
    SILENT = "silent"
    """Takes nothing in and never answers."""


@dataclass(slots=True)
class FaultState:
    """Faults that the world consults on every call."""

    rng: random.Random
    store_mode: StoreMode = StoreMode.WELL
    leases_pause: bool = False
    """Whether leases stand still while the store answers nobody."""
    store_seconds: Seconds = 0.004
    """How long the store takes for an answer."""
    store_modes_by_node: dict[str, StoreMode] = field(default_factory=dict)
    lost_replies: float = 0.0
    """Part of the writes whose answers are lost."""
    late_writes: float = 0.0
    """Part of those that are carried out seconds later."""
    lost_orders: float = 0.0
    """Part of the orders to workers without answer, carried out later."""
    lost_answers: float = 0.0
    """Part of the orders to workers that are carried out at once without answer."""
    cut_links: set[tuple[str, str]] = field(default_factory=set)
    """Pairs of node and worker, or node and VM control, that are cut off."""
    dead_incarnations: set[int] = field(default_factory=set)
    """Incarnations that are gone; what they still try has no effect."""
    frozen_until: dict[str, Seconds] = field(default_factory=dict)

    def mode(self, node_id: str) -> StoreMode:
        """Return how the store answers a node."""
        if self.store_mode is not StoreMode.WELL:
            return self.store_mode
        return self.store_modes_by_node.get(node_id, StoreMode.WELL)

    def is_cut(self, node_id: str, other: str) -> bool:
        """Tell whether calls from a node to another party are lost."""
        return (node_id, other) in self.cut_links

    async def wait_until_runnable(
        self, node_id: str, incarnation: int, now: Seconds
    ) -> None:
        """Hold a call back while its node is frozen, for ever if it is gone."""
        if incarnation in self.dead_incarnations:
            await asyncio.Event().wait()
        wait = self.frozen_until.get(node_id, 0.0) - now
        if wait > 0:
            await asyncio.sleep(wait)
        if incarnation in self.dead_incarnations:
            await asyncio.Event().wait()


__all__ = ["LATE_SECONDS", "StoreMode", "FaultState"]
