"""Rendezvous hashing: who of the present members is preferred for a key."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable

HASH_BYTES = 8

Id = TypeVar("Id", bound=str)


def rank(key: str, ids: Iterable[Id]) -> list[Id]:
    """Return the ids by preference for a key, the most preferred first.

    Every process computes the same order from the same ids, and an id that goes
    changes the order of no other two, so that only its own keys move.
    """
    return sorted(ids, key=lambda each: (weigh(key, each), each), reverse=True)


@lru_cache(maxsize=65_536)
def weigh(key: str, id: str) -> bytes:  # noqa: A002
    """Return a stable random weight of an id for a key."""
    return blake2b(f"{key}\0{id}".encode(), digest_size=HASH_BYTES).digest()


__all__ = ["HASH_BYTES", "rank", "weigh"]
