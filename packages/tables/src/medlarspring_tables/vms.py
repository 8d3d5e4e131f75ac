"""Records and sightings of VMs."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from msgspec import Struct

from medlarspring_tables.ids import PoolId, RackId, Revision, VMId, WaveId, ZoneId


class VMState(Enum):
    """What the control work intends for a VM; written before any action."""

    SERVING = "serving"
    DRAINING = "draining"
    """Listed among its pool's disruptions; gets no new work."""
    REBOOTING = "rebooting"
    RESTORING = "restoring"
    """A drain is being taken back."""
    JOINING = "joining"
    """Moved while drained; does not serve in its new pool yet."""
    OUT = "out"
    """Did not return, or failed for long; replaced in the pool's count."""


class VMCondition(Enum):
    """What the platform says a VM does."""

    SERVING = "serving"
    DRAINING = "draining"
    """Takes no new work; requests are in flight."""
    DRAINED = "drained"
    REBOOTING = "rebooting"
    DOWN = "down"


class CauseKind(Enum):
    """Why control work disrupts a VM."""

    WAVE = "wave"
    MOVE = "move"


class Cause(Struct, frozen=True):
    """The wave or move on whose behalf a VM is disrupted."""

    kind: CauseKind
    id: str


class Outcome(Enum):
    """How a maintenance wave ended for one VM."""

    BACK = "back"
    NOT_RETURNED = "not-returned"
    RACK_LOST = "rack-lost"
    """Did not return, and neither did its rack; not the wave's doing."""
    DRAIN_TIMED_OUT = "drain-timed-out"


class VMRecord(Struct, frozen=True, kw_only=True):
    """The durable truth on one VM: its one pool and its state."""

    id: VMId
    pool_id: PoolId
    rack_id: RackId
    zone_id: ZoneId
    state: VMState = VMState.SERVING
    since: float = 0.0
    """Wall time at which the state was written."""
    cause: Cause | None = None
    target_pool_id: PoolId | None = None
    """Where the VM goes once it is drained, if it is being moved."""
    boot: int = 0
    """Boot count seen before the reboot that is intended."""
    wave_id: WaveId | None = None
    """The last wave that ended for this VM, with its outcome and end."""
    outcome: Outcome | None = None
    finished_at: float = 0.0
    began_at: float = 0.0
    """Wall time of the intent whose end is ``finished_at``."""
    maintained_at: float = 0.0
    """Wall time of the last reboot it returned from, or of its adoption."""


@dataclass(slots=True)
class VMObservation:
    """What the platform's control last said of a VM; old ones are dropped."""

    vm_id: VMId
    pool_id: PoolId
    condition: VMCondition
    boot: int
    revision: Revision
    """Highest record revision carried by an action that the platform accepted."""


__all__ = [
    "Cause",
    "CauseKind",
    "Outcome",
    "VMCondition",
    "VMRecord",
    "VMObservation",
    "VMState",
]
