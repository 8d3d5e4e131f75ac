"""Identifiers of queues, workers and runs."""

from __future__ import annotations

from typing import NewType

from medlarspring_tables.bounds import Whole

QueueId = NewType("QueueId", str)
"""A queue of jobs, named in the operator's configuration."""

WorkerId = NewType("WorkerId", str)
"""A worker on a VM.

A VM that restarts usually gets another worker id. If it keeps the id, its
incarnations differ by their start.
"""

CellId = NewType("CellId", str)
"""A part of the fleet that has its own controller."""

Fence = NewType("Fence", int)
"""Fencing token of a controller; workers ignore orders with a smaller one."""

Milliseconds = Whole
"""Whole milliseconds: a duration, or wall time since the epoch."""

__all__ = ["CellId", "Fence", "Milliseconds", "QueueId", "WorkerId"]
