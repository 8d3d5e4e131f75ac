"""Closes the store's connections after all other services have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_daemon.node import Node


class StoreService:
    """Closes the store client; started first, so that it is stopped last."""

    def __init__(self, node: Node) -> None:
        self._node = node

    async def start(self) -> None:
        """Do nothing; the client connects on its first call."""

    async def stop(self) -> None:
        """Close all connections."""
        await self._node.store.close()


def create_store_service(node: Node) -> StoreService:
    """Return the service that closes the store."""
    return StoreService(node)


__all__ = ["StoreService", "create_store_service"]
