"""Runs requests with an ``Idempotency-Key`` once and replays recorded answers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from medlarspring_adapters.background_tasks import BackgroundTasks
from medlarspring_daemon.callers.claims import ClaimedRun, ClaimManager
from medlarspring_systems.claims import build_claimed_answer
from medlarspring_tables.requests import Outcome

if TYPE_CHECKING:
    from medlarspring_daemon.callers.forwarding import Exchange, Forwarder
    from medlarspring_daemon.node import Node
    from medlarspring_tables import Seconds
    from medlarspring_tables.claims import ClaimedAnswer
    from medlarspring_tables.requests import CallerRequest, Refusal

REPLAY_HEADER = "Idempotent-Replay"


class KeyedRunner:
    """Runs requests with a key to completion, even if their callers disconnect."""

    def __init__(self, node: Node, forwarder: Forwarder) -> None:
        self._forwarder = forwarder
        self._claim_manager = ClaimManager(node)
        self._runs = BackgroundTasks(node.log)

    async def stop(self, timeout: Seconds) -> None:
        """Wait for runs, then for records, each up to ``timeout``."""
        await self._runs.wait(timeout)
        await self._claim_manager.stop(timeout)

    async def run(self, exchange: Exchange) -> Result[web.StreamResponse, Refusal]:
        """Return the response to a request with a key.

        The run continues when its caller disconnects. Otherwise its outcome
        would stay unknown, and a repeat by the caller could not be answered.
        """
        exchange.request = None
        run = self._runs.start_awaited(self._run(exchange))
        return await asyncio.shield(run)

    async def _run(self, exchange: Exchange) -> Result[web.StreamResponse, Refusal]:
        claimed = await self._claim_manager.claim(exchange.caller_request)
        if not is_successful(claimed):
            return Failure(claimed.failure())
        held = claimed.unwrap()
        if not isinstance(held, ClaimedRun):
            exchange.replayed = True
            return Success(_replay(held, exchange.caller_request))
        answer = await self._forwarder.forward(exchange)
        await self._record(held, answer)
        return answer

    async def _record(
        self, claimed_run: ClaimedRun, answer: Result[web.StreamResponse, Refusal]
    ) -> None:
        if is_successful(answer):
            response = answer.unwrap()
            assert isinstance(response, web.Response)
            assert isinstance(response.body, bytes)
            kept = build_claimed_answer(
                response.status, response.headers.items(), response.body
            )
            await self._claim_manager.complete(claimed_run, kept)
        elif answer.failure().outcome is Outcome.NOT_RUN:
            await self._claim_manager.abandon(claimed_run)
        else:
            await self._claim_manager.complete(claimed_run, None)


def _replay(answer: ClaimedAnswer, caller_request: CallerRequest) -> web.Response:
    response = web.Response(status=answer.status, body=answer.body)
    response.headers.popall("Content-Type", None)
    for name, value in answer.headers:
        response.headers.add(name, value)
    response.headers["Request-Id"] = caller_request.id
    response.headers[REPLAY_HEADER] = "?1"
    return response


__all__ = ["REPLAY_HEADER", "KeyedRunner"]
