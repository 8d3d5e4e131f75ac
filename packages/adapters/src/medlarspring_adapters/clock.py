"""Clocks; all other code reads the time through them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from medlarspring_tables import Seconds


class Clock(Protocol):
    """Monotonic time for decisions and wall time for records."""

    def now(self) -> Seconds:
        """Return monotonic seconds, which continue to advance during a suspension."""
        ...

    def wall(self) -> Seconds:
        """Return seconds since the epoch, for people and audit records only."""
        ...


class SystemClock:
    """The clock of the machine."""

    def now(self) -> Seconds:
        """Return monotonic seconds."""
        return time.monotonic()

    def wall(self) -> Seconds:
        """Return seconds since the epoch."""
        return time.time()


class SuspendAwareClock(SystemClock):
    """The clock of a machine that may be suspended.

    ``CLOCK_MONOTONIC`` stops during a suspension. A holder that measured its lease
    with it would treat an expired lease as valid after it resumes.
    """

    def now(self) -> Seconds:
        """Return seconds since boot, including time in suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """A clock for tests that advances only when told to."""

    def __init__(self, start: Seconds = 1000.0) -> None:
        self._now = start

    def now(self) -> Seconds:
        """Return the time that is set."""
        return self._now

    def wall(self) -> Seconds:
        """Return the same time as ``now``."""
        return self._now

    def advance(self, seconds: Seconds) -> None:
        """Move the clock forward."""
        self._now += seconds


__all__ = ["Clock", "ManualClock", "SuspendAwareClock", "SystemClock"]
