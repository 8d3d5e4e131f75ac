"""Grants the slots of an upstream VM to entry VMs.

Each upstream VM has a home: the entry VM of its availability zone that grants its
slots, for about a second at a time. The home may grant only a part of the slots in
proportion to the votes of the zone's entry VMs. Each of them votes for one home at
a time, so the two sides of a partition never grant more than all slots together. A
vote counts from a time that the home sent and the voter echoed, so neither delayed
packets nor paused processes can make a vote look newer than it is.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from medlarspring_systems.rendezvous import rank
from medlarspring_systems.slot_loans import (
    count_former,
    count_reserved,
    count_told_loans,
    remember_loans,
)
from medlarspring_tables.slots import Holding

if TYPE_CHECKING:
    from collections.abc import Sequence

    from medlarspring_tables import EntryVMId, Seconds, VMId, ZoneId
    from medlarspring_tables.slots import EntryVMView, SlotLedger, Vote


@dataclass(slots=True, frozen=True)
class SlotPolicy:
    """Lifetimes and intervals of the exchange of slots."""

    grant_seconds: Seconds = 1.0
    """Lifetime of a grant, counted by the holder from its request."""
    vote_seconds: Seconds = 2.0
    """Lifetime of a vote, counted from the time that it echoes."""
    renew_seconds: Seconds = 0.35
    """A holder asks again after this time, sooner when it is short of slots."""
    idle_renew_seconds: Seconds = 0.8
    """The same for VMs of pools that are not in use; shorter than the lifetime of
    a grant, so that the first request finds a slot."""
    idle_after_seconds: Seconds = 5.0
    """A pool without any request for this long is not in use."""
    hold_seconds: Seconds = 3.0
    """How long the slots of an unresponsive holder stay reserved after its grant ended,
    since requests that it sent may still be running."""

    @property
    def switch_seconds(self) -> Seconds:
        """Time after the last request to a home in which the vote may have effect."""
        return self.vote_seconds + self.grant_seconds

    @property
    def told_seconds(self) -> Seconds:
        """Time for which a voter may rely on what the home told of its loans."""
        return self.switch_seconds


@dataclass(slots=True, frozen=True)
class SlotDemand:
    """An entry VM's current use and request of slots of one upstream VM."""

    vm_id: VMId
    in_use: int
    held: int
    echoed_at: Seconds | None = None
    """The home's time that the requester echoed, if it votes for this home."""


def list_voters(zone_id: ZoneId, views: Sequence[EntryVMView]) -> list[EntryVMView]:
    """Return the entry VMs that may vote for a home of a zone's upstream VMs.

    They include entry VMs that are not heard but may be alive, since those may be
    serving on the other side of a partition. If all entry VMs of the zone are
    known to be dead, the entry VMs of all zones vote.
    """
    alive = [view for view in views if not view.dead]
    own = [view for view in alive if view.zone_id == zone_id]
    return own or alive


def choose_home(vm_id: VMId, group: Sequence[EntryVMView]) -> EntryVMId | None:
    """Return the home of an upstream VM: the preferred heard entry VM of the group."""
    heard = [view.id for view in group if view.heard]
    if not heard:
        return None
    return rank(vm_id, heard)[0]


def move_vote(
    vote: Vote,
    wanted: EntryVMId | None,
    own_id: EntryVMId,
    slots: int,
    *,
    old_home_dead: bool,
    now: Seconds,
    policy: SlotPolicy,
) -> EntryVMId | None:
    """Return the home that may be asked now, or None until the old vote expires.

    A vote that moved at once could count for both homes: the old home would still
    grant slots by it, and 16 requests could be sent to 8 slots.
    """
    if vote.home == wanted:
        return wanted if now >= vote.blocked_until else None
    ends = now
    if vote.home is not None:
        ends = vote.last_asked + policy.switch_seconds
        if old_home_dead or vote.home == own_id:
            ends = min(ends, now + policy.grant_seconds)
    vote.blocked_until = max(vote.blocked_until, ends, now)
    if vote.home is not None and vote.home != own_id:
        # The slots that this entry VM lent as home are still in its own ledger.
        told = count_told_loans(vote, slots, now, policy)
        ended_at = vote.blocked_until + policy.hold_seconds
        remember_loans(vote.former, told, ended_at, now)
    vote.foreign = None
    vote.home = wanted
    return wanted if now >= vote.blocked_until else None


