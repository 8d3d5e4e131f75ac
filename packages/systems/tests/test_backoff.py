from __future__ import annotations

import random

from medlarspring_systems.backoff import MAX_RETRY_SECONDS, choose_retry_delay


def test_calls_after_an_outage_are_spread():
    """
    Guards against simultaneous retries: when the store recovers after an hour,
    entry VMs with equal delays would all call at the same instant.
    """
    rng = random.Random(1)
    waits = sorted(choose_retry_delay(20, rng) for _ in range(640))
    busiest = max(
        sum(start <= wait < start + 1.0 for wait in waits) for start in range(8)
    )
    assert waits[-1] <= MAX_RETRY_SECONDS
    assert busiest < 640 * 0.2
