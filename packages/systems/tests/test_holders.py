from __future__ import annotations

from collections import Counter

from medlarspring_systems.holders import (
    HANDOVER_DELAY_SECONDS,
    LEASE_MARGIN_SECONDS,
    LEASE_SECONDS,
    STORE_FAILING_SECONDS,
    HeldPool,
    Holdings,
    find_fencing_revision,
    list_held_pools,
    plan_holders,
    record_lapse,
    record_lease,
)
from medlarspring_tables import EntryVMId, Member, PoolId, Revision, ZoneId

POOLS = [PoolId(f"pool-{number}") for number in range(46)]
IDS = [EntryVMId(f"entry-{number}") for number in range(16)]


def create_members(ids: list[EntryVMId], own: EntryVMId) -> list[Member]:
    return [Member(each, "ip", ZoneId("z")) for each in ids if each != own]


def find_preferred(ids: list[EntryVMId]) -> dict[PoolId, EntryVMId]:
    preferred = {}
    for own in ids:
        plan = plan_holders(Holdings(own), POOLS, create_members(ids, own), 0.0)
        preferred |= dict.fromkeys(plan.acquire, own)
    return preferred


def test_each_pool_has_one_preferred_holder_and_they_are_spread():
    preferred = find_preferred(IDS)
    assert set(preferred) == set(POOLS)
    assert max(Counter(preferred.values()).values()) <= 9


def test_leaving_member_moves_only_its_own_pools():
    before = find_preferred(IDS)
    after = find_preferred(IDS[1:])
    moved = {pool for pool in POOLS if before[pool] != after[pool]}
    assert moved == {pool for pool in POOLS if before[pool] == IDS[0]}


def test_member_that_cannot_reach_the_store_is_not_preferred():
    own = IDS[0]
    others = create_members(IDS[:2], own)
    alone = plan_holders(Holdings(own), POOLS, [], 0.0)
    shared = plan_holders(Holdings(own), POOLS, others, 0.0)
    assert len(shared.acquire) < len(alone.acquire)
    others[0].store_failing = STORE_FAILING_SECONDS
    assert plan_holders(Holdings(own), POOLS, others, 0.0) == alone


def test_pool_is_handed_over_only_after_the_handover_delay():
    own = IDS[0]
    others = create_members(IDS, own)
    pool = plan_holders(Holdings(IDS[1]), POOLS, create_members(IDS, IDS[1]), 0.0)
    holdings = Holdings(own)
    pool_id = pool.acquire[0]
    holdings.pools_by_id[pool_id] = HeldPool(pool_id, Revision(5))
    assert plan_holders(holdings, POOLS, others, 0.0).release == ()
    assert plan_holders(holdings, POOLS, [], 5.0).release == ()
    assert plan_holders(holdings, POOLS, others, HANDOVER_DELAY_SECONDS).release == ()
    after_delay = 2 * HANDOVER_DELAY_SECONDS
    assert plan_holders(holdings, POOLS, others, after_delay).release == (pool_id,)
    assert plan_holders(holdings, [], [], after_delay).release == (pool_id,)


def test_holder_stops_before_its_lease_expires_in_the_store():
    """
    The holder is suspended, or the store stops answering. The lease expires in
    the store LEASE_SECONDS after the last renewal arrived. The holder counts from
    when it sent the renewal and stops LEASE_MARGIN_SECONDS earlier still, so that
    two holders never act at the same time.
    """
    pool_id = POOLS[0]
    holdings = Holdings(IDS[0])
    record_lease(holdings, 77, sent_at=10.0, ttl=LEASE_SECONDS)
    holdings.pools_by_id[pool_id] = HeldPool(pool_id, Revision(5))
    safe_until = 10.0 + LEASE_SECONDS - LEASE_MARGIN_SECONDS
    assert find_fencing_revision(holdings, pool_id, safe_until - 0.1) == 5
    assert find_fencing_revision(holdings, pool_id, safe_until) is None
    assert list_held_pools(holdings, safe_until) == frozenset()
    record_lease(holdings, 77, sent_at=16.0, ttl=LEASE_SECONDS)
    assert list_held_pools(holdings, 17.0) == {pool_id}
    record_lapse(holdings)
    assert find_fencing_revision(holdings, pool_id, 17.0) is None


def test_new_lease_starts_without_pools():
    holdings = Holdings(IDS[0])
    record_lease(holdings, 1, 0.0, LEASE_SECONDS)
    holdings.pools_by_id[POOLS[0]] = HeldPool(POOLS[0], Revision(5))
    record_lease(holdings, 2, 1.0, LEASE_SECONDS)
    assert list_held_pools(holdings, 1.0) == frozenset()
