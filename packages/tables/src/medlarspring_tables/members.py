"""Rows of the entry VMs as this process sees them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from medlarspring_tables.ids import Revision

if TYPE_CHECKING:
    from medlarspring_tables.ids import EntryVMId, Seconds, ZoneId


class MemberState(Enum):
    """What is known of another entry VM's process."""

    LISTED = "listed"
    """On the platform's list, never heard."""
    ALIVE = "alive"
    """Heard within the timeout."""
    SILENT = "silent"
    """Heard once, not within the timeout; dead, cut off or frozen."""
    LEAVING = "leaving"
    """It said that it is shutting down."""
    DEAD = "dead"
    """Its port refused a connection, so that process has ended."""


@dataclass(slots=True)
class Member:
    """Another entry VM."""

    id: EntryVMId
    peer_address: str
    zone_id: ZoneId
    state: MemberState = MemberState.LISTED
    listed: bool = False
    incarnation: int = 0
    """Of the process heard last; 0 before the first report."""
    former_incarnations: tuple[int, ...] = ()
    """Processes replaced by the present one; their late reports do not count."""
    sequence: int = 0
    heard_at: Seconds | None = None
    changed_at: Seconds = 0.0
    """When the state changed last."""
    reached_at: Seconds | None = None
    """When a call of ours was answered last; unlike ``heard_at`` one-way."""
    refused_at: Seconds | None = None
    table_revision: Revision = Revision(0)
    """Of the configuration table that it has in force."""
    store_failing: Seconds = 0.0
    """For how long the store has given it no answer; 0 while it answers."""
    operator_address: str = ""
    hears_us: bool = False
    """Whether its last report named this process among those it hears."""
    one_way: bool = False
    """Heard, but it does not hear this process or cannot be called."""
    silence_count: int = 0
    """Recent times that it went silent; forgotten after a calm spell."""
    held_down_until: Seconds = 0.0
    """Until then it is held down: serving, but given no new duties."""


@dataclass(slots=True)
class MemberTable:
    """All other entry VMs by id."""

    own_id: EntryVMId
    own_zone_id: ZoneId
    members_by_id: dict[EntryVMId, Member] = field(default_factory=dict)
    last_pause_at: Seconds | None = None
    """When this process last found that its own clock had jumped."""


__all__ = ["Member", "MemberState", "MemberTable"]
