"""Connections kept open to upstream VMs: how many, how long, how idle."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from weakref import WeakKeyDictionary

import aiohttp

if TYPE_CHECKING:
    from aiohttp.client_proto import ResponseHandler
    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace

    from medlarspring_adapters.clock import Clock
    from medlarspring_tables import Seconds

MAX_IDLE_SECONDS = 4.0
MAX_AGE_SECONDS = 60.0
DEFAULT_IDLE_PER_ADDRESS = 4


class UpstreamConnector(aiohttp.TCPConnector):
    """Keeps few, young and lately used connections, and only clean ones."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(
            limit=0, keepalive_timeout=MAX_IDLE_SECONDS, use_dns_cache=False
        )
        self._clock = clock
        self._opened_at: WeakKeyDictionary[ResponseHandler, Seconds] = (
            WeakKeyDictionary()
        )
        self.idle_by_address: dict[str, int] = {}
        """How many idle connections each ``ip:port`` may have."""

    def drop_idle(self, address: str) -> None:
        """Close the idle connections to an upstream VM.

        When one connection has gone silent, those opened before it mostly have
        too. Each would cost one more request its time to find out.
        """
        for key in list(self._conns):
            if f"{key.host}:{key.port}" == address:
                for protocol, _ in self._conns.pop(key):
                    protocol.close()

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        kept = self._conns.get(key)
        while kept:
            protocol = kept[0][0]
            # A late or second answer may have arrived while nobody waited. On
            # a reused connection the next caller would be given it.
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
            f"{key.host}:{key.port}", DEFAULT_IDLE_PER_ADDRESS
        )
        full = len(self._conns.get(key, ())) >= allowed
        super()._release(
            key, protocol, should_close=should_close or full or self._is_old(protocol)
        )

    async def _create_connection(self, *args: Any, **kwargs: Any) -> ResponseHandler:
        protocol = await super()._create_connection(*args, **kwargs)
        self._opened_at[protocol] = self._clock.now()
        return protocol

    def _is_old(self, protocol: ResponseHandler) -> bool:
        opened_at = self._opened_at.get(protocol)
        return opened_at is None or self._clock.now() - opened_at > MAX_AGE_SECONDS


__all__ = ["UpstreamConnector"]
