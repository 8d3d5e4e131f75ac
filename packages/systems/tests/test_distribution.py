from __future__ import annotations

import random

import pytest

from medlarspring_systems.distribution import (
    COLD_START_GRACE_SECONDS,
    STORE_FAILING_SECONDS,
    WATCHERS_PER_ZONE,
    Distribution,
    OfferResult,
    Source,
    choose_fetch_peer,
    is_watcher,
    offer_pending,
    offer_table,
)
from medlarspring_tables import (
    ConfigTable,
    EntryVMId,
    Member,
    PartnerId,
    PartnerRow,
    Revision,
    ZoneId,
)

ZONE = ZoneId("zone-1")


def create_table(revision: int, weight: float = 1.0) -> ConfigTable:
    partner_id = PartnerId("acme")
    row = PartnerRow(id=partner_id, weight=weight)
    return ConfigTable(revision=Revision(revision), partners_by_id={partner_id: row})


def create_member(name: str, **facts: object) -> Member:
    member = Member(EntryVMId(name), "ip", ZONE)
    for key, value in facts.items():
        setattr(member, key, value)
    return member


@pytest.mark.parametrize("source", list(Source))
@pytest.mark.parametrize(
    ("offered", "verdict"),
    [
        (create_table(6), OfferResult.ACCEPTED),
        (create_table(5), OfferResult.SAME),
        (create_table(5, weight=2.0), OfferResult.DIVERGED),
        (create_table(4), OfferResult.OLDER),
        (ConfigTable(), OfferResult.OLDER),
    ],
)
def test_only_a_higher_revision_is_put_in_force(
    offered: ConfigTable, verdict: OfferResult, source: Source
):
    """
    Guards against reverted edits: after a restored backup or from a lagging
    replica, the store answers with a table older than the one in force. It is
    reported and not put in force.
    """
    distribution = Distribution(in_force=create_table(5), peers_asked=True)
    assert offer_table(distribution, offered, source, 9.0) is verdict
    assert distribution.in_force is not None
    assert distribution.in_force.revision == max(5, offered.revision)
    is_reported = verdict in (OfferResult.OLDER, OfferResult.DIVERGED)
    assert (distribution.store_older_since == 9.0) == (
        is_reported and source is Source.STORE
    )


def test_report_on_the_store_ends_when_it_has_caught_up():
    distribution = Distribution(in_force=create_table(5), peers_asked=True)
    offer_table(distribution, create_table(4), Source.STORE, 1.0)
    offer_table(distribution, create_table(3), Source.STORE, 2.0)
    assert distribution.store_older_since == 1.0
    offer_table(distribution, create_table(5), Source.STORE, 3.0)
    assert distribution.store_older_since is None


def test_new_process_asks_its_peers_before_using_the_stored_table():
    """
    A VM is replaced while the store replica that it asks lags. It has no table to
    compare with, and its callers would see an accepted edit revert. So it keeps
    the store's answer until a peer has answered, at most for the grace period.
    """
    distribution = Distribution(started_at=0.0)
    assert (
        offer_table(distribution, create_table(4), Source.STORE, 0.1)
        is OfferResult.PENDING
    )
    assert distribution.in_force is None
    assert offer_pending(distribution, 0.2) is None
    offer_table(distribution, create_table(5), Source.PEER, 0.3)
    assert offer_pending(distribution, COLD_START_GRACE_SECONDS) is None
    assert distribution.in_force == create_table(5)


def test_new_process_without_peers_uses_the_stored_table_after_the_grace():
    distribution = Distribution(started_at=0.0)
    offer_table(distribution, create_table(4), Source.STORE, 0.1)
    assert offer_pending(distribution, COLD_START_GRACE_SECONDS) is OfferResult.ACCEPTED
    assert distribution.in_force == create_table(4)


def test_a_few_watchers_per_zone_and_the_others_take_over():
    ids = [f"entry-{number}" for number in range(9)]

    def find_watchers(failing: set[str], gone: set[str]) -> set[str]:
        watchers = set()
        for own in ids:
            others = [
                create_member(
                    each,
                    store_failing=STORE_FAILING_SECONDS if each in failing else 0.0,
                )
                for each in ids
                if each not in gone and each != own
            ]
            if own not in gone and is_watcher(EntryVMId(own), ZONE, others):
                watchers.add(own)
        return watchers

    first = find_watchers(set(), set())
    assert len(first) == WATCHERS_PER_ZONE
    after_kill = find_watchers(set(), {min(first)})
    assert len(after_kill) == WATCHERS_PER_ZONE
    assert after_kill > first - {min(first)}
    assert len(find_watchers(first, set()) - first) == WATCHERS_PER_ZONE


def test_newer_table_is_fetched_from_the_own_zone_if_possible():
    members = {
        each.id: each
        for each in [
            create_member("near-old", table_revision=4),
            create_member("near-1", table_revision=6),
            create_member("near-2", table_revision=6),
            create_member("far", table_revision=9, zone_id=ZoneId("zone-2")),
        ]
    }
    rng = random.Random(1)
    chosen = {choose_fetch_peer(Revision(5), members, ZONE, rng) for _ in range(50)}
    assert chosen == {"near-1", "near-2"}
    assert choose_fetch_peer(Revision(6), members, ZONE, rng) == "far"
    assert choose_fetch_peer(Revision(9), members, ZONE, rng) is None
