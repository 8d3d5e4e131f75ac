"""Tests that an entry that can't be applied does not cost the others."""

from __future__ import annotations

import asyncio
import io
import random
from itertools import product
from types import SimpleNamespace
from typing import Any, cast

import pytest

from medlarspring_adapters.entry_attempts import EntriesNotApplied
from medlarspring_adapters.events import create_event_log
from medlarspring_adapters.metrics import NoMetrics
from medlarspring_adapters.store import Entry, Listing, WatchBatch
from medlarspring_bench.platform_world.virtual_time import VirtualClock
from medlarspring_daemon.fleet import feed as fleet_feed
from medlarspring_daemon.jobs.controller import JobController
from medlarspring_daemon.scheduling import operator_records
from medlarspring_daemon.scheduling.context import SchedulingNode
from medlarspring_daemon.scheduling.job_feed import JobFeed
from medlarspring_daemon.scheduling.keys import CellKeys
from medlarspring_daemon.scheduling.worker_feed import WorkerFeed
from medlarspring_platform.operator_records import PlatformCodec
from medlarspring_tables import EntryVMId, Revision
from medlarspring_tables.scheduling import CellId, FleetLimits

NAMES = ("a", "odd", "b")


def create_node() -> SchedulingNode:
    return SchedulingNode(
        id=EntryVMId("e"),
        incarnation=1,
        clock=VirtualClock(),
        rng=random.Random(1),
        log=create_event_log(EntryVMId("e"), "INFO", io.StringIO()),
        metrics=NoMetrics(),
        store=cast("Any", None),
        store_health=cast("Any", None),
        codec=PlatformCodec(),
        orders=cast("Any", None),
        lifecycle=cast("Any", None),
        limits=FleetLimits(),
    )


class Spy:
    """Records the names that it is called with; raises for the odd one."""

    def __init__(self) -> None:
        self.names: list[str] = []

    def __call__(self, *args: Any) -> None:
        (name,) = {name for name in NAMES for each in args if is_about(each, name)}
        self.names.append(name)
        if name == "odd":
            raise OverflowError("odd")


def is_about(given: object, name: str) -> bool:
    key = given.key if isinstance(given, Entry) else given
    return isinstance(key, str) and key.rpartition("/")[2] == name


def create_workers(spy: Spy) -> tuple[Any, str]:
    owner = SimpleNamespace(tables=SimpleNamespace(workers_by_id={}))
    feed = WorkerFeed(create_node(), cast("Any", owner))
    feed._apply_entry = feed._remove_entry = spy  # type: ignore[method-assign, assignment]
    return feed, "servers/"


def create_jobs(spy: Spy) -> tuple[Any, str]:
    tables = SimpleNamespace(jobs_by_id={}, unloaded_by_id={})
    owner = SimpleNamespace(tables=tables)
    term = SimpleNamespace(keys=CellKeys(CellId(0)))
    feed = JobFeed(create_node(), cast("Any", term), cast("Any", owner), {})
    feed._load_job = spy  # type: ignore[method-assign]
    return feed, "inbox/0/job/"


def create_records(spy: Spy) -> tuple[Any, str]:
    records = operator_records.OperatorRecords(create_node())
    records._apply_entry = records._remove_entry = spy  # type: ignore[method-assign, assignment]
    return records, "op/wave/"


def create_fleet(spy: Spy) -> tuple[Any, str]:
    tables = SimpleNamespace(remove=spy, put=spy, revisions_by_key={})
    prefix = "fleet/other/"
    unreadable = cast("Any", SimpleNamespace(clear_fault=lambda key: None))
    return fleet_feed.RecordListener(cast("Any", tables), prefix, unreadable), prefix


def create_pool(spy: Spy) -> tuple[Any, str]:
    pool = JobController(*[cast("Any", None)] * 6)
    pool.apply_record = lambda entry: spy(entry.value.decode())  # type: ignore[method-assign, assignment, return-value]
    return pool, "jobs/p/"


@pytest.mark.parametrize(
    ("create", "kind"),
    [
        *product(
            [create_workers, create_jobs, create_records, create_pool],
            ["listing", "changed"],
        ),
        *product([create_workers, create_records, create_fleet], ["deleted"]),
    ],
)
def test_odd_entry_does_not_cost_the_others(create: Any, kind: str):
    """Guards against one entry whose exception keeps the rest from being applied."""

    async def play() -> None:
        spy = Spy()
        listener, prefix = create(spy)
        entries = tuple(
            Entry(prefix + name, name.encode(), Revision(1), Revision(2))
            for name in NAMES
        )
        deleted = tuple(entry.key for entry in entries)
        apply, changes = {
            "listing": (listener.apply_listing, Listing(entries, Revision(2))),
            "changed": (listener.apply_batch, WatchBatch(Revision(2), entries, ())),
            "deleted": (listener.apply_batch, WatchBatch(Revision(2), (), deleted)),
        }[kind]
        with pytest.raises(EntriesNotApplied) as raised:
            apply(changes)
        assert list(raised.value.errors_by_key) == [f"{prefix}odd"]
        assert spy.names == list(NAMES)
        if kind == "listing" and hasattr(listener, "loaded"):
            assert listener.loaded.is_set()

    asyncio.run(play())


def test_listener_that_raises_does_not_keep_the_others_from_being_called():
    """Guards against a controller that misses a configuration by another's fault."""
    records = operator_records.OperatorRecords(create_node())
    called: list[str] = []

    def fail() -> None:
        raise OverflowError("odd")

    records.listeners = [fail, lambda: called.append("second")]
    with pytest.raises(EntriesNotApplied):
        records.apply_batch(WatchBatch(Revision(2), (), ()))
    assert called == ["second"]
