"""Samples the availability of pools and the pools of VMs while a scenario runs."""

from __future__ import annotations

import threading
import time
from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from medlarspring_bench.control_client import call
from medlarspring_bench.history import Leaving, Membership, PoolSample
from medlarspring_bench.vm_control_state import Condition, VMRow

if TYPE_CHECKING:
    from collections.abc import Mapping

    from medlarspring_bench.cluster import Cluster

SAMPLE_SECONDS = 0.05


class PlatformWatch:
    """Samples the platform's VM control in a thread of its own."""

    def __init__(self, address: str, min_available_by_pool: Mapping[str, int]) -> None:
        self.samples: list[PoolSample] = []
        self.rows_by_id: dict[str, VMRow] = {}
        self._address = address
        self._min_available_by_pool = min_available_by_pool
        self._memberships: list[Membership] = []
        self._leavings: list[Leaving] = []
        self._leaving_by_vm: dict[str, Leaving] = {}
        self._newest_by_vm: dict[str, Membership] = {}
        self._sampled_at = time.monotonic()
        """When the previous successful sample was requested."""
        self._ended = threading.Event()
        self._sample()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stop sampling."""
        self._ended.set()
        self._thread.join()

    def memberships(self) -> list[Membership]:
        """Return which pool each VM belonged to, and when."""
        return list(self._memberships)

    def leavings(self) -> list[Leaving]:
        """Return the periods in which VMs were leaving."""
        return list(self._leavings)

    def _run(self) -> None:
        while not self._ended.wait(SAMPLE_SECONDS):
            self._sample()

    def _sample(self) -> None:
        asked_at = time.monotonic()
        reply = call("GET", self._address, "/control/vms")
        if reply.status != 200:
            return
        now = time.monotonic()
        rows = msgspec.json.decode(reply.body, type=list[VMRow])
        self.rows_by_id = {row.id: row for row in rows}
        available = Counter(
            row.pool for row in rows if row.condition is Condition.SERVING
        )
        for pool, min_available in self._min_available_by_pool.items():
            self.samples.append(PoolSample(pool, now, available[pool], min_available))
        for row in rows:
            self._record_pool(row, now)
            self._record_leaving(row, now)
        self._sampled_at = asked_at

    def _record_leaving(self, row: VMRow, now: float) -> None:
        leaving = self._leaving_by_vm.get(row.id)
        if row.condition is Condition.SERVING:
            if leaving is not None:
                leaving.until = self._sampled_at
                del self._leaving_by_vm[row.id]
        elif leaving is None:
            leaving = Leaving(row.id, now)
            self._leaving_by_vm[row.id] = leaving
            self._leavings.append(leaving)

    def _record_pool(self, row: VMRow, now: float) -> None:
        newest = self._newest_by_vm.get(row.id)
        if newest is not None and newest.pool == row.pool:
            newest.end = now
            return
        membership = Membership(row.id, row.pool, now, now)
        self._newest_by_vm[row.id] = membership
        self._memberships.append(membership)


def watch_platform(cluster: Cluster) -> PlatformWatch:
    """Start sampling a cluster's platform, with the budgets of its table."""
    table = cluster.ask_operator_port("GET", "/v1/table")["table"]
    return PlatformWatch(
        cluster.vm_list["address"],
        {id_: row["min_available"] for id_, row in table["pools_by_id"].items()},
    )


__all__ = ["PlatformWatch", "watch_platform"]
