"""Tracks upstream VMs that are leaving, which get no new work.

A leaving signal is any evidence newer than the VM list: an answer of the VM, an
order to drain it, or a peer's report.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from medlarspring_tables import PoolId, Seconds, VMId
    from medlarspring_tables.upstreams import Upstream, UpstreamTable

LEAVING_SIGNAL_SECONDS = 40.0
"""How long a leaving signal overrides a list that shows the VM as live; longer than
the list lags. After this time the list is trusted again."""
SAME_RETURN_SECONDS = 1.0
"""Reports of a return within this time of a known one are the same return. They
differ by their delivery time, so only the first counts; otherwise peers that repeat
it would move it forward for ever. No VM drains and returns in less time."""
MIN_SIGNAL_SECONDS = 5.0
"""When leaving signals alone exclude a whole pool, older ones than this are dropped."""


def takes_new_work(upstream: Upstream, now: Seconds) -> bool:
    """Return whether neither the list nor a leaving signal excludes the VM."""
    if upstream.listed_leaving:
        return False
    since = upstream.leaving_since
    return since is None or now - since >= LEAVING_SIGNAL_SECONDS


def record_leaving(
    table: UpstreamTable, vm_id: VMId, age: Seconds, now: Seconds
) -> bool:
    """Record a leaving signal that is ``age`` old; return whether it is new."""
    upstream = table.upstreams_by_id.get(vm_id)
    if upstream is None:
        return False
    since = now - age
    if since <= upstream.returned_at:
        return False
    known = upstream.leaving_since
    if known is not None and now - known < LEAVING_SIGNAL_SECONDS:
        # Keep the earliest time; otherwise peers that repeat each other's
        # reports would exclude a returned VM for ever.
        upstream.leaving_since = min(known, since)
        return False
    if age >= LEAVING_SIGNAL_SECONDS:
        return False
    upstream.leaving_since = since
    return True


def record_returned(
    table: UpstreamTable, vm_id: VMId, pool_id: PoolId, age: Seconds, now: Seconds
) -> bool:
    """Record that a VM has served a pool again since ``age`` ago.

    Return whether this clears a leaving signal. The list is read every few seconds
    and may never show a shorter absence. Without this report each entry VM would
    skip the VM until its leaving signal expires, and callers would be refused
    although VMs are idle.
    """
    upstream = table.upstreams_by_id.get(vm_id)
    if upstream is None or upstream.pool_id != pool_id:
        # A moved VM is used once the list shows it in its new pool.
        return False
    returned_at = now - age
    if returned_at < upstream.reported_returned_at + SAME_RETURN_SECONDS:
        return False
    upstream.reported_returned_at = returned_at
    upstream.returned_at = max(upstream.returned_at, returned_at)
    since = upstream.leaving_since
    if since is None or since >= returned_at or upstream.listed_leaving:
        return False
    upstream.leaving_since = None
    return True


def list_returned(table: UpstreamTable, now: Seconds) -> list[tuple[Upstream, Seconds]]:
    """Return the returned VMs to report to peers, with the time since the return.

    A return is reported for as long as a peer may keep an earlier leaving signal.
    """
    return [
        (upstream, now - upstream.reported_returned_at)
        for upstream in table.upstreams_by_id.values()
        if now - upstream.reported_returned_at < LEAVING_SIGNAL_SECONDS
    ]


def apply_listed_state(upstream: Upstream, now: Seconds, *, leaving: bool) -> None:
    """Apply the state of a VM in a new list."""
    if leaving and upstream.leaving_since is None:
        # Also reported to peers, whose copy of the list may be older.
        upstream.leaving_since = now
    if upstream.listed_leaving and not leaving:
        upstream.leaving_since = None
        upstream.returned_at = now
    upstream.listed_leaving = leaving


def restore_emptied_pool(pool: Sequence[Upstream], now: Seconds) -> None:
    """Drop old leaving signals if they alone exclude every VM of a pool.

    The list shows VMs that were drained and returned between two reads of it as
    live throughout, so it never clears their leaving signals. A VM that is really
    leaving signals it again with its next answer.
    """
    if any(takes_new_work(upstream, now) for upstream in pool):
        return
    for upstream in pool:
        since = upstream.leaving_since
        if since is None or upstream.listed_leaving or now - since < MIN_SIGNAL_SECONDS:
            continue
        upstream.leaving_since = None
        upstream.returned_at = now


def list_leaving(table: UpstreamTable, now: Seconds) -> list[tuple[VMId, Seconds]]:
    """Return the leaving signals to report to peers, each with its age."""
    return [
        (upstream.id, now - upstream.leaving_since)
        for upstream in table.upstreams_by_id.values()
        if upstream.leaving_since is not None
        and now - upstream.leaving_since < LEAVING_SIGNAL_SECONDS
    ]


__all__ = [
    "LEAVING_SIGNAL_SECONDS",
    "restore_emptied_pool",
    "list_leaving",
    "list_returned",
    "record_leaving",
    "apply_listed_state",
    "record_returned",
    "takes_new_work",
]