def count_capacity(
    ledger: SlotLedger,
    slots: int,
    group: Sequence[EntryVMView],
    own_id: EntryVMId,
    own_vote: Vote,
    *,
    missing: frozenset[EntryVMId],
    now: Seconds,
    policy: SlotPolicy,
) -> int:
    """Return the slots that this home may grant by the votes it has.

    A new home does not know which slots the holders of the former home still use;
    they state it when they ask. Until work begun under the former home has surely
    ended, the new home grants nothing while a vote is missing, and leaves free the
    slots that a voter knows the former home to have lent to other zones.
    """
    if own_vote.home != own_id or now < own_vote.blocked_until:
        return 0
    former_work_ended = now >= own_vote.blocked_until + policy.hold_seconds
    if missing and not former_work_ended:
        return 0
    votes = len(group) - len(missing)
    former = 0
    if now < max(own_vote.former.until, ledger.former.until):
        voters = {view.id for view in group}
        former = max(
            count_former(loans, ledger, voters, now)
            for loans in (own_vote.former, ledger.former)
        )
    return max(0, min(slots * votes // len(group), slots - former))


def list_missing_voters(
    ledger: SlotLedger,
    group: Sequence[EntryVMView],
    own_id: EntryVMId,
    now: Seconds,
    policy: SlotPolicy,
) -> frozenset[EntryVMId]:
    """Return the entry VMs of a group that do not vote for this home now."""
    return frozenset(
        view.id
        for view in group
        if view.id != own_id and not _has_voted(ledger, view.id, now, policy)
    )


def _has_voted(
    ledger: SlotLedger, voter: EntryVMId, now: Seconds, policy: SlotPolicy
) -> bool:
    holding = ledger.holdings_by_holder.get(voter)
    if holding is None or holding.vote_at is None:
        return False
    return now < holding.vote_at + policy.vote_seconds


def grant(
    ledger: SlotLedger,
    requester: EntryVMId,
    demand: SlotDemand,
    *,
    target: int,
    capacity: int,
    dead: frozenset[EntryVMId],
    now: Seconds,
    policy: SlotPolicy,
) -> int:
    """Grant up to ``target`` slots, at most those that are certainly free.

    Return the granted slots. Slots that the requester may still use by earlier grants
    stay reserved until it asks again, because the reply that lowers its grant may
    be lost.
    """
    others = sum(
        count_reserved(holding, now, policy)
        for holder, holding in ledger.holdings_by_holder.items()
        if holder != requester and holder not in dead
    )
    granted = max(0, min(target, capacity - others))
    holding = get_holding(ledger, requester)
    if now >= holding.until + policy.hold_seconds:
        holding.inherited = max(demand.held, demand.in_use)
        holding.inherited_until = now + policy.switch_seconds + policy.hold_seconds
    holding.reserved = max(granted, demand.held, demand.in_use)
    holding.until = now + policy.grant_seconds
    return granted


def record_vote(ledger: SlotLedger, voter: EntryVMId, echoed_at: Seconds) -> None:
    """Record a vote as of the home's time that the voter echoed."""
    holding = get_holding(ledger, voter)
    if holding.vote_at is None or echoed_at > holding.vote_at:
        holding.vote_at = echoed_at


def get_holding(ledger: SlotLedger, holder: EntryVMId) -> Holding:
    """Return the holding of a holder, creating an empty one at first use."""
    return ledger.holdings_by_holder.setdefault(holder, Holding())


__all__ = [
    "SlotPolicy",
    "SlotDemand",
    "choose_home",
    "count_capacity",
    "get_holding",
    "grant",
    "list_missing_voters",
    "list_voters",
    "move_vote",
    "record_vote",
]
