"""Times that the platform's contract sets."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables.ids import Seconds


@dataclass(frozen=True, slots=True)
class FleetLimits:
    """Times of the platform's contract, in seconds; defaults are its usual ones."""

    config_apply: Seconds = 2.0
    """A configuration must be in force so soon after its confirmation."""
    vm_lease: Seconds = 3.0
    """Two holders may give orders for one VM only so far apart."""
    grace: Seconds = 6.0
    """Between the signal to stop and the kill."""
    worker_lease: Seconds = 10.0
    """Longest lease that a worker grants."""
    stop: Seconds = 0.4
    """Longest time that a worker takes to stop a task."""
    cancel: Seconds = 3.0
    """So soon after a cancellation no task of the job may start any more."""
    visible: Seconds = 3.0
    """So soon an accepted job must be known everywhere."""
    status: Seconds = 120.0
    """How long the outcome of a job must be known."""
    gang: Seconds = 3.0
    """A member of a gang waits so long for the others."""
    notice: Seconds = 4.5
    """A long-running task that is away for longer counts as unavailable."""
    impact: Seconds = 4.0
    """So long a task may miss its latency target because of a neighbour."""
    move: Seconds = 1.5
    """A VM that changes its pool is back so much later."""
    maintenance: Seconds = 2.0
    """A VM is back from maintenance so much later."""
    remote_factor: float = 1.5
    """Tasks away from their data take so many times as long."""


__all__ = ["FleetLimits"]
