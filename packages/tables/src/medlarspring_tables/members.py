"""State of the other entry VMs as this process sees them."""

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
    """On the platform's list, but never heard."""
    ALIVE = "alive"
    """Heard within the timeout."""
    SILENT = "silent"
    """Not heard within the timeout: dead, partitioned or paused."""
    LEAVING = "leaving"
    """It reported that it is shutting down."""
    DEAD = "dead"
    """Its process has ended: the port refused a connection, or another process answers
    at its address."""


@dataclass(slots=True)
class Member:
    """Another entry VM."""

    id: EntryVMId
    peer_address: str
    zone_id: ZoneId
    state: MemberState = MemberState.LISTED
    listed: bool = False
    incarnation: int = 0
    """Incarnation of the process heard last; 0 before the first report."""
    former_incarnations: tuple[int, ...] = ()
    """Incarnations replaced by the present one; their late reports are ignored."""
    sequence: int = 0
    heard_at: Seconds | None = None
    changed_at: Seconds = 0.0
    """Time of the last change of state."""
    reached_at: Seconds | None = None
    """Time of the last answer to a call of this process; ``heard_at`` also counts
    calls from the member."""
    refused_at: Seconds | None = None
    table_revision: Revision = Revision(0)
    """Revision of the configuration table that the member has in force."""
    store_failing: Seconds = 0.0
    """Time without an answer from the store to the member; 0 while it answers."""
    operator_address: str = ""
    hears_us: bool = False
    """Whether its last report named this process among those it hears."""
    one_way: bool = False
    """Heard, but the member does not hear this process or cannot be called."""
    silence_count: int = 0
    """How often the member became silent recently; reset after a stable period."""
    held_down_until: Seconds = 0.0
    """Until this time the member serves requests, but gets no new duties."""


@dataclass(slots=True)
class MemberTable:
    """All other entry VMs by id."""

    own_id: EntryVMId
    own_zone_id: ZoneId
    members_by_id: dict[EntryVMId, Member] = field(default_factory=dict)
    last_pause_at: Seconds | None = None
    """When this process last detected that it had been paused."""


__all__ = ["Member", "MemberState", "MemberTable"]
