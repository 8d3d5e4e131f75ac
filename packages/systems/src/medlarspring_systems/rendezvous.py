"""Rendezvous hashing, which ranks the present members for a key."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable

HASH_BYTES = 8

Id = TypeVar("Id", bound=str)


def rank(key: str, ids: Iterable[Id]) -> list[Id]:
    """Return the ids in order of preference for a key, the most preferred first.

    Every process computes the same order from the same ids. Removing an id does
    not change the order of the others, so only the keys of that id move.
    """
    return sorted(ids, key=lambda each: (weigh(key, each), each), reverse=True)


@lru_cache(maxsize=65_536)
def weigh(key: str, id: str) -> bytes:  # noqa: A002
    """Return a stable pseudo-random weight of an id for a key."""
    return blake2b(f"{key}\0{id}".encode(), digest_size=HASH_BYTES).digest()


__all__ = ["HASH_BYTES", "rank", "weigh"]
