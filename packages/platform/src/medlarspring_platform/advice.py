"""Client of the platform's placement adviser for restricted queues."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from msgspec import Struct
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from medlarspring_adapters.adviser import Advice, AdviserUnresponsive
from medlarspring_adapters.decoding import decode_json
from medlarspring_adapters.http_channel import HttpChannel, NotSent, Unanswered
from medlarspring_platform import wire
from medlarspring_tables.bounds import Whole
from medlarspring_tables.scheduling import WorkerId

if TYPE_CHECKING:
    from collections.abc import Sequence

TIMEOUT_SECONDS = 6.0
"""The adviser queues the calls of one entry VM, up to 32 of them."""
HTTP_OK = 200


class WireQuestion(Struct):
    """The step and the workers that advice is requested for."""

    step: str
    workers: list[str]


class WireAdviceAnswer(Struct, rename="camel"):
    """Pairs of worker and ticket; workers not listed may not run the step."""

    allowed: list[tuple[str, str]] = []
    valid_ms: Whole = 0


class PlatformAdviser:
    """Implements ``Adviser`` over the platform's HTTP interface."""

    def __init__(self, address: str) -> None:
        self._channel = HttpChannel(address)

    async def close(self) -> None:
        """Close all connections."""
        await self._channel.close()

    async def advise(
        self, step_id: str, worker_ids: Sequence[WorkerId]
    ) -> Result[Advice, AdviserUnresponsive]:
        """Return which of the workers may run the step."""
        question = WireQuestion(step_id, list(worker_ids))
        try:
            reply = await self._channel.call(
                "POST", wire.ADVISE_PATH, TIMEOUT_SECONDS, msgspec.json.encode(question)
            )
            if reply.status != HTTP_OK:
                return Failure(AdviserUnresponsive(f"HTTP status {reply.status}"))
        except (NotSent, Unanswered) as error:
            return Failure(AdviserUnresponsive(str(error)))
        decoded = decode_json(reply.body, WireAdviceAnswer)
        if not is_successful(decoded):
            return Failure(AdviserUnresponsive(decoded.failure().detail))
        answer = decoded.unwrap()
        tickets = {WorkerId(worker): ticket for worker, ticket in answer.allowed}
        return Success(Advice(tickets, answer.valid_ms))


__all__ = ["PlatformAdviser"]
