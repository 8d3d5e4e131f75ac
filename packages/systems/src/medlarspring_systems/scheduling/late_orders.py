"""Orders that a worker left unanswered and that its next life must refuse.

A worker may carry an unanswered order out seconds later. A stop settles that with the
life that confirms it; a worker that starts again under its id knows nothing of it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import Worker, WorkerId, WorkTables

MAX_ORDER_DELAY_SECONDS = 12.0
"""An order without an answer is carried out within so long, or never."""


def record_unanswered_order(
    tables: WorkTables, worker_id: WorkerId, task_id: str, number: int, now: Seconds
) -> None:
    """Remember an order to start that got no answer."""
    orders = tables.unanswered_orders.setdefault(worker_id, {})
    for key, asked_at in list(orders.items()):
        if now - asked_at <= MAX_ORDER_DELAY_SECONDS:
            break
        del orders[key]
    orders[(task_id, number)] = now


def pop_late_orders(
    tables: WorkTables, worker: Worker, now: Seconds
) -> list[tuple[str, int]]:
    """Return the orders, by task id and run number, that a new life must refuse.

    Runs that are still entered there are settled by its listings.
    """
    orders = tables.unanswered_orders.pop(worker.id, {})
    return [
        key
        for key, asked_at in orders.items()
        if now - asked_at <= MAX_ORDER_DELAY_SECONDS and key not in worker.runs
    ]


__all__ = ["record_unanswered_order", "pop_late_orders"]
