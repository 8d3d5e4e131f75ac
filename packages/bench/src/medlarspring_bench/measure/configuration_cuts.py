"""Measures edits during partitions between zones and from the store.

No daemon may revert to an older table or miss an edit.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING

from medlarspring_bench.control_client import call
from medlarspring_bench.measure.configuration_fleet import (
    TABLE_IN_FORCE,
    Fleet,
    FleetPlan,
    start_ready,
    touch,
)
from medlarspring_bench.waiting import wait_for

if TYPE_CHECKING:
    from pathlib import Path

ZONES = 4
HTTP_OK = 200
IN_FORCE_SECONDS = 20.0
NOTICED_SECONDS = 3.0


def measure_cuts(daemons: int, folder: Path) -> None:
    """Print the slowest edit, reverts and missed edits for each kind of partition."""
    fleet = start_ready(FleetPlan(daemons, zones=ZONES, via_links=True), folder)
    try:
        wait_for(lambda: _all_ready(fleet), "all daemons ready")
        pairs = list(itertools.combinations(fleet.zone_names, 2))
        for what, one_way, store_cut in (
            ("zones cut both ways", False, False),
            ("zones cut one way", True, False),
            ("zones cut and one from the store", False, True),
        ):
            slowest = max(
                _measure_cut(fleet, first, second, one_way, store_cut)
                for first, second in pairs
            )
            _report(fleet, f"{what}, {len(pairs)} pairs", slowest)
        slowest = max(_measure_store_cut(fleet, zone) for zone in fleet.zone_names)
        _report(fleet, f"each of {ZONES} zones cut from the store", slowest)
    finally:
        fleet.close()


def _measure_cut(
    fleet: Fleet, first: str, second: str, one_way: bool, store_cut: bool
) -> float:
    fleet.cut(first, second, down=True)
    if not one_way:
        fleet.cut(second, first, down=True)
    if store_cut:
        fleet.cut_store(fleet.list_zone(first), down=True)
    time.sleep(NOTICED_SECONDS if store_cut else 0.2)
    seconds = _edit_and_wait(fleet)
    fleet.cut(first, second, down=False)
    fleet.cut(second, first, down=False)
    fleet.cut_store(fleet.list_zone(first), down=False)
    return max(seconds, _edit_and_wait(fleet))


def _measure_store_cut(fleet: Fleet, zone: str) -> float:
    fleet.cut_store(fleet.list_zone(zone), down=True)
    time.sleep(NOTICED_SECONDS)
    seconds = _edit_and_wait(fleet)
    fleet.cut_store(fleet.list_zone(zone), down=False)
    return max(seconds, _edit_and_wait(fleet))


def _edit_and_wait(fleet: Fleet) -> float:
    at = asyncio.run(fleet.edit(touch))
    in_force = fleet.wait_in_force(fleet.table.revision, IN_FORCE_SECONDS)
    assert _all_ready(fleet)
    return max(in_force.values()) - at


def _all_ready(fleet: Fleet) -> bool:
    return all(
        call("GET", addresses["caller"], "/readyz").status == HTTP_OK
        for addresses in fleet.addresses_by_id.values()
    )


def _report(fleet: Fleet, what: str, slowest: float) -> None:
    reverts = sum(
        later["revision"] <= earlier["revision"]
        for process in fleet.daemons_by_id.values()
        for earlier, later in itertools.pairwise(process.records(TABLE_IN_FORCE))
    )
    lost = sum(
        process.records(TABLE_IN_FORCE)[-1]["revision"] != fleet.table.revision
        for process in fleet.daemons_by_id.values()
    )
    print(
        f"{len(fleet.daemons_by_id)} daemons, {what}: slowest edit {slowest:.2f} s,"
        f" reverts {reverts}, daemons without the last edit {lost}, all ready",
        flush=True,
    )


__all__ = ["measure_cuts"]
