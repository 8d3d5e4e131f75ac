"""Tracking of unanswered start orders that a worker must refuse after a restart.

A worker may carry out an unanswered order seconds later. A stop prevents that only in
the incarnation that confirms it; a worker that restarts under the same id does not know
of the stop.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import Worker, WorkerId, WorkTables

MAX_ORDER_DELAY_SECONDS = 12.0
"""An unanswered order is carried out within this time or not at all."""


def record_unanswered_order(
    tables: WorkTables, worker_id: WorkerId, task_id: str, number: int, now: Seconds
) -> None:
    """Record a start order that got no answer, and drop expired ones."""
    orders = tables.unanswered_orders.setdefault(worker_id, {})
    for key, asked_at in list(orders.items()):
        if now - asked_at <= MAX_ORDER_DELAY_SECONDS:
            break
        del orders[key]
    orders[(task_id, number)] = now


def pop_late_orders(
    tables: WorkTables, worker: Worker, now: Seconds
) -> list[tuple[str, int]]:
    """Remove and return the orders that a restarted worker must refuse.

    Each is a task id and a run number. Runs that are still recorded on the worker are
    excluded, since its listings resolve them.
    """
    orders = tables.unanswered_orders.pop(worker.id, {})
    return [
        key
        for key, asked_at in orders.items()
        if now - asked_at <= MAX_ORDER_DELAY_SECONDS and key not in worker.runs
    ]


__all__ = [
    "MAX_ORDER_DELAY_SECONDS",
    "pop_late_orders",
    "record_unanswered_order",
]
