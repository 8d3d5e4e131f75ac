"""How the slots of an upstream VM are shared between entry VMs.

Each upstream VM has a home among the entry VMs of its availability zone. The
home grants slots for about a second at a time. It may grant only the part of
the slots for which entry VMs of the zone back it, and each of them backs one
home at a time; so the two sides of any cut never grant more than all slots
together. A vote counts from a time that the home itself stated and the voter
echoed, so neither delayed packets nor frozen processes can make it look new.
"""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass
from functools import lru_cache
from typing import TYPE_CHECKING

from medlarspring_tables.slots import AskerDemand, Holding

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from medlarspring_tables import EntryVMId, PartnerId, PoolId, Seconds, VMId, ZoneId
    from medlarspring_tables.slots import EntryVMView, HomeTable, SlotLedger, Vote

FADE_SECONDS = 1.0
"""Time constant with which demand that is gone fades."""
NO_DEMAND = 0.5
ROUNDING = 1e-9
HASH_RANGE = float(1 << 64)


@dataclass(slots=True, frozen=True)
class SlotPolicy:
    """The times that the exchange of slots keeps to."""

    grant_seconds: Seconds = 1.0
    """Lifetime of a grant, counted by the holder from its asking."""
    vote_seconds: Seconds = 2.0
    """Lifetime of a vote, counted from the time that it echoes."""
    renew_seconds: Seconds = 0.35
    """A holder asks again after this time, sooner when it is short."""
    idle_renew_seconds: Seconds = 0.8
    """Votes for VMs of pools that are not in use are renewed after this time;
    their credits lapse in between, and the first request asks for new ones."""
    idle_after_seconds: Seconds = 5.0
    """A pool without any request for so long is not in use."""
    hold_seconds: Seconds = 3.0
    """What a silent holder had stays reserved so long after its grant ended,
    since requests that it sent may still be running."""

    @property
    def switch_seconds(self) -> Seconds:
        """How long after its last asking a vote may still have effect."""
        return self.vote_seconds + self.grant_seconds


@dataclass(slots=True, frozen=True)
class Wish:
    """What one entry VM asks for of one upstream VM."""

    vm_id: VMId
    in_use: int
    held: int
    echoed_at: Seconds | None = None
    """Home's time that the asker echoed, if the asker backs this home."""


