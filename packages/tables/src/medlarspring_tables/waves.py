"""Records of maintenance waves."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from medlarspring_tables.ids import VMId, WaveId


class WaveState(Enum):
    """Where a wave stands as a whole."""

    RUNNING = "running"
    PAUSED = "paused"
    ABORTED = "aborted"
    DONE = "done"


class WaveRecord(Struct, frozen=True, kw_only=True):
    """Intent to reboot each of a set of VMs once."""

    id: WaveId
    vm_ids: frozenset[VMId]
    state: WaveState = WaveState.RUNNING
    reason: str = ""
    """Why it is paused, aborted or done."""
    created_by: str = ""
    started_at: float = 0.0
    resumed_at: float = 0.0
    """Evidence from before this wall time no longer pauses the wave."""
    resumes_at: float = 0.0
    """Wall time of the next try while paused by evidence; 0 waits for a word."""
    pauses: int = 0
    """Pauses by evidence in a row, each with a longer wait."""
    ended_at: float = 0.0

    @property
    def is_open(self) -> bool:
        """Whether the wave still has work to do."""
        return self.state in (WaveState.RUNNING, WaveState.PAUSED)


__all__ = ["WaveRecord", "WaveState"]
