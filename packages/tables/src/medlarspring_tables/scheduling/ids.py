"""Identifiers of queues, workers and runs."""

from __future__ import annotations

from typing import NewType

QueueId = NewType("QueueId", str)
"""A queue of jobs, as the operator's configuration names it."""

WorkerId = NewType("WorkerId", str)
"""One life of a VM as a worker; a VM that restarts becomes another worker."""

CellId = NewType("CellId", str)
"""A part of the fleet with a controller of its own."""

Fence = NewType("Fence", int)
"""Fencing token of a controller; workers ignore orders with a smaller one."""

Milliseconds = int
"""Whole milliseconds: a duration, or wall time since the epoch."""

__all__ = ["CellId", "Fence", "Milliseconds", "QueueId", "WorkerId"]
