"""Load records as other versions wrote or read them."""

from __future__ import annotations

import msgspec
from msgspec import Struct

from medlarspring_tables import PartnerId, PoolId
from medlarspring_tables.scheduling import LoadRecord, WaitForecast

RECORD = LoadRecord(
    at_ms=5,
    waiting_by_queue={"lookup": 3},
    waits=(WaitForecast(PoolId("consent"), 1, PartnerId("ziwa"), 9_500),),
)


class FormerRecord(Struct, frozen=True, kw_only=True):
    """The record as it was before it contained forecasts."""

    at_ms: int
    waiting_by_queue: dict[str, int] = {}


def test_former_version_reads_the_counts():
    former = msgspec.json.decode(msgspec.json.encode(RECORD), type=FormerRecord)
    assert former == FormerRecord(at_ms=5, waiting_by_queue={"lookup": 3})


def test_record_of_a_former_version_has_no_forecasts():
    """Guards against refusals for load, or lost counts, while versions are mixed."""
    former = msgspec.json.encode(FormerRecord(at_ms=5, waiting_by_queue={"lookup": 3}))
    record = msgspec.json.decode(former, type=LoadRecord)
    assert record == LoadRecord(at_ms=5, waiting_by_queue={"lookup": 3})
