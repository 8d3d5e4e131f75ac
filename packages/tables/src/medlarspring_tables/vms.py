"""Records of VMs, and observations of their condition by the platform."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from msgspec import Struct

from medlarspring_tables.bounds import Real, Whole
from medlarspring_tables.ids import PoolId, RackId, Revision, VMId, WaveId, ZoneId


class VMState(Enum):
    """State that control work intends for a VM; written before any action."""

    SERVING = "serving"
    DRAINING = "draining"
    """Listed among its pool's disruptions; gets no new work."""
    REBOOTING = "rebooting"
    RESTORING = "restoring"
    """A drain is being cancelled."""
    JOINING = "joining"
    """Moved while drained; not serving in its new pool yet."""
    OUT = "out"
    """Did not return, or failed for long; no longer counts as a member of its pool."""


class VMCondition(Enum):
    """Condition of a VM as reported by the platform."""

    SERVING = "serving"
    DRAINING = "draining"
    """Accepts no new work; requests are still in flight."""
    DRAINED = "drained"
    REBOOTING = "rebooting"
    DOWN = "down"


class CauseKind(Enum):
    """Why control work disrupts a VM."""

    WAVE = "wave"
    MOVE = "move"


class Cause(Struct, frozen=True):
    """The wave or move for which a VM is disrupted."""

    kind: CauseKind
    id: str


class Outcome(Enum):
    """Result of a maintenance wave for one VM."""

    BACK = "back"
    NOT_RETURNED = "not-returned"
    RACK_LOST = "rack-lost"
    """Lost together with its rack; does not count as a failure of the wave."""
    DRAIN_TIMED_OUT = "drain-timed-out"


class VMRecord(Struct, frozen=True, kw_only=True):
    """Stored record of a VM; the authority on its pool and intended state."""

    id: VMId
    pool_id: PoolId
    rack_id: RackId
    zone_id: ZoneId
    state: VMState = VMState.SERVING
    since: Real = 0.0
    """Wall time at which the state was written."""
    cause: Cause | None = None
    target_pool_id: PoolId | None = None
    """Pool to which the VM moves once it is drained; None if it is not moved."""
    boot: Whole = 0
    """Boot count observed before the intended reboot."""
    wave_id: WaveId | None = None
    """The last wave that finished for this VM; the next three fields describe it."""
    outcome: Outcome | None = None
    finished_at: Real = 0.0
    began_at: Real = 0.0
    """Wall time of the intent that finished at ``finished_at``."""
    maintained_at: Real = 0.0
    """Wall time of the last successful reboot, or of the VM's adoption."""


@dataclass(slots=True)
class VMObservation:
    """Last status of a VM from the platform's control; outdated ones are dropped."""

    vm_id: VMId
    pool_id: PoolId
    condition: VMCondition
    boot: int
    revision: Revision
    """Highest record revision of the actions that the platform accepted."""


__all__ = [
    "Cause",
    "CauseKind",
    "Outcome",
    "VMCondition",
    "VMRecord",
    "VMObservation",
    "VMState",
]
