"""Decodes JSON that another program may have written."""

from __future__ import annotations

from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from medlarspring_tables import MedlarspringError

Message = TypeVar("Message")


class ContentUndecodable(MedlarspringError):
    """JSON from outside this process can't be decoded."""

    code = "content-undecodable"

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail

    def message(self) -> str:
        """Return what is wrong and what to do."""
        return (
            f"The content can't be decoded: {self.detail}. Correct it where it is"
            " written, or upgrade this program if a newer one wrote it."
        )


def decode_json(
    content: bytes | msgspec.Raw, message_type: type[Message], *, strict: bool = True
) -> Result[Message, ContentUndecodable]:
    """Decode JSON; a fault of any kind in the content is a ``Failure``.

    ``msgspec`` raises its own errors for malformed and mistyped content only, and the
    interpreter's for deep nesting and for text or numbers that Python refuses.
    """
    try:
        return Success(msgspec.json.decode(content, type=message_type, strict=strict))
    except RecursionError:
        return Failure(ContentUndecodable("it is nested too deeply"))
    except (msgspec.MsgspecError, ValueError, OverflowError) as error:
        return Failure(ContentUndecodable(str(error)))


__all__ = ["ContentUndecodable", "decode_json"]
