"""VMs, workers and maintenance waves as the platform reports them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables.ids import (
        PartnerId,
        PoolId,
        RackId,
        Seconds,
        VMId,
        WaveId,
        ZoneId,
    )
    from medlarspring_tables.scheduling.ids import Milliseconds, QueueId, WorkerId
    from medlarspring_tables.scheduling.specs import QueuePolicy


@dataclass(frozen=True, slots=True)
class Resources:
    """CPU, memory and accelerators that a worker offers or that a task requests."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class WorkerCondition(Enum):
    """State that a worker reports in its registry entry."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """A worker's own entry in the platform's registry; may be seconds out of date."""

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
    """Start of this incarnation of the worker, in Unix time; 0 if not reported."""


class VMPhase(Enum):
    """State of a VM as reported by the platform's VM control."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"
    UNKNOWN = "unknown"
    """A state that this version does not know, reported by a newer platform.

    The VM is not used, and its worker does not count as ended.
    """


@dataclass(frozen=True, slots=True)
class VMEntry:
    """A VM in the platform's VM list."""

    id: VMId
    pool_id: PoolId
    phase: VMPhase
    zone_id: ZoneId
    rack_id: RackId
    resources: Resources
    worker_id: WorkerId | None
    """The worker that now runs on the VM; None while the VM is off or not up."""


@dataclass(frozen=True, slots=True)
class PoolPolicy:
    """Settings of a pool in the operator's configuration."""

    id: PoolId
    enforces_resources: bool = True
    """Its workers refuse tasks that exceed their free resources."""
    standby: bool = False
    """Its VMs are off and cost nothing."""


@dataclass(frozen=True, slots=True)
class PartnerPolicy:
    """Settings of a partner in the operator's configuration."""

    id: PartnerId
    weight: float = 1.0
    """Its share relative to the other partners' while capacity is short."""
    quota: Resources = Resources()
    """Most that its tasks may use at a time over all workers; 0 for no limit."""
    credentials_sha256: tuple[str, ...] = ()
    """Hex SHA-256 of each of its bearer credentials."""


@dataclass(frozen=True, slots=True)
class Route:
    """Host and path prefix of the requests for a queue."""

    host: str
    prefix: str
    queue: QueuePolicy
    public: bool = False
    """Whether calls need no credential."""


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """The operator's configuration in force."""

    version: int
    routes: tuple[Route, ...] = ()
    pools_by_id: dict[PoolId, PoolPolicy] = field(default_factory=dict)
    queues_by_id: dict[QueueId, QueuePolicy] = field(default_factory=dict)
    partners_by_id: dict[PartnerId, PartnerPolicy] = field(default_factory=dict)
    requires_credentials: bool = False
    """Whether calls on routes that are not public need a partner's credential."""
    max_body_bytes: int = 262_144
    max_header_bytes: int = 16_384
    header_timeout_ms: Milliseconds = 3_000
    idle_timeout_ms: Milliseconds = 15_000

    @property
    def has_competing_partners(self) -> bool:
        """Whether several partners share the pools, by their weights and quotas."""
        return len(self.partners_by_id) > 1


@dataclass(frozen=True, slots=True)
class WaveOrder:
    """The operator's order to maintain VMs by a deadline."""

    id: WaveId
    vm_ids: tuple[VMId, ...]
    deadline_seconds: Seconds
    """Counted from the time when the order was written."""
    max_at_once: int
    """VMs in maintenance at the same time, at most."""


__all__ = [
    "OperatorConfig",
    "PartnerPolicy",
    "PoolPolicy",
    "Resources",
    "Route",
    "VMEntry",
    "VMPhase",
    "WaveOrder",
    "WorkerCondition",
    "WorkerEntry",
]
