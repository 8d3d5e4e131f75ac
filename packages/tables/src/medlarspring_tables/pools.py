"""Records of disrupted VMs: per pool for its budget, per zone for its limit."""

from __future__ import annotations

from msgspec import Struct, field

from medlarspring_tables.ids import PoolId, VMId, ZoneId
from medlarspring_tables.vms import Cause


class PoolDisruptions(Struct, frozen=True, kw_only=True):
    """The VMs of one pool that control work has taken out of service."""

    pool_id: PoolId
    causes_by_vm: dict[VMId, Cause] = field(default_factory=dict)


class ZoneDisruptions(Struct, frozen=True, kw_only=True):
    """The VMs of one availability zone that control work has taken out of service."""

    zone_id: ZoneId
    causes_by_vm: dict[VMId, Cause] = field(default_factory=dict)


__all__ = ["PoolDisruptions", "ZoneDisruptions"]
