"""Measures how fast pools are taken over after a kill, a pause and a shutdown.

Also measures how soon a paused holder notices, once it resumes, that its lease has
expired; until then two daemons could hold one pool.
"""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING

from medlarspring_bench.measure.configuration_fleet import (
    POOL_HELD,
    POOLS,
    Fleet,
    FleetPlan,
    read_time,
    start_ready,
)
from medlarspring_bench.waiting import wait_for

if TYPE_CHECKING:
    from pathlib import Path

SETTLE_SECONDS = 16.0
PAUSE_SECONDS = 15.0
LEASE_EXPIRED = 4022
ROUNDS = 2


def measure_takeover(daemons: int, folder: Path) -> None:
    """Print the time until all pools have a new holder."""
    fleet = start_ready(FleetPlan(daemons, zones=2), folder)
    try:
        for _ in range(ROUNDS):
            _measure_kill(fleet)
        _measure_pause(fleet)
        _measure_shutdown(fleet)
    finally:
        fleet.close()


def find_busiest(fleet: Fleet) -> tuple[str, list[str]]:
    """Return the daemon that holds the most pools, and its pools."""
    wait_for(lambda: len(fleet.find_holders()) == POOLS, "all pools held", 30.0)
    holders = fleet.find_holders()
    busiest = Counter(holders.values()).most_common(1)[0][0]
    return busiest, [pool for pool, holder in holders.items() if holder == busiest]


def wait_for_takeover(fleet: Fleet, lost: str, pools: list[str], since: float) -> float:
    """Wait until others hold all the pools; return the seconds since ``since``."""

    def find_times() -> list[float] | None:
        times = {}
        for entry_vm_id, process in fleet.daemons_by_id.items():
            for record in process.records(POOL_HELD):
                at = read_time(record)
                if entry_vm_id != lost and at > since and record["pool"] in pools:
                    times[record["pool"]] = at
        return list(times.values()) if len(times) == len(pools) else None

    return max(wait_for(find_times, "pools taken over", 30.0)) - since


def _measure_kill(fleet: Fleet) -> None:
    time.sleep(SETTLE_SECONDS)
    lost, pools = find_busiest(fleet)
    since = time.time()
    fleet.daemons_by_id[lost].kill()
    seconds = wait_for_takeover(fleet, lost, pools, since)
    print(f"takeover of {len(pools)} pools after a kill: {seconds:.2f} s", flush=True)
    fleet.start_daemon(lost, fleet.zones_by_id[lost])
    fleet.wait_listening(lost)
    fleet.list_daemons()


def _measure_pause(fleet: Fleet) -> None:
    time.sleep(SETTLE_SECONDS)
    lost, pools = find_busiest(fleet)
    process = fleet.daemons_by_id[lost]
    since = time.time()
    process.pause()
    seconds = wait_for_takeover(fleet, lost, pools, since)
    time.sleep(max(PAUSE_SECONDS - seconds, 0.0))
    resumed_at = time.time()
    process.resume()
    expiry = process.wait_for_record(
        lambda record: record.get("event") == LEASE_EXPIRED, 10.0
    )
    noticed = read_time(expiry) - resumed_at
    print(
        f"takeover of {len(pools)} pools after a freeze: {seconds:.2f} s;"
        f" the frozen holder noticed {noticed * 1000:.0f} ms after the thaw",
        flush=True,
    )


def _measure_shutdown(fleet: Fleet) -> None:
    time.sleep(SETTLE_SECONDS)
    lost, pools = find_busiest(fleet)
    since = time.time()
    fleet.daemons_by_id[lost].terminate()
    seconds = wait_for_takeover(fleet, lost, pools, since)
    print(f"takeover of {len(pools)} pools after SIGTERM: {seconds:.2f} s", flush=True)


__all__ = ["find_busiest", "measure_takeover", "wait_for_takeover"]
