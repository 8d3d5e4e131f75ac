from __future__ import annotations

import pytest
from returns.result import Failure

from medlarspring_adapters.clock import ManualClock
from medlarspring_adapters.store import (
    Expect,
    LeaseId,
    Put,
    StoreOverBudget,
    Transaction,
)
from medlarspring_adapters.store_meter import (
    BURST_SECONDS,
    CALLS_PER_SECOND,
    Mechanism,
    MeteredStore,
    create_metered_store,
)
from medlarspring_bench.memory_store import MemoryStore, create_memory_store
from medlarspring_tables import Revision

HOLDERS_BURST = int(CALLS_PER_SECOND[Mechanism.HOLDERS] * BURST_SECONDS)


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def inner(clock: ManualClock) -> MemoryStore:
    return create_memory_store(clock)


@pytest.fixture
def store(inner: MemoryStore, clock: ManualClock) -> MeteredStore:
    return create_metered_store(inner, clock)


async def test_calls_are_counted_by_what_they_are_for(store: MeteredStore):
    await store.read("config/table")
    await store.read_prefix("claims/acme/")
    put = Put("fleet/vms/vm-1", b"")
    await store.commit(Transaction((Expect("holders/p", Revision(0)),), (put,)))
    await store.commit(Transaction((), (Put("config/table", b""),)))
    await store.commit_each([Transaction((), (Put("holders/p", b""),))])
    await store.grant_lease(1.0)
    counts = store.calls.calls_by_mechanism
    assert {mechanism.value: count for mechanism, count in counts.items()} == {
        "configuration": 1,
        "claims": 1,
        "control-work": 1,
        "edits": 1,
        "holders": 1,
        "leases": 1,
    }


async def test_mechanism_over_budget_does_not_affect_others(
    store: MeteredStore, inner: MemoryStore, clock: ManualClock
):
    """
    One mechanism makes calls without limit. Without budgets the platform's service
    would slow down for all, and payments would be refused for lack of a claim.
    """
    for _ in range(HOLDERS_BURST):
        (await store.read("holders/p")).unwrap()
    refused = await store.read("holders/p")
    assert isinstance(refused.failure(), StoreOverBudget)
    assert inner.calls_by_kind["range"] == HOLDERS_BURST
    assert store.failing_seconds() == 0.0
    (await store.read("claims/acme/1")).unwrap()
    clock.advance(1.0)
    (await store.read("holders/p")).unwrap()


async def test_failing_time_counts_from_the_first_unanswered_call(
    store: MeteredStore, inner: MemoryStore, clock: ManualClock
):
    await store.read("config/table")
    inner.go_down()
    await store.read("config/table")
    clock.advance(3.0)
    assert isinstance(await store.read("config/table"), Failure)
    assert store.failing_seconds() == 3.0
    inner.come_up()
    await store.keep_lease(LeaseId(5))
    assert store.failing_seconds() == 0.0
