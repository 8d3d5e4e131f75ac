"""Tests the store's client: calls, refusals, lost replies and watches."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from returns.pipeline import is_successful

from medlarspring_adapters.store import (
    Delete,
    Expect,
    LeaseGone,
    LeaseId,
    Put,
    StoreOutcomeUnknown,
    StoreUnavailable,
    Transaction,
)
from medlarspring_bench.platform_world.fault_state import StoreMode
from medlarspring_platform.store import MAX_WATCH_RETRY_SECONDS, WATCH_WAIT_SECONDS
from medlarspring_tables import Revision

if TYPE_CHECKING:
    from medlarspring_platform.store import PlatformStore

    from .conftest import Platform

ABSENT = Revision(0)


def create(key: str, value: bytes = b"v") -> Transaction:
    return Transaction((Expect(key, ABSENT),), (Put(key, value),), (key,))


async def test_entry_is_created_once_and_read_back(platform: Platform):
    first = await platform.store.commit(create("a/1", b"\x00\xff"))
    second = await platform.store.commit(create("a/1"))
    entry = (await platform.store.read("a/1")).unwrap()
    assert first.unwrap().succeeded
    assert not second.unwrap().succeeded
    assert second.unwrap().read_by_key["a/1"].value == b"\x00\xff"
    assert entry is not None
    assert entry.mod_revision == first.unwrap().revision
    assert (await platform.store.read("a/2")).unwrap() is None


async def test_prefix_is_read_over_several_pages(platform: Platform):
    keys = [f"a/{number:04d}" for number in range(1_100)]
    for start in range(0, len(keys), 16):
        puts = tuple(Put(key, b"v") for key in keys[start : start + 16])
        await platform.store.commit(Transaction((), puts))
    listing = (await platform.store.read_prefix("a/")).unwrap()
    assert [entry.key for entry in listing.entries] == keys


async def test_failed_combined_write_is_split(platform: Platform):
    await platform.store.commit(create("a/1"))
    results = await platform.store.commit_each([create("a/1"), create("a/2")])
    assert [each.unwrap().succeeded for each in results] == [False, True]


async def test_keys_are_deleted_with_their_lease(platform: Platform):
    lease = (await platform.store.grant_lease(60.0)).unwrap()
    await platform.store.commit(Transaction((), (Put("a/1", b"v", lease),)))
    assert (await platform.store.keep_lease(lease)).unwrap() > 0
    await platform.store.revoke_lease(lease)
    assert (await platform.store.read("a/1")).unwrap() is None
    assert (await platform.store.keep_lease(lease)).unwrap() == 0.0
    lost = await platform.store.commit(
        Transaction((), (Put("a/2", b"v", LeaseId(lease)),))
    )
    assert isinstance(lost.failure(), LeaseGone)


async def test_refused_write_had_no_effect(platform: Platform):
    platform.fault_state.store_mode = StoreMode.BUSY
    refused = await platform.store.commit(create("a/1"))
    assert isinstance(refused.failure(), StoreUnavailable)
    assert platform.store.failing_since is not None
    platform.fault_state.store_mode = StoreMode.WELL
    assert (await platform.store.read("a/1")).unwrap() is None
    assert platform.store.failing_since is None


async def test_write_with_a_lost_reply_has_an_unknown_outcome(platform: Platform):
    """
    The store carries out a write and its answer is lost. If this counted as a refusal,
    the customer would be told that a running job was not accepted.
    """
    platform.fault_state.lost_replies = 1.0
    lost = await platform.store.commit(create("a/1"))
    platform.fault_state.lost_replies = 0.0
    assert isinstance(lost.failure(), StoreOutcomeUnknown)
    assert (await platform.store.read("a/1")).unwrap() is not None


async def test_watch_yields_every_change_in_order(platform: Platform):
    start = Revision((await platform.store.read_prefix("a/")).unwrap().revision + 1)
    watch = platform.store.watch("a/", start)
    next_batch = asyncio.ensure_future(anext(watch))
    await asyncio.sleep(0)
    await platform.store.commit(create("b/1"))
    await platform.store.commit(create("a/1"))
    batch = await next_batch
    assert [entry.key for entry in batch.changed] == ["a/1"]
    await platform.store.commit(Transaction((), (Delete("a/1"),)))
    assert (await anext(watch)).deleted == ("a/1",)
    await watch.aclose()  # type: ignore[attr-defined]


async def test_watch_tells_up_to_when_it_has_all_changes(platform: Platform):
    """Guards against a quiet prefix that looks like a store that no longer answers."""
    began_at = time.monotonic()
    watch = platform.store.watch("a/", Revision(platform.state.revision + 1))
    empty, next_empty = await anext(watch), await anext(watch)
    assert not empty.changed + next_empty.changed
    assert empty.confirmed_at is not None
    assert next_empty.confirmed_at is not None
    assert empty.confirmed_at >= began_at + WATCH_WAIT_SECONDS
    assert next_empty.confirmed_at >= empty.confirmed_at + WATCH_WAIT_SECONDS
    asked_at = time.monotonic()
    assert next_empty.confirmed_at <= asked_at
    next_batch = asyncio.ensure_future(anext(watch))
    await asyncio.sleep(0.2)
    await platform.store.commit(create("a/1"))
    batch = await next_batch
    assert batch.changed
    assert batch.confirmed_at is not None
    assert asked_at <= batch.confirmed_at < time.monotonic() - 0.2
    await watch.aclose()  # type: ignore[attr-defined]


async def test_watch_is_confirmed_at_once_after_a_call_that_failed(platform: Platform):
    """Guards against starts that wait for a whole watch call more than they must."""
    watch = platform.store.watch("a/", Revision(platform.state.revision + 1))
    await anext(watch)
    platform.fault_state.store_mode = StoreMode.BUSY
    answer = asyncio.ensure_future(anext(watch))
    await asyncio.sleep(1.2)
    platform.fault_state.store_mode = StoreMode.WELL
    async with asyncio.timeout(MAX_WATCH_RETRY_SECONDS + 0.3):
        assert (await answer).confirmed_at is not None
    await watch.aclose()  # type: ignore[attr-defined]


async def test_watch_ends_when_revision_was_compacted(platform: Platform):
    for number in range(3):
        await platform.store.commit(create(f"a/{number}"))
    platform.state.compact(platform.state.revision)
    batches = [batch async for batch in platform.store.watch("a/", Revision(2))]
    assert batches == []


async def watch_forever(store: PlatformStore) -> None:
    start = Revision((await store.read_prefix("a/")).unwrap().revision + 1)
    async for _ in store.watch("a/", start):
        pass


async def test_store_recovery_is_detected_without_a_call(platform: Platform):
    """
    The store refuses all calls for a second. Callers are refused at once until its
    recovery is detected; only the watch calls continue in the meantime.
    """
    watching = asyncio.ensure_future(watch_forever(platform.store))
    await asyncio.sleep(0.05)
    platform.fault_state.store_mode = StoreMode.BUSY
    await asyncio.sleep(1.2)  # The watch call opened before has returned.
    await platform.store.read("a/1")
    await asyncio.sleep(0.5)
    assert platform.store.failing_since is not None
    platform.fault_state.store_mode = StoreMode.WELL
    async with asyncio.timeout(MAX_WATCH_RETRY_SECONDS + 0.3):
        while platform.store.failing_since is not None:
            await asyncio.sleep(0.01)
    watching.cancel()


async def test_unresponsive_store_is_a_failure(platform: Platform):
    await platform.store.close()
    platform.fault_state.store_mode = StoreMode.SILENT
    unanswered_read = await platform.store.read("a/1")
    assert not is_successful(unanswered_read)
