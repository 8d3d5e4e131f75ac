"""Requests with an ``Idempotency-Key``: claimed, run once, recorded."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from medlarspring_daemon.callers.claims import ClaimBook, Ticket
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
    """Runs keyed requests to their end, whether or not their callers stay."""

    def __init__(self, node: Node, forwarder: Forwarder) -> None:
        self._forwarder = forwarder
        self._book = ClaimBook(node)
        self._runs: set[asyncio.Task[Result[web.StreamResponse, Refusal]]] = set()

    async def stop(self, timeout: Seconds) -> None:
        """Let runs and records finish."""
        if self._runs:
            await asyncio.wait(self._runs, timeout=timeout)
        await self._book.stop(timeout)

    async def run(self, exchange: Exchange) -> Result[web.StreamResponse, Refusal]:
        """Answer a keyed request.

        A caller that leaves does not end the run: its outcome could not be
        learnt any more, and the caller's repeat would be left without answer.
        """
        exchange.request = None
        run = asyncio.create_task(self._run(exchange))
        self._runs.add(run)
        run.add_done_callback(self._runs.discard)
        return await asyncio.shield(run)

    async def _run(self, exchange: Exchange) -> Result[web.StreamResponse, Refusal]:
        claimed = await self._book.claim(exchange.row)
        if not is_successful(claimed):
            return Failure(claimed.failure())
        held = claimed.unwrap()
        if not isinstance(held, Ticket):
            exchange.replayed = True
            return Success(_replay(held, exchange.row))
        answer = await self._forwarder.forward(exchange)
        await self._record(held, answer)
        return answer

    async def _record(
        self, ticket: Ticket, answer: Result[web.StreamResponse, Refusal]
    ) -> None:
        if is_successful(answer):
            response = answer.unwrap()
            assert isinstance(response, web.Response)
            assert isinstance(response.body, bytes)
            kept = build_claimed_answer(
                response.status, response.headers.items(), response.body
            )
            await self._book.complete(ticket, kept)
        elif answer.failure().outcome is Outcome.NOT_RUN:
            await self._book.abandon(ticket)
        else:
            await self._book.complete(ticket, None)


def _replay(answer: ClaimedAnswer, row: CallerRequest) -> web.Response:
    response = web.Response(status=answer.status, body=answer.body)
    response.headers.popall("Content-Type", None)
    for name, value in answer.headers:
        response.headers.add(name, value)
    response.headers["Request-Id"] = row.id
    response.headers[REPLAY_HEADER] = "?1"
    return response


__all__ = ["REPLAY_HEADER", "KeyedRunner"]
