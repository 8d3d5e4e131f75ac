"""Polls the platform's VM list and keeps the last good answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Success

from medlarspring_adapters.background_tasks import BackgroundTasks
from medlarspring_adapters.events import Event
from medlarspring_adapters.vm_list import create_vm_list_client
from medlarspring_systems.vm_list_view import VMListView, apply_answer

if TYPE_CHECKING:
    from medlarspring_adapters.vm_list import VMListClient
    from medlarspring_daemon.node import Node

TIMEOUT_SECONDS = 3.0
FIRST_RETRY_SECONDS = 0.5
JITTER = 0.1
BYTES_PER_SECOND = 2_000.0
"""A long list is read less often, to limit the traffic of a node to this rate."""
MAX_WAIT_SECONDS = 30.0


class VMListService:
    """Polls the VM list; only writer of ``node.vm_list``."""

    def __init__(self, node: Node, client: VMListClient) -> None:
        self._node = node
        self._client = client
        self._view = VMListView()
        self._is_list_lost = False
        self._tasks = BackgroundTasks(node.log)

    async def start(self) -> None:
        """Start polling without awaiting the first answer."""
        self._tasks.run_with_restart(self._run)

    async def stop(self) -> None:
        """Stop polling."""
        await self._tasks.cancel()

    async def _run(self) -> None:
        while True:
            await self._poll()
            await asyncio.sleep(self._plan_wait())

    async def _poll(self) -> None:
        answer = await self._client.read(self._node.clock.now())
        if not isinstance(answer, Success):
            if not self._is_list_lost:
                reason = str(answer.failure())
                self._node.log.warning(Event.VM_LIST_LOST, reason=reason)
            self._is_list_lost = True
            return
        if self._is_list_lost:
            self._node.log.info(Event.VM_LIST_BACK)
        self._is_list_lost = False
        vm_list = answer.unwrap()
        if not apply_answer(self._view, vm_list):
            vms = len(vm_list.vms_by_id)
            self._node.log.warning(Event.VM_LIST_DOUBTFUL, vms=vms)
            return
        self._node.vm_list = self._view.current

    def _plan_wait(self) -> float:
        if self._node.vm_list is None:
            return self._node.rng.uniform(0.5, 1.0) * FIRST_RETRY_SECONDS
        spread = self._node.rng.uniform(1 - JITTER, 1 + JITTER)
        shortest = self._node.settings.vm_list.poll_seconds
        needed = self._client.bytes_on_wire / BYTES_PER_SECOND
        return max(shortest, min(needed, MAX_WAIT_SECONDS)) * spread


def create_vm_list_service(node: Node) -> VMListService:
    """Return the service that polls the configured list."""
    client = create_vm_list_client(node.settings.vm_list.url, TIMEOUT_SECONDS)
    return VMListService(node, client)


__all__ = ["VMListService", "create_vm_list_service"]
