"""Clocks: the only way the product learns the time."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from medlarspring_tables import Seconds


class Clock(Protocol):
    """Monotonic time for decisions and wall time for records."""

    def now(self) -> Seconds:
        """Return monotonic seconds; never goes back, keeps on in a freeze."""
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

    The monotonic clock stands still while the machine does. A holder that counted
    its lease by it would wake up after seconds and still believe in it.
    """

    def now(self) -> Seconds:
        """Return seconds since boot, those of a suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """A clock that tests move by hand."""

    def __init__(self, start: Seconds = 1000.0) -> None:
        self._now = start

    def now(self) -> Seconds:
        """Return the time set so far."""
        return self._now

    def wall(self) -> Seconds:
        """Return the same time as ``now``."""
        return self._now

    def advance(self, seconds: Seconds) -> None:
        """Move the clock forward."""
        self._now += seconds


__all__ = ["Clock", "ManualClock", "SuspendAwareClock", "SystemClock"]
