"""Routing of requests to queues by host and path prefix."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarspring_tables.scheduling import QueuePolicy, Route


@dataclass(slots=True)
class HostRoutes:
    """Routes of one host by prefix, with the prefix lengths in descending order."""

    routes_by_prefix: dict[str, Route] = field(default_factory=dict)
    lengths: tuple[int, ...] = ()


RouteIndex = dict[str, HostRoutes]
"""Routes by host name in lower case."""


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """A matched queue, and the rest of the path after the prefix."""

    queue: QueuePolicy
    rest: str
    public: bool = False
    """Whether calls on the route need no credential."""


def index_routes(routes: Iterable[Route]) -> RouteIndex:
    """Return an index with look-up time independent of the number of routes."""
    index: RouteIndex = {}
    for route in routes:
        host = index.setdefault(route.host.lower(), HostRoutes())
        host.routes_by_prefix[route.prefix] = route
    for host in index.values():
        lengths = {len(prefix) for prefix in host.routes_by_prefix}
        host.lengths = tuple(sorted(lengths, reverse=True))
    return index


def match_route(index: RouteIndex, host: str, path: str) -> RouteMatch | None:
    """Return the queue with the longest matching path prefix, or None.

    The host may include a port, which is ignored if no route names it.
    """
    routes = index.get(host.lower()) or index.get(host.lower().partition(":")[0])
    if routes is None:
        return None
    for length in routes.lengths:
        if length > len(path):
            continue
        route = routes.routes_by_prefix.get(path[:length])
        if route is not None:
            return RouteMatch(route.queue, path[length:], route.public)
    return None


__all__ = ["RouteIndex", "RouteMatch", "index_routes", "match_route"]
