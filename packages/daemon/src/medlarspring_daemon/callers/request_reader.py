"""Reads and validates callers' requests: partner, service, deadline and body."""

from __future__ import annotations

import asyncio
import random
from itertools import chain
from typing import TYPE_CHECKING

from aiohttp import web
from multidict import istr
from returns.result import Failure, Result, Success

from medlarspring_systems.credentials import CredentialIndex, index_credentials
from medlarspring_tables import PartnerId, RequestId, ServiceId
from medlarspring_tables.requests import (
    CallerRequest,
    Outcome,
    Refusal,
    RefusalKind,
    Urgency,
)

if TYPE_CHECKING:
    from medlarspring_daemon.node import Node
    from medlarspring_tables import ConfigTable, Seconds, ServiceRow

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE"})
MAX_TIMEOUT_SECONDS = 120.0
MAX_ID_LENGTH = 128
MAX_KEY_LENGTH = 256
URGENT_LIMIT = 1
NORMAL_LIMIT = 4
TRUE = "?1"
ID_BITS = 128

AUTHORIZATION = istr("Authorization")
IDEMPOTENCY_KEY = istr("Idempotency-Key")
PRIORITY = istr("Priority")
REPEATABLE = istr("Repeatable")
REQUEST_ID = istr("Request-Id")
REQUEST_TIMEOUT = istr("Request-Timeout")


class Credentials:
    """Finds partners by the SHA-256 of their credential in the current table."""

    def __init__(self) -> None:
        self._config: ConfigTable | None = None
        self._index = CredentialIndex()

    def find_partner(self, config: ConfigTable, header: str) -> PartnerId | None:
        """Return the partner that an ``Authorization`` header belongs to, or None."""
        if config is not self._config:
            self._config = config
            self._index = index_credentials(
                (row.id, row.credential_sha256)
                for row in config.partners_by_id.values()
                if row.credential_sha256
            )
        return self._index.find_partner(header)


