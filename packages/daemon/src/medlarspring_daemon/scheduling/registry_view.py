"""The age of the controller's view of the worker registry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_adapters.events import Event
from medlarspring_adapters.metrics import Metric
from medlarspring_systems.scheduling.view_age import find_age_bound, is_view_current

if TYPE_CHECKING:
    from medlarspring_adapters.prefix_follower import PrefixFollower
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_tables import Seconds

GAUGE_INTERVAL_SECONDS = 1.0


class RegistryView:
    """Tells whether tasks may be started from what the registry's follower applied."""

    def __init__(self, node: SchedulingNode, follower: PrefixFollower) -> None:
        self._node = node
        self._follower = follower
        self._drain = node.limits.drain
        self._held_since: Seconds | None = None
        """Since when starts have been held back; None while they are not."""
        self._gauged_at: Seconds = float("-inf")

    def allows_starts(self) -> bool:
        """Return whether the view is current enough; log when that changes."""
        now = self._node.clock.now()
        is_current = is_view_current(self._follower.confirmed_at, self._drain, now)
        if is_current and self._held_since is not None:
            held_ms = round((now - self._held_since) * 1_000)
            self._held_since = None
            self._node.log.info(Event.STARTS_RESUMED, held_ms=held_ms, **self._fields())
        elif not is_current and self._held_since is None:
            self._held_since = now
            self._node.log.warning(Event.STARTS_HELD, **self._fields())
        return is_current

    def update_metrics(self) -> None:
        """Send the age of the view from time to time."""
        now = self._node.clock.now()
        if now - self._gauged_at >= GAUGE_INTERVAL_SECONDS:
            self._gauged_at = now
            self._node.metrics.gauge(Metric.WORKERS_VIEW_AGE, round(self._get_age(), 3))

    def _fields(self) -> dict[str, float]:
        bound = find_age_bound(self._drain)
        return {"age_s": round(self._get_age(), 3), "bound_s": bound}

    def _get_age(self) -> Seconds:
        """Return the age of the view; 0 before the first listing."""
        confirmed_at = self._follower.confirmed_at
        return 0.0 if confirmed_at is None else self._node.clock.now() - confirmed_at


__all__ = ["RegistryView"]
