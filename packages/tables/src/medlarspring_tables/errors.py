"""Base class of the typed errors, whose messages name the remedy."""

from __future__ import annotations


class MedlarspringError(Exception):
    """An expected failure, with a stable code and a message for people."""

    code = "error"

    def message(self) -> str:
        """Say what failed and what the reader can do about it."""
        raise NotImplementedError

    def __str__(self) -> str:
        return self.message()


__all__ = ["MedlarspringError"]
