"""Upstream VMs as one entry VM sees and uses them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables.ids import PoolId, Seconds, VMId, ZoneId


@dataclass(slots=True, eq=False)
class Upstream:
    """One upstream VM: what it may be given and how it has been doing."""

    id: VMId
    address: str
    pool_id: PoolId
    zone_id: ZoneId
    slots: int
    connections: int
    listed_leaving: bool = False
    leaving_since: Seconds | None = None
    """First sign of leaving that this entry VM saw or was told of."""
    returned_at: Seconds = float("-inf")
    """When the list showed it live again, or was told so; older signs are void."""
    reported_returned_at: Seconds = float("-inf")
    """When the VM control showed that it serves again, to any entry VM."""
    in_use: int = 0
    """Slots held by requests of this entry VM, given-up ones included."""
    credit: int = 0
    """Slots that this entry VM may use until ``credit_until``."""
    credit_until: Seconds = 0.0
    failures: int = 0
    """Consecutive answers that were failures."""
    latency: Seconds = 0.0
    """Smoothed time to the answer's headers; 0 until the first answer."""
    answers: int = 0
    ejected_until: Seconds | None = None
    """No work before this time; then one probe at a time."""
    ejection_count: int = 0
    """Times set aside without a success between; lengthens the next one."""
    probing: bool = False


@dataclass(slots=True)
class UpstreamTable:
    """All upstream VMs that the VM list shows."""

    upstreams_by_id: dict[VMId, Upstream] = field(default_factory=dict)
    upstreams_by_pool: dict[PoolId, list[Upstream]] = field(default_factory=dict)


__all__ = ["Upstream", "UpstreamTable"]
