"""Ejects failing and slow upstream VMs from load balancing, and restores them."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from medlarspring_tables import Seconds
    from medlarspring_tables.upstreams import Upstream

FAILURES_TO_EJECT = 3
MIN_LATENCY_ANSWERS = 8
"""Answers needed before a VM's latency is used; it is compared with the pool's
after each such number of answers."""
SLOW_FACTOR = 4.0
SLOW_MARGIN_SECONDS = 0.05
LATENCY_SMOOTHING = 0.2
FIRST_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 15.0
MAX_EJECTED_PART = 0.5
"""At most this part of a pool is ejected. When most VMs look unhealthy, the fault
is in the service or in the measurement, and sending no requests would turn a
degraded service into an outage."""


def record_success(
    upstream: Upstream, pool: Sequence[Upstream], latency: Seconds, now: Seconds
) -> bool:
    """Record a successful answer; return whether the VM was ejected as slow."""
    upstream.failures = 0
    upstream.answers += 1
    if upstream.probing:
        _end_probe(upstream, pool, latency, now)
    if upstream.answers == 1:
        upstream.latency = latency
    else:
        upstream.latency += LATENCY_SMOOTHING * (latency - upstream.latency)
    if upstream.answers % MIN_LATENCY_ANSWERS or upstream.ejected_until is not None:
        return False
    if not _is_slow(upstream, pool, upstream.latency):
        return False
    return _eject(upstream, pool, now)


def record_failure(upstream: Upstream, pool: Sequence[Upstream], now: Seconds) -> bool:
    """Record a failure; return whether the VM was ejected for it."""
    upstream.failures += 1
    if upstream.probing:
        upstream.probing = False
        return _eject(upstream, pool, now)
    if upstream.ejected_until is not None:
        return False
    if upstream.failures < FAILURES_TO_EJECT:
        return False
    return _eject(upstream, pool, now)


def end_inconclusive_probe(upstream: Upstream) -> None:
    """End a probe without a result: its caller disconnected, or it was not run."""
    upstream.probing = False


def mark_probe(upstream: Upstream) -> None:
    """Mark a request to an ejected VM as its probe."""
    if upstream.ejected_until is not None:
        upstream.probing = True


def _end_probe(
    upstream: Upstream, pool: Sequence[Upstream], latency: Seconds, now: Seconds
) -> None:
    upstream.probing = False
    if _is_slow(upstream, pool, latency):
        _eject(upstream, pool, now)
        return
    upstream.ejected_until = None
    upstream.ejection_count = 0
    upstream.answers = 1
    upstream.latency = latency


def _is_slow(upstream: Upstream, pool: Sequence[Upstream], latency: Seconds) -> bool:
    others = [
        other.latency
        for other in pool
        if other is not upstream
        and other.answers >= MIN_LATENCY_ANSWERS
        and other.ejected_until is None
    ]
    if not others:
        return False
    return latency > SLOW_FACTOR * median(others) + SLOW_MARGIN_SECONDS


def _eject(upstream: Upstream, pool: Sequence[Upstream], now: Seconds) -> bool:
    ejected = sum(
        1 for other in pool if other is not upstream and other.ejected_until is not None
    )
    if ejected + 1 > len(pool) * MAX_EJECTED_PART:
        upstream.ejected_until = None
        return False
    seconds = FIRST_EJECTION_SECONDS * 2.0**upstream.ejection_count
    upstream.ejected_until = now + min(MAX_EJECTION_SECONDS, seconds)
    upstream.ejection_count += 1
    return True


__all__ = ["mark_probe", "record_failure", "end_inconclusive_probe", "record_success"]
