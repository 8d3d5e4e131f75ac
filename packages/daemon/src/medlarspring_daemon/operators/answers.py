"""Responses of the operator port: JSON documents and problem details."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

import msgspec
from aiohttp import web
from returns.pipeline import is_successful

from medlarspring_adapters.decoding import decode_json
from medlarspring_systems.table_errors import TableError
from medlarspring_tables import MedlarspringError

if TYPE_CHECKING:
    from returns.result import Result

T = TypeVar("T")
E = TypeVar("E", bound=MedlarspringError)

PROBLEM_TYPE = "urn:medlarspring:problem:"

STATUS_BY_CODE = {
    "not-authorised": 401,
    "not-found": 404,
    "row-missing": 404,
    "row-conflict": 409,
    "row-exists": 409,
    "edit-id-reused": 409,
    "store-unavailable": 503,
    "store-older": 503,
    "table-unreadable": 503,
    "edit-raced": 503,
    "editor-busy": 503,
    "not-ready": 503,
    "store-outcome-unknown": 504,
    "bad-request": 400,
    "sheet-unreadable": 400,
    "request-failed": 500,
    "body-too-large": 413,
    "request-too-slow": 408,
}
"""HTTP status by error code."""
REFUSED = 422
"""HTTP status of every other error code: understood and refused."""
BODY_SECONDS = 10.0
"""Time limit for reading a request's body."""


class BadRequest(MedlarspringError):
    """The request is malformed."""

    code = "bad-request"

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason

    def message(self) -> str:
        """Return the reason."""
        return self.reason


class NotAuthorised(MedlarspringError):
    """The request has no token, or a wrong one."""

    code = "not-authorised"

    def message(self) -> str:
        """Name the option that gives the token."""
        return (
            "The operator port requires the token of its settings ([operator]"
            " token_file). Give the same token with --token-file, or in the file that"
            " MEDLARSPRING_TOKEN_FILE names."
        )


class NotFound(MedlarspringError):
    """The requested resource does not exist."""

    code = "not-found"

    def __init__(self, what: str, remedy: str) -> None:
        super().__init__(what, remedy)
        self.what = what
        self.remedy = remedy

    def message(self) -> str:
        """Name the missing resource and a remedy."""
        return f"There is no {self.what}; {self.remedy}."


class BodyTooLarge(MedlarspringError):
    """The request's body exceeds the port's limit."""

    code = "body-too-large"

    def __init__(self, max_bytes: int) -> None:
        super().__init__(max_bytes)
        self.max_bytes = max_bytes

    def message(self) -> str:
        """Name the limit."""
        return (
            f"The operator port accepts at most {self.max_bytes} bytes per request."
            " Nothing was changed; send it in smaller parts."
        )


class RequestTooSlow(MedlarspringError):
    """The request was not received or not completed in time."""

    code = "request-too-slow"

    def __init__(self, seconds: float) -> None:
        super().__init__(seconds)
        self.seconds = seconds

    def message(self) -> str:
        """Name the limit and say that a change may have been made."""
        return (
            f"The request took more than {self.seconds:g} s and was cancelled. A"
            " change may have been made: repeat it with the same id."
        )


class RequestFailed(MedlarspringError):
    """The daemon failed with an unexpected exception."""

    code = "request-failed"

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail

    def message(self) -> str:
        """Tell the operator to repeat an edit, and which log event to report."""
        return (
            f"The daemon failed on this request ({self.detail}). An edit may have"
            " been accepted: repeat it with the same id, and report event 8004 of the"
            " daemon's log."
        )


def answer(document: object, status: int = 200) -> web.Response:
    """Return a JSON response."""
    return web.Response(
        body=msgspec.json.encode(document),
        status=status,
        content_type="application/json",
    )


def answer_error(error: MedlarspringError) -> web.Response:
    """Return a problem document for an expected failure."""
    details = error.details() if isinstance(error, TableError) else {}
    status = STATUS_BY_CODE.get(error.code, REFUSED)
    document = {
        "type": f"{PROBLEM_TYPE}{error.code}",
        "title": error.code.replace("-", " "),
        "status": status,
        "detail": error.message(),
        "code": error.code,
        **details,
    }
    response = web.Response(
        body=msgspec.json.encode(document),
        status=status,
        content_type="application/problem+json",
    )
    if isinstance(error, BodyTooLarge | RequestTooSlow):
        # The unread rest of the body would be parsed as the next request.
        response.force_close()
    return response


class OperatorRefusal(Exception):  # noqa: N818
    """Carries an expected failure from a handler to the port's middleware."""

    def __init__(self, error: MedlarspringError) -> None:
        super().__init__(error)
        self.error = error


def unwrap_or_refuse(result: Result[T, E]) -> T:
    """Return the value, or raise ``OperatorRefusal`` with the failure."""
    if not is_successful(result):
        raise OperatorRefusal(result.failure())
    return result.unwrap()


async def read_body(request: web.Request, body_type: type[T]) -> T:
    """Return the decoded JSON body; raise ``OperatorRefusal`` if bad or too slow."""
    try:
        async with asyncio.timeout(BODY_SECONDS):
            content = await request.read()
    except TimeoutError:
        raise OperatorRefusal(RequestTooSlow(BODY_SECONDS)) from None
    decoded = decode_json(content, body_type)
    if not is_successful(decoded):
        reason = f"The request body is invalid: {decoded.failure().detail}."
        raise OperatorRefusal(BadRequest(reason))
    return decoded.unwrap()


def read_number(request: web.Request, name: str, default: int, largest: int) -> int:
    """Return a parameter from 1 to ``largest``; raise ``OperatorRefusal`` if bad."""
    text = request.query.get(name)
    if text is None:
        return default
    if not text.isdecimal() or not 1 <= int(text) <= largest:
        reason = f"{name}: found {text!r}, wanted a whole number from 1 to {largest}."
        raise OperatorRefusal(BadRequest(reason))
    return int(text)


__all__ = [
    "BadRequest",
    "BodyTooLarge",
    "NotAuthorised",
    "NotFound",
    "OperatorRefusal",
    "RequestFailed",
    "RequestTooSlow",
    "answer",
    "answer_error",
    "read_body",
    "read_number",
    "unwrap_or_refuse",
]