@lru_cache(maxsize=65_536)
def _hash(first: str, second: str) -> float:
    """Return a stable number in [0, 1) for a pair of names."""
    digest = hashlib.blake2b(f"{first}|{second}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / HASH_RANGE


def list_group(zone_id: ZoneId, views: Sequence[EntryVMView]) -> list[EntryVMView]:
    """Return the entry VMs that may back a home for a zone's upstream VMs.

    Those that are not heard but may live belong to it: they may be serving on
    the other side of a cut. A zone whose entry VMs are all proved dead is
    looked after by the entry VMs of all zones.
    """
    alive = [view for view in views if not view.dead]
    own = [view for view in alive if view.zone_id == zone_id]
    return own or alive


def choose_home(vm_id: VMId, group: Sequence[EntryVMView]) -> EntryVMId | None:
    """Return the home of an upstream VM among those of the group that are heard."""
    heard = [view.id for view in group if view.heard]
    if not heard:
        return None
    return max(heard, key=lambda entry_vm_id: _hash(vm_id, entry_vm_id))


def move_vote(
    vote: Vote,
    wanted: EntryVMId | None,
    own_id: EntryVMId,
    *,
    old_home_dead: bool,
    now: Seconds,
    policy: SlotPolicy,
) -> EntryVMId | None:
    """Return the home that may be asked now, or None while a vote runs out.

    A vote that changed sides at once could count on both: the old home would
    still grant by it, and 16 requests could meet 8 slots.
    """
    if vote.home == wanted:
        return wanted if now >= vote.blocked_until else None
    ends = now
    if vote.home is not None:
        ends = vote.last_asked + policy.switch_seconds
        if old_home_dead or vote.home == own_id:
            ends = min(ends, now + policy.grant_seconds)
    vote.blocked_until = max(vote.blocked_until, ends, now)
    vote.home = wanted
    return wanted if now >= vote.blocked_until else None


def count_capacity(
    ledger: SlotLedger,
    slots: int,
    group: Sequence[EntryVMView],
    own_id: EntryVMId,
    own_vote: Vote,
    *,
    now: Seconds,
    policy: SlotPolicy,
) -> int:
    """Return the slots that this home may grant by the votes it has.

    A home that is new does not know what the former one's holders still have
    running. Those that ask say so; until work begun before has surely ended,
    it grants nothing while one of them is missing, and leaves free what the
    former home had last lent to other zones.
    """
    if own_vote.home != own_id or now < own_vote.blocked_until:
        return 0
    votes = sum(
        view.id == own_id or _has_voted(ledger, view.id, now, policy) for view in group
    )
    settled = now >= own_vote.blocked_until + policy.hold_seconds
    if settled:
        return slots * votes // len(group)
    if votes < len(group):
        return 0
    return max(0, slots - own_vote.foreign)


def _has_voted(
    ledger: SlotLedger, voter: EntryVMId, now: Seconds, policy: SlotPolicy
) -> bool:
    holding = ledger.holdings_by_holder.get(voter)
    if holding is None or holding.vote_at is None:
        return False
    return now < holding.vote_at + policy.vote_seconds


def count_foreign(
    ledger: SlotLedger,
    group: Sequence[EntryVMView],
    now: Seconds,
    policy: SlotPolicy,
) -> int:
    """Return the slots lent to entry VMs outside the group that votes."""
    own = {view.id for view in group}
    return sum(
        _count_reserved(holding, now, policy)
        for holder, holding in ledger.holdings_by_holder.items()
        if holder not in own
    )


def take_demand(
    table: HomeTable,
    pool_id: PoolId,
    asker: EntryVMId,
    count_by_partner: dict[PartnerId, int],
    now: Seconds,
) -> None:
    """Remember what an asker has to do; less than before counts gradually.

    Queues of the moment go up and down. If each dip moved a slot to another
    entry VM, slots would always be on their way and never in use.
    """
    demand = table.demand_by_pool.setdefault(pool_id, {})
    counts: dict[PartnerId, float] = dict(count_by_partner)
    former = demand.get(asker)
    if former is not None:
        kept = math.exp((former.told_at - now) / FADE_SECONDS)
        for partner_id, before in former.count_by_partner.items():
            count = counts.get(partner_id, 0.0)
            faded = count + kept * (before - count)
            if count < before and faded > NO_DEMAND:
                counts[partner_id] = faded
    demand[asker] = AskerDemand(counts, now)


def divide_pool(
    table: HomeTable,
    pool_id: PoolId,
    weights_by_partner: Mapping[PartnerId, float],
    pool_slots: int,
    now: Seconds,
    policy: SlotPolicy,
) -> dict[EntryVMId, float]:
    """Return the part of the pool's slots that each asker's work is due.

    Partners get theirs by weight, none more than it has to do; a partner's
    part goes to the askers where its work is.
    """
    demand = table.demand_by_pool.get(pool_id, {})
    fresh = {
        asker: told
        for asker, told in demand.items()
        if now < told.told_at + policy.grant_seconds
    }
    if len(fresh) < len(demand):
        table.demand_by_pool[pool_id] = fresh
    total_by_partner: dict[PartnerId, float] = {}
    for told in fresh.values():
        for partner_id, count in told.count_by_partner.items():
            total = total_by_partner.get(partner_id, 0.0)
            total_by_partner[partner_id] = total + count
    share_by_partner = divide_fairly(total_by_partner, weights_by_partner, pool_slots)
    return {
        asker: sum(
            share_by_partner[partner_id] * count / total_by_partner[partner_id]
            for partner_id, count in told.count_by_partner.items()
            if count
        )
        / max(1, pool_slots)
        for asker, told in fresh.items()
    }


def divide_fairly(
    demand: Mapping[PartnerId, float],
    weights: Mapping[PartnerId, float],
    slots: float,
) -> dict[PartnerId, float]:
    """Divide slots by weight, giving nobody more than it asks for (max-min)."""
    shares = dict.fromkeys(demand, 0.0)
    open_partners = [partner for partner, count in demand.items() if count]
    left = slots
    while open_partners and left > 0.0:
        total = sum(weights.get(partner, 1.0) for partner in open_partners)
        level = left / total
        full = [
            partner
            for partner in open_partners
            if demand[partner] <= level * weights.get(partner, 1.0)
        ]
        if not full:
            for partner in open_partners:
                shares[partner] = level * weights.get(partner, 1.0)
            break
        for partner in full:
            shares[partner] = demand[partner]
            left -= demand[partner]
        open_partners = [partner for partner in open_partners if partner not in full]
    return shares


def round_parts(
    vm_id: VMId, parts: Mapping[EntryVMId, float], slots: int
) -> dict[EntryVMId, int]:
    """Turn parts into whole slots of one VM; they add up to no more than all.

    Where the rounding falls differs from VM to VM, so that small parts come
    out right over the pool. Of the slots that no work is due, each asker may
    have a few, so that its next requests find a slot without asking; the rest
    stays with the home for whoever asks first.
    """
    rounded: dict[EntryVMId, int] = {}
    reached = _hash(vm_id, "offset")
    for asker in sorted(parts, key=lambda asker: _hash(vm_id, asker)):
        before = int(reached)
        reached += parts[asker] * slots
        rounded[asker] = int(reached + ROUNDING) - before
    left = slots - sum(rounded.values())
    if left > 0:
        spare = left // (len(rounded) + 1)
        for asker, due in rounded.items():
            short = not due and parts[asker] > 0.0
            rounded[asker] = due + max(spare, short)
    return rounded


def grant(
    ledger: SlotLedger,
    asker: EntryVMId,
    wish: Wish,
    *,
    target: int,
    capacity: int,
    dead: frozenset[EntryVMId],
    now: Seconds,
    policy: SlotPolicy,
) -> int:
    """Grant up to ``target`` slots, never more than are surely free.

    What the asker may still use by earlier grants stays reserved until it
    asks again: the reply that lowers its grant may be lost.
    """
    others = sum(
        _count_reserved(holding, now, policy)
        for holder, holding in ledger.holdings_by_holder.items()
        if holder != asker and holder not in dead
    )
    granted = max(0, min(target, capacity - others))
    holding = get_holding(ledger, asker)
    holding.reserved = max(granted, wish.held, wish.in_use)
    holding.until = now + policy.grant_seconds
    return granted


def take_vote(ledger: SlotLedger, voter: EntryVMId, echoed_at: Seconds) -> None:
    """Count a vote from the home's time that the voter echoed."""
    holding = get_holding(ledger, voter)
    if holding.vote_at is None or echoed_at > holding.vote_at:
        holding.vote_at = echoed_at


def get_holding(ledger: SlotLedger, holder: EntryVMId) -> Holding:
    """Return what a holder has, creating an empty row at first use."""
    return ledger.holdings_by_holder.setdefault(holder, Holding())


def _count_reserved(holding: Holding, now: Seconds, policy: SlotPolicy) -> int:
    if now < holding.until + policy.hold_seconds:
        return holding.reserved
    return 0


__all__ = [
    "SlotPolicy",
    "Wish",
    "choose_home",
    "count_capacity",
    "count_foreign",
    "divide_fairly",
    "divide_pool",
    "get_holding",
    "grant",
    "list_group",
    "move_vote",
    "round_parts",
    "take_demand",
    "take_vote",
]