class RequestReader:
    """Converts a caller's HTTP request into a validated ``CallerRequest``."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._credentials = Credentials()
        self._body_seconds = node.settings.caller.body_seconds
        self._max_header_bytes = node.settings.caller.max_header_bytes
        self._max_body_bytes = node.settings.caller.max_body_bytes

    async def read(
        self, request: web.BaseRequest, request_id: RequestId
    ) -> Result[CallerRequest, Refusal]:
        """Read the complete request, or return a refusal."""
        config = self._node.config
        if config is None or self._node.vm_list is None:
            return Failure(_NOT_READY)
        header_bytes = len(b"".join(chain.from_iterable(request.raw_headers)))
        if header_bytes > self._max_header_bytes:
            return Failure(HEADERS_TOO_LARGE)
        partner = self._credentials.find_partner(
            config, request.headers.get(AUTHORIZATION, "")
        )
        if partner is None:
            return Failure(_UNAUTHORISED)
        service_id, target = _split_path(request.raw_path)
        service = config.services_by_id.get(service_id)
        if service is None:
            return Failure(_UNKNOWN_SERVICE)
        now = self._node.clock.now()
        timeout = _read_timeout(request, service)
        if timeout is None:
            return Failure(_BAD_TIMEOUT)
        key = request.headers.get(IDEMPOTENCY_KEY)
        if key is not None and not _is_key(key):
            return Failure(_BAD_KEY)
        body = await self._read_body(request, service)
        if isinstance(body, Refusal):
            return Failure(body)
        return Success(
            CallerRequest(
                id=request_id,
                partner_id=partner,
                service_id=service.id,
                pool_id=service.pool_id,
                method=request.method,
                target=target,
                body=body,
                arrived_at=now,
                deadline=now + timeout,
                urgency=_read_urgency(request.headers.get(PRIORITY)),
                # A key promises at most one run, regardless of other headers.
                repeatable=key is None
                and (
                    request.method in SAFE_METHODS
                    or request.headers.get(REPEATABLE) == TRUE
                ),
                key=key,
            )
        )

    async def _read_body(
        self, request: web.BaseRequest, service: ServiceRow
    ) -> bytes | Refusal:
        if not request.can_read_body:
            return b""
        limit = min(self._max_body_bytes, service.max_body_bytes)
        if (request.content_length or 0) > limit:
            return _body_too_large(limit)
        body = bytearray()
        try:
            async with asyncio.timeout(self._body_seconds):
                async for chunk in request.content.iter_any():
                    body += chunk
                    if len(body) > limit:
                        return _body_too_large(limit)
        except TimeoutError:
            return _CALLER_TOO_SLOW
        except web.RequestPayloadError:
            return _BAD_BODY
        return bytes(body)


def create_request_id(request: web.BaseRequest) -> RequestId:
    """Return the request id sent by the caller if it is valid, else a new one."""
    stated = request.headers.get(REQUEST_ID, "")
    if 0 < len(stated) <= MAX_ID_LENGTH and stated.isascii() and stated.isprintable():
        return RequestId(stated)
    return RequestId(f"{random.getrandbits(ID_BITS):032x}")


def has_usable_key(request: web.BaseRequest) -> bool:
    """Return whether a request has a valid key, which may have run before."""
    return _is_key(request.headers.get(IDEMPOTENCY_KEY, ""))


def _is_key(text: str) -> bool:
    return 0 < len(text) <= MAX_KEY_LENGTH


def _split_path(raw_path: str) -> tuple[ServiceId, str]:
    """Return the service and the remaining target, percent-encoding unchanged."""
    path, mark, query = raw_path.partition("?")
    service_id, _, rest = path[1:].partition("/")
    return ServiceId(service_id), f"/{rest}{mark}{query}"


def _read_timeout(request: web.BaseRequest, service: ServiceRow) -> Seconds | None:
    stated = request.headers.get(REQUEST_TIMEOUT)
    if stated is None:
        return service.timeout_ms / 1000.0
    try:
        timeout = float(stated)
    except ValueError:
        return None
    if not 0.0 < timeout <= MAX_TIMEOUT_SECONDS:
        return None
    return timeout


def _read_urgency(priority: str | None) -> Urgency:
    if priority is None:
        return Urgency.NORMAL
    for parameter in priority.split(","):
        name, _, value = parameter.strip().partition("=")
        if name == "u" and len(value) == 1 and value in "01234567":
            if int(value) <= URGENT_LIMIT:
                return Urgency.URGENT
            return Urgency.NORMAL if int(value) <= NORMAL_LIMIT else Urgency.BULK
    return Urgency.NORMAL


def _body_too_large(limit: int) -> Refusal:
    return Refusal(
        RefusalKind.BODY_TOO_LARGE,
        Outcome.NOT_RUN,
        f"Send at most {limit} bytes, or have max_body_bytes of the service raised.",
    )


_NOT_READY = Refusal(
    RefusalKind.NOT_READY,
    Outcome.NOT_RUN,
    "The configuration is not known yet; ask again or ask another entry VM.",
    retry_after=1.0,
)
_UNAUTHORISED = Refusal(
    RefusalKind.UNAUTHORISED,
    Outcome.NOT_RUN,
    "Send your partner's credential as 'Authorization: Bearer <credential>'.",
)
_UNKNOWN_SERVICE = Refusal(
    RefusalKind.UNKNOWN_SERVICE,
    Outcome.NOT_RUN,
    "Name a service of the table in the first part of the path.",
)
_BAD_TIMEOUT = Refusal(
    RefusalKind.BAD_REQUEST,
    Outcome.NOT_RUN,
    f"Write Request-Timeout as seconds above 0 and up to {MAX_TIMEOUT_SECONDS:g}.",
)
_BAD_KEY = Refusal(
    RefusalKind.BAD_REQUEST,
    Outcome.NOT_RUN,
    f"Write Idempotency-Key with 1 to {MAX_KEY_LENGTH} characters.",
)
_BAD_BODY = Refusal(
    RefusalKind.BAD_REQUEST,
    Outcome.NOT_RUN,
    "The body ended early or is malformed; send it again whole.",
)
HEADERS_TOO_LARGE = Refusal(
    RefusalKind.HEADERS_TOO_LARGE,
    Outcome.NOT_RUN,
    "Send less than max_header_bytes of the entry VM's settings.",
)
_CALLER_TOO_SLOW = Refusal(
    RefusalKind.CALLER_TOO_SLOW,
    Outcome.NOT_RUN,
    "Send the whole request within body_seconds of the entry VM's settings.",
    retry_after=1.0,
)

__all__ = [
    "HEADERS_TOO_LARGE",
    "Credentials",
    "RequestReader",
    "create_request_id",
    "has_usable_key",
]
