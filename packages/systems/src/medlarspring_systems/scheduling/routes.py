"""Which queue a request's host and path lead to."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarspring_tables.scheduling import QueuePolicy, Route


@dataclass(slots=True)
class HostRoutes:
    """Routes of one host by prefix; lengths are tried from the longest down."""

    queues_by_prefix: dict[str, QueuePolicy] = field(default_factory=dict)
    lengths: tuple[int, ...] = ()


RouteIndex = dict[str, HostRoutes]
"""By host."""


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """A queue, and what follows its prefix in the path."""

    queue: QueuePolicy
    rest: str


def index_routes(routes: Iterable[Route]) -> RouteIndex:
    """Return an index whose look-up does not grow with the number of routes."""
    index: RouteIndex = {}
    for route in routes:
        host = index.setdefault(route.host.lower(), HostRoutes())
        host.queues_by_prefix[route.prefix] = route.queue
    for host in index.values():
        lengths = {len(prefix) for prefix in host.queues_by_prefix}
        host.lengths = tuple(sorted(lengths, reverse=True))
    return index


def match_route(index: RouteIndex, host: str, path: str) -> RouteMatch | None:
    """Return the match of the longest prefix that the path begins with."""
    routes = index.get(host.lower()) or index.get(host.lower().partition(":")[0])
    if routes is None:
        return None
    for length in routes.lengths:
        if length > len(path):
            continue
        queue = routes.queues_by_prefix.get(path[:length])
        if queue is not None:
            return RouteMatch(queue, path[length:])
    return None


__all__ = ["RouteIndex", "RouteMatch", "index_routes", "match_route"]
