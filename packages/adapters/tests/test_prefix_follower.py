"""Tests what a follower does while its store or its listener fails."""

from __future__ import annotations

import asyncio
import io
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, cast

import pytest
from returns.result import Failure, Result, Success

from medlarspring_adapters.events import create_event_log
from medlarspring_adapters.prefix_follower import PrefixFollower
from medlarspring_adapters.store import (
    Entry,
    Listing,
    StoreError,
    StoreUnavailable,
    WatchBatch,
)
from medlarspring_bench.platform_world.virtual_time import run_virtual
from medlarspring_tables import EntryVMId, Revision

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from medlarspring_adapters.clock import Clock
    from medlarspring_adapters.metrics import Metric

BEGAN_AT = 1_000.0
"""Virtual time at which a follower starts."""
SENT_AT = BEGAN_AT + 0.3
ANSWER_SECONDS = 0.25
"""Time that the store takes for each answer."""


def create_entry(name: str, revision: int = 1) -> Entry:
    return Entry(f"p/{name}", b"", Revision(1), Revision(revision))


def create_batch(*names: str, sent_at: float | None = None) -> WatchBatch:
    return WatchBatch(Revision(2), tuple(map(create_entry, names)), (), sent_at)


@dataclass
class ScriptedStore:
    """Yields the given batches after the first listing, then none."""

    batches: list[WatchBatch] = field(default_factory=list)
    names: tuple[str, ...] = ("a", "b", "c")
    listings: int = 0
    refused: int = 0
    """Listings that are refused first."""

    async def read_prefix(self, prefix: str) -> Result[Listing, StoreError]:
        self.listings += 1
        await asyncio.sleep(ANSWER_SECONDS)
        if self.listings <= self.refused:
            return Failure(StoreUnavailable("refused"))
        entries = tuple(create_entry(name, self.listings) for name in self.names)
        return Success(Listing(entries, Revision(1)))

    async def watch(self, prefix: str, start: Revision) -> AsyncIterator[WatchBatch]:
        while self.batches:
            await asyncio.sleep(ANSWER_SECONDS)
            yield self.batches.pop(0)
        await asyncio.Event().wait()


class Recorder:
    """A listener that records what it gets; also a metrics client."""

    def __init__(self) -> None:
        self.applied: list[str] = []
        self.counts: Counter[Metric] = Counter()

    def apply_listing(self, listing: Listing) -> None:
        self.applied.append("listing")

    def apply_batch(self, batch: WatchBatch) -> None:
        self.applied += [entry.key for entry in batch.changed]

    def count(self, metric: Metric, amount: int = 1) -> None:
        self.counts[metric] += amount


@dataclass
class Context:
    clock: Clock
    metrics: Any
    lines: io.StringIO = field(default_factory=io.StringIO)
    rng: random.Random = field(default_factory=lambda: random.Random(1))

    def __post_init__(self) -> None:
        self.log = create_event_log(EntryVMId("e"), "INFO", self.lines)


@dataclass
class Outcome:
    confirmed_at: float | None
    lines: str


def follow(store: Any, listener: Any, seconds: float) -> Outcome:
    """Run a follower for so long, under virtual time."""

    async def main(clock: Clock) -> Outcome:
        context = Context(clock, Recorder())
        follower = PrefixFollower(context, cast("Any", store), "p/", listener, 0.5, 4.0)
        follower.start()
        await asyncio.sleep(seconds)
        confirmed_at = follower.confirmed_at
        await follower.stop()
        return Outcome(confirmed_at, context.lines.getvalue())

    return run_virtual(main)


@pytest.mark.parametrize(
    ("store", "seconds", "confirmed_at", "applied"),
    [
        (ScriptedStore(), 0.2, None, 0),
        (ScriptedStore(refused=9), 5.0, None, 0),
        (ScriptedStore(), 5.0, BEGAN_AT, 1),
        (ScriptedStore([create_batch("a", sent_at=SENT_AT)]), 5.0, SENT_AT, 2),
        (ScriptedStore([create_batch(sent_at=SENT_AT)]), 5.0, SENT_AT, 1),
        (ScriptedStore([create_batch("a")]), 5.0, BEGAN_AT, 2),
        (
            ScriptedStore([create_batch(sent_at=SENT_AT), create_batch("a")]),
            5.0,
            SENT_AT,
            2,
        ),
    ],
)
def test_view_is_as_current_as_the_call_it_was_read_by(
    store: ScriptedStore, seconds: float, confirmed_at: float | None, applied: int
):
    """Guards against a view that counts as current because an answer came late."""
    listener = Recorder()
    assert follow(store, listener, seconds).confirmed_at == confirmed_at
    assert len(listener.applied) == applied
