"""The interface through which worker links report to their cell's controller."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from medlarspring_systems.scheduling.answer_times import AnswerTimes
    from medlarspring_systems.scheduling.listings import ListingOutcome
    from medlarspring_systems.scheduling.loop_delay import LoopDelay
    from medlarspring_systems.scheduling.poll_rates import PollRates
    from medlarspring_tables.scheduling import Milliseconds, Run, Worker, WorkTables


class LinkOwner(Protocol):
    """The part of the cell's controller that a worker link uses."""

    tables: WorkTables
    order_times: AnswerTimes
    """Answer times of start and stop orders to all workers."""
    hold_times: AnswerTimes
    """Answer times of hold calls to all workers, without the requested wait."""
    poll_rates: PollRates
    """The polled workers, which share the cell's limits of polls."""
    loop_delay: LoopDelay
    """How late this process is; calls get as much more time."""

    def handle_listing(self, worker: Worker, outcome: ListingOutcome) -> None:
        """Record what a listing changed, and schedule a placement round."""
        ...

    def handle_detached_run(self, worker: Worker, run: Run) -> None:
        """Record that a run was not started, and schedule a placement round."""
        ...

    def handle_unresponsive_worker(self, worker: Worker) -> None:
        """Check whether a worker that does not answer is still running."""
        ...

    def handle_worker_restart(self, worker: Worker, born_ms: Milliseconds) -> None:
        """Switch to a worker's new incarnation, which began at ``born_ms``."""
        ...

    def record_order(self, *, answered: bool) -> None:
        """Record whether a worker answered a start order in time."""
        ...

    def handle_superseded(self) -> None:
        """End the term: a worker has seen a controller with a higher fence."""
        ...


__all__ = ["LinkOwner"]
