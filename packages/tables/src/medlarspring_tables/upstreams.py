"""Upstream VMs as one entry VM sees and uses them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables.ids import PoolId, Seconds, VMId, ZoneId


@dataclass(slots=True, eq=False)
class Upstream:
    """One upstream VM: its capacity, state and recent health."""

    id: VMId
    address: str
    pool_id: PoolId
    zone_id: ZoneId
    slots: int
    connections: int
    listed_leaving: bool = False
    leaving_since: Seconds | None = None
    """Time of the first leaving signal that this entry VM saw or received."""
    returned_at: Seconds = float("-inf")
    """When the VM was listed or reported as live again; older signals are ignored."""
    reported_returned_at: Seconds = float("-inf")
    """When VM control showed any entry VM that the VM serves again."""
    in_use: int = 0
    """Slots held by requests of this entry VM, including abandoned ones."""
    credit: int = 0
    """Slots that this entry VM may use until ``credit_until``."""
    credit_until: Seconds = 0.0
    failures: int = 0
    """Number of consecutive failures."""
    latency: Seconds = 0.0
    """Smoothed time to the answer's headers; 0 until the first answer."""
    answers: int = 0
    ejected_until: Seconds | None = None
    """The VM gets no requests before this time, then one probe at a time."""
    ejection_count: int = 0
    """Ejections since the last successful probe; lengthens the next ejection."""
    probing: bool = False


@dataclass(slots=True)
class UpstreamTable:
    """All upstream VMs that the VM list shows."""

    upstreams_by_id: dict[VMId, Upstream] = field(default_factory=dict)
    upstreams_by_pool: dict[PoolId, list[Upstream]] = field(default_factory=dict)


__all__ = ["Upstream", "UpstreamTable"]
