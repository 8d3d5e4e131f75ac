"""Entries of the platform's VM list for a cluster's VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_bench.standins.links import Link
from medlarspring_bench.standins.vm_list import ListEntry

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from medlarspring_bench.example import Platform


def create_upstream_entries(
    platform: Platform, addresses_by_id: Mapping[str, str]
) -> list[ListEntry]:
    """Return the entries of all upstream VMs."""
    size = platform.vm
    shared = {
        "role": "upstream",
        "state": "live",
        "region": platform.region,
        "slots": str(size.slots),
        "connections": str(size.connections),
        "cpus": str(size.cpus),
        "memory_gb": str(size.memory_gb),
        "accelerators": str(size.accelerators),
    }
    return [
        ListEntry(
            [addresses_by_id[vm]],
            {"id": vm, "pool": rack.pool, "rack": rack.id, "zone": rack.zone, **shared},
        )
        for rack in platform.racks
        for vm in rack.vm_ids()
    ]


def create_entry_vm_entries(
    platform: Platform, peers_by_id: Mapping[str, str]
) -> list[ListEntry]:
    """Return the VM list entries of all listening entry VMs."""
    shared = {"role": "entry", "state": "live", "region": platform.region}
    return [
        ListEntry([peers_by_id[id_]], {"id": id_, "zone": zone, **shared})
        for id_, zone in platform.entry_vms()
        if id_ in peers_by_id
    ]


def create_links(zone: str, entries: Iterable[ListEntry]) -> dict[str, Link]:
    """Return the links from a zone to the VMs of all other zones, by VM id.

    The name contains the address, so a VM that restarts on another port gets a
    new link.
    """
    return {
        entry.labels["id"]: Link(
            name=f"{zone}>{entry.labels['id']}@{entry.targets[0]}",
            target=entry.targets[0],
            group=f"{zone}>{entry.labels['zone']}",
        )
        for entry in entries
        if entry.labels["zone"] != zone
    }


__all__ = ["create_entry_vm_entries", "create_links", "create_upstream_entries"]
