"""Decides how soon the VM list may be read again while early reads are requested."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables import Seconds

MIN_INTERVAL_SECONDS = 0.15
"""Shortest time between the beginnings of two reads."""
MAX_INTERVAL_SECONDS = 0.5
"""An ended incarnation is noticed within this time and that of a read."""
SECONDS_PER_VM = 0.0015
"""The list comes in pages, each of which is a call that this process decodes."""
READ_TIME_FACTOR = 3.0
"""If a read takes long, this process or the platform is slow. A third of the time at
most is then spent on reads."""


def plan_refresh_interval(vms: int, took: Seconds) -> Seconds:
    """Return the time between the beginnings of two reads.

    ``vms`` is the length of the list, and ``took`` the time that the last read took.
    """
    interval = max(vms * SECONDS_PER_VM, took * READ_TIME_FACTOR)
    return min(max(interval, MIN_INTERVAL_SECONDS), MAX_INTERVAL_SECONDS)


__all__ = ["plan_refresh_interval"]
