"""Rows of the platform's list of upstream VMs and entry VMs."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables.ids import (
        EntryVMId,
        PoolId,
        RackId,
        RegionId,
        Seconds,
        VMId,
        ZoneId,
    )


class ListedState(Enum):
    """State of a VM in the platform's list, which lags behind the real state."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(slots=True)
class ListedVM:
    """One upstream VM (a worker) as the platform's list shows it."""

    id: VMId
    address: str
    """``ip:port`` of its HTTP port."""
    pool_id: PoolId
    rack_id: RackId
    zone_id: ZoneId
    region_id: RegionId
    state: ListedState = ListedState.LIVE
    slots: int = 8
    connections: int = 64
    cpus: float = 32.0
    memory_gb: float = 64.0
    accelerators: int = 0


@dataclass(slots=True)
class ListedEntryVM:
    """One entry VM of this system as the platform's list shows it."""

    id: EntryVMId
    peer_address: str
    """``ip:port`` of its peer port."""
    zone_id: ZoneId
    region_id: RegionId
    state: ListedState = ListedState.LIVE


@dataclass(slots=True)
class VMList:
    """One response of the platform's list."""

    vms_by_id: dict[VMId, ListedVM] = field(default_factory=dict)
    entry_vms_by_id: dict[EntryVMId, ListedEntryVM] = field(default_factory=dict)
    read_at: Seconds = 0.0


__all__ = ["ListedEntryVM", "ListedState", "ListedVM", "VMList"]
