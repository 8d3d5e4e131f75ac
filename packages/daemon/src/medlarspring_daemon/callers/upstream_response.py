"""Headers for requests to upstream VMs, and their responses for the caller."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web
from multidict import CIMultiDict
from returns.result import Failure, Result, Success

from medlarspring_adapters.upstream_http import (
    HOP_HEADERS,
    UpstreamFault,
    copy_answer_headers,
    create_fault,
    read_answer,
)

if TYPE_CHECKING:
    from medlarspring_tables import RequestId, Seconds
    from medlarspring_tables.requests import CallerRequest

BUFFERED_RESPONSE_BYTES = 131_072
"""Responses up to this size are buffered completely.

A truncated response is then detected before it is passed on, and a caller that
reads slowly does not occupy a slot.
"""

MAX_KEYED_RESPONSE_BYTES = 8_388_608
"""Largest response to a request with a key; these are always buffered completely."""
MAX_RESPONSE_BYTES = 67_108_864
"""Largest response that is streamed to a caller."""
UNFORWARDED_HEADERS = HOP_HEADERS | {
    "authorization",
    "content-length",
    "expect",
    "host",
    "partner-id",
    "repeatable",
    "request-id",
    "request-timeout",
}


@dataclass(slots=True)
class BufferedBody:
    """The body of a response, or its first bytes if it exceeds the limit."""

    body: bytes
    complete: bool


def create_upstream_headers(
    request: web.BaseRequest, caller_request: CallerRequest
) -> CIMultiDict[str]:
    """Return the headers sent to upstream VMs, except ``Request-Timeout``."""
    headers: CIMultiDict[str] = CIMultiDict()
    for name, value in request.headers.items():
        if name.lower() not in UNFORWARDED_HEADERS:
            headers.add(name, value)
    headers.add("Request-Id", caller_request.id)
    headers.add("Partner-Id", caller_request.partner_id)
    return headers


async def buffer_response(
    answer: aiohttp.ClientResponse, limit: int, timeout: Seconds
) -> Result[BufferedBody, UpstreamFault]:
    """Read a response body up to ``limit`` bytes."""
    length = answer.content_length
    if length is not None and length <= limit:
        body = await read_answer(answer, timeout)
        return body.map(lambda whole: BufferedBody(whole, complete=True))
    buffered = bytearray()
    try:
        async with asyncio.timeout(timeout):
            async for chunk in answer.content.iter_any():
                buffered += chunk
                if len(buffered) > limit:
                    return Success(BufferedBody(bytes(buffered), complete=False))
    except (aiohttp.ClientError, OSError, ValueError) as error:
        answer.close()
        return Failure(create_fault(error))
    except asyncio.CancelledError:
        answer.close()
        raise
    return Success(BufferedBody(bytes(buffered), complete=True))


def create_response(
    answer: aiohttp.ClientResponse, body: bytes, caller_request: CallerRequest
) -> web.Response:
    """Return the response to the caller for a completely buffered one."""
    headers = copy_answer_headers(answer.headers)
    headers["Request-Id"] = caller_request.id
    if caller_request.method != "HEAD":
        headers.popall("Content-Length", None)
    return web.Response(status=answer.status, headers=headers, body=body)


async def stream_response(
    answer: aiohttp.ClientResponse,
    prefix: bytes,
    request: web.BaseRequest,
    request_id: RequestId,
    timeout: Seconds,
) -> tuple[web.StreamResponse, bool]:
    """Stream a large response to the caller; return whether it was complete."""
    headers = copy_answer_headers(answer.headers)
    headers["Request-Id"] = request_id
    response = web.StreamResponse(status=answer.status, headers=headers)
    bytes_sent = len(prefix)
    try:
        async with asyncio.timeout(timeout):
            await response.prepare(request)
            if prefix:
                await response.write(prefix)
            async for chunk in answer.content.iter_any():
                bytes_sent += len(chunk)
                if bytes_sent > MAX_RESPONSE_BYTES:
                    raise aiohttp.ClientPayloadError("the response is too large")
                await response.write(chunk)
            await response.write_eof()
    except (aiohttp.ClientError, TimeoutError, OSError):
        # The status line has been sent, so a refusal is no longer possible.
        # Aborting the caller's connection is the only way left to signal that
        # the response is incomplete.
        answer.close()
        if request.transport is not None:
            request.transport.abort()
        return response, False
    except asyncio.CancelledError:
        answer.close()
        raise
    return response, True


__all__ = [
    "BUFFERED_RESPONSE_BYTES",
    "MAX_KEYED_RESPONSE_BYTES",
    "BufferedBody",
    "create_response",
    "create_upstream_headers",
    "buffer_response",
    "stream_response",
]
