"""Sets failing and slow upstream VMs aside by evidence, and brings them back."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from medlarspring_tables import Seconds
    from medlarspring_tables.upstreams import Upstream

FAILURES_TO_SET_ASIDE = 3
ANSWERS_BEFORE_SLOW = 8
"""Answers needed before a latency counts as evidence; it is compared with the
pool's once in so many."""
SLOW_FACTOR = 4.0
SLOW_MARGIN_SECONDS = 0.05
LATENCY_SMOOTHING = 0.2
FIRST_ASIDE_SECONDS = 1.0
MAX_ASIDE_SECONDS = 15.0
MAX_PART_ASIDE = 0.5
"""At most this part of a pool is set aside. When most of it looks bad, the
fault lies in the service or in the signal, and sending nothing would turn a
poor service into none."""


def note_success(
    upstream: Upstream, pool: Sequence[Upstream], latency: Seconds, now: Seconds
) -> bool:
    """Learn from a good answer; return whether the VM was set aside as slow."""
    upstream.failures = 0
    upstream.answers += 1
    if upstream.probing:
        _end_probe(upstream, pool, latency, now)
    if upstream.answers == 1:
        upstream.latency = latency
    else:
        upstream.latency += LATENCY_SMOOTHING * (latency - upstream.latency)
    if upstream.answers % ANSWERS_BEFORE_SLOW or upstream.set_aside_until is not None:
        return False
    if not _is_slow(upstream, pool, upstream.latency):
        return False
    return _set_aside(upstream, pool, now)


def note_failure(upstream: Upstream, pool: Sequence[Upstream], now: Seconds) -> bool:
    """Learn from a failure; return whether the VM was set aside for it."""
    upstream.failures += 1
    if upstream.probing:
        upstream.probing = False
        return _set_aside(upstream, pool, now)
    if upstream.set_aside_until is not None:
        return False
    if upstream.failures < FAILURES_TO_SET_ASIDE:
        return False
    return _set_aside(upstream, pool, now)


def note_no_verdict(upstream: Upstream) -> None:
    """End a probe that told nothing, as its caller left or it was not run."""
    upstream.probing = False


def begin_work(upstream: Upstream) -> None:
    """Mark a request to a VM that was set aside as its probe."""
    if upstream.set_aside_until is not None:
        upstream.probing = True


def _end_probe(
    upstream: Upstream, pool: Sequence[Upstream], latency: Seconds, now: Seconds
) -> None:
    upstream.probing = False
    if _is_slow(upstream, pool, latency):
        _set_aside(upstream, pool, now)
        return
    upstream.set_aside_until = None
    upstream.set_aside_count = 0
    upstream.answers = 1
    upstream.latency = latency


def _is_slow(upstream: Upstream, pool: Sequence[Upstream], latency: Seconds) -> bool:
    others = [
        other.latency
        for other in pool
        if other is not upstream
        and other.answers >= ANSWERS_BEFORE_SLOW
        and other.set_aside_until is None
    ]
    if not others:
        return False
    return latency > SLOW_FACTOR * median(others) + SLOW_MARGIN_SECONDS


def _set_aside(upstream: Upstream, pool: Sequence[Upstream], now: Seconds) -> bool:
    aside = sum(
        1
        for other in pool
        if other is not upstream and other.set_aside_until is not None
    )
    if aside + 1 > len(pool) * MAX_PART_ASIDE:
        upstream.set_aside_until = None
        return False
    seconds = FIRST_ASIDE_SECONDS * 2.0**upstream.set_aside_count
    upstream.set_aside_until = now + min(MAX_ASIDE_SECONDS, seconds)
    upstream.set_aside_count += 1
    return True


__all__ = ["begin_work", "note_failure", "note_no_verdict", "note_success"]
