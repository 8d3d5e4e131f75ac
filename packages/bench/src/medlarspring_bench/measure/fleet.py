"""Runs all fleet measurements, or only the named ones.

Command: ``python -m medlarspring_bench.measure.fleet [NAME ...]``
"""

from __future__ import annotations

import argparse
import time
from typing import TYPE_CHECKING

from medlarspring_bench.fleet_histories import run_fleet_history
from medlarspring_bench.measure.fleet_buffer import measure_buffer
from medlarspring_bench.measure.fleet_moves import measure_moves
from medlarspring_bench.measure.fleet_rollout import measure_rollout, measure_target
from medlarspring_bench.measure.fleet_tick import measure_calls, measure_tick

if TYPE_CHECKING:
    from collections.abc import Callable

HISTORIES = 1_000


def measure_histories() -> None:
    """Print the results of the seeded fault histories."""
    started = time.monotonic()
    histories = [run_fleet_history(seed) for seed in range(HISTORIES)]
    broken = [each.seed for each in histories if each.violations]
    print(f"{HISTORIES} seeded histories in {time.monotonic() - started:.0f} s")
    for name in ("drains", "reboots", "moves", "kills", "freezes"):
        print(f"  {name:8} {sum(getattr(each, name) for each in histories):7}")
    print(f"  histories with a promise broken: {len(broken)} {broken[:10]}")


MEASUREMENTS: dict[str, Callable[[], None]] = {
    "buffer": measure_buffer,
    "rollout": measure_rollout,
    "rollout-target": measure_target,
    "moves": measure_moves,
    "tick": measure_tick,
    "calls": measure_calls,
    "histories": measure_histories,
}


def main() -> None:
    """Run the named measurements, all by default."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", metavar="NAME")
    names = parser.parse_args().names or list(MEASUREMENTS)
    for name in names:
        MEASUREMENTS[name]()


if __name__ == "__main__":
    main()
