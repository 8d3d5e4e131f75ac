"""Calls the operator port of the first daemon that answers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar

import aiohttp
import msgspec

from medlarspring_cli.errors import (
    CommandError,
    DaemonRefused,
    DaemonUnreachable,
    OutcomeUnknown,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

T = TypeVar("T")

CONNECT_SECONDS = 3.0
ANSWER_SECONDS = 30.0
"""Longer than a daemon takes over one edit, so that its verdict is heard."""
PROBE_SECONDS = 2.0
"""Time for a sign of life from one of several daemons."""
_TRY_ANOTHER = frozenset({503, 504})
"""The next daemon may be in a zone that reaches the store."""


@dataclass(frozen=True, slots=True)
class Call:
    """One request to the operator port."""

    method: str
    path: str
    query: Mapping[str, str]
    body: bytes = b""
    repeat_with: str = ""
    """Set for changes: the option that makes a repetition safe. The change carries
    an id, so that it may also be sent to several daemons in turn."""


class OperatorClient:
    """Tries the given addresses in turn."""

    def __init__(self, addresses: Sequence[str], token: str) -> None:
        self._addresses = tuple(addresses)
        self._token = token

    def get(self, path: str, answer_type: type[T], **query: object) -> T:
        """Read a document; parameters that are None or empty are left out."""
        given = {name: str(value) for name, value in query.items() if value}
        return self._decode(self.send(Call("GET", path, given)), answer_type)

    def post(
        self, path: str, body: object, answer_type: type[T], repeat_with: str = ""
    ) -> T:
        """Send a document; a change says with which option it may be repeated."""
        content = body if isinstance(body, bytes) else msgspec.json.encode(body)
        call = Call("POST", path, {}, content, repeat_with)
        return self._decode(self.send(call), answer_type)

    def send(self, call: Call) -> bytes:
        """Return the answer's body, or raise a ``CommandError``."""
        return asyncio.run(self._send(call))

    async def _send(self, call: Call) -> bytes:
        reasons_by_address: dict[str, str] = {}
        refusal: DaemonRefused | None = None
        is_unknown = False
        async with aiohttp.ClientSession(timeout=_create_timeout()) as session:
            for address in self._addresses:
                reason = await self._probe(session, address)
                if reason:
                    reasons_by_address[address] = reason
                    continue
                try:
                    body = await self._send_to(session, address, call)
                    self._prefer(address)
                    return body
                except aiohttp.ClientConnectorError as error:
                    reasons_by_address[address] = error.strerror or str(error)
                except (aiohttp.ClientError, TimeoutError) as error:
                    reasons_by_address[address] = _describe(error)
                    is_unknown = True
                except DaemonRefused as error:
                    if error.problem.get("status") not in _TRY_ANOTHER:
                        raise
                    reasons_by_address[address] = error.message()
                    refusal = error
                    is_unknown = is_unknown or error.problem.get("status") == 504
        raise _sum_up(call, reasons_by_address, refusal, is_unknown)

    async def _probe(self, session: aiohttp.ClientSession, address: str) -> str:
        """Return why a daemon gives no sign of life; empty if it does."""
        # A paused daemon's kernel still takes connections. The operator would wait
        # the whole time of an answer for it, once for each call of the command,
        # while the next daemon could have answered at once.
        if len(self._addresses) == 1:
            return ""
        timeout = aiohttp.ClientTimeout(total=PROBE_SECONDS)
        try:
            async with session.get(f"http://{address}/v1/ping", timeout=timeout):
                return ""
        except aiohttp.ClientConnectorError as error:
            return error.strerror or str(error)
        except (aiohttp.ClientError, TimeoutError) as error:
            return _describe(error)

    def _prefer(self, address: str) -> None:
        """Ask this daemon first from now on."""
        others = (each for each in self._addresses if each != address)
        self._addresses = (address, *others)

    async def _send_to(
        self, session: aiohttp.ClientSession, address: str, call: Call
    ) -> bytes:
        headers = {"Authorization": f"Bearer {self._token}"}
        request = session.request(
            call.method,
            f"http://{address}{call.path}",
            params=call.query,
            data=call.body or None,
            headers=headers,
        )
        async with request as response:
            body = await response.read()
            if response.status < 400:
                return body
            problem = _read_problem(body, response.status)
            raise DaemonRefused(problem, address, is_change=bool(call.repeat_with))

    def _decode(self, body: bytes, answer_type: type[T]) -> T:
        return msgspec.json.decode(body, type=answer_type)


def _sum_up(
    call: Call,
    reasons_by_address: dict[str, str],
    refusal: DaemonRefused | None,
    is_unknown: bool,
) -> CommandError:
    # One daemon may have accepted the edit and died before its answer. That a
    # later one couldn't reach the store proves nothing about the first, so the
    # operator must not be told that nothing was changed.
    if call.repeat_with and is_unknown:
        return OutcomeUnknown(reasons_by_address, call.repeat_with)
    return refusal or DaemonUnreachable(reasons_by_address)


def _create_timeout() -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=ANSWER_SECONDS, sock_connect=CONNECT_SECONDS)


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


__all__ = ["Call", "OperatorClient"]
