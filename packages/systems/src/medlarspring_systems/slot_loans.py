"""Bounds what a home lends to other availability zones by what its voters know.

A home's voters are the next homes of its upstream VMs, and a borrower may not reach
them. A home therefore lends a slot only after each voter has confirmed that it would
leave it free. A voter that the home has not heard for ``told_seconds`` no longer limits
the loans; by then it regards what it was told as outdated, and leaves all slots free.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_tables.slots import FormerLoans

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from medlarspring_systems.slots import SlotPolicy
    from medlarspring_tables import EntryVMId, Seconds
    from medlarspring_tables.slots import Holding, SlotLedger, Vote

LENT_AHEAD_FRACTION = 0.25
"""Part of a VM's slots that its home announces as lent before another zone asks.

Without it, the first request from another zone would wait until the voters have asked
twice. A new home leaves this part free while work of the former home may run.
"""


def count_reserved(holding: Holding, now: Seconds, policy: SlotPolicy) -> int:
    """Return the slots that the holder may still use under earlier grants."""
    if now < holding.until + policy.hold_seconds:
        return holding.reserved
    return 0


def count_lent(
    ledger: SlotLedger,
    voters: Collection[EntryVMId],
    now: Seconds,
    policy: SlotPolicy,
) -> int:
    """Return the slots lent to entry VMs that are not among the voters."""
    return sum(
        count_reserved(holding, now, policy)
        for holder, holding in ledger.holdings_by_holder.items()
        if holder not in voters
    )


def count_former(
    loans: FormerLoans,
    ledger: SlotLedger,
    voters: Collection[EntryVMId],
    now: Seconds,
) -> int:
    """Return the slots in former loans whose borrowers have not asked this home.

    A borrower that asks reports its former loans as in use. If they were counted here
    as well, a home that follows soon after another would have few slots to grant.
    """
    if now >= loans.until:
        return 0
    inherited = sum(
        holding.inherited
        for holder, holding in ledger.holdings_by_holder.items()
        if holder not in voters and now < holding.inherited_until
    )
    return max(0, loans.count - inherited)


def list_loans(
    ledger: SlotLedger,
    voters: Collection[EntryVMId],
    now: Seconds,
    policy: SlotPolicy,
) -> FormerLoans:
    """Return the loans that a ledger knows of, for the home that follows it."""
    loans = FormerLoans()
    former = count_former(ledger.former, ledger, voters, now)
    remember_loans(loans, former, ledger.former.until, now)
    lent = count_lent(ledger, voters, now, policy)
    if lent:
        until = policy.hold_seconds + max(
            holding.until
            for holder, holding in ledger.holdings_by_holder.items()
            if holder not in voters
        )
        remember_loans(loans, lent + former, until, now)
    return loans


def remember_loans(
    loans: FormerLoans, count: int, until: Seconds, now: Seconds
) -> None:
    """Add what is known of former loans; where it differs, the larger count holds."""
    if not count or until <= now:
        return
    loans.count = max(count, loans.count if now < loans.until else 0)
    loans.until = max(until, loans.until)


def reserve_for_ended_homes(
    ledger: SlotLedger,
    voters: Collection[EntryVMId],
    missing: frozenset[EntryVMId],
    slots: int,
    now: Seconds,
    policy: SlotPolicy,
) -> None:
    """Leave the part of ended entry VMs free while work that they granted may run.

    An entry VM that did not vote here may have been home of its part of the slots, and
    may have lent them. When it ends, this home gets its part, but no voter tells of
    its loans.
    """
    ended = ledger.missing_voters.difference(voters)
    if ended:
        all_voters = len(ledger.missing_voters.union(voters))
        part = -(-slots * len(ended) // all_voters)
        former = ledger.former.count if now < ledger.former.until else 0
        count = min(slots, part + former)
        until = now + policy.grant_seconds + policy.hold_seconds
        remember_loans(ledger.former, count, until, now)
    ledger.missing_voters = missing


def count_told_loans(vote: Vote, slots: int, now: Seconds, policy: SlotPolicy) -> int:
    """Return the slots that the home of a vote may have lent, as far as it has told.

    Return all slots if it has not told for so long that it may have lent more.
    """
    if vote.foreign is None or now >= vote.told_at + policy.told_seconds:
        return slots
    return vote.foreign


def announce_loans(
    ledger: SlotLedger,
    targets: Mapping[EntryVMId, int],
    voters: Collection[EntryVMId],
    slots: int,
    now: Seconds,
    policy: SlotPolicy,
) -> int:
    """Return the slots to announce to the voters: lent ones, and those due to be lent.

    Slots that the home has lent are always announced, so that a voter that confirms
    a lower number never leaves free less than is lent.
    """
    wanted = sum(count for holder, count in targets.items() if holder not in voters)
    ahead = int(slots * LENT_AHEAD_FRACTION)
    lent = count_lent(ledger, voters, now, policy)
    former = count_former(ledger.former, ledger, voters, now)
    return min(slots, max(lent, wanted, ahead) + former)


def record_known(holding: Holding, known: int | None, announced: int) -> None:
    """Record what a voter knows when its request is answered with an announcement.

    The reply may be lost. Of the former and the announced number the lower one
    therefore counts until the voter's next request.
    """
    holding.foreign_known = None if known is None else min(known, announced)


def count_lendable(
    ledger: SlotLedger,
    requester: EntryVMId,
    voters: Collection[EntryVMId],
    slots: int,
    now: Seconds,
    policy: SlotPolicy,
) -> int:
    """Return the slots that may be lent to a requester that is not among the voters."""
    known = [
        holding.foreign_known
        for holder, holding in ledger.holdings_by_holder.items()
        if holder in voters
        and holding.foreign_known is not None
        and now < holding.until - policy.grant_seconds + policy.told_seconds
    ]
    own = ledger.holdings_by_holder.get(requester)
    others = count_lent(ledger, voters, now, policy)
    if own is not None:
        others -= count_reserved(own, now, policy)
    former = count_former(ledger.former, ledger, voters, now)
    return max(0, min(known, default=slots) - others - former)


__all__ = [
    "LENT_AHEAD_FRACTION",
    "announce_loans",
    "count_former",
    "count_lendable",
    "count_lent",
    "count_reserved",
    "count_told_loans",
    "list_loans",
    "record_known",
    "remember_loans",
    "reserve_for_ended_homes",
]
