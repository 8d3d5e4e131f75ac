"""Upstream VMs that are leaving get no new work."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables import Seconds, VMId
    from medlarspring_tables.upstreams import Upstream, UpstreamTable

LEAVING_MEMORY_SECONDS = 120.0
"""How long a sign holds against a list that lags and still says live.

The list lags by tens of seconds; a VM that changed its mind is back in
service at the latest after this time.
"""


def takes_new_work(upstream: Upstream, now: Seconds) -> bool:
    """Whether neither the list nor a newer sign says that the VM is leaving."""
    if upstream.listed_leaving:
        return False
    since = upstream.leaving_since
    return since is None or now - since >= LEAVING_MEMORY_SECONDS


def note_leaving(table: UpstreamTable, vm_id: VMId, age: Seconds, now: Seconds) -> bool:
    """Remember a sign of leaving that is ``age`` old; return whether it is news."""
    upstream = table.upstreams_by_id.get(vm_id)
    if upstream is None:
        return False
    since = now - age
    if since <= upstream.returned_at:
        return False
    known = upstream.leaving_since
    if known is not None and now - known < LEAVING_MEMORY_SECONDS:
        # The earliest sign stands: peers that repeat each other's news must
        # not keep a returned VM out for ever.
        upstream.leaving_since = min(known, since)
        return False
    if age >= LEAVING_MEMORY_SECONDS:
        return False
    upstream.leaving_since = since
    return True


def note_listed(upstream: Upstream, now: Seconds, *, leaving: bool) -> None:
    """Take over what a new list says of a VM."""
    if leaving and upstream.leaving_since is None:
        # Told to peers too, whose own copy of the list may be older.
        upstream.leaving_since = now
    if upstream.listed_leaving and not leaving:
        upstream.leaving_since = None
        upstream.returned_at = now
    upstream.listed_leaving = leaving


def list_leaving(table: UpstreamTable, now: Seconds) -> list[tuple[VMId, Seconds]]:
    """Return the signs to tell peers, each with its age."""
    return [
        (upstream.id, now - upstream.leaving_since)
        for upstream in table.upstreams_by_id.values()
        if upstream.leaving_since is not None
        and now - upstream.leaving_since < LEAVING_MEMORY_SECONDS
    ]


__all__ = [
    "LEAVING_MEMORY_SECONDS",
    "list_leaving",
    "note_leaving",
    "note_listed",
    "takes_new_work",
]
