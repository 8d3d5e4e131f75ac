"""HTTP client for the operator port, with failover between several daemons."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar

import aiohttp
import msgspec

from medlarspring_cli.errors import (
    CommandError,
    DaemonUnreachableError,
    OutcomeUnknownError,
    RequestRefusedError,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

T = TypeVar("T")

CONNECT_TIMEOUT_SECONDS = 3.0
RESPONSE_TIMEOUT_SECONDS = 30.0
"""Longer than a daemon takes to process one edit, so that its result is received."""
PROBE_TIMEOUT_SECONDS = 2.0
"""Timeout of the ping that precedes a request if several addresses are given."""
_FAILOVER_STATUSES = frozenset({503, 504})
"""Statuses after which the next address is tried.

The next daemon may be in a zone that can reach the store.
"""


@dataclass(frozen=True, slots=True)
class OperatorRequest:
    """One request to the operator port."""

    method: str
    path: str
    query: Mapping[str, str]
    body: bytes = b""
    repeat_with: str = ""
    """For a change, the option that makes a retry safe; otherwise empty.

    A change carries an id, so it may also be sent to several daemons in turn.
    """


class OperatorClient:
    """Sends requests to the given addresses in turn until one daemon responds."""

    def __init__(self, addresses: Sequence[str], token: str) -> None:
        self._addresses = tuple(addresses)
        self._token = token

    def get(self, path: str, answer_type: type[T], **query: object) -> T:
        """Fetch and decode a document; parameters with false values are omitted."""
        given = {name: str(value) for name, value in query.items() if value}
        return self._decode(self.send(OperatorRequest("GET", path, given)), answer_type)

    def post(
        self, path: str, body: object, answer_type: type[T], repeat_with: str = ""
    ) -> T:
        """Send a document and decode the response.

        For a change, ``repeat_with`` names the option that makes a retry safe.
        """
        content = body if isinstance(body, bytes) else msgspec.json.encode(body)
        operator_request = OperatorRequest("POST", path, {}, content, repeat_with)
        return self._decode(self.send(operator_request), answer_type)

    def send(self, operator_request: OperatorRequest) -> bytes:
        """Return the body of the response, or raise a ``CommandError``."""
        return asyncio.run(self._send(operator_request))

    async def _send(self, operator_request: OperatorRequest) -> bytes:
        reasons_by_address: dict[str, str] = {}
        last_refusal: RequestRefusedError | None = None
        is_outcome_unknown = False
        async with aiohttp.ClientSession(timeout=_create_timeout()) as session:
            for address in self._addresses:
                reason = await self._probe(session, address)
                if reason:
                    reasons_by_address[address] = reason
                    continue
                try:
                    body = await self._send_to(session, address, operator_request)
                    self._move_to_front(address)
                    return body
                except aiohttp.ClientConnectorError as error:
                    reasons_by_address[address] = error.strerror or str(error)
                except (aiohttp.ClientError, TimeoutError) as error:
                    reasons_by_address[address] = _describe(error)
                    is_outcome_unknown = True
                except RequestRefusedError as error:
                    if error.problem.get("status") not in _FAILOVER_STATUSES:
                        raise
                    reasons_by_address[address] = error.message()
                    last_refusal = error
                    is_outcome_unknown = (
                        is_outcome_unknown or error.problem.get("status") == 504
                    )
        raise _create_error(
            operator_request, reasons_by_address, last_refusal, is_outcome_unknown
        )

    async def _probe(self, session: aiohttp.ClientSession, address: str) -> str:
        """Return why a daemon does not respond to a ping, or an empty string."""
        # The kernel still accepts connections for a paused daemon. Without the ping,
        # each request of the command would wait for the full response timeout while
        # the next daemon could have responded at once.
        if len(self._addresses) == 1:
            return ""
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_SECONDS)
        try:
            async with session.get(f"http://{address}/v1/ping", timeout=timeout):
                return ""
        except aiohttp.ClientConnectorError as error:
            return error.strerror or str(error)
        except (aiohttp.ClientError, TimeoutError) as error:
            return _describe(error)

    def _move_to_front(self, address: str) -> None:
        """Try this address first for later requests."""
        others = (each for each in self._addresses if each != address)
        self._addresses = (address, *others)

    async def _send_to(
        self,
        session: aiohttp.ClientSession,
        address: str,
        operator_request: OperatorRequest,
    ) -> bytes:
        headers = {"Authorization": f"Bearer {self._token}"}
        request = session.request(
            operator_request.method,
            f"http://{address}{operator_request.path}",
            params=operator_request.query,
            data=operator_request.body or None,
            headers=headers,
        )
        async with request as response:
            body = await response.read()
            if response.status < 400:
                return body
            problem = _read_problem(body, response.status)
            raise RequestRefusedError(
                problem, address, is_change=bool(operator_request.repeat_with)
            )

    def _decode(self, body: bytes, answer_type: type[T]) -> T:
        return msgspec.json.decode(body, type=answer_type)


def _create_error(
    operator_request: OperatorRequest,
    reasons_by_address: dict[str, str],
    last_refusal: RequestRefusedError | None,
    is_outcome_unknown: bool,
) -> CommandError:
    # A daemon may have accepted the edit and died before it responded. A later
    # daemon that could not reach the store does not rule this out, so the message
    # must not say that nothing was changed.
    if operator_request.repeat_with and is_outcome_unknown:
        return OutcomeUnknownError(reasons_by_address, operator_request.repeat_with)
    return last_refusal or DaemonUnreachableError(reasons_by_address)


def _create_timeout() -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=RESPONSE_TIMEOUT_SECONDS, sock_connect=CONNECT_TIMEOUT_SECONDS
    )


def _describe(error: Exception) -> str:
    if isinstance(error, TimeoutError):
        return "no answer in time"
    return str(error) or type(error).__name__


def _read_problem(body: bytes, status: int) -> dict[str, Any]:
    try:
        problem = msgspec.json.decode(body, type=dict[str, Any])
    except msgspec.DecodeError:
        text = body.decode("utf-8", "replace")[:200]
        return {
            "code": "not-a-daemon",
            "status": status,
            "detail": f"The answer is not that of an operator port: {text!r}."
            " Check the address.",
        }
    return {**problem, "status": status}


__all__ = ["OperatorRequest", "OperatorClient"]
