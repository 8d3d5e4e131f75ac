"""Follows the operator's records in the store: configuration and maintenance waves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.pipeline import is_successful

from medlarspring_adapters.events import Event
from medlarspring_adapters.prefix_follower import PrefixFollower
from medlarspring_systems.scheduling.routes import index_routes, match_route

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_adapters.store import Entry, Listing, WatchBatch
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_systems.scheduling.routes import RouteIndex, RouteMatch
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import OperatorConfig, WaveOrder

RETRY_SECONDS = 0.05
"""Shortest pause before the records are read again after the watch was lost."""


class OperatorRecords:
    """The operator's records as last read by this process.

    Implements ``PrefixListener``. A record that cannot be decoded is logged and leaves
    the last readable version in force.
    """

    def __init__(self, node: SchedulingNode) -> None:
        self._node = node
        self.config: OperatorConfig | None = None
        self.config_applied_at: Seconds = 0.0
        self.waves_by_key: dict[str, tuple[WaveOrder, Seconds]] = {}
        """Wave orders by store key, each with the time at which it was first seen."""
        self.listeners: list[Callable[[], None]] = []
        """Called after each listing or batch of changes."""
        self._routes: RouteIndex = {}
        self._follower = PrefixFollower(
            node.store, node.codec.operator_prefix, self, node.rng, RETRY_SECONDS
        )

    async def start(self) -> None:
        """Start following the records."""
        self._follower.start()

    async def stop(self) -> None:
        """Stop following the records."""
        await self._follower.stop()

    def match(self, host: str, path: str) -> RouteMatch | None:
        """Return the queue that a host and path are routed to, or None."""
        return match_route(self._routes, host, path)

    def apply_listing(self, listing: Listing) -> None:
        """Replace the known records by a full listing."""
        seen = {entry.key for entry in listing.entries}
        for key in list(self.waves_by_key):
            if key not in seen:
                del self.waves_by_key[key]
        for entry in listing.entries:
            self._apply_entry(entry)
        self._notify_listeners()

    def apply_batch(self, batch: WatchBatch) -> None:
        """Apply a batch of changed and deleted records."""
        for key in batch.deleted:
            self.waves_by_key.pop(key, None)
            self._node.unreadable.clear_fault(key)
        for entry in batch.changed:
            self._apply_entry(entry)
        self._notify_listeners()

    def _notify_listeners(self) -> None:
        for listener in self.listeners:
            listener()

    def _apply_entry(self, entry: Entry) -> None:
        if self._node.codec.is_config(entry.key):
            self._apply_config(entry)
        elif self._node.codec.is_wave(entry.key):
            self._apply_wave(entry)

    def _apply_config(self, entry: Entry) -> None:
        decoded = self._node.codec.decode_config(entry.key, entry.value)
        if not is_successful(decoded):
            self._node.unreadable.report(entry.key, decoded.failure().message())
            return
        self._node.unreadable.clear_fault(entry.key)
        config = decoded.unwrap()
        # A lagging store replica may return an older version after a newer one was
        # applied; applying it would bring removed queues back for callers.
        if self.config is not None and config.version <= self.config.version:
            return
        self.config = config
        self.config_applied_at = self._node.clock.now()
        self._routes = index_routes(config.routes)
        self._node.log.info(
            Event.CONFIG_IN_FORCE,
            version=config.version,
            revision=entry.mod_revision,
            queues=len(config.routes),
            pools=len(config.pools_by_id),
        )

    def _apply_wave(self, entry: Entry) -> None:
        decoded = self._node.codec.decode_wave(entry.key, entry.value)
        if not is_successful(decoded):
            self._node.unreadable.report(entry.key, decoded.failure().message())
            return
        self._node.unreadable.clear_fault(entry.key)
        order = decoded.unwrap()
        known = self.waves_by_key.get(entry.key)
        seen_at = known[1] if known else self._node.clock.now()
        self.waves_by_key[entry.key] = (order, seen_at)
        if known is None:
            self._node.log.info(
                Event.WAVE_ORDERED,
                wave=order.id,
                vms=len(order.vm_ids),
                at_once=order.max_at_once,
                deadline_seconds=order.deadline_seconds,
            )


__all__ = ["OperatorRecords"]
