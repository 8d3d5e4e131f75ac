"""Whether the view of the worker registry is current enough to start tasks from it.

A worker that leaves announces it in the registry, and no task may start there some time
later. The registry may have changed since the view was last confirmed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables import Seconds

ORDER_SECONDS = 0.25
"""Left for a start order to reach its worker, with its repeats."""
MIN_BOUND_SECONDS = 1.25
"""Least bound. Without changes, a view gets as old as a watch call of 0.8 s and the
time of its answer; a smaller bound would hold starts back while all is well."""


def find_age_bound(drain: Seconds) -> Seconds:
    """Return the largest age of a view from which tasks may be started.

    ``drain`` is how long tasks may start on a worker after it announced that it leaves.
    """
    return max(drain - ORDER_SECONDS, MIN_BOUND_SECONDS)


def is_view_current(confirmed_at: Seconds | None, drain: Seconds, now: Seconds) -> bool:
    """Return whether tasks may be started from a view that was confirmed last then."""
    if confirmed_at is None:
        return False
    return now - confirmed_at <= find_age_bound(drain)


__all__ = ["find_age_bound", "is_view_current"]
