"""Measures configuration and membership with real daemons on this machine.

Run ``python -m medlarspring_bench.measure.configuration PART --daemons 8 16``;
parts: latency, store-down, return, control, cost, target-cost, takeover, cuts.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING

import psutil

from medlarspring_bench.measure.configuration_control import measure_control
from medlarspring_bench.measure.configuration_cost import (
    measure_cost,
    measure_target_cost,
)
from medlarspring_bench.measure.configuration_cuts import measure_cuts
from medlarspring_bench.measure.configuration_fleet import (
    Fleet,
    FleetPlan,
    start_ready,
    touch,
)
from medlarspring_bench.measure.configuration_takeover import measure_takeover

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence


EDITS = 20
EDIT_GAP_SECONDS = 0.3
STORE_DOWN_EDITS = 3
OUTAGE_SECONDS = 14.0
RECOVERY_SECONDS = 9.0
"""Longest delay before a daemon retries a store that failed."""
BURST = 50


def measure_latency(daemons: int, folder: Path) -> None:
    """Print the time from acceptance of an edit until all daemons have it in force."""
    fleet = start_ready(FleetPlan(daemons, zones=4), folder)
    try:
        spaced = [
            asyncio.run(_time_edits(fleet, 1, EDIT_GAP_SECONDS)) for _ in range(EDITS)
        ]
        report(daemons, "spaced edits", [late for group in spaced for late in group])
        report(daemons, f"burst of {BURST}", asyncio.run(_time_edits(fleet, BURST, 0)))
    finally:
        fleet.close()


async def _time_edits(fleet: Fleet, count: int, gap: float) -> list[float]:
    accepted = []
    for _ in range(count):
        at = await fleet.edit(touch)
        accepted.append((fleet.table.revision, at))
    lateness = []
    for revision, at in accepted:
        in_force = fleet.wait_in_force(revision)
        lateness.append(max(in_force.values()) - at)
    await asyncio.sleep(gap)
    return lateness


def measure_store_down(daemons: int, folder: Path) -> None:
    """Print how fast an edit spreads between daemons while the store is down.

    One daemon of each zone reads the edit from the store and is partitioned from
    the store once the table is in force there. The others are partitioned before
    the edit and get it from their peers.
    """
    fleet = start_ready(FleetPlan(daemons, zones=4), folder)
    try:
        informed = [fleet.list_zone(zone)[0] for zone in fleet.zone_names]
        others = [each for each in fleet.ids if each not in informed]
        lateness = []
        for _ in range(STORE_DOWN_EDITS):
            fleet.cut_store(others, down=True)
            at = asyncio.run(fleet.edit(touch))
            fleet.wait_in_force(fleet.table.revision, ids=informed)
            fleet.cut_store(informed, down=True)
            in_force = fleet.wait_in_force(fleet.table.revision)
            lateness.append(max(in_force.values()) - at)
            fleet.cut_store(fleet.ids, down=False)
            time.sleep(RECOVERY_SECONDS)
        report(daemons, "store down right after acceptance", lateness)
    finally:
        fleet.close()


def measure_return(daemons: int, folder: Path) -> None:
    """Print the store calls in the busiest second after a store outage."""
    fleet = start_ready(FleetPlan(daemons, zones=4), folder)
    try:
        time.sleep(OUTAGE_SECONDS)
        usual = _count_calls(fleet, OUTAGE_SECONDS)
        fleet.cut_store([*fleet.ids, "operators"], down=True)
        time.sleep(OUTAGE_SECONDS)
        fleet.cut_store([*fleet.ids, "operators"], down=False)
        before = fleet.send("key_value", "GET", "calls")["by_kind"]
        after = _count_calls(fleet, OUTAGE_SECONDS)
        kinds = fleet.send("key_value", "GET", "calls")["by_kind"]
        by_kind = {kind: kinds[kind] - before.get(kind, 0) for kind in kinds}
        at = asyncio.run(fleet.edit(touch))
        lateness = max(fleet.wait_in_force(fleet.table.revision).values()) - at
        print(
            f"{daemons:3d} daemons  calls/s usual {max(usual)}, busiest second after an"
            f" outage of {OUTAGE_SECONDS:g} s {max(after)}, by second {after},"
            f" by kind {by_kind};"
            f" next edit in force after {lateness * 1000:.0f} ms",
            flush=True,
        )
    finally:
        fleet.close()


def _count_calls(fleet: Fleet, seconds: float) -> list[int]:
    """Return the store calls of each second for the given time."""
    counts = []
    total = _total_calls(fleet)
    for _ in range(int(seconds)):
        time.sleep(1.0)
        now = _total_calls(fleet)
        counts.append(now - total)
        total = now
    return counts


def _total_calls(fleet: Fleet) -> int:
    return sum(fleet.send("key_value", "GET", "calls")["by_kind"].values())


def report(daemons: int, what: str, seconds: list[float]) -> None:
    """Print the median, the 99th percentile and the maximum of times in seconds."""
    ordered = sorted(seconds)
    middle = ordered[len(ordered) // 2]
    late = ordered[min(int(len(ordered) * 0.99), len(ordered) - 1)]
    print(
        f"{daemons:3d} daemons  {what}: n={len(ordered)}"
        f" p50={middle * 1000:.0f} ms p99={late * 1000:.0f} ms"
        f" max={ordered[-1] * 1000:.0f} ms",
        flush=True,
    )


PARTS: dict[str, Callable[[int, Path], None]] = {
    "latency": measure_latency,
    "store-down": measure_store_down,
    "return": measure_return,
    "control": measure_control,
    "cost": measure_cost,
    "target-cost": measure_target_cost,
    "takeover": measure_takeover,
    "cuts": measure_cuts,
}


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the requested parts in sequence, all by default."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", default=list(PARTS))
    parser.add_argument("--daemons", type=int, nargs="+", default=[8])
    options = parser.parse_args(arguments)
    print(f"{psutil.cpu_count()} cores, load {psutil.getloadavg()[0]:.1f}")
    for part in options.parts:
        for daemons in options.daemons:
            with tempfile.TemporaryDirectory() as folder:
                PARTS[part](daemons, Path(folder))
    return 0


if __name__ == "__main__":
    sys.exit(main())
