"""The configuration table of weights and limits, as stored."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct, field

from medlarspring_tables.bounds import Real, Whole
from medlarspring_tables.ids import (
    EditId,
    PartnerId,
    PoolId,
    Revision,
    ServiceId,
)


class RowKind(Enum):
    """The kinds of row that operators edit."""

    PARTNER = "partner"
    SERVICE = "service"
    POOL = "pool"
    FLEET = "fleet"


class PartnerRow(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How much of the fleet one partner may use."""

    id: PartnerId
    weight: Real
    """Relative share under contention; above 0."""
    limit_percent: Real = 100.0
    """Largest part of the slots that the partner may hold, even if others are idle."""
    credential_sha256: str = ""
    """Hex SHA-256 of the partner's bearer credential."""
    quota_cpus: Real = 0.0
    """Processors that the partner's jobs may hold at once."""
    quota_memory_gb: Real = 0.0
    quota_accelerators: Whole = 0
    revision: Revision = Revision(0)
    """Table revision of the row's last change."""


class ServiceRow(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A service that callers name in the first part of the path."""

    id: ServiceId
    pool_id: PoolId
    timeout_ms: Whole = 10_000
    """Timeout of a request that states no deadline."""
    max_body_bytes: Whole = 1_048_576
    revision: Revision = Revision(0)


class PoolRow(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A pool of VMs and its availability budget."""

    id: PoolId
    wanted_vms: Whole
    """Number of VMs that the pool should have."""
    min_available: Whole
    """The availability budget: number of VMs that must always be able to serve."""
    revision: Revision = Revision(0)


class FleetRow(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits of the whole fleet; there is exactly one such row."""

    id: str = "fleet"
    spare_percent: Real = 10.0
    """Capacity held back for failures, pooled across partners."""
    retry_percent: Real = 10.0
    """Retries allowed, in percent of the successful requests."""
    max_drains_per_zone: Whole = 8
    """Largest number of VMs of one availability zone under maintenance at once."""
    revision: Revision = Revision(0)


ConfigRow = PartnerRow | ServiceRow | PoolRow | FleetRow

ROW_TYPES_BY_KIND: dict[RowKind, type[ConfigRow]] = {
    RowKind.PARTNER: PartnerRow,
    RowKind.SERVICE: ServiceRow,
    RowKind.POOL: PoolRow,
    RowKind.FLEET: FleetRow,
}


class AcceptedEdit(Struct, frozen=True):
    """An edit that the table already contains, so that a retry is recognised."""

    id: EditId
    revision: Revision
    digest: str = ""
    """Digest of the edit's content; an id used for other content is refused."""


class ConfigTable(Struct, frozen=True, kw_only=True):
    """All rows as one value, so that checks across rows apply to each edit."""

    revision: Revision = Revision(0)
    """Number of accepted edits; nodes never return to a smaller revision."""
    fleet: FleetRow = field(default_factory=FleetRow)
    partners_by_id: dict[PartnerId, PartnerRow] = field(default_factory=dict)
    services_by_id: dict[ServiceId, ServiceRow] = field(default_factory=dict)
    pools_by_id: dict[PoolId, PoolRow] = field(default_factory=dict)
    recent_edits: tuple[AcceptedEdit, ...] = ()
    """The newest accepted edits, newest last."""


__all__ = [
    "AcceptedEdit",
    "ConfigRow",
    "ConfigTable",
    "FleetRow",
    "PartnerRow",
    "PoolRow",
    "ROW_TYPES_BY_KIND",
    "RowKind",
    "ServiceRow",
]
