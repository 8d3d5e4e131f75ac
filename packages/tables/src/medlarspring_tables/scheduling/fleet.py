"""VMs, workers and maintenance waves as the platform reports them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables.ids import PoolId, RackId, Seconds, VMId, WaveId, ZoneId
    from medlarspring_tables.scheduling.ids import Milliseconds, QueueId, WorkerId
    from medlarspring_tables.scheduling.specs import QueuePolicy


@dataclass(frozen=True, slots=True)
class Resources:
    """Processors, memory and accelerators of a worker, or asked of it."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class WorkerCondition(Enum):
    """What a worker says of itself in the registry."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """A worker's own entry in the platform's registry; may lag by seconds."""

    id: WorkerId
    vm_id: VMId
    pool_id: PoolId
    zone_id: ZoneId
    address: str
    condition: WorkerCondition
    resources: Resources
    labels: tuple[str, ...]
    rack_id: RackId
    clock_ms: Milliseconds
    warmup_ms: Milliseconds = 0
    born_ms: Milliseconds = 0
    """When this life of the worker began, in Unix time; 0 if it does not say."""


class VMPhase(Enum):
    """What the platform's VM control says of a VM."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"
    UNKNOWN = "unknown"
    """A word of a newer platform: no ground to use the VM, and no proof of an end."""


@dataclass(frozen=True, slots=True)
class VMEntry:
    """A VM in the platform's list."""

    id: VMId
    pool_id: PoolId
    phase: VMPhase
    zone_id: ZoneId
    rack_id: RackId
    resources: Resources
    worker_id: WorkerId | None
    """The VM's present life; None while it is off or not up."""


@dataclass(frozen=True, slots=True)
class PoolPolicy:
    """What the operator's configuration says of a pool."""

    id: PoolId
    enforces_resources: bool = True
    """Its workers refuse tasks that do not fit."""
    standby: bool = False
    """Its VMs are off and cost nothing."""


@dataclass(frozen=True, slots=True)
class Route:
    """Host and path prefix that lead to a queue."""

    host: str
    prefix: str
    queue: QueuePolicy


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """The operator's configuration in force."""

    version: int
    routes: tuple[Route, ...] = ()
    pools_by_id: dict[PoolId, PoolPolicy] = field(default_factory=dict)
    queues_by_id: dict[QueueId, QueuePolicy] = field(default_factory=dict)
    max_body_bytes: int = 262_144
    max_header_bytes: int = 16_384
    header_timeout_ms: Milliseconds = 3_000
    idle_timeout_ms: Milliseconds = 15_000


@dataclass(frozen=True, slots=True)
class WaveOrder:
    """The operator's order to maintain VMs by a deadline."""

    id: WaveId
    vm_ids: tuple[VMId, ...]
    deadline_seconds: Seconds
    """Counted from when the order was written."""
    max_at_once: int


__all__ = [
    "OperatorConfig",
    "PoolPolicy",
    "Resources",
    "Route",
    "VMEntry",
    "VMPhase",
    "WaveOrder",
    "WorkerCondition",
    "WorkerEntry",
]
