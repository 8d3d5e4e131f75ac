"""Tells a requested cancellation from one that a library raised."""

from __future__ import annotations

import asyncio


def is_cancellation_requested() -> bool:
    """Return whether the current task was asked to end.

    A future that a library cancels raises ``CancelledError`` in the task that awaits
    it. The task must not end by it, since nobody knows that it would have to be
    started again.
    """
    task = asyncio.current_task()
    return task is None or task.cancelling() > 0


__all__ = ["is_cancellation_requested"]
