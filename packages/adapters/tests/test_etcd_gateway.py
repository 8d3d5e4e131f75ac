from __future__ import annotations

import asyncio
from contextlib import aclosing, asynccontextmanager
from typing import TYPE_CHECKING

import pytest
from returns.pipeline import is_successful
from returns.result import Failure

from medlarspring_adapters.etcd_gateway import EtcdGatewayStore
from medlarspring_adapters.store import (
    Delete,
    Expect,
    LeaseId,
    Put,
    StoreOutcomeUnknown,
    StoreUnavailable,
    Transaction,
)
from medlarspring_bench.standins.faults import FaultsChange
from medlarspring_bench.standins.key_value import KeyValueService
from medlarspring_bench.standins.server import GatedApp
from medlarspring_tables import Revision

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CLOSED_PORT = "127.0.0.1:1"
PUT = Transaction((Expect("a", Revision(0)),), (Put("a", b"1"),), ("a",))


class Service:
    """The stand-in service in this event loop, with one gate for each endpoint."""

    def __init__(self) -> None:
        self.service = KeyValueService(delay_seconds=0.0, progress_seconds=0.1)
        self.gated = GatedApp(self.service.create_app(), ["one", "two"])

    @property
    def endpoints(self) -> list[str]:
        return [gate.address for gate in self.gated.gates_by_name.values()]

    async def fault(self, **faults: object) -> None:
        await self.gated.change_faults(FaultsChange(**faults))  # type: ignore[arg-type]


@pytest.fixture
async def service() -> AsyncIterator[Service]:
    service = Service()
    await service.gated.open("127.0.0.1", 0)
    yield service
    await service.gated.close()


@asynccontextmanager
async def open_store(
    *endpoints: str, timeout: float = 0.4, silence: float = 0.4
) -> AsyncIterator[EtcdGatewayStore]:
    store = EtcdGatewayStore(endpoints, timeout, silence)
    yield store
    await store.close()


async def test_every_call_of_the_protocol(service: Service):
    async with open_store(*service.endpoints, timeout=5.0) as store:
        assert (await store.read("a")).unwrap() is None
        committed = (await store.commit(PUT)).unwrap()
        assert committed.succeeded
        entry = (await store.read("a")).unwrap()
        assert entry is not None
        assert (entry.value, entry.mod_revision) == (b"1", committed.revision)
        again = (await store.commit(PUT)).unwrap()
        assert not again.succeeded
        assert again.read_by_key == {"a": entry}
        lease_id = (await store.grant_lease(3.2)).unwrap()
        bound = Transaction((), (Put("b/1", b"2", lease_id), Delete("a")))
        other = Transaction((Expect("c", Revision(7)),), (Put("c", b""),))
        results = await store.commit_each([bound, other])
        first, second = (each.unwrap() for each in results)
        assert (first.succeeded, second.succeeded) == (True, False)
        listing = (await store.read_prefix("b/")).unwrap()
        assert [(each.key, each.lease_id) for each in listing.entries] == [
            ("b/1", lease_id)
        ]
        assert listing.revision == first.revision
        assert (await store.keep_lease(lease_id)).unwrap() == 4.0
        (await store.revoke_lease(lease_id)).unwrap()
        (await store.revoke_lease(lease_id)).unwrap()
        assert (await store.keep_lease(lease_id)).unwrap() == 0.0
        assert (await store.read("b/1")).unwrap() is None


