"""Runs all measurements in sequence: ``python -m medlarspring_bench.measure``.

Each area can be run alone as ``python -m medlarspring_bench.measure.<area>``.
"""

from __future__ import annotations

import sys
import time

from medlarspring_bench.measure import (
    burst_overload,
    configuration,
    fleet,
    jobs,
    partner_shares,
    requests,
    table_edits,
)

AREAS = {
    "requests": requests.main,
    "fleet": fleet.main,
    "jobs": jobs.main,
    "configuration": lambda: configuration.main([]),
    "table_edits": table_edits.main,
    "turns": burst_overload.main,
    "shares": partner_shares.main,
}


def main() -> int:
    """Run the named areas, all by default, and return the exit status."""
    wanted = sys.argv[1:] or list(AREAS)
    unknown = [name for name in wanted if name not in AREAS]
    if unknown:
        print(f"unknown: {', '.join(unknown)}; areas are {', '.join(AREAS)}")
        return 2
    for name in wanted:
        print(f"== {name}")
        started = time.perf_counter()
        AREAS[name]()
        print(f"   ({name} took {time.perf_counter() - started:.0f} s)")
    return 0


if __name__ == "__main__":
    sys.exit(main())
