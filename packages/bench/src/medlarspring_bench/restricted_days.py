"""``python -m medlarspring_bench.restricted_days``: days of restricted queues."""

from __future__ import annotations

import argparse
import sys

from medlarspring_bench.platform_world.restricted_days import play_restricted_day


def main() -> int:
    """Play days; return 1 if one breaks a promise or leaves a job waiting."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0, help="first seed")
    parser.add_argument("--count", type=int, default=1, help="number of seeds")
    options = parser.parse_args()
    failures = 0
    for seed in range(options.first, options.first + options.count):
        day = play_restricted_day(seed)
        failures += bool(day.broken or day.waiting)
        print(f"seed {seed}: broken {day.broken}, waiting {day.waiting}", flush=True)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
