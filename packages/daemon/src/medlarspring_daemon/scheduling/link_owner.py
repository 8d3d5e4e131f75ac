"""What the links to workers tell the controller of their cell."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from medlarspring_systems.scheduling.listings import ListingOutcome
    from medlarspring_tables.scheduling import Milliseconds, Run, Worker, WorkTables


class LinkOwner(Protocol):
    """What a link tells the controller of its cell."""

    tables: WorkTables

    def note_listing(self, worker: Worker, outcome: ListingOutcome) -> None:
        """Record what a listing changed, and plan anew."""
        ...

    def handle_detached_run(self, worker: Worker, run: Run) -> None:
        """Record that a run is over or was refused, and plan anew."""
        ...

    def handle_unresponsive_worker(self, worker: Worker) -> None:
        """Look whether a worker that does not answer is still alive."""
        ...

    def handle_worker_restart(self, worker: Worker, born_ms: Milliseconds) -> None:
        """Note that a worker speaks from another life than the one that is known."""
        ...

    def record_order(self, *, answered: bool) -> None:
        """Note whether a worker answered an order in time."""
        ...

    def handle_superseded(self) -> None:
        """Stop: a controller with a higher fence has been at a worker."""
        ...


__all__ = ["LinkOwner"]
