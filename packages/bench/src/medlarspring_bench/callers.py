"""Callers of the demo and the scenarios, with the documented retry rules."""

from __future__ import annotations

import asyncio
import hashlib
import time
from typing import TYPE_CHECKING

import aiohttp
import msgspec
from msgspec import Struct

from medlarspring_bench.history import Attempt, AttemptOutcome, Call

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

PROBLEM = "application/problem+json"
SAFE_METHODS = frozenset({"GET", "HEAD"})
RESPONSE_GRACE_SECONDS = 3.0
"""Time beyond the request's deadline after which the caller gives up."""
FIRST_PAUSE_SECONDS = 0.1


class CallSpec(Struct, kw_only=True):
    """Specification of one call: the request and its retry limits."""

    id: str
    partner: str
    credential: str
    method: str
    path: str
    """Service, path and query."""
    body: bytes = b""
    key: str = ""
    urgency: int = 3
    repeatable: bool = False
    timeout_seconds: float = 5.0
    patience_seconds: float = 15.0
    """How long the caller keeps retrying."""

    @property
    def may_repeat(self) -> bool:
        """Whether an attempt of unknown outcome may be sent again."""
        return bool(self.key) or self.repeatable or self.method in SAFE_METHODS


class UpstreamAnswer(Struct):
    """The fields of the upstream stand-in's answer that callers check."""

    request_id: str
    digest: str


class Refused(Struct):
    """The fields of a refusal that callers act on."""

    outcome: str
    reason: str = ""


class Callers:
    """Sends calls to one address and records their attempts."""

    def __init__(self, address: str, max_connections: int = 256) -> None:
        self.address = address
        self.calls: list[Call] = []
        self._max_connections = max_connections
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Callers:
        connector = aiohttp.TCPConnector(limit=self._max_connections)
        self._session = aiohttp.ClientSession(connector=connector)
        return self

    async def __aexit__(self, *error: object) -> None:
        assert self._session is not None
        await self._session.close()

    async def make(self, call_spec: CallSpec, addresses: Sequence[str] = ()) -> Call:
        """Send attempts until the call is answered or may not be retried.

        Attempts go to the given addresses in turn, and all further attempts to the
        last one. Without addresses all attempts go to the balancer.
        """
        targets = [*addresses] or [self.address]
        call = Call(
            id=call_spec.id,
            partner=call_spec.partner,
            repeatable=call_spec.may_repeat and not call_spec.key,
            digest=hashlib.sha256(call_spec.body).hexdigest(),
            key=call_spec.key,
        )
        self.calls.append(call)
        patience_ends = time.monotonic() + call_spec.patience_seconds
        pause = FIRST_PAUSE_SECONDS
        while True:
            target = targets[min(len(call.attempts), len(targets) - 1)]
            attempt, retry_after = await self._try(call_spec, call, target)
            call.attempts.append(attempt)
            if not _may_retry(call_spec, attempt):
                return call
            pause = max(pause * 2, retry_after)
            if time.monotonic() + pause > patience_ends:
                return call
            await asyncio.sleep(pause)

    async def _try(
        self, call_spec: CallSpec, call: Call, target: str
    ) -> tuple[Attempt, float]:
        request_id = f"{call_spec.id}.{len(call.attempts) + 1}"
        now = time.monotonic()
        attempt = Attempt(request_id, now, now, AttemptOutcome.NOTHING)
        retry_after = 0.0
        started = False
        assert self._session is not None
        try:
            async with asyncio.timeout(
                call_spec.timeout_seconds + RESPONSE_GRACE_SECONDS
            ):
                request = self._session.request(
                    call_spec.method,
                    f"http://{target}{call_spec.path}",
                    data=call_spec.body or None,
                    headers=_headers(call_spec, request_id),
                )
                async with request as response:
                    started = True
                    body = await response.read()
                    attempt.status = response.status
                    retry_after = float(response.headers.get("Retry-After", "0"))
                    _read_answer(attempt, response.headers, body)
        except TimeoutError:
            attempt.outcome = AttemptOutcome.CUT if started else AttemptOutcome.NOTHING
        except (aiohttp.ClientError, OSError):
            attempt.outcome = AttemptOutcome.CUT if started else AttemptOutcome.RESET
        attempt.ended_at = time.monotonic()
        return attempt, retry_after


def _headers(call_spec: CallSpec, request_id: str) -> dict[str, str]:
    headers = {
        "Authorization": f"Bearer {call_spec.credential}",
        "Request-Id": request_id,
        "Request-Timeout": f"{call_spec.timeout_seconds:g}",
        "Priority": f"u={call_spec.urgency}",
    }
    if call_spec.key:
        headers["Idempotency-Key"] = call_spec.key
    if call_spec.repeatable:
        headers["Repeatable"] = "?1"
    return headers


def _read_answer(attempt: Attempt, headers: Mapping[str, str], body: bytes) -> None:
    if headers.get("Content-Type", "").startswith(PROBLEM):
        refused = msgspec.json.decode(body, type=Refused)
        attempt.outcome = AttemptOutcome(refused.outcome)
        attempt.reason = refused.reason
        return
    try:
        answer = msgspec.json.decode(body, type=UpstreamAnswer)
    except msgspec.MsgspecError:
        attempt.outcome = AttemptOutcome.UNKNOWN
        attempt.reason = f"not an upstream's answer: {body[:80]!r}"
        return
    attempt.outcome = AttemptOutcome.ANSWERED
    attempt.answered_id = answer.request_id
    attempt.answered_digest = answer.digest


def _may_retry(call_spec: CallSpec, attempt: Attempt) -> bool:
    """Return whether the caller may send the request again."""
    if attempt.outcome is AttemptOutcome.ANSWERED:
        return False
    if attempt.outcome is AttemptOutcome.NOT_RUN:
        return attempt.status in (429, 503, 504)
    return call_spec.may_repeat


__all__ = ["Callers", "CallSpec"]
