from __future__ import annotations

import pytest
from returns.pipeline import is_successful

from medlarspring_adapters.clock import ManualClock
from medlarspring_adapters.store import (
    Delete,
    Expect,
    Put,
    StoreOutcomeUnknown,
    StoreUnavailable,
    Transaction,
)
from medlarspring_bench.memory_store import MemoryStore, create_memory_store
from medlarspring_tables import Revision

ABSENT = Revision(0)


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def store(clock: ManualClock) -> MemoryStore:
    return create_memory_store(clock)


def create(key: str, value: bytes = b"v") -> Transaction:
    return Transaction((Expect(key, ABSENT),), (Put(key, value),), (key,))


async def test_second_creation_fails_and_reads_the_first(store: MemoryStore):
    first = (await store.commit(create("a", b"1"))).unwrap()
    second = (await store.commit(create("a", b"2"))).unwrap()
    assert first.succeeded
    assert not second.succeeded
    assert second.read_by_key["a"].value == b"1"
    assert second.read_by_key["a"].mod_revision == first.revision


async def test_commit_each_evaluates_transactions_independently(store: MemoryStore):
    await store.commit(create("a"))
    results = await store.commit_each([create("a"), create("b")])
    committed = [each.unwrap() for each in results]
    assert [one.succeeded for one in committed] == [False, True]
    assert committed[0].read_by_key["a"].value == b"v"
    assert store.calls_by_kind == {"txn": 2}


async def test_commit_each_refuses_two_writes_of_one_key(store: MemoryStore):
    results = await store.commit_each([create("a"), create("a")])
    assert len(results) == 2
    assert all(isinstance(each.failure(), StoreUnavailable) for each in results)
    assert (await store.read("a")).unwrap() is None


async def test_expired_lease_deletes_its_keys(store: MemoryStore, clock: ManualClock):
    lease_id = (await store.grant_lease(5.0)).unwrap()
    bound = Transaction((), (Put("h", b"me", lease_id),))
    assert is_successful(await store.commit(bound))
    clock.advance(4.0)
    assert (await store.keep_lease(lease_id)).unwrap() == 5.0
    clock.advance(4.0)
    assert (await store.read("h")).unwrap() is not None
    clock.advance(2.0)
    assert (await store.read("h")).unwrap() is None
    assert (await store.keep_lease(lease_id)).unwrap() == 0.0
    assert isinstance((await store.commit(bound)).failure(), StoreUnavailable)


@pytest.mark.parametrize(
    ("fault", "error", "applied"),
    [
        ("down", StoreUnavailable, False),
        ("lose_replies", StoreOutcomeUnknown, True),
        ("lose_requests", StoreOutcomeUnknown, False),
    ],
)
async def test_faults(store: MemoryStore, fault: str, error: type, applied: bool):
    setattr(store.faults, fault, 1)
    result = await store.commit(create("a"))
    assert isinstance(result.failure(), error)
    store.come_up()
    assert ((await store.read("a")).unwrap() is not None) is applied


async def test_watch_yields_history_then_changes_and_ends_with_the_store(
    store: MemoryStore,
):
    """A watch yields past changes, then new ones, and ends when the store goes down.

    If the iterator did not end with its store, a daemon would assume that nothing
    changes while the table does change.
    """
    first = (await store.commit(create("p/a"))).unwrap()
    await store.commit(create("q/a"))
    watch = aiter(store.watch("p/", first.revision))
    batch = await anext(watch)
    assert [entry.key for entry in batch.changed] == ["p/a"]
    await store.commit(Transaction((), (Delete("p/a"), Put("p/b", b"2"))))
    batch = await anext(watch)
    assert batch.deleted == ("p/a",)
    assert [entry.key for entry in batch.changed] == ["p/b"]
    store.go_down()
    with pytest.raises(StopAsyncIteration):
        await anext(watch)


async def test_watch_of_a_compacted_revision_ends_at_once(store: MemoryStore):
    await store.commit(create("p/a"))
    store.state.compact(store.state.revision)
    with pytest.raises(StopAsyncIteration):
        await anext(aiter(store.watch("p/", Revision(1))))
