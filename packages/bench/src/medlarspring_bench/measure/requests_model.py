"""Parameters and counters of the simulated fleet."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from medlarspring_tables import PoolId

POOL = PoolId("consent")
SLOTS = 8
TICK_SECONDS = 0.05
ONE_WAY_SECONDS = 0.0015
ZONE_REPORT_SECONDS = 0.5
REMOTE_REPORT_SECONDS = 2.0
MAX_WAITING = 2000
REFUSED_PAUSE_SECONDS = 0.01
FIRST_LIMIT = 2.0
LIMIT_STEP = 0.2
LIMIT_CUT = 0.7


class Sharing(Enum):
    """Schemes for sharing slots between entry VMs."""

    CREDITS = "credits by a home, divided by partner"
    LOCAL = "credits by a home, local queues only"
    STATIC = "static split"
    OPTIMISTIC = "optimistic with adaptive limits"


@dataclass(slots=True)
class FleetShape:
    """Size of the simulated fleet and parameters of its load."""

    entry_vms: int = 8
    zones: int = 4
    upstreams: int = 8
    skew: float = 4.0
    """Load balancer weight of the first entry VM; the others have weight 1."""
    service_seconds: float = 0.05
    service_sigma: float = 0.5
    deadline_seconds: float = 2.0
    weights_by_partner: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Tally:
    """Counters of requests after the warm-up."""

    offered: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)
    """Answered within the deadline."""
    refused: Counter[str] = field(default_factory=Counter)
    urgent_waits: list[float] = field(default_factory=list)
    busy_slot_seconds: float = 0.0
    refusals_by_upstreams: int = 0
    over_slots: int = 0
    """How often an upstream received a request with all its slots in use."""


__all__ = [
    "FIRST_LIMIT",
    "LIMIT_CUT",
    "LIMIT_STEP",
    "MAX_WAITING",
    "REFUSED_PAUSE_SECONDS",
    "ONE_WAY_SECONDS",
    "POOL",
    "REMOTE_REPORT_SECONDS",
    "SLOTS",
    "TICK_SECONDS",
    "ZONE_REPORT_SECONDS",
    "FleetShape",
    "Sharing",
    "Tally",
]
