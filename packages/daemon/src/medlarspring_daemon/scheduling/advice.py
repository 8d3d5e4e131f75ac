"""Starts what a controller does about the adviser of restricted queues."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_daemon.scheduling.advice_fetcher import AdviceFetcher
from medlarspring_daemon.scheduling.advice_reporter import AdviceReporter

if TYPE_CHECKING:
    from medlarspring_adapters.background_tasks import BackgroundTasks
    from medlarspring_daemon.scheduling.advice_fetcher import AdviceFetcherOwner
    from medlarspring_daemon.scheduling.context import SchedulingNode


def start_advice(
    tasks: BackgroundTasks, node: SchedulingNode, owner: AdviceFetcherOwner
) -> None:
    """Start to fetch advice, and to report what waits for it, if anyone advises."""
    if node.adviser is None:
        return
    tasks.run_with_restart(AdviceFetcher(node, node.adviser, owner).run)
    tasks.run_with_restart(AdviceReporter(node, owner.tables).run)


__all__ = ["start_advice"]
