"""Records of maintenance waves."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from medlarspring_tables.bounds import Real, Whole
from medlarspring_tables.ids import VMId, WaveId


class WaveState(Enum):
    """State of a wave as a whole."""

    RUNNING = "running"
    PAUSED = "paused"
    ABORTED = "aborted"
    DONE = "done"


class WaveRecord(Struct, frozen=True, kw_only=True):
    """Intent to reboot each VM of a set once."""

    id: WaveId
    vm_ids: frozenset[VMId]
    state: WaveState = WaveState.RUNNING
    reason: str = ""
    """Why the wave is paused, aborted or done."""
    created_by: str = ""
    started_at: Real = 0.0
    resumed_at: Real = 0.0
    """Outcomes of VMs that began before this wall time no longer pause the wave."""
    resumes_at: Real = 0.0
    """Wall time at which a wave paused by failures resumes by itself.

    0 while the wave is paused by an operator, who has to resume it.
    """
    pauses: Whole = 0
    """Consecutive pauses because of failures, each longer than the one before."""
    ended_at: Real = 0.0

    @property
    def is_open(self) -> bool:
        """Whether the wave is neither done nor aborted."""
        return self.state in (WaveState.RUNNING, WaveState.PAUSED)


__all__ = ["WaveRecord", "WaveState"]
