"""Encodes refusals as ``application/problem+json``."""

from __future__ import annotations

import math
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from medlarspring_tables import RequestId

if TYPE_CHECKING:
    from medlarspring_tables.requests import Refusal

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:medlarspring:problem:"


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Problem document of a refused request."""

    type: str
    title: str
    status: int
    detail: str
    outcome: str
    reason: str
    request_id: str
    retry_after: int | None = None


def encode_problem(refusal: Refusal, request_id: RequestId) -> bytes:
    """Return the problem document of a refusal."""
    kind = refusal.kind
    problem = Problem(
        type=TYPE_PREFIX + kind.code,
        title=kind.title,
        status=kind.status,
        detail=refusal.detail,
        outcome=refusal.outcome.value,
        reason=kind.code,
        request_id=request_id,
        retry_after=_whole_seconds(refusal),
    )
    return msgspec.json.encode(problem)


def create_problem_response(refusal: Refusal, request_id: RequestId) -> web.Response:
    """Return the HTTP response of a refusal."""
    headers = {"Request-Id": request_id, "Content-Type": CONTENT_TYPE}
    retry_after = _whole_seconds(refusal)
    if retry_after is not None:
        headers["Retry-After"] = str(retry_after)
    return web.Response(
        status=refusal.kind.status,
        headers=headers,
        body=encode_problem(refusal, request_id),
    )


def encode_raw_problem(refusal: Refusal) -> bytes:
    """Return a refusal as HTTP bytes, for connections without a request."""
    kind = refusal.kind
    body = encode_problem(refusal, RequestId(""))
    head = [
        f"HTTP/1.1 {kind.status} {HTTPStatus(kind.status).phrase}",
        f"Content-Type: {CONTENT_TYPE}",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    retry_after = _whole_seconds(refusal)
    if retry_after is not None:
        head.append(f"Retry-After: {retry_after}")
    return "\r\n".join([*head, "", ""]).encode() + body


def _whole_seconds(refusal: Refusal) -> int | None:
    if refusal.retry_after is None:
        return None
    return max(1, math.ceil(refusal.retry_after))


__all__ = [
    "CONTENT_TYPE",
    "Problem",
    "create_problem_response",
    "encode_problem",
    "encode_raw_problem",
]
