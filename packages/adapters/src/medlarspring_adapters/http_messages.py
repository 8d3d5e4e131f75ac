"""HTTP/1.1 requests as they are sent, and responses as they are received."""

from __future__ import annotations

import re
from dataclasses import dataclass
from functools import lru_cache
from typing import TYPE_CHECKING
from urllib.parse import quote

if TYPE_CHECKING:
    from collections.abc import Mapping

TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
"""Methods and names of headers."""
FIELD_VALUE = re.compile(r"[^\x00-\x08\x0a-\x1f\x7f]*")
"""Values of headers; a line break would begin another header or request."""
TARGET = re.compile(r"/[!$%&'()*+,./0-9:;=?@A-Z_a-z~-]*")
"""Request targets that need no quoting."""
TARGET_CHARACTERS = "!$%&'()*+,/:;=?@~"
"""Characters of a request target that stay as they are, besides letters and digits."""
CACHED_STARTS = 2_048
"""Request lines with headers that are kept; some per worker, of which a large
deployment has several hundred."""
BODILESS_METHODS = frozenset({"GET", "DELETE", "OPTIONS", "TRACE"})
"""Methods whose requests announce no length unless they have a body."""


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete HTTP response."""

    status: int
    body: bytes


def encode_request(
    method: str,
    address: str,
    path: str,
    body: bytes | None,
    headers: Mapping[str, str] | None,
) -> bytes:
    """Return a request with a JSON body; raises ``ValueError`` if it is malformed."""
    fields = tuple(headers.items()) if headers else ()
    start = _encode_start(method, address, path, fields)
    if body is None and method in BODILESS_METHODS:
        return start + b"\r\n"
    content = body or b""
    return b"%bContent-Length: %d\r\n\r\n%b" % (start, len(content), content)


@lru_cache(CACHED_STARTS)
def _encode_start(
    method: str, address: str, path: str, headers: tuple[tuple[str, str], ...]
) -> bytes:
    """Return the request line and all headers but the length.

    The answer to HEAD could not be told from one whose body is missing.
    """
    if method == "HEAD" or not TOKEN.fullmatch(method):
        raise ValueError(f"invalid method {method!r}")
    fields = {"Host": address, "Content-Type": "application/json", **dict(headers)}
    lines = [f"{method} {_quote_target(path)} HTTP/1.1"]
    lines += [_encode_field(name, value) for name, value in fields.items()]
    return "\r\n".join([*lines, ""]).encode()


def _encode_field(name: str, value: str) -> str:
    if not TOKEN.fullmatch(name) or not FIELD_VALUE.fullmatch(value):
        raise ValueError(f"invalid header {name!r}")
    return f"{name}: {value}"


def _quote_target(path: str) -> str:
    """Return the path without a fragment, which is not part of a request."""
    if TARGET.fullmatch(path):
        return path
    target = quote(path.partition("#")[0], safe=TARGET_CHARACTERS)
    if not target.startswith("/"):
        raise ValueError(f"invalid path {path!r}")
    return target


__all__ = ["HttpAnswer", "encode_request"]