@pytest.mark.parametrize(
    ("faults", "of_read", "of_write", "is_written"),
    [
        ({"slow_seconds": 0.8}, StoreUnavailable, StoreOutcomeUnknown, False),
        ({"frozen": True}, StoreUnavailable, StoreOutcomeUnknown, True),
        ({"fail_all": True}, StoreUnavailable, StoreOutcomeUnknown, False),
        ({"truncate_replies": 9}, StoreUnavailable, StoreOutcomeUnknown, True),
        ({"lose_replies": 9}, None, StoreOutcomeUnknown, True),
    ],
    ids=["slow", "frozen", "fails", "truncated", "reply lost"],
)
async def test_kinds_of_failure(
    service: Service,
    faults: dict[str, object],
    of_read: type | None,
    of_write: type,
    is_written: bool,
):
    """
    A write may or may not take effect, and its answer does not arrive. If it were
    reported as not applied, the operator would enter the edit again under a new id,
    so every write that may have been sent is reported as unknown.
    """
    async with open_store(*service.endpoints) as store:
        await service.fault(**faults)
        read = await store.read("b")
        assert (type(read.failure()) if not is_successful(read) else None) is of_read
        assert type((await store.commit(PUT)).failure()) is of_write
        await service.fault(
            slow_seconds=0.0,
            frozen=False,
            fail_all=False,
            truncate_replies=0,
            lose_replies=0,
        )
        while is_written and (await store.read("a")).unwrap() is None:
            await asyncio.sleep(0.01)
        assert ((await store.read("a")).unwrap() is not None) == is_written


async def test_write_goes_to_the_next_endpoint_only_when_certainly_not_sent(
    service: Service,
):
    """
    If the first endpoint refuses the connection, the write goes to the second. If the
    first endpoint applies the write and the answer is lost, there is no second
    attempt: it would conflict with its own write.
    """
    async with open_store(CLOSED_PORT, service.endpoints[1]) as store:
        assert (await store.commit(PUT)).unwrap().succeeded
    async with open_store(*service.endpoints) as store:
        await service.fault(gate="one", lose_replies=1)
        write = Transaction((), (Put("d", b"1"),))
        assert isinstance((await store.commit(write)).failure(), StoreOutcomeUnknown)
        entry = (await store.read("d")).unwrap()
        assert entry is not None
        assert entry.create_revision == entry.mod_revision
    async with open_store(CLOSED_PORT) as store:
        assert isinstance((await store.commit(PUT)).failure(), StoreUnavailable)


async def test_write_with_expired_lease_is_not_applied(service: Service):
    async with open_store(*service.endpoints, timeout=5.0) as store:
        bound = Transaction((), (Put("a", b"1", LeaseId(77)),))
        assert isinstance((await store.commit(bound)).failure(), StoreUnavailable)


async def test_dead_pooled_connections_cost_one_timeout(service: Service):
    """
    A middlebox drops the state of all open connections. Ten pooled connections would
    cost the caller ten successive timeouts; the client reconnects after the first.
    """
    async with open_store(service.endpoints[0]) as store:
        await asyncio.gather(*(store.read("a") for _ in range(10)))
        await service.fault(silence=True)
        answers = [await store.read("a") for _ in range(5)]
        assert [isinstance(each, Failure) for each in answers] == [True] + [False] * 4


async def test_dead_watch_resumes_without_a_gap(service: Service):
    """
    The watch's connection stays open but passes no data while edits continue, so the
    node would keep an old table forever. After the timeout it opens a new watch at the
    next revision and receives each change once.
    """
    async with open_store(*service.endpoints) as store:
        values = []
        async with aclosing(store.watch("k", Revision(1))) as batches:
            for number in range(3):
                await service.fault(silence=True)
                write = Transaction((), (Put("k", b"%d" % number),))
                async with open_store(*service.endpoints) as editor:
                    (await editor.commit(write)).unwrap()
                async for batch in batches:
                    values += [entry.value for entry in batch.changed]
                    if len(values) > number:
                        break
    assert values == [b"0", b"1", b"2"]


@pytest.mark.parametrize("fault", ["compacted", "down", "went back"])
async def test_watch_ends_when_the_caller_has_to_read_again(
    service: Service, fault: str
):
    async with open_store(*service.endpoints) as store:
        for _ in range(3):
            (await store.commit(Transaction((), (Put("k", b""),)))).unwrap()
        start = Revision(1)
        if fault == "compacted":
            service.service.state.compact(3)
        if fault == "down":
            await service.fault(down=True)
        if fault == "went back":
            start = Revision(99)
        async with asyncio.timeout(5):
            revisions = [batch.revision async for batch in store.watch("k", start)]
        assert all(revision <= 4 for revision in revisions)
