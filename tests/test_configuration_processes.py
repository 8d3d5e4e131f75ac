from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING

import pytest

from medlarspring_bench.control_client import call
from medlarspring_bench.measure.configuration_fleet import (
    POOL_HELD,
    TABLE_IN_FORCE,
    Fleet,
    FleetPlan,
    read_time,
    start_ready,
    touch,
)
from medlarspring_bench.measure.configuration_takeover import (
    LEASE_EXPIRED,
    find_busiest,
    wait_for_takeover,
)
from medlarspring_bench.waiting import wait_for

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

TAKEOVER_SECONDS = 10.0
RELAY_SECONDS = 5.0
STORE_LOST = 3008

StartFleet = "Callable[[FleetPlan], Fleet]"


@pytest.fixture
def start(tmp_path: Path) -> Iterator[StartFleet]:
    fleets: list[Fleet] = []

    def start_one(plan: FleetPlan) -> Fleet:
        fleets.append(start_ready(plan, tmp_path))
        return fleets[-1]

    yield start_one
    for fleet in fleets:
        fleet.close()


def is_ready(fleet: Fleet, entry_vm_id: str) -> bool:
    address = fleet.addresses_by_id[entry_vm_id]["caller"]
    return call("GET", address, "/readyz").status == 200


def accept_edit(fleet: Fleet) -> float:
    return asyncio.run(fleet.edit(touch))


def assert_no_reverts(fleet: Fleet) -> None:
    for process in fleet.daemons_by_id.values():
        records = process.records(TABLE_IN_FORCE)
        for earlier, later in itertools.pairwise(records):
            assert earlier["revision"] < later["revision"]


def test_killed_and_paused_holders_are_replaced(start: StartFleet):
    """
    Waves and jobs of a pool make no progress while no daemon holds it. One holder is
    killed and another is paused until its lease expires. Other daemons must hold the
    pools within 10 s, and the paused one must detect its expired lease on resuming
    before it acts.
    """
    fleet = start(FleetPlan(daemons=4, zones=2))
    killed, pools = find_busiest(fleet)
    since = time.time()
    fleet.daemons_by_id[killed].kill()
    assert wait_for_takeover(fleet, killed, pools, since) < TAKEOVER_SECONDS
    fleet.daemons_by_id.pop(killed)
    frozen, pools = find_busiest(fleet)
    process = fleet.daemons_by_id[frozen]
    since = time.time()
    process.pause()
    assert wait_for_takeover(fleet, frozen, pools, since) < TAKEOVER_SECONDS
    resumed_at = time.time()
    process.resume()
    process.wait_for_record(lambda record: record.get("event") == LEASE_EXPIRED)
    wait_for(lambda: time.time() - resumed_at > 1.0, "a second has passed")
    held_again = [
        record["pool"]
        for record in process.records(POOL_HELD)
        if read_time(record) > resumed_at
    ]
    assert not set(held_again) & set(pools)


def test_zone_without_store_relays_then_keeps_its_table(
    start: StartFleet,
):
    """
    A zone cannot reach the store: edits still come into force there through a peer
    in another zone. When it cannot reach that zone either, it keeps its last table
    and stays ready. After the partition it has the newest table, and no daemon ever
    reverts to an older one.
    """
    fleet = start(FleetPlan(daemons=4, zones=2, via_links=True))
    wait_for(lambda: all(is_ready(fleet, each) for each in fleet.ids), "all ready")
    cut_off = fleet.list_zone("zone-2")
    fleet.cut_store(cut_off, down=True)
    for entry_vm_id in cut_off:
        fleet.daemons_by_id[entry_vm_id].wait_for_record(
            lambda record: record.get("event") == STORE_LOST
        )
    at = accept_edit(fleet)
    in_force = fleet.wait_in_force(fleet.table.revision)
    assert max(in_force.values()) - at < RELAY_SECONDS
    known = fleet.table.revision
    fleet.cut("zone-1", "zone-2", down=True)
    fleet.cut("zone-2", "zone-1", down=True)
    accept_edit(fleet)
    fleet.wait_in_force(fleet.table.revision, ids=fleet.list_zone("zone-1"))
    assert all(is_ready(fleet, each) for each in fleet.ids)
    for entry_vm_id in cut_off:
        records = fleet.daemons_by_id[entry_vm_id].records(TABLE_IN_FORCE)
        assert records[-1]["revision"] == known
    fleet.cut("zone-1", "zone-2", down=False)
    fleet.cut("zone-2", "zone-1", down=False)
    fleet.wait_in_force(fleet.table.revision)
    assert_no_reverts(fleet)


def test_start_during_an_outage_with_and_without_peers(start: StartFleet):
    """
    VMs are replaced during a long outage of the store. A daemon that finds a peer
    fetches the table from it and serves. A daemon without peers is not ready and
    refuses requests, since it knows no table, until the store is back.
    """
    fleet = start(FleetPlan(daemons=2, zones=1))
    without_peers, replaced = fleet.ids
    fleet.cut_store(fleet.ids, down=True)
    fleet.daemons_by_id[replaced].kill()
    fleet.start_daemon(replaced, "zone-1")
    fleet.wait_listening(replaced)
    fleet.list_daemons()
    fleet.wait_in_force(fleet.table.revision, ids=[replaced])
    for entry_vm_id in fleet.ids:
        fleet.daemons_by_id[entry_vm_id].kill()
    fleet.start_daemon(without_peers, "zone-1")
    fleet.wait_listening(without_peers)
    fleet.daemons_by_id[without_peers].wait_for_record(
        lambda record: record.get("event") == STORE_LOST
    )
    assert not is_ready(fleet, without_peers)
    fleet.cut_store(fleet.ids, down=False)
    fleet.wait_in_force(fleet.table.revision, ids=[without_peers])
    wait_for(lambda: is_ready(fleet, without_peers), "ready")


def test_shutdown_closes_all_connections(start: StartFleet):
    """
    SIGTERM makes the daemon exit with status 0. A connection left open would be
    reported at exit, and the store would keep it until a timeout.
    """
    fleet = start(FleetPlan(daemons=2, zones=1))
    process = fleet.daemons_by_id[fleet.ids[0]]
    process.terminate()
    assert process.wait() == 0
    assert "Unclosed" not in process.output()
    assert "Traceback" not in process.output()
