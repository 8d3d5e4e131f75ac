"""Waits for conditions by polling, so that tests need no fixed sleeps."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")

POLL_SECONDS = 0.02


class WaitTimedOut(AssertionError):
    """The condition did not become true in time."""


def wait_for(
    condition: Callable[[], T | None],
    what: str,
    seconds: float = 10.0,
    poll_seconds: float = POLL_SECONDS,
) -> T:
    """Return the first true value of ``condition``; fail after ``seconds``."""
    deadline = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise WaitTimedOut(f"{what}: not within {seconds} s (last: {value!r})")
        time.sleep(poll_seconds)


__all__ = ["WaitTimedOut", "wait_for"]
