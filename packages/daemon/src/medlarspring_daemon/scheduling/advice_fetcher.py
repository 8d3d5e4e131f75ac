"""Fetches the adviser's decisions on which workers may run restricted queues' steps."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from returns.pipeline import is_successful

from medlarspring_adapters.events import Event
from medlarspring_systems.scheduling.advice_requests import (
    choose_advice_request,
    record_advice,
    record_advice_call,
)

if TYPE_CHECKING:
    from medlarspring_adapters.adviser import Adviser
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_systems.scheduling.advice_requests import AdviceRequest
    from medlarspring_tables import PoolId
    from medlarspring_tables.scheduling import WorkTables

IDLE_SECONDS = 0.02
"""Pause while no advice is needed."""
UNRESTRICTED_SECONDS = 0.5
"""Pause while no queue is restricted."""
RETRY_SECONDS = 0.2
"""Pause after a failed call; the adviser refuses calls when too many are waiting."""


class AdviceFetcherOwner(Protocol):
    """The part of the cell's controller that the fetcher uses."""

    tables: WorkTables

    def plan(self, pool_id: PoolId) -> None:
        """Schedule a placement round for a pool's waiting tasks."""
        ...


class AdviceFetcher:
    """Sends one request at a time to the adviser."""

    def __init__(
        self, node: SchedulingNode, adviser: Adviser, owner: AdviceFetcherOwner
    ) -> None:
        self._node = node
        self._adviser = adviser
        self._owner = owner
        self._checked_version = -1
        """Version of the configuration that ``_any_restricted`` was computed from."""
        self._any_restricted = False

    async def run(self) -> None:
        """Fetch advice until cancelled."""
        while True:
            if not self._has_restricted_queue():
                await asyncio.sleep(UNRESTRICTED_SECONDS)
                continue
            request = choose_advice_request(self._owner.tables, self._node.clock.now())
            if request is None:
                await asyncio.sleep(IDLE_SECONDS)
                continue
            await self._fetch(request)

    def _has_restricted_queue(self) -> bool:
        """Return whether any queue is restricted; cached per configuration version."""
        config = self._owner.tables.config
        if config.version != self._checked_version:
            self._checked_version = config.version
            queues = config.queues_by_id.values()
            self._any_restricted = any(queue.advice is not None for queue in queues)
        return self._any_restricted

    async def _fetch(self, request: AdviceRequest) -> None:
        requested_at = self._node.clock.now()
        record_advice_call(self._owner.tables, request, requested_at)
        answer = await self._adviser.advise(request.step_id, request.worker_ids)
        if not is_successful(answer):
            self._node.log.warning(
                Event.ADVICE_MISSING,
                step=request.step_id,
                need=request.need.name.lower(),
                workers=len(request.worker_ids),
                fault=answer.failure().message(),
            )
            await asyncio.sleep(RETRY_SECONDS)
            return
        advice = answer.unwrap()
        record_advice(
            request, advice.tickets_by_worker, requested_at + advice.valid_ms / 1_000.0
        )
        self._node.log.info(
            Event.ADVICE_TAKEN,
            step=request.step_id,
            need=request.need.name.lower(),
            workers=len(request.worker_ids),
            allowed=len(advice.tickets_by_worker),
            valid_ms=advice.valid_ms,
            took_ms=round((self._node.clock.now() - requested_at) * 1_000),
        )
        self._owner.plan(request.step.job.queue.pool_id)


__all__ = ["AdviceFetcher", "AdviceFetcherOwner"]
