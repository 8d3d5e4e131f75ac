"""Reports the fleet's spare capacity: held, needed, and by pool and zone."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from medlarspring_systems.availability import Health, evaluate_vm_health

if TYPE_CHECKING:
    from collections.abc import Mapping

    from medlarspring_tables import FleetRow, PoolId, PoolRow, ZoneId
    from medlarspring_tables.fleet_tables import FleetTables
    from medlarspring_tables.vms import VMRecord


class FailureDomain(Enum):
    """Failure domain whose loss the spare capacity has to cover."""

    RACK = "rack"
    ZONE = "zone"


@dataclass(slots=True)
class SpareReport:
    """Spare capacity in VMs, summed over all pools and partners."""

    held: int
    """Available VMs above the budgets of their pools."""
    needed: int
    largest_domain: str
    domain_vms: int
    preemptible_use: int
    """Part of ``held`` that is used by work that can be throttled or checkpointed."""
    held_by_pool: dict[PoolId, int]
    held_by_zone: dict[ZoneId, int]

    @property
    def short(self) -> int:
        """Number of VMs by which the spare falls short of the need."""
        return max(0, self.needed - self.held)


def count_needed(vms: int, largest_domain: int, spare_percent: float) -> int:
    """Return the spare VMs needed: the largest domain or ``spare_percent``.

    The larger of the two applies. Only one domain is assumed to be lost at a
    time, whichever pools or partners it serves, so the need is not a sum over
    pools.
    """
    return max(largest_domain, math.ceil(vms * spare_percent / 100))


def report_spare(
    tables: FleetTables,
    pools_by_id: Mapping[PoolId, PoolRow],
    fleet: FleetRow,
    domain: FailureDomain = FailureDomain.RACK,
    preemptible_use: int = 0,
) -> SpareReport:
    """Return the current spare capacity of the fleet."""
    available = [
        record
        for record in tables.vms_by_id.values()
        if evaluate_vm_health(record, tables.observations_by_id.get(record.id))
        is Health.AVAILABLE
    ]
    by_pool = Counter(record.pool_id for record in available)
    by_domain = Counter(_domain_of(record, domain) for record in available)
    largest_domain, domain_vms = max(
        by_domain.items(), key=lambda item: (item[1], item[0]), default=("", 0)
    )
    held_by_pool = {
        pool_id: max(0, by_pool[pool_id] - row.min_available)
        for pool_id, row in pools_by_id.items()
    }
    held = sum(held_by_pool.values())
    return SpareReport(
        held=held,
        needed=count_needed(len(available), domain_vms, fleet.spare_percent),
        largest_domain=largest_domain,
        domain_vms=domain_vms,
        preemptible_use=min(preemptible_use, held),
        held_by_pool=held_by_pool,
        held_by_zone=_count_spare_by_zone(available, held_by_pool),
    )


def _domain_of(record: VMRecord, domain: FailureDomain) -> str:
    if domain is FailureDomain.RACK:
        return f"rack {record.zone_id}/{record.rack_id}"
    return f"zone {record.zone_id}"


def _count_spare_by_zone(
    available: list[VMRecord], held_by_pool: Mapping[PoolId, int]
) -> dict[ZoneId, int]:
    """Return the spare by zone; a pool's spare counts where most of its VMs are."""
    zones_by_pool: dict[PoolId, Counter[ZoneId]] = {}
    for record in available:
        zones_by_pool.setdefault(record.pool_id, Counter())[record.zone_id] += 1
    held_by_zone: Counter[ZoneId] = Counter()
    for pool_id, held in held_by_pool.items():
        zones = zones_by_pool.get(pool_id, Counter())
        for _ in range(held):
            zone_id = max(sorted(zones), key=zones.__getitem__)
            zones[zone_id] -= 1
            held_by_zone[zone_id] += 1
    return dict(held_by_zone)


__all__ = ["FailureDomain", "SpareReport", "count_needed", "report_spare"]
