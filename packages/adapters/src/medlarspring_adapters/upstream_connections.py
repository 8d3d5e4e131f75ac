"""Connection pool for upstream VMs with limits on count, age and idle time."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, cast

import aiohttp
from aiohttp.client_proto import ResponseHandler

if TYPE_CHECKING:
    import asyncio

    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace

MAX_IDLE_SECONDS = 4.0
MAX_AGE_SECONDS = 60.0
DEFAULT_IDLE_PER_ADDRESS = 4


class UpstreamConnection(ResponseHandler):
    """A connection that records when it was opened."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.opened_at = loop.time()


class UpstreamConnector(aiohttp.TCPConnector):
    """Pools connections within the limits and discards those with unexpected data."""

    def __init__(self) -> None:
        super().__init__(
            limit=0, keepalive_timeout=MAX_IDLE_SECONDS, use_dns_cache=False
        )
        factory = partial(UpstreamConnection, loop=self._loop)
        self._factory = cast("partial[ResponseHandler]", factory)
        self.idle_by_address: dict[tuple[str, int | None], int] = {}
        """Most idle connections of each ``(ip, port)``."""

    def drop_idle(self, address: str) -> None:
        """Close the idle connections to an upstream VM.

        When one connection no longer passes data, most of those opened before it do
        not either, and each would cost a further request its timeout.
        """
        for key in list(self._conns):
            if f"{key.host}:{key.port}" == address:
                for protocol, _ in self._conns.pop(key):
                    protocol.close()

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        kept = self._conns.get(key)
        while kept:
            protocol = kept[0][0]
            # A late or second answer may have arrived on the idle connection. If it
            # were reused, the next caller would receive that answer.
            if not protocol.should_close and not self._is_old(protocol):
                break
            kept.popleft()
            protocol.close()
        return await super()._get(key, traces)

    def _release(
        self,
        key: ConnectionKey,
        protocol: ResponseHandler,
        *,
        should_close: bool = False,
    ) -> None:
        allowed = self.idle_by_address.get(
            (key.host, key.port), DEFAULT_IDLE_PER_ADDRESS
        )
        full = len(self._conns.get(key, ())) >= allowed
        super()._release(
            key, protocol, should_close=should_close or full or self._is_old(protocol)
        )

    def _is_old(self, protocol: ResponseHandler) -> bool:
        assert isinstance(protocol, UpstreamConnection)
        return self._loop.time() - protocol.opened_at > MAX_AGE_SECONDS


__all__ = ["UpstreamConnector"]
