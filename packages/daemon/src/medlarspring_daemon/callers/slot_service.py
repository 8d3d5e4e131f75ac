"""Sends requests for slots to their homes and applies the replies."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.pipeline import is_successful

from medlarspring_adapters.background_tasks import BackgroundTasks
from medlarspring_daemon.callers.slot_exchange import SlotExchange

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_adapters import peer_pb2
    from medlarspring_daemon.callers.slot_exchange import PendingSlotRequest
    from medlarspring_daemon.callers.state import CallerState
    from medlarspring_daemon.node import Node
    from medlarspring_tables import PoolId

TICK_SECONDS = 0.05
WAKE_DELAY_SECONDS = 0.005
CALL_TIMEOUT_SECONDS = 0.5


class SlotService:
    """Requests slots in a loop; implements ``SlotGranter`` for peers."""

    def __init__(
        self, node: Node, state: CallerState, on_credit: Callable[[PoolId], None]
    ) -> None:
        self._node = node
        self._exchange = SlotExchange(node, state)
        self._on_credit = on_credit
        self._tasks = BackgroundTasks(node.log)
        self._wake = asyncio.Event()

    async def start(self) -> None:
        """Start requesting slots."""
        self._node.slot_granter = self
        self._tasks.run_with_restart(self._run)

    async def stop(self) -> None:
        """Stop requesting slots; grants expire without further calls."""
        await self._tasks.cancel()

    def can_receive_grants(self) -> bool:
        """Return whether this process may be granted slots like the others."""
        return self._exchange.can_receive_grants()

    def request_slots_soon(self, pool_id: PoolId) -> None:
        """Request slots soon for a pool whose requests are waiting."""
        self._exchange.request_slots_soon(pool_id)
        self._wake.set()

    def grant_slots(self, request: peer_pb2.SlotRequest) -> peer_pb2.SlotReply:
        """Grant slots to a peer."""
        return self._exchange.answer(request)

    async def _run(self) -> None:
        while True:
            for pending in self._exchange.list_due():
                self._send(pending)
            try:
                async with asyncio.timeout(TICK_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                continue
            self._wake.clear()
            await asyncio.sleep(WAKE_DELAY_SECONDS)

    def _send(self, pending: PendingSlotRequest) -> None:
        if pending.home == self._node.id:
            self._apply_reply(pending, self._exchange.answer(pending.request))
            return
        self._tasks.start(self._call_home(pending))

    async def _call_home(self, pending: PendingSlotRequest) -> None:
        answer = await self._node.peers.call_grant_slots(
            pending.home, pending.request, CALL_TIMEOUT_SECONDS
        )
        if is_successful(answer):
            self._apply_reply(pending, answer.unwrap())
        else:
            self._exchange.handle_call_failure(pending)

    def _apply_reply(
        self, pending: PendingSlotRequest, reply: peer_pb2.SlotReply
    ) -> None:
        for pool_id in self._exchange.apply_reply(pending, reply):
            self._on_credit(pool_id)


__all__ = ["SlotService"]
