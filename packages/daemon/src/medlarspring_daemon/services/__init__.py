"""The services of the daemon, in the order of their start."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_daemon.services.caller_service import create_caller_service

if TYPE_CHECKING:
    from medlarspring_adapters.clock import Clock
    from medlarspring_adapters.store import Store
    from medlarspring_daemon.node import Node, Part
    from medlarspring_daemon.settings import Settings


def create_store(settings: Settings, clock: Clock) -> Store:
    """Return the client of the platform's key-value service."""
    raise NotImplementedError


def create_parts(node: Node) -> list[Part]:
    """Return all services; the last one started is the first one stopped."""
    return [create_caller_service(node)]


__all__ = ["create_parts", "create_store"]
