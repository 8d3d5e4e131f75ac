"""Records of disruptions: by pool for the budget, by zone for its limit."""

from __future__ import annotations

from msgspec import Struct, field

from medlarspring_tables.ids import PoolId, VMId, ZoneId
from medlarspring_tables.vms import Cause


class PoolDisruptions(Struct, frozen=True, kw_only=True):
    """The VMs that control work has taken out of service in one pool."""

    pool_id: PoolId
    causes_by_vm: dict[VMId, Cause] = field(default_factory=dict)


class ZoneDisruptions(Struct, frozen=True, kw_only=True):
    """The VMs of one availability zone that control work has taken out."""

    zone_id: ZoneId
    causes_by_vm: dict[VMId, Cause] = field(default_factory=dict)


__all__ = ["PoolDisruptions", "ZoneDisruptions"]
