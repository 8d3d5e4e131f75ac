"""Blocking HTTP calls to control ports and to daemons, for test steps and the demo."""

from __future__ import annotations

import http.client
from typing import TYPE_CHECKING, Any

import msgspec
from msgspec import Struct

from medlarspring_bench.standins.server import split_address

if TYPE_CHECKING:
    from collections.abc import Mapping

TIMEOUT_SECONDS = 10.0


class Reply(Struct):
    """An HTTP answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return msgspec.json.decode(self.body)


def call(
    method: str,
    address: str,
    path: str,
    body: object = None,
    headers: Mapping[str, str] | None = None,
    timeout: float = TIMEOUT_SECONDS,
) -> Reply:
    """Send one request on a connection of its own."""
    host, port = split_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=timeout)
    content = None
    if body is not None:
        content = body if isinstance(body, bytes) else msgspec.json.encode(body)
    try:
        connection.request(method, path, body=content, headers=dict(headers or {}))
        response = connection.getresponse()
        names = {name.lower(): value for name, value in response.getheaders()}
        return Reply(response.status, names, response.read())
    finally:
        connection.close()


def control(method: str, address: str, path: str, body: object = None) -> Any:
    """Call a control port; fail the test unless the call succeeds."""
    reply = call(method, address, f"/control/{path}", body)
    if reply.status >= 400:
        raise AssertionError(f"{method} {path}: {reply.status} {reply.body!r}")
    return reply.json()


__all__ = ["Reply", "call", "control"]
