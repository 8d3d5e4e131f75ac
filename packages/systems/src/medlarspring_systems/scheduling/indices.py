"""Indices in keys and ids that other programs may have written."""

from __future__ import annotations

MAX_INDEX_DIGITS = 9
"""Digits of an index; ``int`` raises beyond some thousands."""


def is_index(text: str) -> bool:
    """Return whether text is a decimal index that ``int`` accepts."""
    return text.isdecimal() and len(text) <= MAX_INDEX_DIGITS


__all__ = ["MAX_INDEX_DIGITS", "is_index"]
