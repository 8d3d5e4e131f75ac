"""Distribution of the configuration table: who asks the store, what is taken.

The rule that keeps an accepted table from reverting is one comparison: a table
is put in force only if its revision is higher than that in force. All else here
is about learning of a higher one soon with few store calls.
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
"""A member that the store has not answered for so long is no watcher."""


class Source(Enum):
    """Where a table came from."""

    STORE = "store"
    PEER = "peer"


class OfferResult(Enum):
    """What became of a table that was offered."""

    ACCEPTED = "taken"
    SAME = "same"
    OLDER = "older"
    DIVERGED = "diverged"
    """Same revision, other content: the store was restored and edited anew."""
    PENDING = "held"
    """Kept until peers were asked, at a cold start."""


@dataclass(slots=True)
class Distribution:
    """The table in force and what is known of the store's."""

    in_force: ConfigTable | None = None
    in_force_at: Seconds = 0.0
    source: Source | None = None
    store_revision: Revision | None = None
    """Table revision of the store's last answer."""
    store_answered_at: Seconds | None = None
    store_older_since: Seconds | None = None
    """Since when the store has had an older or other table; for status."""
    pending_table: ConfigTable | None = None
    started_at: Seconds = 0.0
    peers_asked: bool = False
    """Whether each listed peer of the zone has answered or failed once."""


def offer_table(
    distribution: Distribution, table: ConfigTable, source: Source, now: Seconds
) -> OfferResult:
    """Put a table in force if it is newer than that in force.

    A lagging replica and a restored backup give well-formed answers that are
    old. Taken, an accepted edit would revert on the nodes that asked this
    replica. The revision only grows with accepted edits, so it tells them apart.
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
    """Return whether the store's word is enough for a process without a table.

    A new process has nothing to compare with, and the replica it asks may lag
    behind what its peers have in force: for its callers the edit would revert.
    So it asks its peers first; the time is bounded, since they may all be gone.
    """
    if distribution.peers_asked:
        return True
    return now - distribution.started_at >= COLD_START_GRACE_SECONDS


def offer_pending(distribution: Distribution, now: Seconds) -> OfferResult | None:
    """Offer the table held at a cold start once peers were asked."""
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

    Members that the store does not answer are passed over, so that a zone of
    which only some entry VMs reach the store keeps its watchers. Views differ
    for a second or two; the worst is a watch too many or an edit heard later.
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
    """Return a peer with a newer table: one of this zone if there is any.

    Any of those that have it will do; the choice at random spreads the load, so
    that a watcher does not send the table to its whole zone.
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
