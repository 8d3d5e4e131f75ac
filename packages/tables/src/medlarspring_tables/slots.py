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
class FormerLoans:
    """Slots of one upstream VM that former homes may have lent to other zones."""

    count: int = 0
    until: Seconds = 0.0
    """Time at which work in these slots has surely ended."""


@dataclass(slots=True)
class Holding:
    """Slots of one upstream VM held by one entry VM, as known to the home."""

    reserved: int = 0
    """Slots that may not be granted to other entry VMs."""
    until: Seconds = 0.0
    """End of the last grant's lifetime."""
    vote_at: Seconds | None = None
    """Latest time of the home that the holder echoed; its vote is newer than this."""
    inherited: int = 0
    """Slots that the holder used by grants of former homes when it first asked."""
    inherited_until: Seconds = 0.0
    """Time at which the loans of former homes have surely ended."""
    foreign_known: int | None = None
    """Slots that the holder, as next home, would leave free for other zones; None if
    it is no voter, or does not tell."""


@dataclass(slots=True)
class SlotLedger:
    """Grants of the slots of one upstream VM by its home."""

    holdings_by_holder: dict[EntryVMId, Holding] = field(default_factory=dict)
    former: FormerLoans = field(default_factory=FormerLoans)
    """Loans of former homes, as reported by the voters."""
    missing_voters: frozenset[EntryVMId] = frozenset()
    """Entry VMs whose votes were missing when the home last counted them."""


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
    foreign: int | None = None
    """Slots that the home may lend to other zones, as it last told; None until then."""
    told_at: Seconds = 0.0
    """Sending time of the last request whose reply told ``foreign``."""
    former: FormerLoans = field(default_factory=FormerLoans)
    """Loans of the homes that this entry VM voted for before."""


__all__ = [
    "RequesterDemand",
    "EntryVMView",
    "FormerLoans",
    "HomeTable",
    "Holding",
    "SlotLedger",
    "Vote",
]
