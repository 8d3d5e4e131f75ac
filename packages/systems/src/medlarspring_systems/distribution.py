"""Distribution of the configuration table from the store and between peers.

A table is put in force only if its revision is higher than that of the table in
force, so that accepted edits never revert. The rest of the module finds higher
revisions soon, with few store calls.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from medlarspring_systems.rendezvous import rank

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Mapping

    from medlarspring_tables import (
        ConfigTable,
        EntryVMId,
        Member,
        Revision,
        Seconds,
        ZoneId,
    )

WATCHERS_PER_ZONE = 2
COLD_START_GRACE_SECONDS = 2.0
STORE_FAILING_SECONDS = 3.0
"""A member without an answer from the store for this long is not a watcher."""


class Source(Enum):
    """Where a table came from."""

    STORE = "store"
    PEER = "peer"


class OfferResult(Enum):
    """Result of offering a table."""

    ACCEPTED = "taken"
    SAME = "same"
    OLDER = "older"
    DIVERGED = "diverged"
    """Same revision, other content: the store was restored and edited again."""
    PENDING = "held"
    """Kept until the peers have been asked, at a cold start."""


@dataclass(slots=True)
class Distribution:
    """The table in force and what is known of the store's table."""

    in_force: ConfigTable | None = None
    in_force_at: Seconds = 0.0
    source: Source | None = None
    store_revision: Revision | None = None
    """Table revision of the store's last answer."""
    store_answered_at: Seconds | None = None
    store_older_since: Seconds | None = None
    """Start of the time in which the store has an older or other table; for status."""
    pending_table: ConfigTable | None = None
    started_at: Seconds = 0.0
    peers_asked: bool = False
    """Whether each listed peer of the zone has answered or failed once."""


def offer_table(
    distribution: Distribution, table: ConfigTable, source: Source, now: Seconds
) -> OfferResult:
    """Put a table in force if it is newer than the table in force.

    A lagging replica or a restored backup gives a well-formed but old answer. If
    it were put in force, accepted edits would revert on the nodes that asked
    there. The revision grows with each accepted edit, so it identifies old tables.
    """
    if source is Source.STORE:
        distribution.store_revision = table.revision
        distribution.store_answered_at = now
    result = _compare_with_in_force(distribution, table, source, now)
    if source is Source.STORE:
        _update_store_older_since(distribution, result, now)
    if result is not OfferResult.ACCEPTED:
        return result
    distribution.in_force = table
    distribution.in_force_at = now
    distribution.source = source
    distribution.pending_table = None
    return result


def _compare_with_in_force(
    distribution: Distribution, table: ConfigTable, source: Source, now: Seconds
) -> OfferResult:
    in_force = distribution.in_force
    if in_force is None:
        if source is Source.STORE and not may_use_store_table(distribution, now):
            distribution.pending_table = table
            return OfferResult.PENDING
        return OfferResult.ACCEPTED
    if table.revision < in_force.revision:
        return OfferResult.OLDER
    if table.revision > in_force.revision:
        return OfferResult.ACCEPTED
    return OfferResult.SAME if table == in_force else OfferResult.DIVERGED


def _update_store_older_since(
    distribution: Distribution, result: OfferResult, now: Seconds
) -> None:
    if result not in (OfferResult.OLDER, OfferResult.DIVERGED):
        distribution.store_older_since = None
        return
    if distribution.store_older_since is None:
        distribution.store_older_since = now


def may_use_store_table(distribution: Distribution, now: Seconds) -> bool:
    """Return whether a process without a table may use the store's table.

    A new process has no table to compare with, and the replica that it asks may
    lag behind the table that its peers have in force; its callers would see an
    edit revert. So it asks its peers first, for a limited time, because all of
    them may be gone.
    """
    if distribution.peers_asked:
        return True
    return now - distribution.started_at >= COLD_START_GRACE_SECONDS


def offer_pending(distribution: Distribution, now: Seconds) -> OfferResult | None:
    """Offer the table kept at a cold start once it may be used."""
    pending_table = distribution.pending_table
    if pending_table is None or not may_use_store_table(distribution, now):
        return None
    distribution.pending_table = None
    return offer_table(distribution, pending_table, Source.STORE, now)


def is_watcher(
    own_id: EntryVMId,
    zone_id: ZoneId,
    stable_in_zone: Iterable[Member],
) -> bool:
    """Return whether this process should watch the store for its zone.

    Members that get no answer from the store are skipped, so that a zone in
    which only some entry VMs reach the store still has watchers. The members'
    views differ for a second or two; at worst there is one watch too many, or an
    edit arrives later.
    """
    fit = [
        member.id
        for member in stable_in_zone
        if member.store_failing < STORE_FAILING_SECONDS
    ]
    ranked = rank(f"watch/{zone_id}", [own_id, *fit])
    return own_id in ranked[:WATCHERS_PER_ZONE]


def choose_fetch_peer(
    known: Revision,
    heard_by_id: Mapping[EntryVMId, Member],
    own_zone_id: ZoneId,
    rng: random.Random,
) -> EntryVMId | None:
    """Return a peer with a newer table, preferably of this zone, or None.

    The peer is chosen at random to spread the load; otherwise a watcher would
    send the table to its whole zone.
    """
    newer = [member for member in heard_by_id.values() if member.table_revision > known]
    near = [member for member in newer if member.zone_id == own_zone_id]
    choices = near or newer
    if not choices:
        return None
    return rng.choice(sorted(choices, key=lambda member: member.id)).id


__all__ = [
    "Distribution",
    "Source",
    "OfferResult",
    "choose_fetch_peer",
    "is_watcher",
    "may_use_store_table",
    "offer_table",
    "offer_pending",
]
