"""Slots of upstream VMs: what homes granted and what holders may use."""

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
    """What one entry VM holds of one upstream VM, as its home knows it."""

    reserved: int = 0
    """Slots that nobody else may be granted."""
    until: Seconds = 0.0
    """End of the last grant's lifetime."""
    vote_at: Seconds | None = None
    """Home's own time that the holder's newest vote is proved to be after."""


@dataclass(slots=True)
class SlotLedger:
    """The grants of one upstream VM by its home."""

    holdings_by_holder: dict[EntryVMId, Holding] = field(default_factory=dict)


@dataclass(slots=True)
class AskerDemand:
    """What one entry VM has running and waiting in one pool, by partner."""

    count_by_partner: dict[PartnerId, float] = field(default_factory=dict)
    reported_at: Seconds = 0.0


@dataclass(slots=True)
class HomeTable:
    """All that a home remembers; gone with its process."""

    ledgers_by_vm: dict[VMId, SlotLedger] = field(default_factory=dict)
    demand_by_pool: dict[PoolId, dict[EntryVMId, AskerDemand]] = field(
        default_factory=dict
    )


@dataclass(slots=True, frozen=True)
class EntryVMView:
    """One entry VM as this one sees it now."""

    id: EntryVMId
    zone_id: ZoneId
    heard: bool
    """Heard within the peers' timeout; always true of the own VM."""
    dead: bool = False
    """Proved gone: its port refused, it said farewell, or the list dropped it."""


@dataclass(slots=True)
class Vote:
    """Which home this entry VM backs for one upstream VM."""

    home: EntryVMId | None = None
    blocked_until: Seconds = 0.0
    """A new home is not asked before the old one's grants have lapsed."""
    last_asked: Seconds = 0.0
    foreign: int = 0
    """Slots that the home, or the one before this entry VM, has lent to other zones."""


__all__ = [
    "AskerDemand",
    "EntryVMView",
    "HomeTable",
    "Holding",
    "SlotLedger",
    "Vote",
]
