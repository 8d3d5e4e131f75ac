"""Measures requests and shares, for the tables of docs/MEASUREMENTS.md.

``python -m medlarspring_bench.measure.requests``; takes about three minutes.
"""

from __future__ import annotations

from medlarspring_bench.measure import requests_cost, requests_faults, requests_shares


def main() -> None:
    """Print all tables."""
    requests_cost.main()
    print()
    requests_shares.main()
    print()
    requests_faults.main()


if __name__ == "__main__":
    main()
