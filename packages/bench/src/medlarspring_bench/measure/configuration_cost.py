"""Measures the CPU, memory, traffic and store calls of control in a daemon."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import psutil

from medlarspring_bench.measure.configuration_fleet import (
    Fleet,
    FleetPlan,
    start_ready,
    touch,
)

if TYPE_CHECKING:
    from pathlib import Path

SETTLE_SECONDS = 14.0
"""Longer than the 10 s from a complete fleet until pools are handed over."""
MEASURED_SECONDS = 20.0
EDIT_SECONDS = 2.0
POLL_SECONDS = 5.0
ZONES = 4
MEGABYTE = 1_048_576


@dataclass(frozen=True, slots=True)
class Load:
    """Size and activity of a fleet while its cost is measured."""

    partners: int
    upstream_vms: int
    edits: bool = False


LOADS = (Load(5, 40), Load(5, 40, edits=True))
TARGET_LOADS = (Load(370, 40), Load(370, 40, edits=True), Load(5, 830))


@dataclass(frozen=True, slots=True)
class Usage:
    """Resource counters of one daemon at one time."""

    cpu_seconds: float
    resident_bytes: int
    http_bytes: int
    """Bytes of read and write calls (store, VM list, logs), without gRPC."""


def measure_cost(daemons: int, folder: Path) -> None:
    """Print the cost for the current table and fleet sizes."""
    _measure_loads(daemons, folder, LOADS)


def measure_target_cost(daemons: int, folder: Path) -> None:
    """Print the cost for the target number of partners or upstream VMs."""
    _measure_loads(daemons, folder, TARGET_LOADS)


def _measure_loads(daemons: int, folder: Path, loads: tuple[Load, ...]) -> None:
    for load in loads:
        plan = FleetPlan(
            daemons,
            zones=ZONES,
            poll_seconds=POLL_SECONDS,
            upstream_vms=load.upstream_vms,
        )
        fleet = start_ready(plan, folder, partners=load.partners)
        try:
            _measure_load(fleet, load)
        finally:
            fleet.close()


def _measure_load(fleet: Fleet, load: Load) -> None:
    time.sleep(SETTLE_SECONDS)
    before = _read_all(fleet)
    calls_before = fleet.send("key_value", "GET", "calls")
    peers_before = _read_peer_bytes(fleet)
    began = time.monotonic()
    while time.monotonic() - began < MEASURED_SECONDS:
        if load.edits:
            asyncio.run(fleet.edit(touch))
        time.sleep(EDIT_SECONDS)
    seconds = time.monotonic() - began
    after = _read_all(fleet)
    calls = _count_calls(calls_before, fleet.send("key_value", "GET", "calls"))
    reports, slots = (
        (late - early) / seconds / len(before) / 1000
        for early, late in zip(peers_before, _read_peer_bytes(fleet), strict=True)
    )
    cpu = [
        100 * (after[each].cpu_seconds - before[each].cpu_seconds) / seconds
        for each in before
    ]
    http = [
        (after[each].http_bytes - before[each].http_bytes) / seconds for each in before
    ]
    memory = [usage.resident_bytes / MEGABYTE for usage in after.values()]
    count = len(before)
    edits = f"one each {EDIT_SECONDS:g} s" if load.edits else "none"
    print(
        f"{count:3d} daemons  partners={load.partners} vms={load.upstream_vms}"
        f" edits={edits}:"
        f" cpu mean {sum(cpu) / count:.2f}% worst {max(cpu):.2f}%"
        f"  memory mean {sum(memory) / count:.1f} worst {max(memory):.1f} MB"
        f"  http mean {sum(http) / count / 1000:.2f} worst {max(http) / 1000:.2f} KB/s"
        f"  reports mean {reports:.2f} slots mean {slots:.2f} KB/s"
        f"  store calls/s { ({k: round(v / seconds, 2) for k, v in calls.items()}) }",
        flush=True,
    )


def _read_all(fleet: Fleet) -> dict[str, Usage]:
    return {
        entry_vm_id: _read_usage(process.pid)
        for entry_vm_id, process in fleet.daemons_by_id.items()
    }


def _read_usage(pid: int) -> Usage:
    process = psutil.Process(pid)
    times = process.cpu_times()
    counters = process.io_counters()
    return Usage(
        cpu_seconds=times.user + times.system,
        resident_bytes=process.memory_info().rss,
        http_bytes=counters.read_chars + counters.write_chars,
    )


def _read_peer_bytes(fleet: Fleet) -> tuple[float, float]:
    """Return the bytes of reports and of slot calls over all daemons.

    Both sides count a report; only the requesting side counts a slot call.
    """
    counters: dict[str, Any] = fleet.send("statsd", "GET", "metrics")["counters"]
    reports = counters.get("medlarspring.peers.bytes", 0)
    slots = counters.get("medlarspring.peers.slot_bytes", 0)
    return reports, slots * 2


def _count_calls(before: dict[str, Any], after: dict[str, Any]) -> dict[str, int]:
    counts = {
        kind: count - before["by_kind"].get(kind, 0)
        for kind, count in after["by_kind"].items()
    }
    return {kind: count for kind, count in counts.items() if count}


__all__ = ["measure_cost", "measure_target_cost"]
