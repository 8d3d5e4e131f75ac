"""Time limits of the platform's contract."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables.ids import Seconds


@dataclass(frozen=True, slots=True)
class FleetLimits:
    """Time limits of the platform's contract, in seconds, with their usual values."""

    config_apply: Seconds = 2.0
    """Longest time from the confirmation of a configuration until it is in force."""
    vm_lease: Seconds = 3.0
    """Shortest time between the orders of two different holders for one VM."""
    grace: Seconds = 6.0
    """Time between the signal to stop a process and its kill."""
    drain: Seconds = 2.0
    """Longest time that tasks may start on a worker after it announced that it leaves.
    """
    worker_lease: Seconds = 10.0
    """Longest lease that a worker grants."""
    stop: Seconds = 0.4
    """Longest time that a worker takes to stop a task."""
    cancel: Seconds = 3.0
    """Time after a cancellation from which no task of the job may start."""
    visible: Seconds = 3.0
    """Longest time until an accepted job must be known everywhere."""
    status: Seconds = 120.0
    """Shortest time for which the outcome of a job must remain available."""
    gang: Seconds = 3.0
    """Time that a member of a gang waits for the others."""
    notice: Seconds = 4.5
    """A long-running task that is down for longer counts as unavailable."""
    impact: Seconds = 4.0
    """Longest time that a task may miss its latency target because of a neighbour."""
    move: Seconds = 1.5
    """Time until a VM is back after a move to another pool."""
    maintenance: Seconds = 2.0
    """Time until a VM is back from maintenance."""
    remote_factor: float = 1.5
    """Tasks away from their data take this many times as long."""


__all__ = ["FleetLimits"]
