"""Upstream VMs that are leaving get no new work."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from medlarspring_tables import PoolId, Seconds, VMId
    from medlarspring_tables.upstreams import Upstream, UpstreamTable

LEAVING_SIGNAL_SECONDS = 40.0
"""How long a sign holds against a list that still says live: longer than the
list lags. After it the list is right, and the VM is back."""
SAME_RETURN_SECONDS = 1.0
"""Reports of one return differ by their time on the way; the first stands, or peers
that repeat it would make it ever newer. No VM drains and comes back in less."""
MIN_SIGNAL_SECONDS = 5.0
"""When signs alone shut a whole pool, those older than this are dropped."""


def takes_new_work(upstream: Upstream, now: Seconds) -> bool:
    """Whether neither the list nor a newer sign says that the VM is leaving."""
    if upstream.listed_leaving:
        return False
    since = upstream.leaving_since
    return since is None or now - since >= LEAVING_SIGNAL_SECONDS


def note_leaving(table: UpstreamTable, vm_id: VMId, age: Seconds, now: Seconds) -> bool:
    """Remember a sign of leaving that is ``age`` old; return whether it is news."""
    upstream = table.upstreams_by_id.get(vm_id)
    if upstream is None:
        return False
    since = now - age
    if since <= upstream.returned_at:
        return False
    known = upstream.leaving_since
    if known is not None and now - known < LEAVING_SIGNAL_SECONDS:
        # The earliest sign stands: peers that repeat each other's news must
        # not keep a returned VM out for ever.
        upstream.leaving_since = min(known, since)
        return False
    if age >= LEAVING_SIGNAL_SECONDS:
        return False
    upstream.leaving_since = since
    return True


def note_returned(
    table: UpstreamTable, vm_id: VMId, pool_id: PoolId, age: Seconds, now: Seconds
) -> bool:
    """Learn that a VM served a pool again ``age`` ago; return whether it gets work.

    The list is read every few seconds and may never show a VM that was away for
    less. By a sign of leaving alone each entry VM would pass it over until the sign
    is forgotten, and callers would be refused beside idle VMs.
    """
    upstream = table.upstreams_by_id.get(vm_id)
    if upstream is None or upstream.pool_id != pool_id:
        # A VM that moved is used once the list shows it in its new pool.
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
    """Return the VMs to tell peers of that are back, each with the time since.

    Told for as long as a peer may remember a sign from before.
    """
    return [
        (upstream, now - upstream.reported_returned_at)
        for upstream in table.upstreams_by_id.values()
        if now - upstream.reported_returned_at < LEAVING_SIGNAL_SECONDS
    ]


def apply_listed_state(upstream: Upstream, now: Seconds, *, leaving: bool) -> None:
    """Take over what a new list says of a VM."""
    if leaving and upstream.leaving_since is None:
        # Told to peers too, whose own copy of the list may be older.
        upstream.leaving_since = now
    if upstream.listed_leaving and not leaving:
        upstream.leaving_since = None
        upstream.returned_at = now
    upstream.listed_leaving = leaving


def restore_emptied_pool(pool: Sequence[Upstream], now: Seconds) -> None:
    """Never let signs alone empty a pool.

    VMs that were drained and came back between two readings of the list are
    live in it throughout, and nothing takes their sign back. A VM that does
    leave says so again with its next answer.
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
    """Return the signs to tell peers, each with its age."""
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
    "note_leaving",
    "apply_listed_state",
    "note_returned",
    "takes_new_work",
]
