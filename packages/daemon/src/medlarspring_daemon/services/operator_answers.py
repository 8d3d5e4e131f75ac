"""Answers of the operator port: JSON documents and problems."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import msgspec
from aiohttp import web
from returns.pipeline import is_successful

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
}
"""HTTP status of each refusal; all others are 422, understood and refused."""
REFUSED = 422


class BadRequest(MedlarspringError):
    """The request isn't one that the operator port understands."""

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
            "The operator port wants the token of its settings ([operator]"
            " token_file). Give the same token with --token-file, or in the file that"
            " MEDLARSPRING_TOKEN_FILE names."
        )


class NotFound(MedlarspringError):
    """There is no such thing."""

    code = "not-found"

    def __init__(self, what: str, remedy: str) -> None:
        super().__init__(what, remedy)
        self.what = what
        self.remedy = remedy

    def message(self) -> str:
        """Say what is missing and how to list what there is."""
        return f"There is no {self.what}; {self.remedy}."


class RequestFailed(MedlarspringError):
    """A fault of the daemon itself."""

    code = "request-failed"

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail

    def message(self) -> str:
        """Say where to look."""
        return (
            f"The daemon failed on this request ({self.detail}). An edit may have"
            " been accepted: repeat it with the same id, and report event 8004 of the"
            " daemon's log."
        )


def answer(document: object, status: int = 200) -> web.Response:
    """Return a JSON answer."""
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
    return web.Response(
        body=msgspec.json.encode(document),
        status=status,
        content_type="application/problem+json",
    )


class Refusal(Exception):  # noqa: N818
    """Carries an expected failure from a handler to the port's middleware."""

    def __init__(self, error: MedlarspringError) -> None:
        super().__init__(error)
        self.error = error


def unwrap_or_refuse(result: Result[T, E]) -> T:
    """Return the value, or end the request with the failure's problem."""
    if not is_successful(result):
        raise Refusal(result.failure())
    return result.unwrap()


async def read_body(request: web.Request, body_type: type[T]) -> T:
    """Decode a JSON body, or end the request with what is wrong with it."""
    try:
        return msgspec.json.decode(await request.read(), type=body_type)
    except msgspec.DecodeError as error:
        raise Refusal(BadRequest(f"The body is not as wanted: {error}.")) from None


def read_number(request: web.Request, name: str, default: int, largest: int) -> int:
    """Return a whole number of the query, or end the request."""
    text = request.query.get(name)
    if text is None:
        return default
    if not text.isdecimal() or not 1 <= int(text) <= largest:
        reason = f"{name}: found {text!r}, wanted a whole number from 1 to {largest}."
        raise Refusal(BadRequest(reason))
    return int(text)


__all__ = [
    "BadRequest",
    "NotAuthorised",
    "NotFound",
    "Refusal",
    "RequestFailed",
    "answer",
    "answer_error",
    "read_body",
    "read_number",
    "unwrap_or_refuse",
]
