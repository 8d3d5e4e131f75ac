"""Faults that scenarios inject into a running cluster, by their phrases."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from medlarspring_bench.cluster import Cluster

SLOW_SECONDS = 0.7
LOST_REPLIES = 6
CUT_ANSWERS = 40


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A fault: how it begins and how it ends."""

    begin: Callable[[Cluster], None]
    end: Callable[[Cluster], None]
    end_waits: bool = False
    """Whether the end waits for a process start, which takes seconds under load."""


def first_daemon(cluster: Cluster) -> str:
    """Return the daemon that single-daemon faults affect."""
    return next(iter(cluster.zones_by_id))


def first_vms(cluster: Cluster) -> list[str]:
    """Return the upstream VMs that VM faults affect: one of each pool."""
    vm_by_pool: dict[str, str] = {}
    for rack in cluster.platform.racks:
        vm_by_pool.setdefault(rack.pool, rack.vm_ids()[0])
    return list(vm_by_pool.values())


def _store(**faults: object) -> Callable[[Cluster], None]:
    return lambda cluster: cluster.store_faults(**faults)


def _vms(**faults: object) -> Callable[[Cluster], None]:
    def switch(cluster: Cluster) -> None:
        for vm in first_vms(cluster):
            cluster.vm_faults(vm, **faults)

    return switch


def _nothing(cluster: Cluster) -> None:
    """Do nothing, for faults that end by themselves."""


def _kill(cluster: Cluster) -> None:
    cluster.processes.by_name[first_daemon(cluster)].kill()


def _restart(cluster: Cluster) -> None:
    cluster.restart_daemon(first_daemon(cluster))


def _pause(cluster: Cluster) -> None:
    cluster.processes.by_name[first_daemon(cluster)].pause()


def _resume(cluster: Cluster) -> None:
    cluster.processes.by_name[first_daemon(cluster)].resume()


def _partition_first_zone(cluster: Cluster) -> None:
    cluster.cut_zone(cluster.platform.zones[0], cut=True)


def _reconnect_first_zone(cluster: Cluster) -> None:
    cluster.cut_zone(cluster.platform.zones[0], cut=False)


DISTURBANCES: dict[str, Disturbance] = {
    "the store goes down": Disturbance(_store(down=True), _store(down=False)),
    "the store resets connections": Disturbance(
        _store(resetting=True), _store(resetting=False)
    ),
    "the store is unreachable": Disturbance(
        _store(unreachable=True), _store(unreachable=False)
    ),
    "the store freezes": Disturbance(_store(frozen=True), _store(frozen=False)),
    "the store is slow": Disturbance(
        _store(slow_seconds=SLOW_SECONDS), _store(slow_seconds=0.0)
    ),
    "the store loses replies": Disturbance(
        _store(lose_replies=LOST_REPLIES), _store(lose_replies=0)
    ),
    "the store's connections go silent": Disturbance(_store(silence=True), _nothing),
    "a daemon is killed": Disturbance(_kill, _restart, end_waits=True),
    "a daemon is paused": Disturbance(_pause, _resume),
    "upstream connections go silent": Disturbance(_vms(silence=True), _nothing),
    "upstream VMs freeze": Disturbance(_vms(frozen=True), _vms(frozen=False)),
    "upstream VMs are slow": Disturbance(
        _vms(slow_seconds=SLOW_SECONDS), _vms(slow_seconds=0.0)
    ),
    "upstream VMs cut their answers": Disturbance(
        _vms(truncate_replies=CUT_ANSWERS), _vms(truncate_replies=0)
    ),
    "upstream VMs lose answers": Disturbance(
        _vms(lose_replies=CUT_ANSWERS), _vms(lose_replies=0)
    ),
    "upstream VMs are down": Disturbance(_vms(down=True), _vms(down=False)),
    "upstream VMs reset connections": Disturbance(
        _vms(resetting=True), _vms(resetting=False)
    ),
    "upstream VMs are unreachable": Disturbance(
        _vms(unreachable=True), _vms(unreachable=False)
    ),
    "a zone is cut off": Disturbance(_partition_first_zone, _reconnect_first_zone),
}


def order_ends(begun: Sequence[str]) -> list[str]:
    """Return the phrases of the faults in the order in which to end them.

    The newest goes first, and those whose end waits go after all others.
    """
    newest_first = list(reversed(begun))
    return sorted(newest_first, key=lambda phrase: DISTURBANCES[phrase].end_waits)


__all__ = ["DISTURBANCES", "Disturbance", "first_daemon", "first_vms", "order_ends"]
