"""Headers towards upstream VMs, and answers on their way to the caller."""

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
"""Answers up to this size are held whole, so that a cut one can be told and
a caller that reads slowly holds no slot."""

MAX_KEYED_RESPONSE_BYTES = 8_388_608
"""Answers to requests with a key are always held whole."""
MAX_RESPONSE_BYTES = 67_108_864
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
    """The body of an answer, or its beginning."""

    body: bytes
    complete: bool


def create_upstream_headers(
    request: web.BaseRequest, caller_request: CallerRequest
) -> CIMultiDict[str]:
    """Return the headers that upstream VMs get, but for the time left."""
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
    """Read an answer's body up to a limit."""
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
    """Return the answer to the caller for one that was held whole."""
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
    """Pass a large answer on as it comes; return whether it came whole."""
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
                    raise aiohttp.ClientPayloadError("the answer is too large")
                await response.write(chunk)
            await response.write_eof()
    except (aiohttp.ClientError, TimeoutError, OSError):
        # The status line is out, so no refusal can follow. Cutting the
        # caller's connection before the end is the one sign left that the
        # answer is not whole.
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
