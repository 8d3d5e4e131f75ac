"""Slots of upstream VMs: grants by homes, demand of entry VMs, and votes.

The home of an upstream VM is the entry VM that grants its slots.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables.ids import (
        EntryVMId,
        PartnerId,
        PoolId,
        Seconds,
        VMId,
        ZoneId,
    )


@dataclass(slots=True)
class Holding:
    """Slots of one upstream VM held by one entry VM, as known to the home."""

    reserved: int = 0
    """Slots that may not be granted to other entry VMs."""
    until: Seconds = 0.0
    """End of the last grant's lifetime."""
    vote_at: Seconds | None = None
    """Latest time of the home that the holder echoed; its vote is newer than this."""


@dataclass(slots=True)
class SlotLedger:
    """Grants of the slots of one upstream VM by its home."""

    holdings_by_holder: dict[EntryVMId, Holding] = field(default_factory=dict)


@dataclass(slots=True)
class RequesterDemand:
    """Running and waiting requests of one entry VM in one pool, by partner."""

    count_by_partner: dict[PartnerId, float] = field(default_factory=dict)
    reported_at: Seconds = 0.0


@dataclass(slots=True)
class HomeTable:
    """State of a home; lost when its process ends."""

    ledgers_by_vm: dict[VMId, SlotLedger] = field(default_factory=dict)
    demand_by_pool: dict[PoolId, dict[EntryVMId, RequesterDemand]] = field(
        default_factory=dict
    )


@dataclass(slots=True, frozen=True)
class EntryVMView:
    """One entry VM as this entry VM sees it now."""

    id: EntryVMId
    zone_id: ZoneId
    heard: bool
    """Heard within the peers' timeout; always true for this entry VM itself."""
    dead: bool = False
    """Known to have ended: its port refused a connection, it reported its shutdown,
    or it is no longer on the list."""


@dataclass(slots=True)
class Vote:
    """The home that this entry VM votes for, for one upstream VM."""

    home: EntryVMId | None = None
    blocked_until: Seconds = 0.0
    """A new home is not asked before the grants of the old one have expired."""
    last_asked: Seconds = 0.0
    foreign: int = 0
    """Slots lent to other zones by the home, or by the home before this entry VM."""


__all__ = [
    "RequesterDemand",
    "EntryVMView",
    "HomeTable",
    "Holding",
    "SlotLedger",
    "Vote",
]
