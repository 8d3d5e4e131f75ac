"""Collects the history of a cluster's run from its processes."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from medlarspring_bench.cluster import POOL_HELD
from medlarspring_bench.control_client import control
from medlarspring_bench.history import (
    Arrival,
    History,
    Holding,
    JobRun,
    Leaving,
    TableInForce,
    UpstreamRun,
)
from medlarspring_bench.processes import RECEIVED_AT

if TYPE_CHECKING:
    from medlarspring_bench.cluster import Cluster
    from medlarspring_bench.history import Call

TABLE_IN_FORCE = 3001
POOL_RELEASED = 4021
HOLDER_LEASE_LAPSED = 4022


def record_history(
    cluster: Cluster, calls: list[Call], leavings: list[Leaving] | None = None
) -> History:
    """Return the history that upstreams and daemons recorded."""
    slots = cluster.platform.vm.slots
    return History(
        calls=list(calls),
        runs=[_run(one) for one in cluster.upstream_records("runs")],
        arrivals=[
            Arrival(one["vm"], one["request_id"], one["at"])
            for one in cluster.upstream_records("refusals")
        ],
        leavings=list(leavings or ()),
        tables=_read_tables(cluster),
        holdings=_read_holdings(cluster),
        job_runs=_read_job_runs(cluster),
        slots_by_vm=dict.fromkeys(cluster.vm_addresses_by_id, slots),
        ended_at=time.monotonic(),
    )


def _run(record: dict[str, Any]) -> UpstreamRun:
    return UpstreamRun(
        vm=record["vm"],
        request_id=record["request_id"],
        partner=record["partner"],
        key=record["idempotency_key"],
        start=record["start"],
        end=record["end"],
        path=record["path"],
    )


def _read_job_runs(cluster: Cluster) -> list[JobRun]:
    return [
        JobRun(one["job_id"], vm, one["attempt"], one["start"], one["end"])
        for address in cluster.upstream_controls
        for vm, runs in control("GET", address, "tasks").items()
        for one in runs
    ]


def _read_tables(cluster: Cluster) -> list[TableInForce]:
    return [
        TableInForce(id_, record[RECEIVED_AT], record["revision"])
        for id_ in cluster.zones_by_id
        for record in cluster.processes.by_name[id_].records(TABLE_IN_FORCE)
    ]


def _read_holdings(cluster: Cluster) -> list[Holding]:
    """Return periods of holding; one without a logged end lasts to the last record."""
    holdings: list[Holding] = []
    for id_ in cluster.zones_by_id:
        open_by_pool: dict[str, Holding] = {}
        last_at = 0.0
        for record in cluster.processes.by_name[id_].records():
            last_at = record[RECEIVED_AT]
            pool = str(record.get("pool", ""))
            if record.get("event") == POOL_HELD:
                open_by_pool[pool] = Holding(pool, id_, last_at, last_at)
                holdings.append(open_by_pool[pool])
            elif record.get("event") == POOL_RELEASED and pool in open_by_pool:
                open_by_pool.pop(pool).end = last_at
            elif record.get("event") == HOLDER_LEASE_LAPSED:
                for holding in open_by_pool.values():
                    holding.end = last_at
                open_by_pool.clear()
        for holding in open_by_pool.values():
            holding.end = last_at
    return holdings


__all__ = ["record_history"]
