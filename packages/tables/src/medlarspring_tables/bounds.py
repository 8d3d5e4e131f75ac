"""Bounds of the numbers in records, checked when a record is decoded.

JSON has integers of any length. One that no ``float`` can hold raises
``OverflowError`` wherever it is first divided, long after the record was accepted.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

MAX_WHOLE = 2**53
"""Largest magnitude up to which every integer is exact as a ``float``."""
MAX_REAL = 1e15
"""Largest magnitude of a measured value, such as seconds or GB."""
MAX_REVISION = 2**63 - 1
"""Largest revision or lease id of a store."""

Whole = Annotated[int, Meta(ge=-MAX_WHOLE, le=MAX_WHOLE)]
Count = Annotated[int, Meta(ge=0, le=MAX_WHOLE)]
Real = Annotated[float, Meta(ge=-MAX_REAL, le=MAX_REAL)]
StoreNumber = Annotated[int, Meta(ge=-MAX_REVISION, le=MAX_REVISION)]
"""Revision, lease id or other 64-bit number that a store assigns."""

__all__ = [
    "MAX_REAL",
    "MAX_REVISION",
    "MAX_WHOLE",
    "Count",
    "Real",
    "StoreNumber",
    "Whole",
]
