from __future__ import annotations

import pytest

from medlarspring_bench.measure import requests_shares
from medlarspring_bench.measure.requests_model import Sharing


@pytest.fixture
def _short(monkeypatch):
    monkeypatch.setattr(requests_shares, "WARM_SECONDS", 8.0)
    monkeypatch.setattr(requests_shares, "COUNTED_SECONDS", 5.0)


@pytest.fixture
def _counted_long(monkeypatch):
    """Count long enough that random variation of shares stays small."""
    monkeypatch.setattr(requests_shares, "WARM_SECONDS", 8.0)
    monkeypatch.setattr(requests_shares, "COUNTED_SECONDS", 15.0)


@pytest.mark.usefixtures("_counted_long")
@pytest.mark.parametrize("seed", [1, 5])
def test_shares_hold_fleet_wide_under_a_flood(seed: int):
    """Guards against one partner taking the shares of others.

    One partner sends ten times its share, and the load balancer sends one entry
    VM four times the load of the others. No entry VM sees the whole load. Still,
    the other partners get their shares, and slots are fully used but never
    assigned twice.
    """
    run = requests_shares.run_flood(Sharing.CREDITS, seed=seed)
    assert run.worst_share >= 0.95
    assert run.utilisation >= 0.95
    assert run.over_slots == 0


@pytest.mark.usefixtures("_short")
def test_local_queues_alone_do_not_hold_the_shares():
    assert requests_shares.run_flood(Sharing.LOCAL, seed=5).worst_share < 0.85


@pytest.mark.usefixtures("_short")
def test_urgent_work_starts_within_a_second_on_a_full_fleet():
    assert requests_shares.measure_urgent_start(seed=5) < 1.0
